/** \file
 * The connection to one peer, with its queue: connects on demand, replaces
 * connections that do not acknowledge.
 */
#ifndef AGATEPASS_PEERS_PEER_LINK_H_
#define AGATEPASS_PEERS_PEER_LINK_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <deque>
#include <memory>
#include <random>

#include "agatepass/peers/generated/peer.capnp.h"
#include "agatepass/peers/peer_mailbox.h"

namespace agatepass::peers {

/** One outgoing connection with the RPC system on it. */
struct PeerConnection {
  PeerConnection(kj::Own<kj::AsyncIoStream> stream,
                 const capnp::ReaderOptions& options);

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
  wire::Peer::Client peer;
};

/** The way to one peer. Lives on the network thread. */
class PeerLink {
 public:
  PeerLink(PeerAddress address, const PeerNetworkOptions& options,
           PeerMailbox& mailbox, kj::AsyncIoContext& io, uint64_t seed);

  /** Queues a message; the oldest are dropped where the queue is full. */
  void Send(Envelope envelope);

  /** Gives up what waits too long and connects again where that is due. */
  void Tick(base::Instant now);

  const PeerAddress& address() const { return this->where; }

 private:
  struct Queued {
    Envelope envelope;
    size_t bytes = 0;
  };

  void Connect();
  void Connected(kj::Own<kj::AsyncIoStream> stream);
  void Flush();
  void Transmit(const Envelope& envelope);
  void Acknowledged(uint64_t generation, uint64_t number);
  void Failed(uint64_t generation, uint64_t number, bool refused);
  void Drop(bool silent);
  void DropFront();
  void CountDropped(uint64_t messages);

  PeerAddress where;
  const PeerNetworkOptions& options;
  PeerMailbox& mailbox;
  kj::AsyncIoContext& io;
  std::mt19937_64 random;

  std::deque<Queued> queue;
  size_t queued_bytes = 0;
  kj::Maybe<kj::Own<PeerConnection>> connection;
  kj::Maybe<kj::Promise<void>> connecting;
  // Counts connections, so that ends of calls on earlier ones are told apart.
  uint64_t generation = 0;
  uint64_t last_number = 0;
  /** Calls without an acknowledgement, by number, with the time of sending. */
  std::map<uint64_t, base::Instant> in_flight;
  base::Instant connect_began;
  base::Instant connect_after;
  base::Duration backoff;
  // Last, so that ends of calls find the rest alive while it is torn down.
  std::unique_ptr<kj::TaskSet::ErrorHandler> ignore_errors;
  kj::TaskSet tasks;
};

/** The options for reading messages of peers: bounds what hostile bytes cost.
 */
capnp::ReaderOptions PeerReaderOptions();

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_PEER_LINK_H_
