/** \file
 * Fencing tokens of the calls to a worker.
 *
 * A worker that crashes starts again under its id. Calls that were sent to its
 * former incarnation may reach the next one, seconds late, and nothing else in
 * them tells the two apart: leases and acknowledgements would count for what
 * they were not meant for. So each incarnation is called under a fence of its
 * own, which is higher than those of the ones before it and lower than any of
 * the next planner. From its first answer under that fence on, it refuses all
 * calls that were meant for a former one.
 *
 * \code
 * // The worker starts again, and then the next planner begins its term.
 * FenceOfIncarnation(412, 0) < FenceOfIncarnation(412, 1);
 * FenceOfIncarnation(412, 1) < FenceOfIncarnation(413, 0);
 * \endcode
 */
#ifndef AGATEPASS_POOL_WORKER_FENCE_H_
#define AGATEPASS_POOL_WORKER_FENCE_H_

#include <algorithm>
#include <cstdint>

#include "agatepass/base/time.h"
#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** Time within which a worker may carry out a call that it has not answered. */
inline constexpr base::Duration kMaxCallDelay = std::chrono::seconds(15);

/** Incarnations of one worker that a planner tells apart in its term. Fences of
 * any revision below 2^33 stay exact as numbers in JSON. */
inline constexpr uint64_t kMaxIncarnationsPerTerm = uint64_t{1} << 20;

/** Returns the fence of the calls to one incarnation of a worker.
 * \param term fence of the planner's term.
 * \param former number of its former incarnations that this planner knows;
 *     those beyond kMaxIncarnationsPerTerm share the highest fence. */
constexpr Fence FenceOfIncarnation(Fence term, uint64_t former) {
  return term * kMaxIncarnationsPerTerm +
         std::min(former, kMaxIncarnationsPerTerm - 1);
}

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_WORKER_FENCE_H_
