#include "agatepass/pool/run_prediction.h"

namespace agatepass::pool {

namespace {

constexpr int kCompletePercent = 100;

/** Progress from which the end of a run is predicted better by it than by the
 * caller's estimate. */
constexpr int kMinReliablePercent = 15;

/** Returns the progress in percent that this planner has seen the run make. */
int SeenProgress(const RunState& run) {
  if (!run.first_progress) return 0;
  return run.last_progress.percent - run.first_progress->percent;
}

/** Whether progress or an estimate tells when the run ends. */
bool HasPrediction(const RunState& run) {
  if (run.step == nullptr || run.step->definition->long_running) return false;
  return run.step->definition->estimate.count() > 0 ||
         SeenProgress(run) >= kMinReliablePercent;
}

}  // namespace

base::Instant PredictEnd(const RunState& run) {
  const int seen = SeenProgress(run);
  if (seen < kMinReliablePercent) return run.expected_end;
  const ProgressPoint& last = run.last_progress;
  return last.at + (last.at - run.first_progress->at) *
                       (kCompletePercent - last.percent) / seen;
}

std::optional<base::Instant> PredictRelease(const RunState& run,
                                            base::Instant now) {
  base::Instant end;
  if (run.phase == RunPhase::kStopping) {
    end = run.stop_requested_at + kExpectedStopTime;
  } else if (HasPrediction(run)) {
    end = PredictEnd(run);
  } else {
    return std::nullopt;
  }
  return end > now ? end : now + (now - end);
}

}  // namespace agatepass::pool
