/** \file
 * Ranks hosts by their suitability as planner: those with more processor time
 * are preferred; the candidacy delay also considers the response time of the
 * store.
 *
 * For pools whose hosts differ: a single planner serves the whole pool, so a
 * planner on a host with little processor time slows down every call.
 */
#ifndef AGATEPASS_POOL_HOST_RANKING_H_
#define AGATEPASS_POOL_HOST_RANKING_H_

#include <cstddef>
#include <span>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"

namespace agatepass::pool {

/** A host that could be planner. */
struct PlannerCandidate {
  base::Endpoint endpoint;
  /** Processor time that it may use, as a share of one core. */
  double processor_share = 0;
};

/** Returns how long a host waits before it becomes a candidate for planner; the
 * delay is shorter for better hosts, so that one of them wins.
 * \param processor_share processor time that this host may use, as a share
 *     of one core.
 * \param store_response_time response time of the store on this host.
 * \param jitter random number from 0 to 1, to separate equal hosts. */
base::Duration ComputeCandidacyDelay(double processor_share,
                                     base::Duration store_response_time,
                                     double jitter);

/** Returns whether the planner should step down in favour of another host. Only
 * a much better host justifies the interruption by a takeover.
 * \param other the other host.
 * \param own_processor_share processor time that the planner may use, as a
 *     share of one core. */
bool IsMuchBetter(const PlannerCandidate& other, double own_processor_share);

/** Returns the standbys: hosts that poll the planner at short intervals to
 * replace it soon after it fails.
 * \param hosts hosts to choose from.
 * \param max_count maximum number of standbys.
 * \return endpoints of the standbys, best first. */
std::vector<base::Endpoint> ChooseStandbys(
    std::span<const PlannerCandidate> hosts, size_t max_count);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_HOST_RANKING_H_
