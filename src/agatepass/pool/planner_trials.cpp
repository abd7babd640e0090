// Trials: a task under which workers have crashed is started where it does the
// least harm and where nothing else would explain another crash. The worker
// takes no other work for a short time; the task is cleared once its worker has
// outlived the start for longer than its workers did before.
#include <algorithm>
#include <tuple>
#include <utility>

#include "agatepass/pool/crash_evidence.h"
#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

/** How long a suspected task waits for a worker where it does no harm. */
constexpr base::Duration kMaxWaitForHarmlessWorker =
    std::chrono::milliseconds(1000);

/** Time from the end of a trial's probation until its worker is asked. */
constexpr base::Duration kTrialCheckDelay = std::chrono::milliseconds(10);

/** Time between two questions to the worker of a trial. */
constexpr base::Duration kTrialCheckPeriod = std::chrono::milliseconds(100);

/** Time within which a crashed worker usually is back. */
constexpr base::Duration kRestartTime = std::chrono::seconds(5);

/** Share of the workers that may be lost when another is put at risk: for a
 * task that probably crashes it, for one of which nothing is known, for any
 * while the workers that answer are half idle, and for a task that has waited
 * too long. */
constexpr double kMaxLostForCulprits = 0.08;
constexpr double kMaxLostForUnproven = 0.35;
constexpr double kMaxLostWhileIdle = 0.2;
constexpr double kMaxLostForOverdue = 0.5;

/** How long a task that probably crashes its worker is put off at the most for
 * workers that are lost. */
constexpr base::Duration kMaxWaitOfCulprits = std::chrono::seconds(20);

/** How long tasks that need no trial prefer other workers after a trial began.
 */
constexpr base::Duration kKeepAwayTime = std::chrono::milliseconds(1500);

}  // namespace

bool PoolPlanner::IsSuspect(const TaskState& task) const {
  return JudgeCrashes(task.crashed_runs) != CrashVerdict::kClear;
}

bool PoolPlanner::NeedsTrial(const StepState& step, const TaskState& task,
                             base::Instant now) const {
  if (this->IsSuspect(task)) return true;
  return !task.proven &&
         this->crash_watch.IsContained(step.job->job.queue, now);
}

bool PoolPlanner::HasTrials(const StepState& step, base::Instant now) const {
  return std::any_of(
      step.tasks.begin(), step.tasks.end(), [&](const TaskState& task) {
        return !task.succeeded && this->NeedsTrial(step, task, now);
      });
}

bool PoolPlanner::MayPutWorkerAtRisk(const TaskState& task,
                                     base::Instant now) const {
  size_t lost = 0;
  int64_t used = 0;
  int64_t total = 0;
  for (const auto& [id, worker] : this->workers) {
    if (const std::optional<WorkerSilence>& silence = worker->silence) {
      if (!silence->over && now < silence->since + kRestartTime) ++lost;
    } else if (worker->listed) {
      used += worker->used.millicores;
      total += worker->record.total.millicores;
    }
  }
  const bool is_likely_culprit =
      std::any_of(task.crashed_runs.begin(), task.crashed_runs.end(),
                  [](const CrashedRun& crash) { return crash.alone; });
  double max_share =
      is_likely_culprit ? kMaxLostForCulprits : kMaxLostForUnproven;
  const bool is_half_idle = used * 2 < total;
  if (is_half_idle) max_share = std::max(max_share, kMaxLostWhileIdle);
  if (is_likely_culprit && now > task.earliest_start + kMaxWaitOfCulprits) {
    max_share = kMaxLostForOverdue;
  }
  return static_cast<double>(lost) <
         max_share * static_cast<double>(this->workers.size());
}

bool PoolPlanner::WasOnTrialLately(const WorkerState& worker,
                                   base::Instant now) const {
  return now < worker.last_trial_at + kKeepAwayTime;
}

bool PoolPlanner::IsTrialRecorded(StepState& step, uint32_t index,
                                  RunNumber run) {
  TaskState& task = step.tasks[index];
  JobState& job = *step.job;
  if (task.at_risk_run != run) {
    task.at_risk_run = run;
    this->MarkChanged(job);
    task.changes_before_trial = job.changes;
  }
  return job.stored_changes >= task.changes_before_trial;
}

bool PoolPlanner::IsGangTrialRecorded(StepState& step, RunNumber run) {
  bool recorded = true;
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    if (!this->IsSuspect(step.tasks[i])) continue;
    if (!this->IsTrialRecorded(step, i, run)) recorded = false;
  }
  return recorded;
}

void PoolPlanner::MarkOnTrial(RunState& run) {
  if (std::exchange(run.on_trial, true)) return;
  ++run.worker->trials;
  run.worker->last_trial_at = run.start_requested_at;
  ++this->totals.trials;
  this->runs_on_probation.emplace(run.task, run.run_number);
}

void PoolPlanner::EndTrial(RunState& run) {
  if (!std::exchange(run.on_trial, false)) return;
  --run.worker->trials;
  this->scheduling_needed = true;
}

void PoolPlanner::EndProbation(RunState& run) {
  this->EndTrial(run);
  this->runs_on_probation.erase({run.task, run.run_number});
}

