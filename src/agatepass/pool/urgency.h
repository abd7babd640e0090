/** \file
 * The urgency of a step at a given time.
 */
#ifndef AGATEPASS_POOL_URGENCY_H_
#define AGATEPASS_POOL_URGENCY_H_

#include <cstdint>

#include "agatepass/base/time.h"
#include "agatepass/pool/concurrency_limit.h"
#include "agatepass/pool/pool_state.h"

namespace agatepass::pool {

/** Classes of urgency, the most urgent first. */
enum class Urgency : uint8_t {
  /** Long-running; or of a queue with priority 0 and within its objective. */
  kUrgent,
  kInTime,
  /** Past its objective, but not too late. */
  kLate,
  /** Later than kTooLateFactor times the time that its objective allows: it
   * runs only where no other work needs the resources. */
  kTooLate,
};

/** A job is too late after this multiple of the time that its objective
 * allows. */
inline constexpr int kTooLateFactor = 3;

/** Returns the time that the objective of a job, or of each of its occurrences,
 * allows. */
inline base::Duration GetObjectiveTime(const JobState& job) {
  return job.objective_end - job.accepted_at;
}

/** Returns when the time that a step's occurrence is allowed ends. */
inline base::Instant GetObjectiveEnd(const StepState& step) {
  return step.released_at + GetObjectiveTime(*step.job);
}

/** Returns the urgency of a step at `now`. */
inline Urgency GetUrgency(const StepState& step, base::Instant now) {
  const JobState& job = *step.job;
  if (step.definition->long_running) return Urgency::kUrgent;
  if (now > step.released_at + kTooLateFactor * GetObjectiveTime(job)) {
    return Urgency::kTooLate;
  }
  if (now > GetObjectiveEnd(step)) return Urgency::kLate;
  return job.policy.priority == 0 ? Urgency::kUrgent : Urgency::kInTime;
}

/** Returns whose places the starts and queries of a step take at `now`. */
inline Lane GetLane(const StepState& step, base::Instant now) {
  return GetUrgency(step, now) == Urgency::kUrgent ? Lane::kUrgent
                                                   : Lane::kOther;
}

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_URGENCY_H_
