// Progress of runs: stalled runs are stopped, so that their tasks run on
// another worker.
#include <algorithm>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/stall_detection.h"

namespace agatepass::pool {

void PoolPlanner::CheckProgress(RunState& run, int percent,
                                const PlannerTime& time) {
  if (run.step == nullptr || run.phase != RunPhase::kRunning) return;
  const Step& step = *run.step->definition;
  if (step.long_running) return;
  // The report may have waited here, unread.
  const base::Duration elapsed =
      time.now - run.last_progress.at - this->input_lag;
  const ProgressSample sample{.percent_before = run.last_progress.percent,
                              .percent = percent,
                              .elapsed = std::max(base::Duration(0), elapsed),
                              .estimate = step.estimate};
  const ProgressVerdict verdict = JudgeProgressSample(sample);
  if (verdict == ProgressVerdict::kTooEarly) return;
  if (verdict == ProgressVerdict::kProgressing) {
    run.last_progress = {percent, time.now};
    if (!run.first_progress) run.first_progress = run.last_progress;
    return;
  }
  ++this->totals.stalled_runs_stopped;
  this->log.Add(time.now, "stalled run stopped",
                "task={} run={} worker={} percent={} stalled_ms={}",
                ToString(run.task), run.run_number,
                run.worker->record.worker.value, percent,
                base::ToMilliseconds(sample.elapsed));
  run.worker->distrusted_until = time.now + this->options.stall_quarantine_time;
  run.step->tasks[run.task.index].avoided_worker = run.worker->record.worker;
  if (step.gang) {
    this->StopGangMembers(*run.step, run.run_number, time.now);
  } else {
    this->RequestStop(run, time.now);
  }
}

}  // namespace agatepass::pool
