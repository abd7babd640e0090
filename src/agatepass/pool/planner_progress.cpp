// Progress of runs: those that stand still are moved.
#include "agatepass/pool/pace.h"
#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

void PoolPlanner::JudgeProgress(RunState& run, int percent,
                                const PlannerTime& time) {
  if (run.step == nullptr || run.phase != RunPhase::kRunning) return;
  const Step& step = *run.step->definition;
  if (step.long_running) return;
  const RunPace pace{.percent_before = run.mark.percent,
                     .percent = percent,
                     .elapsed = time.now - run.mark.at,
                     .estimate = step.estimate};
  const PaceVerdict verdict = JudgePace(pace);
  if (verdict == PaceVerdict::kTooEarly) return;
  if (verdict == PaceVerdict::kMoves) {
    run.mark = {percent, time.now};
    return;
  }
  ++this->totals.runs_moved;
  this->log.Add(time.now, "run moved",
                "task={} run={} worker={} percent={} stood_still_ms={}",
                ToString(run.task), run.run, run.worker->record.worker.value,
                percent, base::ToMilliseconds(pace.elapsed));
  run.worker->shunned_until = time.now + this->options.sluggish_shun_time;
  run.step->tasks[run.task.index].failed_on = run.worker->record.worker;
  if (step.gang) {
    this->BreakGang(*run.step, run.run, time.now);
  } else {
    this->RequestStop(run, time.now);
  }
}

}  // namespace agatepass::pool
