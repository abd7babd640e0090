/** \file
 * How pressing a step is at a moment.
 */
#ifndef AGATEPASS_POOL_URGENCY_H_
#define AGATEPASS_POOL_URGENCY_H_

#include <cstdint>

#include "agatepass/base/time.h"
#include "agatepass/pool/pool_state.h"

namespace agatepass::pool {

/** Most pressing first. */
enum class Urgency : uint8_t {
  /** In time, of a queue that comes first. */
  kUrgent,
  kInTime,
  /** Past its objective, and still worth something. */
  kLate,
  /** Done only where nothing else wants the room. */
  kNoValue,
};

/** A job is worth something up to this many times its objective. */
inline constexpr int kNoValueAfterObjectives = 3;

/** Returns how pressing the step is. */
inline Urgency GetUrgency(const StepState& step, base::Instant now) {
  const JobState& job = *step.job;
  if (step.definition->long_running) return Urgency::kUrgent;
  const base::Duration objective = job.objective - job.accepted_at;
  if (now > job.accepted_at + kNoValueAfterObjectives * objective) {
    return Urgency::kNoValue;
  }
  if (now > job.objective) return Urgency::kLate;
  return job.policy.priority == 0 ? Urgency::kUrgent : Urgency::kInTime;
}

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_URGENCY_H_
