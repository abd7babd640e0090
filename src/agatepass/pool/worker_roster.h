/** \file
 * The stored roster of the workers that may have runs.
 *
 * The next planner waits for these workers before it starts work of earlier
 * terms. For how long, if it does not reach one, depends on the leases that the
 * worker may have. A call that was meant for a former incarnation names a time
 * on another clock, and can bring the longest lease that a worker grants. So
 * the roster names the incarnations that have had no such lease for sure: those
 * that a planner has called under their own fence for longer than any lease
 * lasts. It names them by their start times, which are compared for equality
 * only; no time of day of any machine matters.
 *
 * \code
 * WorkerRoster roster{.workers = {w0, w1}, .settled = {{w0,
 * w0_started_at_ms}}};
 * EXPECT_EQ(DecodeWorkerRoster(EncodeWorkerRoster(roster)), roster);
 * \endcode
 */
#ifndef AGATEPASS_POOL_WORKER_ROSTER_H_
#define AGATEPASS_POOL_WORKER_ROSTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/platform/store.h"

namespace agatepass::pool {

/** The stored roster of the workers that may have runs of earlier terms. */
struct WorkerRoster {
  std::vector<base::WorkerId> workers;
  /** Start times of the settled incarnations, in Unix milliseconds as they
   * report them. While an incarnation that is not settled may have runs, its
   * worker is not in here. */
  std::map<base::WorkerId, int64_t> settled;
  /** Revision of the roster in the store; 0 if there is none. It is not part of
   * the record. */
  platform::Revision revision = 0;

  bool operator==(const WorkerRoster&) const = default;
};

/** Encodes a roster: one worker a line, with the start time of its settled
 * incarnation, if any, after a tab. */
std::string EncodeWorkerRoster(const WorkerRoster& roster);

/** Decodes a roster. A start time that is not a number is left out: then the
 * worker counts as not settled. */
WorkerRoster DecodeWorkerRoster(std::string_view text);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_WORKER_ROSTER_H_
