#include "agatepass/pool/record_codec.h"

#include <array>

#include "agatepass/base/result_code.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::pool {

namespace {

using Json = nlohmann::json;

/** Steps and dependencies up to which the size of a definition need not be
 * checked. */
constexpr size_t kMaxSmallJob = 100;
/** The same for the characters of its texts. */
constexpr size_t kMaxSmallTexts = 10'000;

// In the order of JobPhase.
constexpr std::array<std::string_view, 5> kPhaseNames = {
    "queued", "running", "succeeded", "failed", "cancelled"};

Json EncodeStep(const Step& step) {
  Json out = {{"n", step.count},
              {"c", step.need.millicores},
              {"m", step.need.memory_mib},
              {"e", step.estimate.count()}};
  // Fields with default values are omitted: most steps set only a few.
  if (step.need.accelerators != 0) out["g"] = step.need.accelerators;
  if (!step.depends_on.empty()) out["after"] = step.depends_on;
  if (step.uses_checkpoints) out["checkpoint"] = true;
  if (step.gang) out["gang"] = true;
  if (step.same_rack) out["same_rack"] = true;
  if (step.speculative) out["speculative"] = true;
  if (step.long_running) out["long_running"] = true;
  if (step.uses_idle_processors) out["idle"] = true;
  if (!step.required_label.empty()) out["label"] = step.required_label;
  if (!step.data_rack.empty()) out["rack"] = step.data_rack.value;
  if (step.max_tasks_per_worker != 0)
    out["per_worker"] = step.max_tasks_per_worker;
  if (!step.image.empty()) out["image"] = step.image;
  if (step.latency_target.count() != 0) {
    out["target"] = step.latency_target.count();
  }
  if (step.max_unavailable != 0) out["unavailable"] = step.max_unavailable;
  return out;
}

Step DecodeStep(const Json& in) {
  Step step;
  step.count = in.at("n").get<uint32_t>();
  step.need.millicores = in.at("c").get<int64_t>();
  step.need.memory_mib = in.at("m").get<int64_t>();
  step.need.accelerators = in.value("g", int64_t{0});
  step.estimate = base::Duration(in.at("e").get<int64_t>());
  step.depends_on = in.value("after", std::vector<uint32_t>());
  step.uses_checkpoints = in.value("checkpoint", false);
  step.gang = in.value("gang", false);
  step.same_rack = in.value("same_rack", false);
  step.speculative = in.value("speculative", false);
  step.long_running = in.value("long_running", false);
  step.uses_idle_processors = in.value("idle", false);
  step.required_label = in.value("label", "");
  step.data_rack = base::RackId(in.value("rack", ""));
  step.max_tasks_per_worker = in.value("per_worker", uint32_t{0});
  step.image = in.value("image", "");
  step.latency_target = base::Duration(in.value("target", int64_t{0}));
  step.max_unavailable = in.value("unavailable", uint32_t{0});
  return step;
}

Json EncodePolicy(const QueuePolicy& policy) {
  Json out = {{"service", policy.service.value},
              {"priority", policy.priority},
              {"attempts", policy.attempts},
              {"stretch", policy.stretch},
              {"slack", policy.slack.count()}};
  if (policy.advice) {
    out["advice"] = {policy.advice->call_duration.count(),
                     policy.advice->duration_per_worker.count(),
                     policy.advice->ticket_lifetime.count()};
  }
  return out;
}

QueuePolicy DecodePolicy(const Json& in) {
  QueuePolicy policy;
  policy.service = base::ServiceId(in.at("service").get<std::string>());
  policy.priority = in.at("priority").get<uint32_t>();
  policy.attempts = in.at("attempts").get<uint32_t>();
  policy.stretch = in.at("stretch").get<double>();
  policy.slack = base::Duration(in.at("slack").get<int64_t>());
  if (const auto advice = in.find("advice"); advice != in.end()) {
    policy.advice = AdvicePolicy{
        .call_duration = base::Duration(advice->at(0).get<int64_t>()),
        .duration_per_worker = base::Duration(advice->at(1).get<int64_t>()),
        .ticket_lifetime = base::Duration(advice->at(2).get<int64_t>())};
  }
  return policy;
}

/** Number of values in the row of a task under which no worker has crashed, and
 * of one that has no run at risk which is known to have begun. Older releases
 * write at most the latter, and ignore further values. */
constexpr size_t kValuesWithoutCrashes = 6;
constexpr size_t kValuesWithoutBegunRun = 8;

Json EncodeTask(const TaskProgress& task) {
  Json row = {task.occurrence, task.step,        task.index,
              task.ended_run,  task.failed_runs, task.checkpoint};
  if (task.crashed_runs.empty() && task.at_risk_run == 0 &&
      task.begun_run == 0) {
    return row;
  }
  row.push_back(task.at_risk_run);
  Json crashes = Json::array();
  for (const CrashedRun& crash : task.crashed_runs) {
    crashes.push_back({crash.run, crash.survived.count(), crash.alone});
  }
  row.push_back(std::move(crashes));
  if (task.begun_run != 0) row.push_back(task.begun_run);
  return row;
}

TaskProgress DecodeTask(const Json& row) {
  TaskProgress task{.occurrence = row.at(0).get<uint32_t>(),
                    .step = row.at(1).get<uint32_t>(),
                    .index = row.at(2).get<uint32_t>(),
                    .ended_run = row.at(3).get<RunNumber>(),
                    .failed_runs = row.at(4).get<std::vector<RunNumber>>(),
                    .checkpoint = row.at(5).get<std::string>()};
  if (row.size() == kValuesWithoutCrashes) return task;
  task.at_risk_run = row.at(6).get<RunNumber>();
  for (const Json& crash : row.at(7)) {
    task.crashed_runs.push_back(
        {.run = crash.at(0).get<RunNumber>(),
         .survived = base::Duration(crash.at(1).get<int64_t>()),
         .alone = crash.at(2).get<bool>()});
  }
  if (row.size() > kValuesWithoutBegunRun)
    task.begun_run = row.at(8).get<RunNumber>();
  return task;
}

absl::Status MalformedError(std::string_view what, std::string_view reason) {
  return base::ErrorStatus(
      base::ResultCode::kInvalidRequest,
      fmt::format("{} in the store is malformed: {}", what, reason));
}

}  // namespace