void PoolPlanner::CheckTrials(const PlannerTime& time) {
  const std::set<RunKey> on_probation = this->runs_on_probation;
  for (const auto& [task, number] : on_probation) {
    RunState& run = *this->FindRun(task, number);
    if (run.on_trial && run.survived >= TrialTimeOf(run)) {
      this->EndTrial(run);
      if (IsUnproven(run)) {
        this->log.Add(time.now, "trial ended before probation",
                      "task={} run={} worker={} survived_ms={} probation_ms={}",
                      ToString(task), number, run.worker->record.worker.value,
                      base::ToMilliseconds(run.survived),
                      base::ToMilliseconds(ProbationOf(run)));
      }
    }
    if (!IsUnproven(run)) {
      this->EndProbation(run);
      if (run.step == nullptr) continue;
      this->ClearSuspicion(*run.step, task.index, number,
                           "its worker outlived the start", time);
      continue;
    }
    if (!run.confirmed_clock_ms || time.now < run.next_trial_check) continue;
    const base::Duration needed =
        run.on_trial ? TrialTimeOf(run) : ProbationOf(run);
    if (time.now < run.start_confirmed_at + needed + kTrialCheckDelay) continue;
    run.next_trial_check = time.now + kTrialCheckPeriod;
    run.worker->quick_sync_wanted = true;
    this->QueueSync(*run.worker);
  }
}

PoolPlanner::Candidate* PoolPlanner::ChooseForTrial(
    std::span<Candidate> candidates, std::optional<base::Instant> waiting_since,
    base::Instant now) const {
  Candidate* best = nullptr;
  std::tuple<bool, bool, bool, bool, double> best_rank;
  for (Candidate& candidate : candidates) {
    if (candidate.fits == 0) continue;
    // Trials of tasks that are no suspects stay on the same workers.
    const bool is_new =
        !waiting_since && !this->WasOnTrialLately(*candidate.worker, now);
    const double work_at_risk = WorkAtRisk(*candidate.worker, now);
    const auto rank = std::make_tuple(HasUnprovenRuns(*candidate.worker),
                                      is_new, work_at_risk > 0,
                                      !candidate.ticket_valid, work_at_risk);
    if (best != nullptr && rank >= best_rank) continue;
    best = &candidate;
    best_rank = rank;
  }
  if (best == nullptr) return nullptr;
  // A run that is watched for long delays nobody else's trial.
  if (!waiting_since) return HasFreshRuns(*best->worker) ? nullptr : best;
  const bool has_unproven = std::get<0>(best_rank);
  const bool is_harmless = !has_unproven && std::get<4>(best_rank) == 0;
  if (!is_harmless && now < *waiting_since + kMaxWaitForHarmlessWorker) {
    return nullptr;
  }
  return best;
}

void PoolPlanner::PlaceTrials(StepState& step, std::span<Candidate> candidates,
                              const PlannerTime& time) {
  std::vector<uint32_t> indices;
  std::optional<base::Instant> waiting_since;
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    const TaskState& task = step.tasks[i];
    if (task.succeeded || !this->NeedsTrial(step, task, time.now)) continue;
    if (task.current_run != nullptr) {
      // A step puts one worker at risk at a time.
      if (task.current_run->on_trial) return;
      continue;
    }
    if (time.now < task.earliest_start) continue;
    if (this->IsSuspect(task)) {
      waiting_since = std::min(waiting_since.value_or(task.earliest_start),
                               task.earliest_start);
    }
    indices.push_back(i);
  }
  if (indices.empty()) return;
  const bool may_risk =
      std::all_of(indices.begin(), indices.end(), [&](uint32_t index) {
        return this->MayPutWorkerAtRisk(step.tasks[index], time.now);
      });
  if (!may_risk) return;
  Candidate* best = this->ChooseForTrial(candidates, waiting_since, time.now);
  if (best == nullptr) return;
  const uint32_t fits = this->CountCapRoom(
      step, std::min(best->fits, static_cast<uint32_t>(indices.size())));
  if (fits == 0) return;
  if (!best->ticket_valid) {
    this->ReserveAndRenewTickets(
        step, std::vector{std::make_pair(best->worker, fits)}, time);
    return;
  }
  // Recorded no sooner than it can start, which saves writes.
  bool recorded = true;
  for (const uint32_t index : std::span(indices).first(fits)) {
    const TaskState& task = step.tasks[index];
    if (!this->IsSuspect(task)) continue;
    if (!this->IsTrialRecorded(step, index, task.last_run + 1))
      recorded = false;
  }
  if (!recorded) return;
  for (const uint32_t index : std::span(indices).first(fits)) {
    this->StartTask(step, index, step.tasks[index].last_run + 1, *best->worker,
                    time);
    this->MarkOnTrial(*step.tasks[index].current_run);
  }
  best->fits = 0;
}

void PoolPlanner::ChooseForGangTrial(const StepState& step,
                                     std::vector<Candidate>& candidates,
                                     base::Instant now) const {
  base::Instant waiting_since;
  for (const TaskState& task : step.tasks) {
    waiting_since = std::max(waiting_since, task.earliest_start);
  }
  if (now < waiting_since + kMaxWaitForHarmlessWorker) {
    std::erase_if(candidates, [](const Candidate& candidate) {
      return HasUnprovenRuns(*candidate.worker);
    });
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [now](const Candidate& left, const Candidate& right) {
                     return WorkAtRisk(*left.worker, now) <
                            WorkAtRisk(*right.worker, now);
                   });
}

}  // namespace agatepass::pool
