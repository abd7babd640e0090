/** \file
 * The task that carries messages between entry hosts: Cap'n Proto RPC over TCP,
 * on a thread with an event loop of its own.
 */
#ifndef AGATEPASS_PEERS_PEER_NETWORK_H_
#define AGATEPASS_PEERS_PEER_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <thread>

#include "absl/status/status.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"
#include "agatepass/peers/messages.h"

namespace agatepass::peers {

/** Where an entry host listens for its peers. */
struct PeerAddress {
  base::HostId host;
  base::Endpoint endpoint;

  bool operator==(const PeerAddress&) const = default;
};

/** Settings of the network task. */
struct PeerNetworkOptions {
  /** Where to listen; port 0 takes a free one, see endpoint(). */
  base::Endpoint listen;
  base::HostId own_host;
  Incarnation incarnation = 0;
  /** Time within which a peer has to acknowledge a message; its connection is
   * replaced afterwards. */
  base::Duration acknowledge_timeout = std::chrono::milliseconds(1500);
  /** Wait before the first reconnection; doubles up to `longest_backoff`. */
  base::Duration first_backoff = std::chrono::milliseconds(100);
  base::Duration longest_backoff = std::chrono::seconds(2);
  /** Messages kept for each peer while it does not acknowledge. */
  size_t queue_messages = 1024;
  /** Bytes of messages kept for each peer. */
  size_t queue_bytes = 8 * 1024 * 1024;
  /** Time without a message after which an accepted connection is closed. */
  base::Duration idle_time = std::chrono::seconds(30);
  /** Seed of the jitter of reconnections. */
  uint64_t seed = 1;
};

/** Accounts of the traffic with one peer. */
struct PeerTraffic {
  /** Bytes on the connections made by this host, with Cap'n Proto's own. */
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t messages_sent = 0;
  uint64_t messages_acknowledged = 0;
  /** Messages that were given up: queue full, connection lost, time-out. */
  uint64_t messages_dropped = 0;
  uint64_t connections_made = 0;
  /** Connections given up as they did not acknowledge. */
  uint64_t connections_replaced = 0;
};

/** Accounts of all traffic. */
struct PeerAccounts {
  std::map<base::HostId, PeerTraffic> peers;
  /** Bytes on the connections made by peers. */
  uint64_t accepted_bytes_received = 0;
  uint64_t accepted_bytes_sent = 0;
  /** Messages that were malformed, or came faster than they were handled. */
  uint64_t messages_refused = 0;
  uint64_t connections_accepted = 0;
};

struct PeerMailbox;

/** Sends and receives messages between entry hosts, best effort.
 *
 * All calls are made on the libevent loop's thread, and handlers run there. A
 * message is delivered at most once; one that is lost is not sent again.
 *
 * \code
 * PeerNetwork network(loop, {.listen = {"127.0.0.1", 7100},
 *                            .own_host = HostId("uus-a-e1"),
 *                            .incarnation = 7});
 * network.OnMessage([&](Envelope envelope) { host.Receive(envelope); });
 * absl::Status status = network.Start();
 * network.SetPeers(addresses);
 * network.Send(HostId("uus-a-e2"), heartbeat);
 * \endcode
 */
class PeerNetwork {
 public:
  using Handler = std::function<void(Envelope)>;

  PeerNetwork(base::EventLoop& loop, const PeerNetworkOptions& options);
  /** Closes all connections and ends the thread. */
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /** Sets the handler of messages received; set it before Start. */
  void OnMessage(Handler handler);

  /** Binds, listens and starts the thread.
   * \return kInvalidRequest with the address named if it cannot be bound.
   */
  absl::Status Start();

  /** Sets the peers that can be sent to; connections to others are closed. */
  void SetPeers(std::span<const PeerAddress> peers);

  /** Sends `message` to `peer`, best effort.
   * \param request_id pairs an answer with its query; 0 for none.
   * \return whether `peer` is known; nothing is sent to others.
   */
  bool Send(const base::HostId& peer, Message message, uint64_t request_id = 0);

  /** The address listened on, with the real port. */
  const base::Endpoint& endpoint() const { return this->bound; }

  /** Returns the accounts as of now. */
  PeerAccounts accounts() const;

 private:
  base::EventLoop& loop;
  PeerNetworkOptions options;
  base::Endpoint bound;
  std::shared_ptr<PeerMailbox> mailbox;
  std::set<base::HostId> known_peers;
  std::thread thread;
};

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_PEER_NETWORK_H_
