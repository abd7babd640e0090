/** \file
 * The urgency of a step at a given time.
 */
#ifndef AGATEPASS_POOL_URGENCY_H_
#define AGATEPASS_POOL_URGENCY_H_

#include <cstdint>

#include "agatepass/base/time.h"
#include "agatepass/pool/pool_state.h"

namespace agatepass::pool {

/** Classes of urgency, the most urgent first. */
enum class Urgency : uint8_t {
  /** Within its objective, of a queue with priority 0, or long-running. */
  kUrgent,
  kInTime,
  /** Past its objective, but its job still has value. */
  kLate,
  /** Its job has no value left: it runs only where no other work needs the
   * resources. */
  kNoValue,
};

/** A job has no value after this multiple of the time that its objective
 * allows. */
inline constexpr int kNoValueAfterObjectives = 3;

/** Returns the urgency of a step at `now`. */
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
