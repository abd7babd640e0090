#include "agatepass/jobs/record_codec.h"

#include <utility>

#include "agatepass/base/result_code.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::jobs {
namespace {

using Json = nlohmann::json;

Json EncodeIncarnation(const Incarnation& incarnation) {
  return Json::array({incarnation.host.value, incarnation.number});
}

Incarnation DecodeIncarnation(const Json& json) {
  return {base::HostId(json.at(0).get<std::string>()),
          json.at(1).get<uint64_t>()};
}

IndexRanges DecodeRanges(const Json& json) {
  const auto& text = json.get_ref<const std::string&>();
  if (auto ranges = IndexRanges::Parse(text)) return *std::move(ranges);
  throw Json::other_error::create(
      501, fmt::format("ranges \"{}\" are malformed", text), &json);
}

Json EncodeResults(const std::map<uint32_t, std::string>& results) {
  Json json = Json::array();
  for (const auto& [index, result] : results) {
    json.push_back(Json::array({index, result}));
  }
  return json;
}

std::map<uint32_t, std::string> DecodeResults(const Json& json) {
  std::map<uint32_t, std::string> results;
  for (const Json& pair : json) {
    results[pair.at(0).get<uint32_t>()] = pair.at(1).get<std::string>();
  }
  return results;
}

TaskState DecodeState(const Json& json) {
  const int number = json.get<int>();
  if (number < 0 || number > static_cast<int>(TaskState::kInDoubt)) {
    throw Json::other_error::create(
        501, fmt::format("task state {} does not exist", number), &json);
  }
  return static_cast<TaskState>(number);
}

/** Sets `json[name]` unless `value` is the default, which is left out. */
template <typename Value>
void SetUnlessDefault(Json& json, const char* name, const Value& value) {
  if (value != Value{}) json[name] = value;
}

Json EncodeSpec(const JobSpec& spec) {
  Json json = {{"w", spec.workload.value},
               {"t", spec.team.value},
               {"n", spec.task_count},
               {"r",
                {spec.declared.millicores, spec.declared.memory_mib,
                 spec.declared.accelerators}},
               {"c", spec.command}};
  if (spec.kind != JobKind::kBatch) json["k"] = JobKindName(spec.kind);
  SetUnlessDefault(json, "key", spec.idempotency_key);
  SetUnlessDefault(json, "p", spec.priority);
  SetUnlessDefault(json, "i", spec.idempotent);
  SetUnlessDefault(json, "cp", spec.checkpointable);
  SetUnlessDefault(json, "l", spec.label);
  SetUnlessDefault(json, "d", spec.deadline.count());
  SetUnlessDefault(json, "x", spec.expected_run_time.count());
  SetUnlessDefault(json, "a", spec.attached);
  return json;
}

JobSpec DecodeSpec(const Json& json) {
  JobSpec spec;
  spec.workload = base::WorkloadId(json.at("w").get<std::string>());
  spec.team = base::TeamId(json.at("t").get<std::string>());
  spec.task_count = json.at("n").get<uint32_t>();
  const Json& declared = json.at("r");
  spec.declared = {declared.at(0).get<int64_t>(), declared.at(1).get<int64_t>(),
                   declared.at(2).get<int64_t>()};
  spec.command = json.at("c").get<std::string>();
  const std::string kind = json.value("k", "batch");
  if (auto parsed = ParseJobKind(kind)) {
    spec.kind = *parsed;
  } else {
    throw Json::other_error::create(
        501, fmt::format("job kind \"{}\" does not exist", kind), &json);
  }
  spec.idempotency_key = json.value("key", "");
  spec.priority = json.value("p", int32_t{0});
  spec.idempotent = json.value("i", false);
  spec.checkpointable = json.value("cp", false);
  spec.label = json.value("l", "");
  spec.deadline = base::Duration(json.value("d", int64_t{0}));
  spec.expected_run_time = base::Duration(json.value("x", int64_t{0}));
  spec.attached = json.value("a", false);
  return spec;
}

Json EncodeJob(const JobRecord& job) {
  Json scope = Json::array();
  for (const auto& data_centre : job.scope) scope.push_back(data_centre.value);
  Json json = {{"j", job.id.value},
               {"s", EncodeSpec(job.spec)},
               {"o", std::move(scope)},
               {"h", EncodeIncarnation(job.home)},
               {"at", job.accepted.microseconds}};
  SetUnlessDefault(json, "g", job.generation);
  SetUnlessDefault(json, "kc", job.key_confirmed);
  SetUnlessDefault(json, "x", job.cancelled);
  SetUnlessDefault(json, "end", job.ended.microseconds);
  for (const auto& [state, tasks] : job.settled) {
    json["e"].push_back(Json::array({static_cast<int>(state), tasks.ToText()}));
  }
  if (!job.results.empty()) json["res"] = EncodeResults(job.results);
  return json;
}

JobRecord DecodeJob(const Json& json) {
  JobRecord job;
  job.id = base::JobId(json.at("j").get<std::string>());
  job.spec = DecodeSpec(json.at("s"));
  for (const Json& name : json.at("o")) {
    job.scope.emplace_back(name.get<std::string>());
  }
  job.home = DecodeIncarnation(json.at("h"));
  job.accepted = {json.at("at").get<int64_t>()};
  job.generation = json.value("g", uint32_t{0});
  job.key_confirmed = json.value("kc", false);
  job.cancelled = json.value("x", false);
  job.ended = {json.value("end", int64_t{0})};
  if (json.contains("e")) {
    for (const Json& pair : json.at("e")) {
      job.settled[DecodeState(pair.at(0))] = DecodeRanges(pair.at(1));
    }
  }
  if (json.contains("res")) job.results = DecodeResults(json.at("res"));
  return job;
}

/** Encodes one kind of record each; the first element names the kind. */
struct RecordEncoder {
  Json operator()(const JobRecorded& record) const {
    return Json::array({"J", EncodeJob(record.job)});
  }
  Json operator()(const TasksSettled& record) const {
    Json json =
        Json::array({"T", record.job.value, static_cast<int>(record.state),
                     record.tasks.ToText(), record.at.microseconds});
    if (!record.results.empty()) json.push_back(EncodeResults(record.results));
    return json;
  }
  Json operator()(const TaskDecided& record) const {
    return Json::array({"D", record.job.value, record.index, record.ran,
                        record.who, record.at.microseconds});
  }
  Json operator()(const KeyConfirmed& record) const {
    return Json::array({"K", record.job.value});
  }
  Json operator()(const JobCancelled& record) const {
    return Json::array({"X", record.job.value, record.at.microseconds});
  }
  Json operator()(const JobForgotten& record) const {
    return Json::array({"F", record.job.value});
  }
  Json operator()(const JournalAdopted& record) const {
    return Json::array({"A", EncodeIncarnation(record.from)});
  }
};

JournalRecord DecodeRecord(const Json& json) {
  const auto kind = json.at(0).get<std::string>();
  if (kind == "J") return JobRecorded{DecodeJob(json.at(1))};
  if (kind == "A") return JournalAdopted{DecodeIncarnation(json.at(1))};
  const base::JobId job(json.at(1).get<std::string>());
  if (kind == "T") {
    TasksSettled record{job, DecodeState(json.at(2)), DecodeRanges(json.at(3))};
    record.at = {json.at(4).get<int64_t>()};
    if (json.size() > 5) record.results = DecodeResults(json.at(5));
    return record;
  }
  if (kind == "D") {
    return TaskDecided{job,
                       json.at(2).get<uint32_t>(),
                       json.at(3).get<bool>(),
                       json.at(4).get<std::string>(),
                       {json.at(5).get<int64_t>()}};
  }
  if (kind == "K") return KeyConfirmed{job};
  if (kind == "X") return JobCancelled{job, {json.at(2).get<int64_t>()}};
  if (kind == "F") return JobForgotten{job};
  throw Json::other_error::create(
      501, fmt::format("record kind \"{}\" does not exist", kind), &json);
}

}  // namespace

