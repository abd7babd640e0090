#include "agatepass/pool/stall_detection.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Shortest look: a run restores its saved progress before it goes on. */
constexpr base::Duration kMinSampleTime = std::chrono::milliseconds(1200);

/** Part of the estimate that a look takes: a run that needs ten times its
 * estimate still moves by a percent then. */
constexpr int kSamplesPerEstimate = 8;

constexpr int kCompletePercent = 100;

/** Progress from which a run's pace is known better than by its estimate. */
constexpr int kMinReliablePercent = 15;

}  // namespace

base::Instant PredictEnd(base::Instant started_at, base::Instant sampled_at,
                         int percent, base::Instant estimated_end) {
  if (percent < kMinReliablePercent) return estimated_end;
  return started_at + (sampled_at - started_at) * kCompletePercent / percent;
}

ProgressVerdict JudgeProgressSample(const ProgressSample& sample) {
  // A gang's member whose work is done waits for the others.
  if (sample.percent >= kCompletePercent ||
      sample.percent > sample.percent_before) {
    return ProgressVerdict::kProgressing;
  }
  const base::Duration min_elapsed =
      std::max(kMinSampleTime, sample.estimate / kSamplesPerEstimate);
  return sample.elapsed < min_elapsed ? ProgressVerdict::kTooEarly
                                      : ProgressVerdict::kStalled;
}

}  // namespace agatepass::pool