std::string_view JobPhaseName(JobPhase phase) {
  return kPhaseNames[static_cast<size_t>(phase)];
}

std::string JobKey(const base::JobId& job) { return kJobPrefix + job.value; }

std::string ProgressKey(const base::JobId& job) {
  return kProgressPrefix + job.value;
}

std::string EncodeJob(const Job& job) {
  Json out = {{"id", job.id.value},
              {"queue", job.queue},
              {"payload", job.payload},
              {"accepted", job.accepted_ms}};
  if (!job.team.empty()) out["team"] = job.team.value;
  for (const Step& step : job.steps) out["steps"].push_back(EncodeStep(step));
  if (job.occurrences != 0) {
    out["times"] = {job.occurrences, job.first_due_ms, job.interval_ms};
  }
  if (job.policy) out["policy"] = EncodePolicy(*job.policy);
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string FindSizeError(const Job& job) {
  size_t numbers = job.steps.size();
  size_t characters = job.payload.size();
  for (const Step& step : job.steps) {
    numbers += step.depends_on.size();
    characters += step.required_label.size() + step.image.size() +
                  step.data_rack.value.size();
  }
  if (numbers <= kMaxSmallJob && characters <= kMaxSmallTexts) return "";
  const size_t bytes = EncodeJob(job).size();
  if (bytes <= kMaxStoredBytes) return "";
  return fmt::format("its steps take {} bytes, more than {}", bytes,
                     kMaxStoredBytes);
}

std::string FindSubmissionError(const Job& job) {
  std::string error = FindValidationError(job);
  return error.empty() ? FindSizeError(job) : error;
}

absl::StatusOr<Job> DecodeJob(std::string_view text) {
  try {
    const Json in = Json::parse(text);
    Job job;
    job.id = base::JobId(in.at("id").get<std::string>());
    job.queue = in.at("queue").get<std::string>();
    job.team = base::TeamId(in.value("team", ""));
    job.payload = in.at("payload").get<std::string>();
    job.accepted_ms = in.at("accepted").get<int64_t>();
    for (const Json& step : in.at("steps")) {
      job.steps.push_back(DecodeStep(step));
    }
    if (const auto times = in.find("times"); times != in.end()) {
      job.occurrences = times->at(0).get<uint32_t>();
      job.first_due_ms = times->at(1).get<int64_t>();
      job.interval_ms = times->at(2).get<int64_t>();
    }
    if (const auto policy = in.find("policy"); policy != in.end()) {
      job.policy = DecodePolicy(*policy);
    }
    return job;
  } catch (const Json::exception& error) {
    return MalformedError("a job", error.what());
  }
}

absl::StatusOr<Job> DecodeJobRecord(const base::JobId& job,
                                    std::string_view text) {
  if (text == kCompactedJobRecord) return Job{.id = job};
  return DecodeJob(text);
}

std::string EncodeProgress(const JobProgress& progress) {
  Json out = {{"phase", JobPhaseName(progress.phase)}};
  if (progress.final_ms != 0) out["final"] = progress.final_ms;
  for (const OccurrenceRange& range : progress.finished.ranges()) {
    out["finished"].push_back({range.first, range.last});
  }
  for (const SucceededRange& range : progress.succeeded) {
    out["ok"].push_back(
        {range.occurrence, range.step, range.first, range.last});
  }
  for (const TaskProgress& task : progress.tasks) {
    out["tasks"].push_back(EncodeTask(task));
  }
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<JobProgress> DecodeProgress(std::string_view text) {
  try {
    const Json in = Json::parse(text);
    JobProgress progress;
    const std::string phase = in.at("phase").get<std::string>();
    size_t index = 0;
    while (index < kPhaseNames.size() && kPhaseNames[index] != phase) ++index;
    if (index == kPhaseNames.size()) {
      return MalformedError("progress", "unknown phase " + phase);
    }
    progress.phase = static_cast<JobPhase>(index);
    progress.final_ms = in.value("final", int64_t{0});
    for (const Json& entry : in.value("finished", Json::array())) {
      progress.finished.Add(
          {entry.at(0).get<uint32_t>(), entry.at(1).get<uint32_t>()});
    }
    for (const Json& entry : in.value("ok", Json::array())) {
      progress.succeeded.push_back(
          {entry.at(0).get<uint32_t>(), entry.at(1).get<uint32_t>(),
           entry.at(2).get<uint32_t>(), entry.at(3).get<uint32_t>()});
    }
    for (const Json& entry : in.value("tasks", Json::array())) {
      progress.tasks.push_back(DecodeTask(entry));
    }
    return progress;
  } catch (const Json::exception& error) {
    return MalformedError("progress", error.what());
  }
}

}  // namespace agatepass::pool
