// Runs: from the start request to the end, and the effect of an end on the job.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

/** Delay before a task is tried again after its run did not start or was lost.
 */
constexpr base::Duration kRestartDelay = std::chrono::milliseconds(20);

/** A run of a task that lasts which ends by itself earlier than this is
 * repeated after a delay that doubles each time, up to the longest one. */
constexpr base::Duration kMinLastingLife = std::chrono::seconds(5);
constexpr base::Duration kMaxLastingRestartDelay = std::chrono::seconds(2);

/** How often a call waits for the event loop until its answer is read. */
constexpr int kLagsPerCall = 4;

/** Delays the next run of a task that lasts after one that ended by itself.
 * \param lifetime how long that run lived. */
void DelayLastingTask(TaskState& task, base::Duration lifetime,
                      base::Instant now) {
  task.restart_delay = lifetime >= kMinLastingLife
                           ? base::Duration(0)
                           : std::clamp(2 * task.restart_delay, kRestartDelay,
                                        kMaxLastingRestartDelay);
  task.earliest_start = std::max(task.earliest_start, now + task.restart_delay);
}

}  // namespace

RunState& PoolPlanner::AddRun(const TaskName& task, RunNumber number,
                              WorkerState& worker, StepState* step,
                              const platform::Resources& taken) {
  auto run = std::make_unique<RunState>();
  run->task = task;
  run->run_number = number;
  run->worker = &worker;
  run->step = step;
  run->taken = taken;
  run->charge = this->MakeCharge(task, worker);
  this->team_usage.Add(run->charge);
  RunState& added = *run;
  worker.runs.push_back(&added);
  worker.used += taken;
  if (step != nullptr) {
    TaskState& state = step->tasks[task.index];
    state.current_run = &added;
    state.last_run = std::max(state.last_run, number);
    if (--step->waiting == 0) step->ready_since.reset();
  }
  this->runs[{task, number}] = std::move(run);
  return added;
}

RunState* PoolPlanner::FindRun(const TaskName& task, RunNumber number) {
  const auto found = this->runs.find({task, number});
  return found == this->runs.end() ? nullptr : found->second.get();
}

JobState* PoolPlanner::FindJob(const base::JobId& id) const {
  const auto found = this->jobs_by_id.find(id);
  return found == this->jobs_by_id.end() ? nullptr : found->second;
}

const Step* PoolPlanner::FindDefinition(const TaskName& task) const {
  const JobState* job = this->FindJob(task.job);
  if (job == nullptr || task.occurrence >= job->CountOccurrences() ||
      task.step >= job->job.steps.size()) {
    return nullptr;
  }
  const Step& step = job->job.steps[task.step];
  return task.index < step.count ? &step : nullptr;
}

StepState* PoolPlanner::FindStep(const TaskName& task) const {
  if (this->FindDefinition(task) == nullptr) return nullptr;
  const JobState& job = *this->FindJob(task.job);
  const size_t first = job.FindOccurrence(task.occurrence);
  if (first >= job.steps.size() ||
      job.steps[first]->occurrence != task.occurrence) {
    return nullptr;
  }
  return job.steps[first + task.step].get();
}

StepState* PoolPlanner::FindReportedStep(const TaskName& task,
                                         const PlannerTime& time) {
  if (this->FindDefinition(task) == nullptr) return nullptr;
  JobState& job = *this->FindJob(task.job);
  if (job.IsOpen() && !job.finished.Contains(task.occurrence) &&
      !job.IsOpenOccurrence(task.occurrence)) {
    this->OpenOccurrence(job, task.occurrence, time);
  }
  return this->FindStep(task);
}

void PoolPlanner::ReleaseRun(RunState& run) {
  WorkerState& worker = *run.worker;
  worker.used -= run.taken;
  this->team_usage.Remove(run.charge);
  std::erase(worker.runs, &run);
  if (run.step != nullptr) {
    TaskState& task = run.step->tasks[run.task.index];
    if (task.current_run == &run) task.current_run = nullptr;
    if (!task.succeeded) ++run.step->waiting;
    this->MarkForTrim(*run.step->job);
  }
  this->EndProbation(run);
  if (run.start_place) this->places.OnStartForgotten(*run.start_place);
  const RunKey key(run.task, run.run_number);
  this->stopping_runs.erase(key);
  this->runs.erase(key);
  this->scheduling_needed = true;
}

void PoolPlanner::RequestStop(RunState& run, base::Instant at) {
  if (run.phase == RunPhase::kStopping) return;
  run.phase = RunPhase::kStopping;
  run.next_stop = at;
  run.stop_requested_at = at;
  this->stopping_runs.emplace(run.task, run.run_number);
}

void PoolPlanner::StopGangMembers(StepState& step, RunNumber run,
                                  base::Instant now) {
  for (const TaskState& task : step.tasks) {
    if (task.current_run != nullptr && task.current_run->run_number == run) {
      this->RequestStop(*task.current_run, now);
    }
  }
}

