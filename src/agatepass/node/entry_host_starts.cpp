// What an entry host does with the planner's decisions: commands to workers.
#include <utility>

#include "agatepass/node/entry_host.h"
#include "fmt/format.h"

namespace agatepass::node {

using base::Instant;
using base::TaskId;
using base::WallTime;
using placement::Decision;
using placement::DecisionKind;
using placement::StartFailure;
using platform::Outcome;
using platform::WorkerVerb;
using timeline::EventKind;

namespace {

placement::Priority ToPriority(int32_t number) {
  constexpr int32_t kHighest =
      static_cast<int32_t>(placement::Priority::kUrgent);
  if (number <= 0) return placement::Priority::kBulk;
  if (number >= kHighest) return placement::Priority::kUrgent;
  return static_cast<placement::Priority>(number);
}

placement::WorkloadKind ToWorkloadKind(jobs::JobKind kind) {
  switch (kind) {
    case jobs::JobKind::kService:
      return placement::WorkloadKind::kService;
    case jobs::JobKind::kGang:
      return placement::WorkloadKind::kGang;
    case jobs::JobKind::kBatch:
      break;
  }
  return placement::WorkloadKind::kBatch;
}

}  // namespace

placement::TaskRequest EntryHost::MakeRequest(const TaskId& task,
                                              const jobs::JobRecord& record,
                                              Instant now) const {
  const jobs::JobSpec& spec = record.spec;
  placement::TaskRequest request;
  request.task = task;
  request.job = record.id;
  request.team = spec.team;
  request.workload = spec.workload;
  request.kind = ToWorkloadKind(spec.kind);
  request.priority = ToPriority(spec.priority);
  request.declared = spec.declared;
  request.label = spec.label;
  request.idempotent = spec.idempotent;
  request.checkpointable = spec.checkpointable;
  if (spec.deadline.count() > 0) request.deadline = now + spec.deadline;
  request.expected_run_time = spec.expected_run_time;
  request.gang_size = spec.kind == jobs::JobKind::kGang ? spec.task_count : 1;
  return request;
}

void EntryHost::CarryDecision(const Decision& decision, Instant now,
                              Effects& effects) {
  switch (decision.kind) {
    case DecisionKind::kPlace:
      this->PlaceTask(decision, now, effects);
      break;
    case DecisionKind::kCheckpoint:
      this->CommandTask(decision, WorkerVerb::kCheckpoint, effects);
      break;
    case DecisionKind::kStop:
      this->CommandTask(decision, WorkerVerb::kStop, effects);
      break;
    case DecisionKind::kThrottle:
      this->CommandTask(decision, WorkerVerb::kThrottle, effects);
      break;
    case DecisionKind::kDelay:
    case DecisionKind::kRefuse:
      effects.events.push_back(
          {EventKind::kDelayed, decision.task.value, "", decision.reason,
           fmt::format("decision {}", decision.explanation)});
      break;
  }
}

void EntryHost::PlaceTask(const Decision& decision, Instant now,
                          Effects& effects) {
  const auto epoch = this->ownership.epoch(decision.worker);
  const auto name = jobs::ParseTaskId(decision.task);
  const jobs::JobRecord* record =
      name ? this->keeper.FindRecord(name->job) : nullptr;
  if (!epoch || record == nullptr) {
    this->planner.OnStartFailed(decision.task, decision.worker,
                                StartFailure::kNotSent, now);
    if (record == nullptr) this->planner.Cancel(decision.task);
    return;
  }
  const jobs::StartPermission permission =
      this->keeper.OnStartSent(decision.task, decision.worker, *epoch, now);
  if (permission != jobs::StartPermission::kGranted) {
    this->planner.OnStartFailed(decision.task, decision.worker,
                                StartFailure::kNotSent, now);
    const bool denied = permission == jobs::StartPermission::kDenied;
    if (denied) this->planner.Cancel(decision.task);
    return;
  }
  platform::TaskStart start;
  start.task = decision.task;
  start.team = record->spec.team;
  start.declared = decision.granted;
  start.command = record->spec.command;
  start.lease = this->options.task_lease;
  start.on_lapse = record->spec.idempotent
                       ? platform::LapseAction::kStop
                       : platform::LapseAction::kKeepRunning;
  this->running.Add(decision.task, {decision.worker, now, true});
  this->starts[decision.worker].push_back(std::move(start));
  effects.events.push_back(
      {EventKind::kDecided, decision.task.value, name->job.value,
       base::ResultCode::kOk,
       fmt::format("worker {}, epoch {}", decision.worker.value, *epoch)});
}

void EntryHost::CommandTask(const Decision& decision, WorkerVerb verb,
                            Effects& effects) {
  const auto epoch = this->ownership.epoch(decision.worker);
  if (!epoch) return;
  platform::WorkerCall call;
  call.verb = verb;
  call.worker = decision.worker;
  call.epoch = *epoch;
  call.tasks.push_back(decision.task);
  this->SendCall(std::move(call), effects);
}

void EntryHost::SendCall(platform::WorkerCall call, Effects& effects) {
  const uint64_t number = this->next_call++;
  call.holder = this->options.self.host;
  call.timeout = this->options.ownership.call_timeout;
  this->commands[number] = call;
  effects.worker_calls.push_back({number, std::move(call)});
}

void EntryHost::SendStarts(Instant /*now*/, Effects& effects) {
  for (auto& [worker, tasks] : std::exchange(this->starts, {})) {
    platform::WorkerCall call;
    call.verb = WorkerVerb::kStart;
    call.worker = worker;
    call.epoch = this->ownership.epoch(worker).value_or(0);
    call.starts = std::move(tasks);
    this->SendCall(std::move(call), effects);
  }
}

void EntryHost::TakeStartReply(const platform::WorkerCall& call,
                               const platform::WorkerReply& reply, Instant now,
                               WallTime wall, Effects& effects) {
  jobs::Effects job_effects;
  switch (reply.outcome) {
    case Outcome::kDone:
      for (const platform::StartResult& result : reply.starts) {
        this->TakeStartResult(result, call.worker, now, wall, job_effects,
                              effects);
      }
      break;
    case Outcome::kRefused:
    case Outcome::kNotSent:
      this->FailStarts(call, jobs::StartOutcome::kNotStarted, now, wall,
                       job_effects);
      break;
    case Outcome::kUnknown:
      this->FailStarts(call, jobs::StartOutcome::kUnknown, now, wall,
                       job_effects);
      break;
  }
  this->TakeJobEffects(job_effects, now, wall, effects);
}

void EntryHost::TakeStartResult(const platform::StartResult& result,
                                const base::WorkerId& worker, Instant now,
                                WallTime wall, jobs::Effects& job_effects,
                                Effects& effects) {
  if (result.started) {
    this->running.ConfirmStart(result.task);
    this->planner.OnStarted(result.task, worker, now);
    this->keeper.OnStartResult(result.task, jobs::StartOutcome::kStarted, now,
                               wall, job_effects);
    const auto name = jobs::ParseTaskId(result.task);
    effects.events.push_back(
        {EventKind::kStarted, result.task.value, name ? name->job.value : "",
         base::ResultCode::kOk, fmt::format("on worker {}", worker.value)});
    return;
  }
  this->running.Remove(result.task);
  this->planner.OnStartFailed(result.task, worker, StartFailure::kNoRoom, now);
  this->planner.Cancel(result.task);
  this->keeper.OnStartResult(result.task, jobs::StartOutcome::kNotStarted, now,
                             wall, job_effects);
}

void EntryHost::FailStarts(const platform::WorkerCall& call,
                           jobs::StartOutcome outcome, Instant now,
                           WallTime wall, jobs::Effects& job_effects) {
  for (const platform::TaskStart& start : call.starts) {
    if (outcome == jobs::StartOutcome::kNotStarted) {
      this->running.Remove(start.task);
      this->planner.OnStartFailed(start.task, call.worker,
                                  StartFailure::kNotSent, now);
      this->planner.Cancel(start.task);
    } else {
      // The room stays taken until the worker tells what it runs.
      this->running.ConfirmStart(start.task);
    }
    this->keeper.OnStartResult(start.task, outcome, now, wall, job_effects);
  }
}

}  // namespace agatepass::node
