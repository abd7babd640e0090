/** \file
 * Whether a run stands still.
 *
 * Answers workers whose tasks stand still while their health is good. A slow
 * run is no sign: callers' estimates are wrong by up to ten times.
 */
#ifndef AGATEPASS_POOL_STALL_DETECTION_H_
#define AGATEPASS_POOL_STALL_DETECTION_H_

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** One look at a run's progress. */
struct ProgressSample {
  /** Progress at the beginning and the end of the look, 0 to 100. */
  int percent_before = 0;
  int percent = 0;
  /** Time between the two. */
  base::Duration elapsed{0};
  /** The caller's estimate of the whole run time. */
  base::Duration estimate{0};
};

enum class ProgressVerdict : uint8_t {
  /** The look is too short to tell. */
  kTooEarly,
  kProgressing,
  kStalled,
};

/** Returns when a run should end, from how far it has come.
 * \param began when it was ordered.
 * \param seen when it had come to `percent`.
 * \param estimated the end by the caller's estimate, which stands while the
 *     run has shown too little. */
base::Instant PredictEnd(base::Instant started_at, base::Instant sampled_at,
                         int percent, base::Instant estimated_end);

/** Judges one look at a run. */
ProgressVerdict JudgeProgressSample(const ProgressSample& sample);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_STALL_DETECTION_H_
