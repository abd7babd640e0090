/** \file
 * The task that carries requests of callers to upstreams, over HTTP.
 */
#ifndef AGATEPASS_RELAY_RELAY_H_
#define AGATEPASS_RELAY_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_client.h"
#include "agatepass/platform/host_list.h"
#include "agatepass/relay/dispatcher.h"
#include "agatepass/relay/request.h"
#include "agatepass/relay/upstream.h"

namespace agatepass::relay {

/** Settings of one relay. */
struct RelaySettings {
  Place place;
  /** Seed of the choices of upstreams. */
  uint64_t seed = 1;
  /** How often waiting requests are looked at. */
  base::Duration tick = std::chrono::milliseconds(20);
  /** Idle connections kept open to each upstream. With none, bytes that follow
   * an answer cannot be taken for the next one; the HTTP client does not yet
   * see such bytes. */
  size_t idle_connections = 0;
};

/** Forwards requests to upstreams; one event loop, no threads.
 *
 * \code
 * Relay relay(loop, settings);
 * relay.SetServices(rules);
 * relay.SetUpstreams(hosts);
 * relay.Forward(request, [](RelayResult result) { ... });
 * \endcode
 */
class Relay {
 public:
  using Callback = std::function<void(RelayResult)>;

  Relay(base::EventLoop& loop, const RelaySettings& settings);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /** Forwards `request`. `callback` runs once, from the loop, at the request's
   * deadline at the latest, and may run before Forward returns. */
  void Forward(RelayRequest request, Callback callback);

  /** Takes a new host list. Upstreams that are leaving or gone get no new
   * request; theirs in flight finish. Rows of other roles are ignored. */
  void SetUpstreams(std::span<const platform::HostRecord> hosts);

  /** Takes the rules of all services. */
  void SetServices(std::span<const ServiceRule> rules);

  /** Takes what this entry host may use of each upstream. Upstreams that are
   * not named may be used up to the limits of their service until the first
   * call, and not at all after it. */
  void SetShares(std::span<const UpstreamShare> shares);

  /** Refuses every new request with kStopping; those accepted go on. */
  void StopAccepting();

  /** Requests accepted and not yet ended, waiting ones included. */
  size_t in_flight() const { return this->pending.size(); }

  /** Counters of decisions so far. */
  const DispatcherCounters& counters() const {
    return this->dispatcher.counters();
  }

 private:
  struct Pending {
    RelayRequest request;
    Callback callback;
    /** Largest answer that is passed on. */
    size_t answer_bytes = 0;
    base::HttpAnswer answer;
  };

  void Carry(const std::vector<Command>& commands);
  void Send(const SendCommand& command);
  void Finish(const FinishCommand& command);
  void Probe(const ProbeCommand& command);
  void OnOutcome(RequestNumber number, const base::UpstreamId& upstream,
                 base::HttpOutcome outcome);

  base::EventLoop& loop;
  Dispatcher dispatcher;
  base::HttpClient client;
  std::map<RequestNumber, Pending> pending;
  RequestNumber last_number = 0;
  std::unique_ptr<base::LoopEvent> ticker;
};

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_RELAY_H_
