#include "agatepass/peers/peer_reactor.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <array>
#include <mutex>

#include "agatepass/peers/envelope_codec.h"
#include "agatepass/peers/metered_stream.h"
#include "agatepass/peers/peer_link.h"
#include "fmt/format.h"

namespace agatepass::peers {
namespace {

constexpr kj::Duration kTickPeriod = 50 * kj::MILLISECONDS;
// Messages on their way to the event loop at most; more are refused.
constexpr size_t kMostArriving = 16384;
constexpr size_t kMostAccepted = 512;

/** Sets up the library's loop on this thread.
 *
 * Its first use on any thread fills tables of the library. The lock orders that
 * before the use on others, also for the thread sanitizer, which cannot see the
 * library's own order.
 */
kj::AsyncIoContext SetUpLoop() {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  return kj::setupAsyncIo();
}

/** Takes messages of peers in and posts them to the event loop. */
class Receiver final : public wire::Peer::Server {
 public:
  Receiver(base::EventLoop& loop, std::shared_ptr<PeerMailbox> mailbox,
           base::Instant& last_message)
      : loop(loop), mailbox(std::move(mailbox)), last_message(last_message) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    this->last_message = base::MonotonicClock::now();
    absl::StatusOr<Envelope> envelope =
        ReadEnvelope(context.getParams().getEnvelope());
    if (!envelope.ok() || this->mailbox->arriving >= kMostArriving) {
      this->mailbox->Account(
          [](PeerAccounts& accounts) { ++accounts.messages_refused; });
      return KJ_EXCEPTION(FAILED, "the message was refused");
    }
    ++this->mailbox->arriving;
    this->loop.Post(
        [mailbox = this->mailbox, envelope = *std::move(envelope)]() mutable {
          --mailbox->arriving;
          if (mailbox->handler) mailbox->handler(std::move(envelope));
        });
    return kj::READY_NOW;
  }

 private:
  base::EventLoop& loop;
  std::shared_ptr<PeerMailbox> mailbox;
  base::Instant& last_message;
};

/** One connection that a peer has made. */
struct Accepted {
  Accepted(kj::Own<kj::AsyncIoStream> stream, base::EventLoop& loop,
           const std::shared_ptr<PeerMailbox>& mailbox)
      : last_message(base::MonotonicClock::now()),
        stream(kj::mv(stream)),
        network(*this->stream, capnp::rpc::twoparty::Side::SERVER,
                PeerReaderOptions()),
        system(capnp::makeRpcServer(
            this->network,
            kj::heap<Receiver>(loop, mailbox, this->last_message))) {}

  base::Instant last_message;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

/** Everything that lives on the network thread. */
class Reactor final : public kj::TaskSet::ErrorHandler {
 public:
  Reactor(base::EventLoop& loop, const PeerNetworkOptions& options,
          std::shared_ptr<PeerMailbox> mailbox, int listen_descriptor)
      : loop(loop),
        options(options),
        mailbox(std::move(mailbox)),
        io(SetUpLoop()),
        wake(this->io.lowLevelProvider->wrapInputFd(this->mailbox->wake_read)),
        listener(this->io.lowLevelProvider->wrapListenSocketFd(
            listen_descriptor, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP)),
        stopped(kj::newPromiseAndFulfiller<void>()),
        tasks(*this) {}

  void Run() {
    this->tasks.add(this->ReadCommands());
    this->tasks.add(this->Accept());
    this->tasks.add(this->Tick());
    this->stopped.promise.wait(this->io.waitScope);
  }

  void taskFailed(kj::Exception&& fault) override { (void)fault; }

 private:
  kj::Promise<void> ReadCommands() {
    return this->wake
        ->tryRead(this->wake_bytes.data(), 1, this->wake_bytes.size())
        .then([this](size_t) {
          for (PeerCommand& command : this->mailbox->TakeCommands()) {
            std::visit([this](auto& kind) { this->Obey(kind); }, command);
          }
          return this->ReadCommands();
        });
  }

