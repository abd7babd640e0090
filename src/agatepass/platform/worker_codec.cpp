#include "agatepass/platform/worker_codec.h"

#include <array>
#include <utility>

#include "agatepass/base/result_code.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::platform {

namespace {

using base::Duration;
using nlohmann::json;

struct VerbPath {
  WorkerVerb verb;
  std::string_view path;
};

constexpr auto kVerbPaths = std::to_array<VerbPath>({
    {WorkerVerb::kClaim, "/v1/owner/claim"},
    {WorkerVerb::kRenew, "/v1/owner/renew"},
    {WorkerVerb::kRelease, "/v1/owner/release"},
    {WorkerVerb::kStart, "/v1/tasks/start"},
    {WorkerVerb::kStop, "/v1/tasks/stop"},
    {WorkerVerb::kCheckpoint, "/v1/tasks/checkpoint"},
    {WorkerVerb::kThrottle, "/v1/tasks/throttle"},
});

json EncodeResources(const Resources& resources) {
  return json::array(
      {resources.millicores, resources.memory_mib, resources.accelerators});
}

Resources DecodeResources(const json& value) {
  return Resources{value.at(0).get<int64_t>(), value.at(1).get<int64_t>(),
                   value.at(2).get<int64_t>()};
}

Duration DecodeMilliseconds(const json& document, const char* name) {
  return std::chrono::milliseconds(document.value(name, int64_t{0}));
}

json EncodeStart(const TaskStart& start) {
  return {{"task", start.task.value},
          {"team", start.team.value},
          {"declared", EncodeResources(start.declared)},
          {"command", start.command},
          {"lease_ms", base::ToMilliseconds(start.lease)},
          {"stop_on_lapse", start.on_lapse == LapseAction::kStop}};
}

TaskStart DecodeStart(const json& value) {
  TaskStart start;
  start.task = base::TaskId(value.at("task").get<std::string>());
  start.team = base::TeamId(value.at("team").get<std::string>());
  start.declared = DecodeResources(value.at("declared"));
  start.command = value.at("command").get<std::string>();
  start.lease = DecodeMilliseconds(value, "lease_ms");
  start.on_lapse = value.value("stop_on_lapse", false)
                       ? LapseAction::kStop
                       : LapseAction::kKeepRunning;
  return start;
}

TaskReport DecodeReport(const json& value) {
  TaskReport report;
  report.task = base::TaskId(value.at("task").get<std::string>());
  report.phase = static_cast<TaskPhase>(value.at("phase").get<int>());
  report.declared = DecodeResources(value.at("declared"));
  report.used = DecodeResources(value.at("used"));
  report.result = value.value("result", "");
  return report;
}

WorkerCall DecodeCallBody(WorkerVerb verb, const json& body) {
  WorkerCall call;
  call.verb = verb;
  call.worker = base::WorkerId(body.value("worker", ""));
  call.holder = base::HostId(body.at("holder").get<std::string>());
  call.epoch = body.at("epoch").get<Epoch>();
  call.from = base::HostId(body.value("from", ""));
  call.lease = DecodeMilliseconds(body, "lease_ms");
  for (const json& start : body.value("starts", json::array())) {
    call.starts.push_back(DecodeStart(start));
  }
  for (const json& task : body.value("tasks", json::array())) {
    call.tasks.emplace_back(task.get<std::string>());
  }
  return call;
}

WorkerReply DecodeReplyBody(const json& body) {
  WorkerReply reply;
  reply.epoch = body.at("epoch").get<Epoch>();
  reply.holder = base::HostId(body.at("holder").get<std::string>());
  reply.memory_age = DecodeMilliseconds(body, "memory_ms");
  if (body.contains("total")) reply.total = DecodeResources(body["total"]);
  for (const json& report : body.value("tasks", json::array())) {
    reply.tasks.push_back(DecodeReport(report));
  }
  for (const json& start : body.value("starts", json::array())) {
    reply.starts.push_back({base::TaskId(start.at("task").get<std::string>()),
                            start.at("started").get<bool>(),
                            start.value("reason", "")});
  }
  return reply;
}

}  // namespace

std::string_view WorkerPath(WorkerVerb verb) {
  for (const VerbPath& row : kVerbPaths) {
    if (row.verb == verb) return row.path;
  }
  return "/";
}

std::string EncodeWorkerCall(const WorkerCall& call) {
  json body = {{"worker", call.worker.value},
               {"holder", call.holder.value},
               {"epoch", call.epoch}};
  if (!call.from.empty()) body["from"] = call.from.value;
  if (call.lease.count() != 0) {
    body["lease_ms"] = base::ToMilliseconds(call.lease);
  }
  for (const TaskStart& start : call.starts) {
    body["starts"].push_back(EncodeStart(start));
  }
  for (const base::TaskId& task : call.tasks) {
    body["tasks"].push_back(task.value);
  }
  return body.dump();
}

absl::StatusOr<WorkerCall> DecodeWorkerCall(std::string_view path,
                                            std::string_view body) {
  for (const VerbPath& row : kVerbPaths) {
    if (row.path != path) continue;
    try {
      return DecodeCallBody(row.verb, json::parse(body));
    } catch (const json::exception& fault) {
      return base::ErrorStatus(
          base::ResultCode::kInvalidRequest,
          fmt::format("command at \"{}\": {}", path, fault.what()));
    }
  }
  return base::ErrorStatus(base::ResultCode::kInvalidRequest,
                           fmt::format("\"{}\" is not a command", path));
}

std::string EncodeWorkerReply(const WorkerReply& reply) {
  json body = {{"epoch", reply.epoch}, {"holder", reply.holder.value}};
  if (reply.memory_age.count() > 0) {
    body["memory_ms"] = base::ToMilliseconds(reply.memory_age);
  }
  if (reply.total != Resources{}) body["total"] = EncodeResources(reply.total);
  for (const TaskReport& report : reply.tasks) {
    json entry = {{"task", report.task.value},
                  {"phase", static_cast<int>(report.phase)},
                  {"declared", EncodeResources(report.declared)},
                  {"used", EncodeResources(report.used)}};
    if (!report.result.empty()) entry["result"] = report.result;
    body["tasks"].push_back(std::move(entry));
  }
  for (const StartResult& start : reply.starts) {
    body["starts"].push_back({{"task", start.task.value},
                              {"started", start.started},
                              {"reason", start.reason}});
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<WorkerReply> DecodeWorkerReply(std::string_view body) {
  try {
    return DecodeReplyBody(json::parse(body));
  } catch (const json::exception& fault) {
    return base::ErrorStatus(base::ResultCode::kInvalidRequest,
                             fmt::format("worker's reply: {}", fault.what()));
  }
}

}  // namespace agatepass::platform
