#include "agatepass/pool/stall_detection.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Shortest period without progress that counts as a stall, as a run first
 * restores its checkpoint. */
constexpr base::Duration kMinSampleTime = std::chrono::milliseconds(1200);

/** Number of periods in the estimated run time: a run that needs ten times its
 * estimate still progresses by one percent in one period. */
constexpr int kSamplesPerEstimate = 8;

constexpr int kCompletePercent = 100;

}  // namespace

ProgressVerdict JudgeProgressSample(const ProgressSample& sample) {
  // A gang member that has completed its work waits for the others.
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
