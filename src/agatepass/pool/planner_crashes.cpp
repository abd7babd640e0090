// Crashes of workers: which tasks may have caused them, and the history that is
// kept of it beyond this planner's term.
#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "agatepass/pool/crash_evidence.h"
#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

/** Number of unanswered calls from which a silent worker counts as lost: an
 * order alone may get no answer. */
constexpr uint32_t kCallsToConfirmSilence = 2;

}  // namespace

void PoolPlanner::RecordSilence(WorkerState& worker, base::Instant now) {
  if (worker.silence && !worker.silence->over) return;
  const size_t unproven_jobs = CountUnprovenJobs(worker);
  // A start that was never acknowledged may not have reached the worker, which
  // may have been down before: it explains nothing.
  const bool is_explained = std::any_of(
      worker.runs.begin(), worker.runs.end(), [](const RunState* run) {
        return IsUnprovenOnWorker(*run) && IsAcknowledged(*run);
      });
  // Of an incarnation that this planner has not reached it is not known when it
  // fell silent; one that comes back shows only that it did before.
  worker.silence = WorkerSilence{
      .since = now,
      .unexplained = worker.synced && !is_explained && !worker.leaves_at};
  std::map<base::JobId, std::string> queues;
  for (RunState* run : worker.runs) {
    if (run->worker_restarted) continue;
    run->silent_at = now;
    run->alone_when_silent = unproven_jobs == 1 && IsUnproven(*run);
    if (run->step == nullptr || !run->step->job->IsOpen()) continue;
    TaskState& task = run->step->tasks[run->task.index];
    if (!IsUnproven(*run) || !IsAcknowledged(*run)) continue;
    queues[run->task.job] = run->step->job->job.queue;
    task.at_risk_run = std::max(task.at_risk_run, run->run_number);
    this->RecordBegun(*run);
  }
  if (queues.empty()) return;
  UnblamedSilence& silence = this->unblamed_silences.emplace_back();
  silence.worker = worker.record.worker;
  silence.at = now;
  for (auto& [job, queue] : queues) silence.queues.push_back(std::move(queue));
}

void PoolPlanner::BlameQueues(base::Instant now) {
  std::erase_if(this->unblamed_silences, [&](const UnblamedSilence& entry) {
    const auto found = this->workers.find(entry.worker);
    if (found == this->workers.end()) return true;
    const WorkerState& worker = *found->second;
    const bool went_on = !worker.silence || worker.silence->since != entry.at;
    if (went_on) return true;
    const bool is_confirmed = worker.silence->over ||
                              worker.unanswered_calls >= kCallsToConfirmSilence;
    if (!is_confirmed || now < entry.at + kSameTime) return false;
    if (HasCommonCause(this->FindUnexplainedSilences(worker, entry.at),
                       this->workers.size())) {
      return true;
    }
    for (const std::string& queue : entry.queues) {
      const bool before = this->crash_watch.IsContained(queue, now);
      this->crash_watch.OnCrash(
          queue, 1.0 / static_cast<double>(entry.queues.size()), now);
      if (before || !this->crash_watch.IsContained(queue, now)) continue;
      this->log.Add(now, "queue contained", "queue={} worker={}", queue,
                    entry.worker.value);
    }
    return true;
  });
}

SilencesAtOnce PoolPlanner::FindUnexplainedSilences(const WorkerState& worker,
                                                    base::Instant at) const {
  SilencesAtOnce found;
  for (const auto& [id, other] : this->workers) {
    const std::optional<WorkerSilence>& silence = other->silence;
    if (!silence || !silence->unexplained) continue;
    if (std::chrono::abs(silence->since - at) > kSameTime) continue;
    ++found.workers;
    const bool is_neighbour =
        other.get() != &worker && !other->rack.value.empty();
    if (is_neighbour && other->rack == worker.rack) found.in_same_rack = true;
  }
  return found;
}

void PoolPlanner::RecordCrash(const RunState& run, bool restarted,
                              const PlannerTime& time) {
  if (run.step == nullptr || !run.step->job->IsOpen()) return;
  const base::Instant silent_at = run.silent_at.value_or(time.now);
  const std::optional<base::Instant>& leaves_at = run.worker->leaves_at;
  if (leaves_at && silent_at >= *leaves_at) return;
  if (!IsAcknowledged(run)) {
    this->log.Add(
        time.now, "start lost with its worker",
        "task={} run={} worker={} note=\"never acknowledged: no crash "
        "of the task\"",
        ToString(run.task), run.run_number, run.worker->record.worker.value);
    return;
  }
  const bool unproven = IsUnproven(run);
  if (!unproven) run.step->tasks[run.task.index].proven = true;
  const SilencesAtOnce silences =
      this->FindUnexplainedSilences(*run.worker, silent_at);
  // A proven run counts only if its worker's silence is the only one at that
  // time that no unproven run explains.
  if (!unproven && !(restarted && silences.workers == 1)) return;
  const CrashEvidence evidence{
      .restarted = restarted,
      .alone_on_worker = run.alone_when_silent,
      .silences = silences,
      .has_common_cause = HasCommonCause(silences, this->workers.size())};
  this->AddCrash(*run.step, run.task.index,
                 {.run = run.run_number,
                  .survived = run.survived,
                  .alone = unproven && IsOnlyExplanation(evidence)},
                 evidence, time);
}

