/** \file
 * Calls between the hosts of a cell: callers' calls passed on to the planner,
 * and queries that the planner has other hosts ask. They travel over HTTP, as
 * its client tells a call that never left from one that may have arrived.
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

enum class PeerVerb : uint8_t {
  kSubmit,
  kDescribe,
  kCancel,
  kCountPending,
  /** Ask the advice service on the planner's behalf. */
  kAdvise,
  /** A host tells that it is there, and learns who plans. */
  kHello,
};

/** What a host answers to kHello: who plans, and which other hosts it knows. */
struct HelloReply {
  std::optional<PlannerEntry> planner;
  /** Revision of the planner's key. */
  platform::Revision revision = 0;
  /** Version of the configuration that the host goes by. */
  uint64_t configuration_version = 0;
  /** From the planner: whether the store does not take its commits. */
  bool store_failing = false;
  /** From the planner: whether the host should follow it closely, to take its
   * office soon after it is gone. */
  bool standby = false;
  std::vector<base::Endpoint> hosts;
};

/** One call. */
struct PeerCall {
  PeerVerb verb = PeerVerb::kDescribe;
  /** kDescribe, kCancel. */
  base::JobId job;
  /** kCountPending. */
  std::string queue;
  /** kSubmit. */
  Job submission;
  /** kSubmit: version of the configuration that the host goes by. */
  uint64_t configuration_version = 0;
  /** kAdvise. */
  AdviceQuery query;
  /** kHello. */
  base::HostId host;
  base::Endpoint endpoint;
  /** kHello: part of a core that the host may use. */
  double processor_share = 0;
  /** kHello: whether the store answers the host. */
  bool store_reachable = true;
};

/** Renders a call. */
base::HttpRequest EncodePeerCall(const PeerCall& call);

/** Reads a call; nothing if it is malformed. */
std::optional<PeerCall> DecodePeerCall(const base::HttpRequest& request);

/** Renders the planner's answer to a caller's call. */
base::HttpAnswer EncodeCallerAnswer(const CallerAnswer& answer);

/** Reads the planner's answer; nothing if it is malformed. */
std::optional<CallerAnswer> DecodeCallerAnswer(const base::HttpAnswer& answer);

/** Renders a host's answer to kHello. */
base::HttpAnswer EncodeHelloReply(const HelloReply& reply);

/** Reads a host's answer to kHello; nothing if it is malformed. */
std::optional<HelloReply> DecodeHelloReply(const base::HttpAnswer& answer);

/** Renders a host's answer to kAdvise. */
base::HttpAnswer EncodeAdviceReply(const AdviceReply& reply);

/** Reads a host's answer to kAdvise; not answered if it is malformed. */
AdviceReply DecodeAdviceReply(const base::HttpAnswer& answer);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_PEER_CALL_H_
