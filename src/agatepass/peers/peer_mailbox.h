/** \file
 * What the two threads of the peer network share: commands towards the network
 * thread, messages towards the event loop, and the accounts.
 */
#ifndef AGATEPASS_PEERS_PEER_MAILBOX_H_
#define AGATEPASS_PEERS_PEER_MAILBOX_H_

#include <atomic>
#include <mutex>
#include <variant>
#include <vector>

#include "agatepass/base/event_loop.h"
#include "agatepass/peers/peer_network.h"

namespace agatepass::peers {

/** Replaces the peers that can be sent to. */
struct SetPeersCommand {
  std::vector<PeerAddress> peers;
};

/** Sends one message. */
struct SendCommand {
  base::HostId to;
  Envelope envelope;
};

/** Ends the network thread. */
struct StopCommand {};

using PeerCommand = std::variant<SetPeersCommand, SendCommand, StopCommand>;

/** The shared state; each member says which thread uses it. */
struct PeerMailbox {
  /** Makes the pipe that wakes the network thread. */
  PeerMailbox();
  ~PeerMailbox();
  PeerMailbox(const PeerMailbox&) = delete;
  PeerMailbox& operator=(const PeerMailbox&) = delete;

  /** Hands a command to the network thread. */
  void Push(PeerCommand command);

  /** Takes all commands; the network thread calls it after a wake-up. */
  std::vector<PeerCommand> TakeCommands();

  /** Changes the accounts, on any thread. */
  template <typename Change>
  void Account(Change change) {
    const std::lock_guard lock(this->mutex);
    change(this->accounts);
  }

  /** Changes the account of one peer, on any thread. */
  template <typename Change>
  void AccountPeer(const base::HostId& peer, Change change) {
    const std::lock_guard lock(this->mutex);
    change(this->accounts.peers[peer]);
  }

  /** The ends of the pipe; both threads, never changed. */
  int wake_read = -1;
  int wake_write = -1;
  /** Messages on their way to the event loop; any thread. */
  std::atomic<size_t> arriving = 0;
  /** The handler, empty once the network has closed; the loop's thread. */
  PeerNetwork::Handler handler;

  std::mutex mutex;
  /** Under `mutex`. */
  std::vector<PeerCommand> commands;
  PeerAccounts accounts;
};

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_PEER_MAILBOX_H_