void PoolPlanner::AddCrash(StepState& step, uint32_t index,
                           const CrashedRun& crash,
                           const CrashEvidence& evidence,
                           const PlannerTime& time) {
  TaskState& task = step.tasks[index];
  const bool known = std::any_of(
      task.crashed_runs.begin(), task.crashed_runs.end(),
      [&](const CrashedRun& other) { return other.run == crash.run; });
  if (known || task.succeeded) return;
  task.crashed_runs.push_back(crash);
  ++(crash.alone ? this->totals.crashes_alone : this->totals.crashes_suspected);
  JobState& job = *step.job;
  const CrashVerdict verdict = JudgeCrashes(task.crashed_runs);
  this->log.Add(
      time.now, "task lost its worker",
      "task={} run={} survived_ms={} alone={} restarted={} alone_on_worker={} "
      "unexplained_silences={} common_cause={} crashes={} verdict=\"{}\"",
      ToString(TaskName{job.job.id, step.occurrence, step.step_index, index}),
      crash.run, base::ToMilliseconds(crash.survived), crash.alone,
      evidence.restarted, evidence.alone_on_worker, evidence.silences.workers,
      evidence.has_common_cause, task.crashed_runs.size(),
      CrashVerdictName(verdict));
  if (verdict == CrashVerdict::kGivenUp) {
    ++this->totals.jobs_failed_for_crashes;
    this->FinishJob(job, JobPhase::kFailed, time);
    return;
  }
  this->MarkChanged(job);
  task.changes_before_trial = job.changes;
}

void PoolPlanner::ClearSuspicion(StepState& step, uint32_t index, RunNumber run,
                                 std::string_view reason,
                                 const PlannerTime& time) {
  TaskState& task = step.tasks[index];
  task.proven = true;
  const bool was_suspect = this->IsSuspect(task);
  // The end of an earlier run, which each planner may read again, tells nothing
  // of later crashes.
  const size_t cleared = std::erase_if(
      task.crashed_runs,
      [run](const CrashedRun& crash) { return crash.run <= run; });
  if (cleared == 0) return;
  this->log.Add(time.now, "task cleared of crashes",
                "task={} run={} crashes={} left={} reason=\"{}\"",
                ToString(TaskName{step.job->job.id, step.occurrence,
                                  step.step_index, index}),
                run, cleared, task.crashed_runs.size(), reason);
  if (was_suspect && !this->IsSuspect(task)) ++this->totals.suspects_cleared;
  if (task.at_risk_run <= run) task.at_risk_run = 0;
  if (task.begun_run <= run) task.begun_run = 0;
  this->MarkChanged(*step.job);
}

void PoolPlanner::WithdrawCrash(TaskState& task, RunNumber run) {
  std::erase_if(task.crashed_runs,
                [run](const CrashedRun& crash) { return crash.run == run; });
}

void PoolPlanner::RecordBegun(const RunState& run) {
  if (run.step == nullptr || !run.step->job->IsOpen()) return;
  TaskState& task = run.step->tasks[run.task.index];
  if (task.at_risk_run != run.run_number) return;
  const bool unproven = IsUnproven(run);
  if (unproven && task.begun_run == run.run_number) return;
  task.begun_run = unproven ? run.run_number : 0;
  // A successor knows nothing of what the worker has outlived.
  if (!unproven) task.at_risk_run = 0;
  this->MarkChanged(*run.step->job);
}

void PoolPlanner::CountInheritedRisks(const PlannerTime& time) {
  if (this->inherited_risks.empty()) return;
  if (!this->CanStartInheritedJobs(time.now)) return;
  for (const TaskName& name : std::exchange(this->inherited_risks, {})) {
    StepState* step = this->FindStep(name);
    if (step == nullptr || !step->job->IsOpen()) continue;
    TaskState& task = step->tasks[name.index];
    const bool accounted_for =
        task.current_run != nullptr || task.ended_run >= task.begun_run;
    if (accounted_for) continue;
    const RunNumber lost = std::exchange(task.begun_run, 0);
    this->AddCrash(*step, name.index, {.run = lost}, {}, time);
  }
}

}  // namespace agatepass::pool
