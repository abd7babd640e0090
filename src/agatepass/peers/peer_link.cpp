#include "agatepass/peers/peer_link.h"

#include <algorithm>

#include "agatepass/peers/codec.h"
#include "agatepass/peers/envelope_codec.h"
#include "agatepass/peers/metered_stream.h"

namespace agatepass::peers {
namespace {

// Calls that wait for an acknowledgement at a time; the rest waits in the
// queue.
constexpr size_t kMostInFlight = 256;

class IgnoreErrors final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&& fault) override { (void)fault; }
};

capnp::MallocMessageBuilder& ServerId() {
  static thread_local capnp::MallocMessageBuilder message;
  return message;
}

capnp::rpc::twoparty::VatId::Reader ServerVat() {
  auto id = ServerId().getRoot<capnp::rpc::twoparty::VatId>();
  id.setSide(capnp::rpc::twoparty::Side::SERVER);
  return id.asReader();
}

base::Instant Now() { return base::MonotonicClock::now(); }

}  // namespace

capnp::ReaderOptions PeerReaderOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      2 * kMaximumEnvelopeBytes / sizeof(capnp::word);
  return options;
}

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> stream,
                               const capnp::ReaderOptions& options)
    : stream(kj::mv(stream)),
      network(*this->stream, capnp::rpc::twoparty::Side::CLIENT, options),
      system(capnp::makeRpcClient(this->network)),
      peer(this->system.bootstrap(ServerVat()).castAs<wire::Peer>()) {}

PeerLink::PeerLink(PeerAddress address, const PeerNetworkOptions& options,
                   PeerMailbox& mailbox, kj::AsyncIoContext& io, uint64_t seed)
    : where(std::move(address)),
      options(options),
      mailbox(mailbox),
      io(io),
      random(seed),
      connect_after(Now()),
      backoff(options.first_backoff),
      ignore_errors(std::make_unique<IgnoreErrors>()),
      tasks(*this->ignore_errors) {}

void PeerLink::CountDropped(uint64_t messages) {
  if (messages == 0) return;
  this->mailbox.AccountPeer(this->where.host, [&](PeerTraffic& traffic) {
    traffic.messages_dropped += messages;
  });
}

void PeerLink::DropFront() {
  this->queued_bytes -= this->queue.front().bytes;
  this->queue.pop_front();
  this->CountDropped(1);
}

void PeerLink::Send(Envelope envelope) {
  const size_t bytes = EncodeEnvelope(envelope).size();
  if (bytes > kMaximumEnvelopeBytes) {
    this->CountDropped(1);
    return;
  }
  this->queue.push_back({.envelope = std::move(envelope), .bytes = bytes});
  this->queued_bytes += bytes;
  while (this->queue.size() > this->options.queue_messages ||
         this->queued_bytes > this->options.queue_bytes) {
    this->DropFront();
  }
  this->Flush();
}

void PeerLink::Flush() {
  if (this->connection == nullptr) {
    if (this->connecting == nullptr && Now() >= this->connect_after) {
      this->Connect();
    }
    return;
  }
  while (!this->queue.empty() && this->in_flight.size() < kMostInFlight) {
    const Queued next = std::move(this->queue.front());
    this->queue.pop_front();
    this->queued_bytes -= next.bytes;
    this->Transmit(next.envelope);
  }
}

void PeerLink::Connect() {
  this->connect_began = Now();
  auto& network = this->io.provider->getNetwork();
  const std::string address = this->where.endpoint.ToString();
  this->connecting = network.parseAddress(address.c_str())
                         .then([](kj::Own<kj::NetworkAddress> parsed) {
                           auto promise = parsed->connect();
                           return promise.attach(kj::mv(parsed));
                         })
                         .then([this](kj::Own<kj::AsyncIoStream> stream) {
                           this->Connected(kj::mv(stream));
                         })
                         .eagerlyEvaluate([this](kj::Exception&&) {
                           // The promise may not be destroyed from within
                           // itself.
                           this->connect_began = base::Instant::min();
                         });
}

void PeerLink::Connected(kj::Own<kj::AsyncIoStream> stream) {
  ++this->generation;
  auto metered = kj::heap<MeteredStream>(
      kj::mv(stream), [this](size_t sent, size_t received) {
        this->mailbox.AccountPeer(this->where.host, [&](PeerTraffic& traffic) {
          traffic.bytes_sent += sent;
          traffic.bytes_received += received;
        });
      });
  this->connection =
      kj::heap<PeerConnection>(kj::mv(metered), PeerReaderOptions());
  this->mailbox.AccountPeer(this->where.host, [](PeerTraffic& traffic) {
    ++traffic.connections_made;
  });
  this->Flush();
}

void PeerLink::Transmit(const Envelope& envelope) {
  KJ_IF_MAYBE (open, this->connection) {
    auto request = (*open)->peer.deliverRequest();
    WriteEnvelope(envelope, request.initEnvelope());
    const uint64_t number = ++this->last_number;
    const uint64_t own = this->generation;
    this->in_flight.emplace(number, Now());
    this->mailbox.AccountPeer(this->where.host, [](PeerTraffic& traffic) {
      ++traffic.messages_sent;
    });
    this->tasks.add(request.send().then(
        [this, own, number](auto&&) { this->Acknowledged(own, number); },
        [this, own, number](kj::Exception&& fault) {
          this->Failed(own, number,
                       fault.getType() != kj::Exception::Type::DISCONNECTED);
        }));
  }
}

void PeerLink::Acknowledged(uint64_t generation, uint64_t number) {
  if (generation != this->generation || this->in_flight.erase(number) == 0) {
    return;
  }
  this->backoff = this->options.first_backoff;
  this->mailbox.AccountPeer(this->where.host, [](PeerTraffic& traffic) {
    ++traffic.messages_acknowledged;
  });
  this->Flush();
}

void PeerLink::Failed(uint64_t generation, uint64_t number, bool refused) {
  if (generation != this->generation || this->in_flight.erase(number) == 0) {
    return;
  }
  this->CountDropped(1);
  if (!refused) this->Drop(false);
}

void PeerLink::Drop(bool silent) {
  this->CountDropped(this->in_flight.size());
  this->in_flight.clear();
  // Ends of calls on this connection no longer count.
  ++this->generation;
  // Destroyed from the loop: this may run inside one of its own calls.
  KJ_IF_MAYBE (open, this->connection) {
    this->tasks.add(
        kj::evalLater([old = kj::mv(*open)]() mutable { old = nullptr; }));
  }
  this->connection = nullptr;
  this->connecting = nullptr;
  const auto half = static_cast<uint64_t>(this->backoff.count() / 2);
  this->connect_after =
      Now() + this->backoff / 2 +
      base::Duration(static_cast<int64_t>(this->random() % (half + 1)));
  this->backoff = std::min(this->backoff * 2, this->options.longest_backoff);
  if (!silent) return;
  this->mailbox.AccountPeer(this->where.host, [](PeerTraffic& traffic) {
    ++traffic.connections_replaced;
  });
}

void PeerLink::Tick(base::Instant now) {
  if (this->connecting != nullptr) {
    if (this->connection != nullptr) {
      this->connecting = nullptr;
    } else if (now - this->options.acknowledge_timeout >= this->connect_began) {
      // What waited for a host that cannot be reached is out of date.
      while (!this->queue.empty()) this->DropFront();
      this->Drop(false);
    }
  }
  if (!this->in_flight.empty() && now - this->in_flight.begin()->second >=
                                      this->options.acknowledge_timeout) {
    this->Drop(true);
  }
  if (!this->queue.empty()) this->Flush();
}

}  // namespace agatepass::peers