std::string EncodeRecord(const JournalRecord& record) {
  // Text that is not UTF-8 is kept readable rather than refused.
  return std::visit(RecordEncoder{}, record)
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string EncodeSegmentOf(const Segment& head, std::string_view records) {
  Json json = {{"by", EncodeIncarnation(head.writer)},
               {"n", head.number},
               {"w", head.write}};
  if (head.sealed_by) json["seal"] = EncodeIncarnation(*head.sealed_by);
  std::string text = json.dump();
  text.pop_back();
  return fmt::format("{},\"r\":[{}]}}", text, records);
}

std::string EncodeSegment(const Segment& segment) {
  std::string records;
  for (const JournalRecord& record : segment.records) {
    if (!records.empty()) records += ',';
    records += EncodeRecord(record);
  }
  return EncodeSegmentOf(segment, records);
}

absl::StatusOr<Segment> DecodeSegment(std::string_view text) try {
  const Json json = Json::parse(text);
  Segment segment;
  segment.writer = DecodeIncarnation(json.at("by"));
  segment.number = json.at("n").get<uint64_t>();
  segment.write = json.at("w").get<uint64_t>();
  if (json.contains("seal")) {
    segment.sealed_by = DecodeIncarnation(json.at("seal"));
  }
  for (const Json& record : json.at("r")) {
    segment.records.push_back(DecodeRecord(record));
  }
  return segment;
} catch (const Json::exception& error) {
  return base::ErrorStatus(
      base::ResultCode::kStoreContentChanged,
      fmt::format("journal segment is malformed: {}", error.what()));
}

}  // namespace agatepass::jobs
