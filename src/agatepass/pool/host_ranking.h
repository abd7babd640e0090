/** \file
 * Which hosts should plan: those with more processor, near the store.
 *
 * Answers cells whose hosts differ: one planner carries the whole pool, and on
 * a host with little processor everybody waits for it.
 */
#ifndef AGATEPASS_POOL_HOST_RANKING_H_
#define AGATEPASS_POOL_HOST_RANKING_H_

#include <cstddef>
#include <span>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"

namespace agatepass::pool {

/** What is known of a host as a planner. */
struct PlannerCandidate {
  base::Endpoint endpoint;
  /** Part of a core that it may use. */
  double processor_share = 0;
};

/** Returns how long a host waits before it stands for planner, so that better
 * hosts are first.
 * \param store_answer how long the store takes to answer this host.
 * \param draw a random number from 0 to 1, to keep equal hosts apart. */
base::Duration ComputeCandidacyDelay(double processor_share,
                                     base::Duration store_response_time,
                                     double jitter);

/** Whether the planner should leave office for the other host: only a clearly
 * better one is worth a takeover. */
bool IsMuchBetter(const PlannerCandidate& other, double own_processor_share);

/** Returns the hosts that follow the planner closely, to take its office soon
 * after it is gone; at most `most`, best first. */
std::vector<base::Endpoint> ChooseStandbys(
    std::span<const PlannerCandidate> hosts, size_t max_count);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_HOST_RANKING_H_
