/** \file
 * Calls between the hosts of a pool: callers' calls that are forwarded to the
 * planner, queries for advice that the planner delegates to other hosts, and
 * announcements of hosts (kHello). They are sent over HTTP, as its client
 * distinguishes a call that was never sent from one that may have arrived.
 */
#ifndef AGATEPASS_POOL_PEER_CALL_H_
#define AGATEPASS_POOL_PEER_CALL_H_

#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"
#include "agatepass/pool/election.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** Kind of a call. */
enum class PeerVerb : uint8_t {
  kSubmit,
  kDescribe,
  kCancel,
  kCountPending,
  /** Query the advice service on the planner's behalf. */
  kAdvise,
  /** Announce this host and learn which host is planner. */
  kHello,
  /** Ask for the update to a newer version of the configuration. */
  kConfiguration,
};

/** What a caller's request is addressed to. */
struct CallTarget {
  /** Host name, as the caller wrote it. */
  std::string host;
  std::string path;
  /** API key of the call, empty for none. Secret: it must not be logged. */
  std::string api_key;
};

/** A host's answer to kHello: the planner and the other hosts, as far as it
 * knows. */
struct HelloReply {
  std::optional<PlannerEntry> planner;
  /** Revision of the planner's key. */
  platform::Revision revision = 0;
  /** Version of the configuration in use on the host. */
  uint64_t configuration_version = 0;
  /** How long before the reply that version was last known to be the newest;
   * unset if the host does not know or does not say. */
  std::optional<base::Duration> configuration_age;
  /** Set by the planner: whether its commits to the store fail. */
  bool store_failing = false;
  /** Set by the planner: whether the receiving host is a standby, which polls
   * the planner at short intervals to replace it soon after it fails. */
  bool standby = false;
  /** Addresses of the other hosts. */
  std::vector<base::Endpoint> hosts;
};

/** One call; each field is used by the verbs named there. Calls of callers are
 * kSubmit, kDescribe, kCancel and kCountPending. */
struct PeerCall {
  PeerVerb verb = PeerVerb::kDescribe;
  /** Calls of callers: what the caller asked for, by which the planner routes
   * the call again if it has another configuration than the host. */
  CallTarget target;
  /** kDescribe, kCancel. */
  base::JobId job;
  /** kCountPending. */
  std::string queue;
  /** kSubmit. */
  Job submission;
  /** Calls of callers: version of the configuration by which the host has
   * routed the call; 0 if it has not. kHello: version in use on the host.
   * kConfiguration: version that the update shall apply to; 0 for none. */
  uint64_t configuration_version = 0;
  /** Calls of callers: newest version that the host knows to exist. */
  uint64_t newest_version = 0;
  /** kAdvise. */
  AdviceQuery query;
  /** kHello: the calling host and its address. */
  base::HostId host;
  base::Endpoint endpoint;
  /** kHello: processor time that the host may use, as a share of one core. */
  double processor_share = 0;
  /** kHello: whether the store answers the host. */
  bool store_reachable = true;
};

/** Returns the HTTP request of a call.
 * \param patience time for which this host waits for the answer to a call of a
 *     caller. */
base::HttpRequest EncodePeerCall(const PeerCall& call,
                                 base::Duration patience = base::Duration(0));

/** Whether the request is a call of a caller, which the planner answers. */
bool IsCallOfCaller(const base::HttpRequest& request);

/** Whether the request submits a job. */
bool IsSubmit(const base::HttpRequest& request);

/** Returns the time for which the host that sent a call of a caller waits for
 * the answer; a long one if it does not say. */
base::Duration GetPatience(const base::HttpRequest& request);

/** Whether the request is a hello, which is to be answered before all else. */
bool IsHello(const base::HttpRequest& request);

/** Parses a call.
 * \return the call; std::nullopt if the request is malformed. */
std::optional<PeerCall> DecodePeerCall(const base::HttpRequest& request);

/** Returns the HTTP answer to a caller's call. */
base::HttpAnswer EncodeCallerAnswer(const CallerAnswer& answer);

/** Parses the planner's answer to a caller's call.
 * \return the answer; std::nullopt if it is malformed. */
std::optional<CallerAnswer> DecodeCallerAnswer(const base::HttpAnswer& answer);

/** Returns the HTTP answer to kHello. */
base::HttpAnswer EncodeHelloReply(const HelloReply& reply);

/** Parses a host's answer to kHello.
 * \return the reply; std::nullopt if it is malformed. */
std::optional<HelloReply> DecodeHelloReply(const base::HttpAnswer& answer);

/** Returns the HTTP answer to kAdvise. */
base::HttpAnswer EncodeAdviceReply(const AdviceReply& reply);

/** Parses a host's answer to kAdvise.
 * \return the reply; `answered` is false if it is malformed. */
AdviceReply DecodeAdviceReply(const base::HttpAnswer& answer);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_PEER_CALL_H_