void PoolPlanner::HandleEnd(WorkerState& worker, const ReportedEnd& report,
                            const PlannerTime& time) {
  worker.last_handled_end = report.sequence_number;
  const uint64_t changes = this->ApplyEnd(worker, report, time);
  if (worker.unstored_ends.empty()) {
    this->workers_with_unstored_ends.push_back(&worker);
  }
  worker.unstored_ends.push_back({.sequence_number = report.sequence_number,
                                  .job = report.task.job,
                                  .read_at = time.now,
                                  .changes = changes});
}

uint64_t PoolPlanner::ApplyEnd(WorkerState& worker, const ReportedEnd& report,
                               const PlannerTime& time) {
  ++this->totals.ends;
  RunState* run = this->FindRun(report.task, report.run);
  base::Duration lifetime = kMinLastingLife;
  if (run != nullptr && run->worker == &worker) {
    lifetime = time.now - run->start_requested_at;
    this->log.Add(time.now, "run ended",
                  "task={} run={} worker={} end=\"{}\" after_ms={}",
                  ToString(report.task), report.run, worker.record.worker.value,
                  RunEndName(report.end), base::ToMilliseconds(lifetime));
    this->ReleaseRun(*run);
  }
  StepState* step = this->FindReportedStep(report.task, time);
  if (step == nullptr) {
    // Of a job that is known it has no further effect.
    const JobState* known = this->FindJob(report.task.job);
    return known == nullptr ? 0 : known->changes;
  }
  JobState& job = *step->job;
  TaskState& task = step->tasks[report.task.index];
  task.last_run = std::max(task.last_run, report.run);
  task.ended_run = std::max(task.ended_run, report.run);
  this->WithdrawCrash(task, report.run);
  job.MarkBegun();
  const bool ended_by_itself =
      report.end == RunEnd::kSucceeded || report.end == RunEnd::kFailed;
  if (step->definition->long_running && ended_by_itself)
    DelayLastingTask(task, lifetime, time.now);
  if (job.IsOpen() && !task.succeeded) {
    if (!report.checkpoint.empty()) task.checkpoint = report.checkpoint;
    this->MarkChanged(job);
    if (report.end == RunEnd::kSucceeded) {
      worker.consecutive_failures = 0;
      this->HandleSuccess(*step, report.task.index, time);
    } else if (report.end == RunEnd::kFailed) {
      this->HandleFailure(worker, *step, report, time);
    } else if (step->definition->gang) {
      this->StopGangMembers(*step, report.run, time.now);
    }
  }
  return job.changes;
}

void PoolPlanner::HandleSuccess(StepState& step, uint32_t index,
                                const PlannerTime& time) {
  JobState& job = *step.job;
  if (step.definition->long_running) return;
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    // The success of one member is the success of the whole gang.
    if (i != index && !step.definition->gang) continue;
    TaskState& task = step.tasks[i];
    if (task.succeeded) continue;
    task.succeeded = true;
    ++step.succeeded;
    if (task.current_run == nullptr) --step.waiting;
    if (task.current_run != nullptr && !step.definition->gang) {
      this->RequestStop(*task.current_run, time.now);
    }
  }
  if (!step.IsDone()) return;
  this->ReleaseTicketReservations(step);
  this->MarkForTrim(job);
  if (job.IsAllDone()) this->FinishJob(job, JobPhase::kSucceeded, time);
}

void PoolPlanner::HandleFailure(WorkerState& worker, StepState& step,
                                const ReportedEnd& report,
                                const PlannerTime& time) {
  ++this->totals.failures;
  TaskState& task = step.tasks[report.task.index];
  task.avoided_worker = worker.record.worker;
  this->ClearSuspicion(step, report.task.index, report.run,
                       "the run failed by itself", time);
  if (step.definition->gang) this->StopGangMembers(step, report.run, time.now);
  std::vector<RunNumber>& failed_runs =
      step.definition->gang ? step.failed_runs : task.failed_runs;
  // An end that an earlier planner handled may be reported again, and the ends
  // of earlier runs may be reported after those of later ones.
  const bool already_counted = std::find(failed_runs.begin(), failed_runs.end(),
                                         report.run) != failed_runs.end();
  if (!already_counted && !step.definition->long_running) {
    failed_runs.push_back(report.run);
  }
  // A task that fails again and again by itself says nothing of its workers.
  if (task.restart_delay > kRestartDelay) return;
  if (++worker.consecutive_failures >= this->options.failures_to_quarantine) {
    worker.distrusted_until = time.now + this->options.failure_quarantine_time;
    worker.consecutive_failures = 0;
    this->log.Add(time.now, "worker quarantined after repeated failures",
                  "worker={}", worker.record.worker.value);
  }
  if (step.definition->long_running) return;
  if (failed_runs.size() >= step.job->policy.attempts) {
    this->FinishJob(*step.job, JobPhase::kFailed, time);
  }
}

