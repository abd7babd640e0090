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
  kWorthless,
};

/** A job is worth something up to this many times its objective. */
inline constexpr int kWorthTimes = 3;

/** Returns how pressing the step is. */
inline Urgency UrgencyOf(const StepState& step, base::Instant now) {
  const JobState& job = *step.job;
  if (step.definition->long_running) return Urgency::kUrgent;
  const base::Duration objective = job.objective - job.accepted_at;
  if (now > job.accepted_at + kWorthTimes * objective) {
    return Urgency::kWorthless;
  }
  if (now > job.objective) return Urgency::kLate;
  return job.policy.priority == 0 ? Urgency::kUrgent : Urgency::kInTime;
}

/** Returns how many tasks of a step fit into a room, at most `most`. */
inline uint32_t CountFits(const Step& step, platform::Resources room,
                          uint32_t most) {
  platform::Resources need = step.need;
  if (step.uses_idle_processors) need.millicores = 0;
  uint32_t fits = 0;
  while (fits < most && need.FitsIn(room)) {
    room -= need;
    ++fits;
  }
  return fits;
}

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_URGENCY_H_
