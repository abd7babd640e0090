// The routes of jobs and tasks.
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "agatepass/base/result_code.h"
#include "agatepass/gate/gate.h"
#include "agatepass/gate/job_json.h"
#include "fmt/format.h"

namespace agatepass::gate {

using base::ResultCode;
using nlohmann::json;

namespace {

constexpr int kHttpOk = 200;
constexpr size_t kMostJobsAtOnce = 10'000;

json RenderSubmission(const jobs::SubmissionAnswer& answer) {
  json row = RenderCode(answer.code, answer.message);
  if (!answer.job.empty()) row["job"] = answer.job.value;
  if (answer.repeated) row["repeated"] = true;
  return row;
}

/** A bulk submission whose answers are still coming in. */
struct OpenBulk {
  base::HttpResponder responder;
  std::vector<json> results;
  size_t missing = 0;
};

/** The caller's team goes before the field, which only an operator may set. */
absl::Status SetTeam(const Caller& caller, jobs::JobSpec* spec) {
  if (caller.is_operator) {
    if (!spec->team.empty()) return absl::OkStatus();
    return base::ErrorStatus(ResultCode::kInvalidRequest,
                             "field \"team\" must be set by operators");
  }
  if (!spec->team.empty() && spec->team != caller.team) {
    return base::ErrorStatus(
        ResultCode::kForbidden,
        fmt::format("the token is not one of team \"{}\"", spec->team.value));
  }
  spec->team = caller.team;
  return absl::OkStatus();
}

}  // namespace

void Gate::SubmitJobs(const Visit& visit, std::string_view /*rest*/) {
  const json body = json::parse(visit.request.body, nullptr, false);
  const bool bulk = body.is_object() && body.contains("jobs");
  if (bulk && (!body["jobs"].is_array() || body["jobs"].empty() ||
               body["jobs"].size() > kMostJobsAtOnce)) {
    visit.responder.Respond(
        CodeAnswer(ResultCode::kInvalidRequest,
                   fmt::format("field \"jobs\" must be a list of 1 to {} jobs",
                               kMostJobsAtOnce)));
    return;
  }
  std::vector<jobs::JobSpec> specs;
  for (const json& item : bulk ? body["jobs"] : json::array({body})) {
    absl::StatusOr<jobs::JobSpec> spec = ReadJobSpec(item);
    absl::Status status = spec.status();
    if (status.ok()) status = SetTeam(visit.caller, &*spec);
    if (!status.ok()) {
      visit.responder.Respond(CodeAnswer(base::ResultCodeOf(status),
                                         std::string(status.message())));
      return;
    }
    specs.push_back(*std::move(spec));
  }
  if (bulk) {
    this->SubmitBulk(visit, specs);
    return;
  }
  this->task.Submit(specs.front(), [responder = visit.responder](
                                       const jobs::SubmissionAnswer& answer) {
    base::HttpAnswer reply =
        CodeAnswer(answer.code, answer.message, answer.retry_after);
    json row = json::parse(reply.body);
    row.update(RenderSubmission(answer));
    reply.body = row.dump();
    responder.Respond(reply);
  });
}

void Gate::SubmitBulk(const Visit& visit,
                      const std::vector<jobs::JobSpec>& specs) {
  auto open = std::make_shared<OpenBulk>();
  open->responder = visit.responder;
  open->results.resize(specs.size());
  open->missing = specs.size();
  for (size_t i = 0; i < specs.size(); ++i) {
    this->task.Submit(
        specs[i], [open, i](const jobs::SubmissionAnswer& answer) {
          open->results[i] = RenderSubmission(answer);
          if (--open->missing > 0) return;
          open->responder.Respond(
              JsonAnswer(kHttpOk, {{"results", std::move(open->results)}}));
        });
  }
}

// Operators act for the team that owns the job.
base::TeamId Gate::TeamFor(const Caller& caller, const base::JobId& job) const {
  if (!caller.is_operator) return caller.team;
  const jobs::JobRecord* record =
      this->task.host().job_keeper().FindRecord(job);
  return record == nullptr ? base::TeamId() : record->spec.team;
}

void Gate::ShowJob(const Visit& visit, std::string_view rest) {
  const base::JobId id(rest);
  const absl::StatusOr<jobs::JobView> job =
      this->task.host().Find(id, this->TeamFor(visit.caller, id));
  if (!job.ok()) {
    visit.responder.Respond(CodeAnswer(base::ResultCodeOf(job.status()),
                                       std::string(job.status().message())));
    return;
  }
  visit.responder.Respond(JsonAnswer(kHttpOk, RenderJob(*job)));
}

void Gate::ListJobs(const Visit& visit, std::string_view /*rest*/) {
  json rows = json::array();
  const jobs::JobKeeper& keeper = this->task.host().job_keeper();
  for (const base::JobId& id : keeper.JobIds()) {
    const absl::StatusOr<jobs::JobView> job =
        keeper.Find(id, this->TeamFor(visit.caller, id));
    if (!job.ok()) continue;
    json row = RenderJob(*job);
    row["tasks"] = job->tasks.size();
    rows.push_back(std::move(row));
  }
  visit.responder.Respond(JsonAnswer(kHttpOk, {{"jobs", std::move(rows)}}));
}

void Gate::CancelJob(const Visit& visit, std::string_view rest) {
  const base::JobId id(rest);
  this->task.Cancel(
      id, this->TeamFor(visit.caller, id),
      [responder = visit.responder](const jobs::CancelAnswer& answer) {
        const auto& info = base::DescribeResultCode(answer.code);
        responder.Respond(JsonAnswer(info.http_status, RenderCancel(answer)));
      });
}

void Gate::SettleTask(const Visit& visit, std::string_view rest) {
  constexpr std::string_view kSuffix = "/settle";
  const json body = json::parse(visit.request.body, nullptr, false);
  const bool valid = rest.ends_with(kSuffix) && body.is_object() &&
                     body.contains("ran") && body["ran"].is_boolean();
  const auto name = valid ? jobs::ParseTaskId(base::TaskId(
                                rest.substr(0, rest.size() - kSuffix.size())))
                          : std::nullopt;
  if (!name) {
    visit.responder.Respond(CodeAnswer(
        ResultCode::kInvalidRequest,
        "settle needs a task id and the field \"ran\", true or false"));
    return;
  }
  this->task.Settle(
      name->job, name->index, body["ran"], "operator",
      [responder = visit.responder](const jobs::SettleAnswer& answer) {
        responder.Respond(CodeAnswer(answer.code, answer.message));
      });
}

}  // namespace agatepass::gate
