#include "agatepass/pool/crash_evidence.h"

#include <algorithm>
#include <set>
#include <span>

#include "agatepass/pool/worker_state.h"

namespace agatepass::pool {

namespace {

/** Share of the workers from which silences at the same time have a common
 * cause, wherever the workers are. */
constexpr double kCommonCauseShare = 0.02;

/** Returns the crashes under the run's task; none if no job needs the run. */
std::span<const CrashedRun> CrashesUnderTask(const RunState& run) {
  if (run.step == nullptr) return {};
  return run.step->tasks[run.task.index].crashed_runs;
}

}  // namespace

bool HasCommonCause(const SilencesAtOnce& silences, size_t pool_size) {
  if (silences.workers == 0) return false;
  return silences.in_same_rack ||
         static_cast<double>(silences.workers) >=
             kCommonCauseShare * static_cast<double>(pool_size);
}

bool IsOnlyExplanation(const CrashEvidence& evidence) {
  return evidence.restarted && evidence.alone_on_worker &&
         !evidence.has_common_cause;
}

base::Duration ProbationOf(const RunState& run) {
  return FindProbation(CrashesUnderTask(run));
}

base::Duration TrialTimeOf(const RunState& run) {
  return FindTrialTime(CrashesUnderTask(run));
}

bool IsUnproven(const RunState& run) { return run.survived < ProbationOf(run); }

bool IsAcknowledged(const RunState& run) {
  return run.start_confirmed_at != base::Instant();
}

bool IsUnprovenOnWorker(const RunState& run) {
  return !run.worker_restarted && IsUnproven(run);
}

size_t CountUnprovenJobs(const WorkerState& worker) {
  std::set<base::JobId> jobs;
  for (const RunState* run : worker.runs) {
    if (IsUnprovenOnWorker(*run)) jobs.insert(run->task.job);
  }
  return jobs.size();
}

bool HasUnprovenRuns(const WorkerState& worker) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(),
      [](const RunState* run) { return IsUnprovenOnWorker(*run); });
}

bool HasFreshRuns(const WorkerState& worker) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(), [](const RunState* run) {
        return !run->worker_restarted && run->survived < TrialTimeOf(*run);
      });
}

void RecordSurvival(WorkerState& worker, int64_t clock_ms) {
  for (RunState* run : worker.runs) {
    if (!run->confirmed_clock_ms) continue;
    run->survived =
        std::max(run->survived, base::Duration(std::chrono::milliseconds(
                                    clock_ms - *run->confirmed_clock_ms)));
  }
}

double WorkAtRisk(const WorkerState& worker, base::Instant now) {
  double work = 0;
  for (const RunState* run : worker.runs) {
    if (run->phase == RunPhase::kStopping) continue;
    const bool is_gang = run->step != nullptr && run->step->definition->gang;
    const double members =
        is_gang ? static_cast<double>(run->step->tasks.size()) : 1;
    work += static_cast<double>(run->taken.millicores) * members *
            base::ToSeconds(now - run->start_requested_at);
  }
  return work;
}

}  // namespace agatepass::pool
