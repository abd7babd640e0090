// The tasks of a JobKeeper: starting, running, ended, cancelled.
#include <algorithm>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/jobs/job_keeper.h"
#include "fmt/format.h"

namespace agatepass::jobs {
namespace {

using base::ErrorStatus;
using base::ResultCode;

IndexRanges OneTask(uint32_t index) {
  IndexRanges one;
  one.Add(index);
  return one;
}

TaskFate FateOf(TaskState state) {
  switch (state) {
    case TaskState::kWaiting:
    case TaskState::kCancelled:
      return TaskFate::kNotRun;
    case TaskState::kRunning:
      return TaskFate::kRunning;
    case TaskState::kSucceeded:
    case TaskState::kFailed:
      return TaskFate::kHasRun;
    case TaskState::kStarting:
    case TaskState::kInDoubt:
      break;
  }
  return TaskFate::kUnknown;
}

bool MayRun(TaskState state) {
  return state == TaskState::kStarting || state == TaskState::kRunning;
}

}  // namespace

JobState* JobKeeper::FindJob(const base::JobId& job) {
  const auto found = this->jobs.find(job);
  return found == this->jobs.end() ? nullptr : &found->second;
}

void JobKeeper::AttachTask(JobState& job, uint32_t index,
                           const base::WorkerId& worker) {
  TaskInfo& task = job.tasks[index];
  if (task.worker == worker) return;
  if (!task.worker.empty()) {
    auto& tasks = this->on_worker[task.worker];
    tasks.erase({job.record.id, index});
    if (tasks.empty()) this->on_worker.erase(task.worker);
  }
  task.worker = worker;
  if (!worker.empty()) this->on_worker[worker].insert({job.record.id, index});
}

void JobKeeper::MakeReady(JobState& job, uint32_t index, base::Instant now,
                          base::WallTime wall, Effects& effects) {
  this->AttachTask(job, index, {});
  TaskInfo& task = job.tasks[index];
  task.unaccounted = false;
  task.started_as = {};
  task.state = TaskState::kWaiting;
  if (job.cancelling || job.record.cancelled) {
    this->EndTask(job, index, TaskState::kCancelled, "", now, wall, effects);
    return;
  }
  ++task.attempt;
  effects.ready.push_back(
      {MakeTaskId({job.record.id, index, task.attempt}), job.record.id, index});
}

bool JobKeeper::ScopeCovers(JobState& job, const base::WorkerId& worker,
                            base::Instant now) {
  if (job.attached) return true;
  for (const auto& [data_centre, workers] : this->workers) {
    if (!workers.contains(worker)) continue;
    auto& scope = job.record.scope;
    if (std::find(scope.begin(), scope.end(), data_centre) == scope.end()) {
      // An adopter must know to ask there before anything starts there.
      scope.push_back(data_centre);
      job.widened[data_centre] =
          this->journal.Append(JobRecorded{job.record}, Urgency::kNow, now);
    }
    const auto added = job.widened.find(data_centre);
    return added == job.widened.end() ||
           added->second <= this->journal.committed();
  }
  // A worker that is in no list set here belongs to the host's own centre.
  return true;
}

StartPermission JobKeeper::OnStartSent(const base::TaskId& task,
                                       const base::WorkerId& worker,
                                       platform::Epoch epoch,
                                       base::Instant now) {
  const auto name = ParseTaskId(task);
  JobState* job = name ? this->FindJob(name->job) : nullptr;
  if (job == nullptr || name->index >= job->tasks.size()) {
    return StartPermission::kDenied;
  }
  TaskInfo& info = job->tasks[name->index];
  const bool startable = job->phase == JobPhase::kAccepted &&
                         !job->cancelling && !job->record.cancelled &&
                         info.state == TaskState::kWaiting &&
                         info.attempt == name->attempt &&
                         this->journal.state() != JournalState::kFenced;
  if (!startable) return StartPermission::kDenied;
  // An adopter claims the workers after it has sealed the journal. A start is
  // safe only under a claim that came before the seal: its epoch is then below
  // the adopter's.
  if (const auto claim = this->own_claims.find(worker);
      !job->attached && claim != this->own_claims.end() &&
      !this->journal.VerifiedSince(claim->second)) {
    this->journal.Verify(now);
    return StartPermission::kNotYet;
  }
  if (!this->ScopeCovers(*job, worker, now)) return StartPermission::kNotYet;
  this->AttachTask(*job, name->index, worker);
  info.state = TaskState::kStarting;
  info.started_as = task;
  info.epoch = epoch;
  info.since = now;
  return StartPermission::kGranted;
}

void JobKeeper::OnStartResult(const base::TaskId& task, StartOutcome outcome,
                              base::Instant now, base::WallTime wall,
                              Effects& effects) {
  const auto name = ParseTaskId(task);
  JobState* job = name ? this->FindJob(name->job) : nullptr;
  if (job == nullptr || name->index >= job->tasks.size()) return;
  TaskInfo& info = job->tasks[name->index];
  if (info.state != TaskState::kStarting || info.started_as != task) return;
  switch (outcome) {
    case StartOutcome::kStarted:
      info.state = TaskState::kRunning;
      info.since = now;
      if (job->cancelling) effects.stops.push_back({info.worker, task});
      break;
    case StartOutcome::kNotStarted:
      this->MakeReady(*job, name->index, now, wall, effects);
      break;
    case StartOutcome::kUnknown:
      effects.claims_wanted.push_back(info.worker);
      break;
  }
  this->Pump(now, wall, effects);
}

void JobKeeper::EndTask(JobState& job, uint32_t index, TaskState state,
                        std::string_view result, base::Instant now,
                        base::WallTime wall, Effects& effects) {
  TaskInfo& task = job.tasks[index];
  const TaskOnWorker ended{task.worker, task.started_as};
  this->AttachTask(job, index, {});
  task.state = state;
  task.unaccounted = false;
  TasksSettled record{job.record.id, state, OneTask(index), {}, wall};
  if (result.size() > this->options.max_result_bytes) {
    record.results[index] =
        fmt::format("result of {} bytes was not kept; at most {} are",
                    result.size(), this->options.max_result_bytes);
  } else if (!result.empty()) {
    record.results[index] = std::string(result);
  }
  SettleTasks(state, record.tasks, job.record);
  job.record.results.insert(record.results.begin(), record.results.end());
  CloseIfEnded(wall, job.record);
  if (job.record.ended.microseconds != 0) {
    effects.events.push_back({JobEventKind::kEnded, job.record.id});
  }
  if (job.attached) {
    if (!ended.worker.empty()) effects.acknowledgements.push_back(ended);
    return;
  }
  const uint64_t position =
      this->journal.Append(std::move(record), Urgency::kEnds, now);
  if (!ended.worker.empty()) this->ends.push_back({position, ended});
}

void JobKeeper::DoubtTask(JobState& job, uint32_t index,
                          std::string_view reason, bool journalled,
                          base::Instant now, base::WallTime wall,
                          Effects& effects) {
  TaskInfo& task = job.tasks[index];
  task.state = TaskState::kInDoubt;
  task.unaccounted = false;
  effects.events.push_back({JobEventKind::kInDoubt, job.record.id,
                            task.started_as, std::string(reason)});
  if (!journalled || job.attached) return;
  // Written down, so that an adopter does not take silence for proof.
  SettleTasks(TaskState::kInDoubt, OneTask(index), job.record);
  this->journal.Append(
      TasksSettled{
          job.record.id, TaskState::kInDoubt, OneTask(index), {}, wall},
      Urgency::kInterval, now);
}

void JobKeeper::OnTaskReport(const base::WorkerId& worker,
                             const platform::TaskReport& report,
                             base::Instant now, base::WallTime wall,
                             Effects& effects) {
  const auto name = ParseTaskId(report.task);
  if (!name) return;
  JobState* job = this->FindJob(name->job);
  if (job != nullptr && name->index < job->tasks.size()) {
    this->TakeReport(*job, name->index, worker, report, now, wall, effects);
  } else if (report.phase != platform::TaskPhase::kRunning) {
    // A job of this host that is kept no more ended long ago.
    const auto birthplace = BirthplaceOf(name->job);
    const bool forgotten = birthplace && (*birthplace == this->self ||
                                          this->adopted.contains(*birthplace));
    if (forgotten) effects.acknowledgements.push_back({worker, report.task});
  }
  this->Pump(now, wall, effects);
}

void JobKeeper::TakeReport(JobState& job, uint32_t index,
                           const base::WorkerId& worker,
                           const platform::TaskReport& report,
                           base::Instant now, base::WallTime wall,
                           Effects& effects) {
  TaskInfo& task = job.tasks[index];
  const bool running = report.phase == platform::TaskPhase::kRunning;
  const TaskOnWorker reported{worker, report.task};
  const bool elsewhere = MayRun(task.state) && (task.worker != worker ||
                                                task.started_as != report.task);
  if (IsEnded(task.state)) {
    const bool open = std::any_of(
        this->ends.begin(), this->ends.end(),
        [&](const OpenEnd& end) { return end.task.task == report.task; });
    if (running) {
      effects.stops.push_back(reported);
    } else if (!open) {
      effects.acknowledgements.push_back(reported);
    }
    return;
  }
  if (running) {
    if (elsewhere) {
      // An attempt that was given up came back; the newer one goes on.
      effects.stops.push_back(reported);
      return;
    }
    if (task.state == TaskState::kWaiting && task.attempt > 0) {
      effects.withdrawn.push_back(
          MakeTaskId({job.record.id, index, task.attempt}));
    }
    if (task.state != TaskState::kRunning) task.since = now;
    this->AttachTask(job, index, worker);
    task.state = TaskState::kRunning;
    task.started_as = report.task;
    task.unaccounted = false;
    if (job.cancelling) effects.stops.push_back(reported);
    return;
  }
  if (report.phase == platform::TaskPhase::kStopped) {
    const bool given_up = elsewhere || task.state == TaskState::kWaiting;
    const bool again =
        (job.record.spec.idempotent || job.record.spec.checkpointable) &&
        !job.cancelling;
    if (given_up || again) effects.acknowledgements.push_back(reported);
    if (given_up) return;
    if (again) {
      this->MakeReady(job, index, now, wall, effects);
      return;
    }
  }
  if (elsewhere) effects.stops.push_back({task.worker, task.started_as});
  if (task.state == TaskState::kWaiting && task.attempt > 0) {
    effects.withdrawn.push_back(
        MakeTaskId({job.record.id, index, task.attempt}));
  }
  this->AttachTask(job, index, worker);
  task.started_as = report.task;
  std::string_view result = report.result;
  if (report.phase == platform::TaskPhase::kStopped && result.empty()) {
    result = "stopped after it had begun";
  }
  this->EndTask(job, index,
                report.phase == platform::TaskPhase::kSucceeded
                    ? TaskState::kSucceeded
                    : TaskState::kFailed,
                result, now, wall, effects);
}

uint64_t JobKeeper::Cancel(const base::JobId& job, const base::TeamId& team,
                           base::Instant now, base::WallTime wall,
                           Effects& effects) {
  const uint64_t id = this->next_answer++;
  JobState* state = this->FindJob(job);
  if (state == nullptr || state->record.spec.team != team) {
    const ResultCode code =
        state == nullptr ? ResultCode::kNotFound : ResultCode::kForbidden;
    effects.cancels.push_back(
        {id, code, job,
         fmt::format("job \"{}\" is not kept here for team \"{}\"", job.value,
                     team.value)});
    return id;
  }
  if (this->journal.state() != JournalState::kOpen) {
    effects.cancels.push_back(
        {id, ResultCode::kOutcomeUnknown, job,
         "this host cannot journal the cancel; ask another one"});
    return id;
  }
  uint64_t position = 0;
  if (!state->cancelling) {
    state->cancelling = true;
    state->record.cancelled = true;
    if (!state->attached) {
      position =
          this->journal.Append(JobCancelled{job, wall}, Urgency::kNow, now);
    }
    effects.events.push_back({JobEventKind::kCancelled, job});
  } else if (!state->attached) {
    position = this->journal.appended();
  }
  for (uint32_t index = 0; index < state->tasks.size(); ++index) {
    TaskInfo& task = state->tasks[index];
    if (task.state == TaskState::kWaiting) {
      if (task.attempt > 0) {
        effects.withdrawn.push_back(MakeTaskId({job, index, task.attempt}));
      }
      this->EndTask(*state, index, TaskState::kCancelled, "", now, wall,
                    effects);
    } else if (MayRun(task.state)) {
      effects.stops.push_back({task.worker, task.started_as});
    }
  }
  this->cancels.push_back({id, position, now, job});
  this->Pump(now, wall, effects);
  return id;
}

void JobKeeper::AnswerCancel(const OpenCancel& cancel, Effects& effects) {
  const JobState* job = this->FindJob(cancel.job);
  CancelAnswer answer{cancel.id, ResultCode::kOk, cancel.job};
  if (job != nullptr) {
    for (const TaskInfo& task : job->tasks) {
      answer.fates.push_back(FateOf(task.state));
    }
  }
  effects.cancels.push_back(std::move(answer));
}

absl::StatusOr<JobView> JobKeeper::Find(const base::JobId& job,
                                        const base::TeamId& team) const {
  const auto found = this->jobs.find(job);
  if (found == this->jobs.end()) {
    return ErrorStatus(ResultCode::kNotFound,
                       fmt::format("job \"{}\" is not kept here", job.value));
  }
  const JobState& state = found->second;
  if (state.record.spec.team != team) {
    return ErrorStatus(ResultCode::kForbidden,
                       fmt::format("job \"{}\" does not belong to team \"{}\"",
                                   job.value, team.value));
  }
  JobView view{state.record, state.phase == JobPhase::kAccepted, {}};
  for (uint32_t index = 0; index < state.tasks.size(); ++index) {
    const TaskInfo& task = state.tasks[index];
    const auto result = state.record.results.find(index);
    view.tasks.push_back(
        {index, task.state, task.worker,
         result == state.record.results.end() ? "" : result->second});
  }
  return view;
}

}  // namespace agatepass::jobs