void PoolPlanner::HandleAbsentRun(RunState& run, base::Instant earliest_start,
                                  const PlannerTime& time) {
  StepState* step = run.step;
  const uint32_t index = run.task.index;
  const RunNumber number = run.run_number;
  this->ReleaseRun(run);
  if (step == nullptr || !step->job->IsOpen()) return;
  TaskState& task = step->tasks[index];
  task.earliest_start = earliest_start + kRestartDelay;
  if (task.begun_run == number) {
    // Whether it crashed its worker is decided: no successor judges it again.
    task.begun_run = 0;
    this->MarkChanged(*step->job);
  }
  if (step->definition->gang) this->StopGangMembers(*step, number, time.now);
}

void PoolPlanner::FinishJob(JobState& job, JobPhase phase,
                            const PlannerTime& time) {
  job.phase = phase;
  job.final_ms = time.wall_ms;
  job.final_at = time.now;
  this->open.erase(job.job.id);
  this->ForgetAwaitedOccurrence(job);
  this->MarkForTrim(job);
  this->MarkChanged(job);
  this->log.Add(time.now, "job ended",
                "job={} queue={} phase={} after_ms={} objective_ms={}",
                job.job.id.value, job.job.queue, JobPhaseName(phase),
                base::ToMilliseconds(time.now - job.accepted_at),
                base::ToMilliseconds(job.objective_end - job.accepted_at));
  for (const auto& step : job.steps) {
    this->DropGangReservation(*step);
    this->ReleaseTicketReservations(*step);
    step->advice.tickets.clear();
    if (phase == JobPhase::kSucceeded) continue;
    for (const TaskState& task : step->tasks) {
      if (task.current_run != nullptr)
        this->RequestStop(*task.current_run, time.now);
    }
  }
}

base::Duration PoolPlanner::DelayBeyondLag(const RunState& run,
                                           base::Instant now) const {
  return now - run.start_requested_at - kLagsPerCall * this->input_lag;
}

void PoolPlanner::OnStart(const TaskName& task, RunNumber number,
                          const StartStopReply& reply,
                          const PlannerTime& time) {
  RunState* run = this->FindRun(task, number);
  this->scheduling_needed = true;
  if (run == nullptr) return;
  if (const auto lane = std::exchange(run->start_place, std::nullopt)) {
    this->places.OnStartDone(*lane, this->DelayBeyondLag(*run, time.now),
                             this->input_lag, time.now);
  }
  WorkerState& worker = *run->worker;
  if (reply.result == WorkerCallResult::kFenced)
    this->HandleFenced(worker.record.worker, run->fence, time);
  if (this->superseded) return;
  if (reply.result == WorkerCallResult::kDone) {
    run->start_confirmed_at = time.now;
    if (run->step != nullptr) run->step->job->MarkBegun();
    this->RecordBegun(*run);
  }
  // Any incarnation may have answered; the next sync shows what the current one
  // has of the run.
  if (worker.WasForFormerIncarnation(run->fence)) return;
  if (reply.worker_clock_ms)
    this->RecordAnswer(worker, *reply.worker_clock_ms, time.now);
  if (reply.result == WorkerCallResult::kDone) {
    if (run->phase == RunPhase::kStartRequested)
      run->phase = RunPhase::kRunning;
    if (!run->confirmed_clock_ms)
      run->confirmed_clock_ms = reply.worker_clock_ms;
    return;
  }
  if (run->phase == RunPhase::kRunning) return;
  this->log.Add(time.now, "start not confirmed",
                "task={} run={} worker={} result=\"{}\" after_ms={}",
                ToString(task), number, worker.record.worker.value,
                WorkerCallResultName(reply.result),
                base::ToMilliseconds(time.now - run->start_requested_at));
  if (reply.result == WorkerCallResult::kUnknown) {
    ++this->totals.starts_outcome_unknown;
    this->RecordUnansweredCall(worker, time);
    // The stop makes the worker reject the start if it arrives later.
    this->RequestStop(*run, time.now);
    if (run->step != nullptr && run->step->definition->gang) {
      this->StopGangMembers(*run->step, number, time.now);
    }
    return;
  }
  ++this->totals.starts_refused;
  switch (reply.result) {
    case WorkerCallResult::kInvalidTicket:
      if (run->step != nullptr) {
        const auto ticket =
            run->step->advice.tickets.find(worker.record.worker);
        if (ticket != run->step->advice.tickets.end()) {
          ticket->second.valid_until = time.now;
        }
      }
      break;
    case WorkerCallResult::kOtherIncarnation:
      this->EndIncarnation(worker, time);
      return;
    case WorkerCallResult::kNotSent:
      this->RecordUnansweredCall(worker, time);
      break;
    case WorkerCallResult::kNotTried:
      break;
    default:
      worker.quarantined_until = time.now + this->options.quarantine_time;
      break;
  }
  this->HandleAbsentRun(*run, time.now, time);
}

}  // namespace agatepass::pool
