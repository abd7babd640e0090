#include "agatepass/gate/job_json.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

#include "agatepass/placement/task.h"
#include "fmt/format.h"

namespace agatepass::gate {

namespace {

using base::ResultCode;
using nlohmann::json;

constexpr int64_t kMostMilliseconds = int64_t{366} * 24 * 3600 * 1000;
constexpr auto kFields = std::to_array<std::string_view>(
    {"key", "team", "workload", "kind", "priority", "tasks", "millicores",
     "memory_mib", "accelerators", "command", "idempotent", "checkpointable",
     "label", "deadline_ms", "expected_run_ms", "attached"});

absl::Status FieldError(std::string_view field, std::string_view allowed) {
  return base::ErrorStatus(ResultCode::kInvalidRequest,
                           fmt::format("field \"{}\" {}", field, allowed));
}

/** Reads fields one after the other and keeps the first fault. */
class FieldReader {
 public:
  explicit FieldReader(const json& body) : body(body) {}

  std::string Text(const char* field) {
    if (!this->body.contains(field)) return {};
    if (this->body[field].is_string()) return this->body[field];
    this->Fail(field, "must be a text");
    return {};
  }

  bool Flag(const char* field) {
    if (!this->body.contains(field)) return false;
    if (this->body[field].is_boolean()) return this->body[field];
    this->Fail(field, "must be true or false");
    return false;
  }

  int64_t Number(const char* field, int64_t preset, int64_t least,
                 int64_t most) {
    if (!this->body.contains(field)) return preset;
    const json& value = this->body[field];
    if (value.is_number_integer() &&
        !(value.is_number_unsigned() &&
          value.get<uint64_t>() > static_cast<uint64_t>(most))) {
      const auto number = value.get<int64_t>();
      if (number >= least && number <= most) return number;
    }
    this->Fail(field, fmt::format("must be a whole number from {} to {}", least,
                                  most));
    return preset;
  }

  base::Duration Milliseconds(const char* field) {
    return std::chrono::milliseconds(
        this->Number(field, 0, 0, kMostMilliseconds));
  }

  void Fail(std::string_view field, std::string_view allowed) {
    if (this->status.ok()) this->status = FieldError(field, allowed);
  }

  absl::Status status;

 private:
  const json& body;
};

void ReadKindAndPriority(FieldReader& reader, jobs::JobSpec* spec) {
  if (const std::string name = reader.Text("kind"); !name.empty()) {
    const std::optional<jobs::JobKind> kind = jobs::ParseJobKind(name);
    if (!kind) reader.Fail("kind", "must be one of service, batch, gang");
    spec->kind = kind.value_or(jobs::JobKind::kBatch);
  }
  spec->priority = static_cast<int32_t>(placement::Priority::kOrdinary);
  if (const std::string name = reader.Text("priority"); !name.empty()) {
    const auto priority = placement::ParsePriority(name);
    if (!priority) {
      reader.Fail("priority",
                  "must be one of bulk, ordinary, interactive, urgent");
    }
    spec->priority =
        static_cast<int32_t>(priority.value_or(placement::Priority::kOrdinary));
  }
}

std::string_view JobPhaseName(const jobs::JobView& job) {
  if (!job.accepted) return "journalling";
  if (job.record.cancelled) return "cancelled";
  const bool ended = std::all_of(
      job.tasks.begin(), job.tasks.end(),
      [](const jobs::TaskView& task) { return jobs::IsEnded(task.state); });
  return ended ? "ended" : "open";
}

}  // namespace

absl::StatusOr<jobs::JobSpec> ReadJobSpec(const json& body) {
  if (!body.is_object()) {
    return base::ErrorStatus(ResultCode::kInvalidRequest,
                             "a job must be a JSON object");
  }
  for (const auto& [field, value] : body.items()) {
    if (std::find(kFields.begin(), kFields.end(), field) == kFields.end()) {
      return FieldError(field, "is not known");
    }
  }
  constexpr int64_t kMost = std::numeric_limits<int32_t>::max();
  FieldReader reader(body);
  jobs::JobSpec spec;
  spec.idempotency_key = reader.Text("key");
  spec.team = base::TeamId(reader.Text("team"));
  spec.workload = base::WorkloadId(reader.Text("workload"));
  ReadKindAndPriority(reader, &spec);
  spec.task_count = static_cast<uint32_t>(reader.Number("tasks", 1, 1, kMost));
  spec.declared.millicores = reader.Number("millicores", 100, 1, kMost);
  spec.declared.memory_mib = reader.Number("memory_mib", 64, 1, kMost);
  spec.declared.accelerators = reader.Number("accelerators", 0, 0, kMost);
  spec.command = reader.Text("command");
  spec.idempotent = reader.Flag("idempotent");
  spec.checkpointable = reader.Flag("checkpointable");
  spec.label = reader.Text("label");
  spec.deadline = reader.Milliseconds("deadline_ms");
  spec.expected_run_time = reader.Milliseconds("expected_run_ms");
  spec.attached = reader.Flag("attached");
  if (!reader.status.ok()) return reader.status;
  return spec;
}

json RenderJob(const jobs::JobView& job) {
  json tasks = json::array();
  for (const jobs::TaskView& task : job.tasks) {
    json row = {{"index", task.index},
                {"state", jobs::TaskStateName(task.state)},
                {"worker", task.worker.value}};
    if (!task.result.empty()) row["result"] = task.result;
    tasks.push_back(std::move(row));
  }
  return {{"job", job.record.id.value},
          {"team", job.record.spec.team.value},
          {"workload", job.record.spec.workload.value},
          {"kind", jobs::JobKindName(job.record.spec.kind)},
          {"state", JobPhaseName(job)},
          {"host", job.record.home.host.value},
          {"accepted_us", job.record.accepted.microseconds},
          {"tasks", std::move(tasks)}};
}

json RenderCancel(const jobs::CancelAnswer& answer) {
  json fates = json::array();
  for (const jobs::TaskFate fate : answer.fates) {
    fates.push_back(jobs::TaskFateName(fate));
  }
  json body = RenderCode(answer.code, answer.message);
  body["job"] = answer.job.value;
  body["tasks"] = std::move(fates);
  return body;
}

json RenderCode(ResultCode code, std::string_view message) {
  const base::ResultCodeInfo& info = base::DescribeResultCode(code);
  return {{"code", info.name},
          {"number", static_cast<int>(code)},
          {"execution", base::ExecutionName(info.execution)},
          {"message", message}};
}

base::HttpAnswer CodeAnswer(ResultCode code, std::string_view message,
                            base::Duration retry_after) {
  const base::ResultCodeInfo& info = base::DescribeResultCode(code);
  json body = RenderCode(code, message);
  base::HttpAnswer answer;
  answer.status = info.http_status;
  if (info.retry_can_help) {
    const int64_t seconds = std::max<int64_t>(
        1, std::chrono::ceil<std::chrono::seconds>(retry_after).count());
    answer.headers.push_back({"Retry-After", std::to_string(seconds)});
    body["retry_after_s"] = seconds;
  }
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return answer;
}

base::HttpAnswer JsonAnswer(int status, const json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

}  // namespace agatepass::gate
