/** \file
 * Every decision on requests to upstreams: admit, wait, send, retry, give up.
 * It has no clock and no sockets; events come in and commands go out.
 */
#ifndef AGATEPASS_RELAY_DISPATCHER_H_
#define AGATEPASS_RELAY_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "agatepass/relay/admission.h"
#include "agatepass/relay/request.h"
#include "agatepass/relay/retry_policy.h"
#include "agatepass/relay/upstream_pool.h"

namespace agatepass::relay {

/** What the decisions need to know of a request. */
struct RequestFacts {
  RequestNumber number = 0;
  base::ServiceId service;
  RequestClass request_class = RequestClass::kInteractive;
  std::string label;
  bool idempotent = false;
  base::Instant deadline;
  /** Bytes to be sent, for the budget of other regions. */
  size_t bytes = 0;
};

/** Send the request to an upstream, and report with OnAttemptEnd. */
struct SendCommand {
  RequestNumber request = 0;
  base::UpstreamId upstream;
  base::Endpoint endpoint;
  /** Time allowed, also for the deadline header. */
  base::Duration timeout{0};
};

/** Answer the caller: nothing more will be done for the request. */
struct FinishCommand {
  RequestNumber request = 0;
  base::ResultCode code = base::ResultCode::kInternal;
  base::Duration retry_after{0};
  int attempts = 0;
  std::string message;
};

/** Ask an upstream for a sign of life, and report with OnProbeEnd. */
struct ProbeCommand {
  base::ServiceId service;
  base::UpstreamId upstream;
  base::Endpoint endpoint;
};

using Command = std::variant<SendCommand, FinishCommand, ProbeCommand>;

/** Counts of decisions, for metrics. */
struct DispatcherCounters {
  uint64_t submitted = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t unknown = 0;
  uint64_t sent = 0;
  uint64_t retried = 0;
  uint64_t probes = 0;
};

/** Decides what happens to each request.
 *
 * \code
 * Dispatcher dispatcher(place, seed);
 * dispatcher.SetServices(rules);
 * for (const Command& command : dispatcher.Submit(facts, now)) ...
 * \endcode
 */
class Dispatcher {
 public:
  Dispatcher(const Place& place, uint64_t seed) : place(place), random(seed) {}

  /** Takes the rules of all services; requests that wait for a service that is
   * gone are refused. */
  std::vector<Command> SetServices(std::span<const ServiceRule> rules,
                                   base::Instant now);

  /** Takes a new host list. */
  std::vector<Command> SetUpstreams(std::span<const platform::HostRecord> hosts,
                                    base::Instant now);

  /** Takes what this entry host may use of each upstream. */
  std::vector<Command> SetShares(std::span<const UpstreamShare> shares,
                                 base::Instant now);

  /** Refuses new requests from now on. */
  void StopAccepting() { this->stopping = true; }

  /** A new request. */
  std::vector<Command> Submit(const RequestFacts& facts, base::Instant now);

  /** The end of the attempt that a SendCommand asked for.
   *
   * \param why what went wrong, for the caller.
   */
  std::vector<Command> OnAttemptEnd(RequestNumber number, AttemptEnd end,
                                    std::string_view why, base::Instant now);

  /** The end of a probe. */
  std::vector<Command> OnProbeEnd(const base::ServiceId& service,
                                  const base::UpstreamId& upstream,
                                  bool answered, base::Instant now);

  /** An upstream has said in an answer that it is leaving. */
  void OnLeavingNotice(const base::ServiceId& service,
                       const base::UpstreamId& upstream);

  /** Time has passed: gives up what cannot finish, and sends probes. */
  std::vector<Command> OnTick(base::Instant now);

  /** Requests that wait or are in flight. */
  size_t size() const { return this->requests.size(); }

  const DispatcherCounters& counters() const { return this->counts; }

  /** The upstreams of `service`; null if there is no such service. */
  const UpstreamPool* Pool(const base::ServiceId& service) const;

 private:
  struct Request {
    RequestFacts facts;
    base::UpstreamId upstream;
    base::Instant sent_at;
    int attempts = 0;
    bool may_have_run = false;
    std::vector<base::UpstreamId> failed;
  };

  /** One service. */
  struct Service {
    UpstreamPool pool;
    AdmissionQueue queue;
    RetryBudget retries;
    /** Bytes that may still be sent to other regions; below zero is owed. */
    double cross_region_room = 0;
    base::Instant refilled_at;
  };

  bool TrySend(Service& service, Request& request, base::Instant now,
               std::vector<Command>* commands);
  void OfferWaiting(Service& service, base::Instant now,
                    std::vector<Command>* commands);
  void OnFailedAttempt(Service& service, Request& request, AttemptEnd end,
                       std::string_view why, base::Instant now,
                       std::vector<Command>* commands);
  std::vector<Command> Refuse(const RequestFacts& facts, base::ResultCode code,
                              base::Duration retry_after, std::string message);
  void Finish(const Request& request, FinishCommand finish,
              std::vector<Command>* commands);
  void GiveUpHopeless(Service& service, base::Instant now,
                      std::vector<Command>* commands);
  static void Refill(Service& service, base::Instant now);

  Place place;
  std::mt19937_64 random;
  bool stopping = false;
  std::map<base::ServiceId, Service> services;
  std::map<RequestNumber, Request> requests;
  std::vector<platform::HostRecord> hosts;
  std::vector<UpstreamShare> shares;
  bool has_shares = false;
  DispatcherCounters counts;
};

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_DISPATCHER_H_
