/** \file
 * Detection of stalled runs.
 *
 * Handles workers whose tasks make no progress while the workers report good
 * health. A slow run is no sign of a stall: callers' estimates are wrong by up
 * to ten times.
 */
#ifndef AGATEPASS_POOL_STALL_DETECTION_H_
#define AGATEPASS_POOL_STALL_DETECTION_H_

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** A run's progress over a period of time. */
struct ProgressSample {
  /** Progress at the beginning and at the end of the period, 0 to 100. */
  int percent_before = 0;
  int percent = 0;
  /** Length of the period. */
  base::Duration elapsed{0};
  /** The caller's estimate of the total run time. */
  base::Duration estimate{0};
};

/** Result of judging a ProgressSample. */
enum class ProgressVerdict : uint8_t {
  /** The period is too short to judge. */
  kTooEarly,
  kProgressing,
  kStalled,
};

/** Judges whether a run made progress over a period. */
ProgressVerdict JudgeProgressSample(const ProgressSample& sample);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_STALL_DETECTION_H_
