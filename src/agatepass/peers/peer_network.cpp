#include "agatepass/peers/peer_network.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "agatepass/base/result_code.h"
#include "agatepass/peers/peer_mailbox.h"
#include "agatepass/peers/peer_reactor.h"
#include "fmt/format.h"

namespace agatepass::peers {
namespace {

constexpr int kListenBacklog = 128;

/** Binds and listens; sets the real port in `endpoint`. Returns -1 on failure.
 */
int Listen(base::Endpoint& endpoint) {
  sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(endpoint.port)};
  if (::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1) {
    return -1;
  }
  const int descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t length = sizeof(address);
  if (::bind(descriptor, generic, length) != 0 ||
      ::listen(descriptor, kListenBacklog) != 0 ||
      ::getsockname(descriptor, generic, &length) != 0) {
    ::close(descriptor);
    return -1;
  }
  endpoint.port = ntohs(address.sin_port);
  return descriptor;
}

}  // namespace

PeerNetwork::PeerNetwork(base::EventLoop& loop,
                         const PeerNetworkOptions& options)
    : loop(loop),
      options(options),
      bound(options.listen),
      mailbox(std::make_shared<PeerMailbox>()) {}

PeerNetwork::~PeerNetwork() {
  this->mailbox->handler = nullptr;
  if (!this->thread.joinable()) return;
  this->mailbox->Push(StopCommand{});
  this->thread.join();
}

void PeerNetwork::OnMessage(Handler handler) {
  this->mailbox->handler = std::move(handler);
}

absl::Status PeerNetwork::Start() {
  const int descriptor = Listen(this->bound);
  if (descriptor < 0 || this->mailbox->wake_read < 0) {
    return base::ErrorStatus(
        base::ResultCode::kInvalidRequest,
        fmt::format("peer address {} cannot be listened on",
                    this->options.listen.ToString()));
  }
  this->thread = std::thread(
      [&loop = this->loop, options = this->options, mailbox = this->mailbox,
       descriptor] { RunPeerReactor(loop, options, mailbox, descriptor); });
  return absl::OkStatus();
}

void PeerNetwork::SetPeers(std::span<const PeerAddress> peers) {
  SetPeersCommand command;
  this->known_peers.clear();
  for (const PeerAddress& peer : peers) {
    if (peer.host == this->options.own_host) continue;
    this->known_peers.insert(peer.host);
    command.peers.push_back(peer);
  }
  this->mailbox->Push(std::move(command));
}

bool PeerNetwork::Send(const base::HostId& peer, Message message,
                       uint64_t request_id) {
  if (!this->known_peers.contains(peer)) return false;
  this->mailbox->Push(
      SendCommand{.to = peer,
                  .envelope = {.sender = this->options.own_host,
                               .incarnation = this->options.incarnation,
                               .request_id = request_id,
                               .message = std::move(message)}});
  return true;
}

PeerAccounts PeerNetwork::accounts() const {
  const std::lock_guard lock(this->mailbox->mutex);
  return this->mailbox->accounts;
}

}  // namespace agatepass::peers
