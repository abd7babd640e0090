/** \file
 * Finds the queue and the job that a caller's call is for, on the host that
 * receives it and again on the planner if that has another configuration.
 */
#ifndef AGATEPASS_POOL_CALL_ROUTING_H_
#define AGATEPASS_POOL_CALL_ROUTING_H_

#include <cstdint>
#include <optional>

#include "agatepass/pool/configuration_replica.h"
#include "agatepass/pool/messages.h"
#include "agatepass/pool/peer_call.h"
#include "agatepass/pool/queue_index.h"

namespace agatepass::pool {

/** Result of routing a call. */
enum class Routing : uint8_t {
  kRouted,
  /** No queue takes the call's host and path. */
  kNoQueue,
  /** The path names no job, and the call needs one. */
  kNoJob,
  /** The queue is not public, and the call's API key is missing or unknown. */
  kUnauthenticated,
};

/** Sets queue, job, team, verb and configuration version of a call of kSubmit,
 * kDescribe, kCancel or kCountPending by its target. A path that ends with the
 * queue's prefix names no job: a describe of it counts the pending jobs.
 * \param call changed only if the result is kRouted. */
Routing RouteCall(const QueueIndex& index, PeerCall& call);

/** Returns the answer to a call that was not routed. */
CallerAnswer MakeUnroutedAnswer(Routing routing);

/** Has the planner's configuration decide about a call that another host has
 * routed by its own.
 * \param call is routed again if the versions differ.
 * \param now current time.
 * \return the answer, if the planner must not carry the call out: its
 *     configuration is older than one that the host knows to exist, was not
 *     known to be the newest for too long, or has no queue for the call. */
std::optional<CallerAnswer> RouteOnPlanner(const ConfigurationReplica& replica,
                                           PeerCall& call, base::Instant now);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CALL_ROUTING_H_
