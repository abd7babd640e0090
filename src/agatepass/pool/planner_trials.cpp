// Trials: a task under which workers have crashed is started where it does the
// least harm and where nothing else would explain another crash. The worker
// takes no other work until it has outlived the start for a while.
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

}  // namespace

bool PoolPlanner::IsSuspect(const TaskState& task) const {
  return JudgeCrashes(task.crashed_runs) != CrashVerdict::kClear;
}

bool PoolPlanner::HasSuspects(const StepState& step) const {
  return std::any_of(
      step.tasks.begin(), step.tasks.end(),
      [this](const TaskState& task) { return this->IsSuspect(task); });
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
  ++this->totals.trials;
  this->trial_runs.emplace(run.task, run.run_number);
}

void PoolPlanner::EndTrial(RunState& run) {
  if (!std::exchange(run.on_trial, false)) return;
  --run.worker->trials;
  this->trial_runs.erase({run.task, run.run_number});
  this->scheduling_needed = true;
}

void PoolPlanner::CheckTrials(const PlannerTime& time) {
  const std::set<RunKey> on_trial = this->trial_runs;
  for (const auto& [task, number] : on_trial) {
    RunState& run = *this->FindRun(task, number);
    if (!IsUnproven(run)) {
      this->EndTrial(run);
      if (run.step == nullptr) continue;
      this->ClearSuspicion(*run.step, task.index, number,
                           "its worker outlived the start", time);
      continue;
    }
    if (!run.confirmed_clock_ms || time.now < run.next_trial_check) continue;
    if (time.now <
        run.start_confirmed_at + ProbationOf(run) + kTrialCheckDelay) {
      continue;
    }
    run.next_trial_check = time.now + kTrialCheckPeriod;
    run.worker->quick_sync_wanted = true;
    this->QueueSync(*run.worker);
  }
}

PoolPlanner::Candidate* PoolPlanner::ChooseForTrial(
    std::span<Candidate> candidates, base::Instant waiting_since,
    base::Instant now) const {
  Candidate* best = nullptr;
  std::tuple<bool, double, bool> best_rank;
  for (Candidate& candidate : candidates) {
    if (candidate.fits == 0) continue;
    const auto rank = std::make_tuple(HasUnprovenRuns(*candidate.worker),
                                      WorkAtRisk(*candidate.worker, now),
                                      !candidate.ticket_valid);
    if (best != nullptr && rank >= best_rank) continue;
    best = &candidate;
    best_rank = rank;
  }
  const bool is_harmless =
      !std::get<0>(best_rank) && std::get<1>(best_rank) == 0;
  if (!is_harmless && now < waiting_since + kMaxWaitForHarmlessWorker) {
    return nullptr;
  }
  return best;
}

void PoolPlanner::PlaceSuspects(StepState& step,
                                std::span<Candidate> candidates,
                                const PlannerTime& time) {
  std::vector<uint32_t> suspects;
  base::Instant waiting_since = base::Instant::max();
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    const TaskState& task = step.tasks[i];
    if (task.succeeded || !this->IsSuspect(task)) continue;
    if (task.current_run != nullptr) {
      // A step puts one worker at risk at a time.
      if (task.current_run->on_trial) return;
      continue;
    }
    if (time.now < task.earliest_start) continue;
    if (!this->IsTrialRecorded(step, i, task.last_run + 1)) continue;
    suspects.push_back(i);
    waiting_since = std::min(waiting_since, task.earliest_start);
  }
  if (suspects.empty()) return;
  Candidate* best = this->ChooseForTrial(candidates, waiting_since, time.now);
  if (best == nullptr) return;
  if (!best->ticket_valid) {
    const auto fits =
        std::min(best->fits, static_cast<uint32_t>(suspects.size()));
    this->ReserveAndRenewTickets(
        step, std::vector{std::make_pair(best->worker, fits)}, time);
    return;
  }
  for (const uint32_t index : suspects) {
    if (best->fits == 0) break;
    --best->fits;
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
