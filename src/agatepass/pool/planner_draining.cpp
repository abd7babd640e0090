// Draining workers: their runs end or are stopped before the announced
// shutdown, early enough that all ends can be read. What ends in the last
// instant would be known to nobody, and its task would have to be started again
// in doubt.
#include <algorithm>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/run_prediction.h"

namespace agatepass::pool {

void PoolPlanner::RecordDraining(WorkerState& worker, base::Duration report_age,
                                 base::Instant now) {
  if (!worker.record.draining) {
    worker.leaves_at.reset();
    return;
  }
  const base::Instant leaves_at = now + worker.record.remaining - report_age;
  // The report that arrived with the least delay tells the earliest time.
  worker.leaves_at = std::min(worker.leaves_at.value_or(leaves_at), leaves_at);
}

bool PoolPlanner::IsAboutToShutDown(const WorkerState& worker,
                                    base::Instant now) const {
  return worker.leaves_at && now >= *worker.leaves_at -
                                        this->options.max_stop_time -
                                        this->options.shutdown_margin;
}

bool PoolPlanner::MayEndBeforeShutdown(const RunState& run,
                                       base::Instant now) const {
  const base::Instant latest_end =
      *run.worker->leaves_at - this->options.shutdown_margin;
  if (now >= latest_end) return false;
  const std::optional<base::Instant> end = PredictRelease(run, now);
  return end && *end <= latest_end;
}

void PoolPlanner::StopRunsBeforeShutdown(const PlannerTime& time) {
  for (const auto& [id, worker] : this->workers) {
    if (!this->IsAboutToShutDown(*worker, time.now)) continue;
    for (RunState* run : worker->runs) {
      if (run->phase == RunPhase::kStopping) continue;
      if (this->MayEndBeforeShutdown(*run, time.now)) continue;
      ++this->totals.runs_stopped_before_shutdown;
      this->log.Add(time.now, "run stopped before worker shuts down",
                    "task={} run={} worker={} leaves_in_ms={} percent={}",
                    ToString(run->task), run->run_number, id.value,
                    base::ToMilliseconds(*worker->leaves_at - time.now),
                    run->last_progress.percent);
      if (run->step != nullptr && run->step->definition->gang) {
        // Each member saves its checkpoint; otherwise the others would end
        // without one.
        this->StopGangMembers(*run->step, run->run_number, time.now);
      }
      this->RequestStop(*run, time.now);
    }
  }
}

base::Duration PoolPlanner::GetLeaseTime(const WorkerState& worker,
                                         base::Instant now) const {
  if (!worker.leaves_at) return this->options.worker_lease;
  return std::clamp(*worker.leaves_at - now, base::Duration(0),
                    this->options.worker_lease);
}

base::Duration PoolPlanner::OnSlowestClock(base::Duration duration) const {
  return std::chrono::duration_cast<base::Duration>(
      duration / this->options.min_clock_rate);
}

}  // namespace agatepass::pool
