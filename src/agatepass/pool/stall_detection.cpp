#include "agatepass/pool/stall_detection.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Shortest look: a run restores its saved progress before it goes on. */
constexpr base::Duration kShortestLook = std::chrono::milliseconds(1200);

/** Part of the estimate that a look takes: a run that needs ten times its
 * estimate still moves by a percent then. */
constexpr int kLooksInEstimate = 8;

constexpr int kWhole = 100;

/** Progress from which a run's pace is known better than by its estimate. */
constexpr int kLeastTellingPercent = 15;

}  // namespace

base::Instant PredictEnd(base::Instant began, base::Instant seen, int percent,
                         base::Instant estimated) {
  if (percent < kLeastTellingPercent) return estimated;
  return began + (seen - began) * kWhole / percent;
}

ProgressVerdict JudgeProgressSample(const ProgressSample& pace) {
  // A gang's member whose work is done waits for the others.
  if (pace.percent >= kWhole || pace.percent > pace.percent_before) {
    return ProgressVerdict::kProgressing;
  }
  const base::Duration look =
      std::max(kShortestLook, pace.estimate / kLooksInEstimate);
  return pace.elapsed < look ? ProgressVerdict::kTooEarly
                             : ProgressVerdict::kStalled;
}

}  // namespace agatepass::pool