  void Obey(SetPeersCommand& command) {
    std::map<base::HostId, std::unique_ptr<PeerLink>> kept;
    for (PeerAddress& address : command.peers) {
      std::unique_ptr<PeerLink>& link = kept[address.host];
      const auto old = this->links.find(address.host);
      if (old != this->links.end() && old->second->address() == address) {
        link = std::move(old->second);
      } else {
        link = std::make_unique<PeerLink>(std::move(address), this->options,
                                          *this->mailbox, this->io,
                                          this->options.seed + ++this->seeds);
      }
    }
    this->links = std::move(kept);
  }

  void Obey(SendCommand& command) {
    const auto link = this->links.find(command.to);
    if (link != this->links.end()) {
      link->second->Send(std::move(command.envelope));
    }
  }

  void Obey(StopCommand&) { this->stopped.fulfiller->fulfill(); }

  kj::Promise<void> Accept() {
    return this->listener->accept().then(
        [this](kj::Own<kj::AsyncIoStream> stream) {
          this->TakeIn(kj::mv(stream));
          return this->Accept();
        },
        [this](kj::Exception&&) {
          // Such as no descriptor left: try again, but not at once.
          return this->io.provider->getTimer()
              .afterDelay(kTickPeriod)
              .then([this] { return this->Accept(); });
        });
  }

  void TakeIn(kj::Own<kj::AsyncIoStream> stream) {
    if (this->accepted.size() >= kMostAccepted) return;  // Closes it.
    this->mailbox->Account(
        [](PeerAccounts& accounts) { ++accounts.connections_accepted; });
    auto metered = kj::heap<MeteredStream>(
        kj::mv(stream), [this](size_t sent, size_t received) {
          this->mailbox->Account([&](PeerAccounts& accounts) {
            accounts.accepted_bytes_sent += sent;
            accounts.accepted_bytes_received += received;
          });
        });
    const uint64_t id = ++this->last_accepted;
    auto connection =
        kj::heap<Accepted>(kj::mv(metered), this->loop, this->mailbox);
    auto gone = connection->network.onDisconnect();
    this->accepted.emplace(id, kj::mv(connection));
    this->tasks.add(
        gone.then([this, id] { this->Close(id); },
                  [this, id](kj::Exception&&) { this->Close(id); }));
  }

  void Close(uint64_t id) {
    const auto entry = this->accepted.find(id);
    if (entry == this->accepted.end()) return;
    // Destroyed from the loop: this may run inside one of its own events.
    this->tasks.add(kj::evalLater(
        [old = kj::mv(entry->second)]() mutable { old = nullptr; }));
    this->accepted.erase(entry);
  }

  kj::Promise<void> Tick() {
    return this->io.provider->getTimer().afterDelay(kTickPeriod).then([this] {
      const base::Instant now = base::MonotonicClock::now();
      for (auto& [host, link] : this->links) link->Tick(now);
      std::vector<uint64_t> idle;
      for (const auto& [id, connection] : this->accepted) {
        if (now - connection->last_message >= this->options.idle_time) {
          idle.push_back(id);
        }
      }
      for (const uint64_t id : idle) this->Close(id);
      return this->Tick();
    });
  }

  base::EventLoop& loop;
  const PeerNetworkOptions& options;
  std::shared_ptr<PeerMailbox> mailbox;
  kj::AsyncIoContext io;
  kj::Own<kj::AsyncInputStream> wake;
  std::array<char, 64> wake_bytes{};
  kj::Own<kj::ConnectionReceiver> listener;
  std::map<base::HostId, std::unique_ptr<PeerLink>> links;
  std::map<uint64_t, kj::Own<Accepted>> accepted;
  uint64_t last_accepted = 0;
  uint64_t seeds = 0;
  kj::PromiseFulfillerPair<void> stopped;
  kj::TaskSet tasks;
};

}  // namespace

void RunPeerReactor(base::EventLoop& loop, const PeerNetworkOptions& options,
                    const std::shared_ptr<PeerMailbox>& mailbox,
                    int listen_descriptor) {
  Reactor(loop, options, mailbox, listen_descriptor).Run();
}

}  // namespace agatepass::peers
