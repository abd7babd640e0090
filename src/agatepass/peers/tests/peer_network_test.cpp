#include "agatepass/peers/peer_network.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "agatepass/peers/tests/forwarder.h"
#include "agatepass/peers/tests/sample_messages.h"
#include "gtest/gtest.h"

namespace agatepass::peers {
namespace {

using base::HostId;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** One end with what it has received. */
struct End {
  End(base::EventLoop& loop, const char* name, Incarnation incarnation,
      uint16_t port = 0)
      : host(name),
        network(loop, {.listen = {"127.0.0.1", port},
                       .own_host = HostId(name),
                       .incarnation = incarnation,
                       .acknowledge_timeout = milliseconds(300),
                       .first_backoff = milliseconds(10),
                       .longest_backoff = milliseconds(50)}) {
    this->network.OnMessage([this](Envelope envelope) {
      this->received.push_back(std::move(envelope));
    });
    EXPECT_TRUE(this->network.Start().ok());
  }

  void Knows(const End& other) { this->Knows(other, other.network.endpoint()); }
  void Knows(const End& other, const base::Endpoint& endpoint) {
    const PeerAddress address{.host = other.host, .endpoint = endpoint};
    this->network.SetPeers(std::span(&address, 1));
  }

  HostId host;
  PeerNetwork network;
  std::vector<Envelope> received;
};

class PeerNetworkTest : public testing::Test {
 protected:
  /** Runs the loop until `done` holds; the long limit only ends a failed run.
   */
  bool RunUntil(const std::function<bool()>& done) {
    bool held = false;
    const auto check = this->loop.Every(milliseconds(5), [&] {
      held = done();
      if (held) this->loop.Stop();
    });
    const auto limit =
        this->loop.After(seconds(20), [this] { this->loop.Stop(); });
    this->loop.Run();
    return held;
  }

  /** Sends queries again and again until one of them arrives; those that were
   * on their way before do not count. */
  bool SendUntilReceived(End& from, End& to) {
    const uint64_t first = this->next_request;
    return this->RunUntil([&] {
      from.network.Send(to.host, ConfigQuery{.held_revision = 1},
                        this->next_request++);
      return std::any_of(to.received.begin(), to.received.end(),
                         [first](const Envelope& envelope) {
                           return envelope.request_id >= first;
                         });
    });
  }

  base::EventLoop loop;
  uint64_t next_request = 1;
};

TEST_F(PeerNetworkTest, EveryKindOfMessageArrivesInOrder) {
  End first(this->loop, "e1", 7);
  End second(this->loop, "e2", 8);
  first.Knows(second);
  const std::vector<Message> samples = SampleMessages();
  for (size_t i = 0; i < samples.size(); ++i) {
    EXPECT_TRUE(first.network.Send(second.host, samples[i], i + 1));
  }
  ASSERT_TRUE(
      this->RunUntil([&] { return second.received.size() == samples.size(); }));
  for (size_t i = 0; i < samples.size(); ++i) {
    const Envelope& envelope = second.received[i];
    EXPECT_EQ(envelope.sender, HostId("e1"));
    EXPECT_EQ(envelope.incarnation, 7);
    EXPECT_EQ(envelope.request_id, i + 1);
    EXPECT_EQ(envelope.message.index(), i);
  }
  ASSERT_TRUE(this->RunUntil([&] {
    return first.network.accounts().peers[second.host].messages_acknowledged ==
           samples.size();
  }));
  const PeerTraffic traffic = first.network.accounts().peers[second.host];
  EXPECT_EQ(traffic.messages_dropped, 0);
  EXPECT_EQ(traffic.connections_made, 1);
  EXPECT_GT(traffic.bytes_sent, 0);
  EXPECT_EQ(second.network.accounts().accepted_bytes_received,
            traffic.bytes_sent);
}

TEST_F(PeerNetworkTest, UnknownPeerIsRefused) {
  End first(this->loop, "e1", 7);
  EXPECT_FALSE(first.network.Send(HostId("e9"), ConfigQuery{}));
}

TEST_F(PeerNetworkTest, AddressInUseIsNamed) {
  End first(this->loop, "e1", 7);
  PeerNetwork second(this->loop, {.listen = first.network.endpoint(),
                                  .own_host = HostId("e2")});
  const absl::Status status = second.Start();
  EXPECT_EQ(base::ResultCodeOf(status), base::ResultCode::kInvalidRequest);
  EXPECT_NE(status.message().find("127.0.0.1"), absl::string_view::npos);
}

TEST_F(PeerNetworkTest, SilentConnectionIsReplaced) {
  End first(this->loop, "e1", 7);
  End second(this->loop, "e2", 8);
  Forwarder forwarder(this->loop, second.network.endpoint());
  first.Knows(second, forwarder.endpoint());
  ASSERT_TRUE(this->SendUntilReceived(first, second));
  // Some of these have passed the forwarder when it goes silent, and still
  // arrive.
  constexpr int kOnTheirWay = 400;
  const size_t before = second.received.size();
  for (int i = 0; i < kOnTheirWay; ++i) {
    first.network.Send(second.host, ConfigQuery{.held_revision = 1},
                       this->next_request++);
  }
  ASSERT_TRUE(this->RunUntil([&] { return second.received.size() > before; }));
  forwarder.SilenceOpenConnections();
  ASSERT_TRUE(this->SendUntilReceived(first, second));
  const PeerTraffic traffic = first.network.accounts().peers[second.host];
  EXPECT_GE(traffic.connections_replaced, 1);
  EXPECT_GE(traffic.connections_made, 2);
  EXPECT_GE(traffic.messages_dropped, 1);
}

TEST_F(PeerNetworkTest, RestartedPeerIsReachedAgain) {
  End first(this->loop, "e1", 7);
  auto second = std::make_unique<End>(this->loop, "e2", 8);
  const uint16_t port = second->network.endpoint().port;
  first.Knows(*second);
  ASSERT_TRUE(this->SendUntilReceived(first, *second));
  second.reset();
  ASSERT_TRUE(this->RunUntil([&] {
    first.network.Send(HostId("e2"), ConfigQuery{});
    return first.network.accounts().peers[HostId("e2")].messages_dropped > 0;
  }));
  second = std::make_unique<End>(this->loop, "e2", 9, port);
  EXPECT_TRUE(this->SendUntilReceived(first, *second));
}

TEST_F(PeerNetworkTest, BothEndsRestart) {
  auto first = std::make_unique<End>(this->loop, "e1", 7);
  auto second = std::make_unique<End>(this->loop, "e2", 8);
  const uint16_t first_port = first->network.endpoint().port;
  const uint16_t second_port = second->network.endpoint().port;
  for (Incarnation life = 10; life < 13; ++life) {
    first->Knows(*second);
    second->Knows(*first);
    EXPECT_TRUE(this->SendUntilReceived(*first, *second));
    EXPECT_TRUE(this->SendUntilReceived(*second, *first));
    first.reset();
    second.reset();
    first = std::make_unique<End>(this->loop, "e1", life, first_port);
    second = std::make_unique<End>(this->loop, "e2", life, second_port);
  }
}

TEST_F(PeerNetworkTest, QueueOfAnUnreachablePeerStaysBounded) {
  End first(this->loop, "e1", 7);
  // Nobody listens there: the port is bound and closed again.
  const base::Endpoint closed = [&] {
    return End(this->loop, "e3", 1).network.endpoint();
  }();
  const PeerAddress address{.host = HostId("e2"), .endpoint = closed};
  first.network.SetPeers(std::span(&address, 1));
  constexpr uint64_t kMessages = 5000;
  for (uint64_t i = 0; i < kMessages; ++i) {
    first.network.Send(HostId("e2"), ConfigQuery{});
  }
  EXPECT_TRUE(this->RunUntil([&] {
    return first.network.accounts().peers[HostId("e2")].messages_dropped ==
           kMessages;
  }));
}

TEST_F(PeerNetworkTest, GarbageFromAStrangerHarmsNobody) {
  End first(this->loop, "e1", 7);
  End second(this->loop, "e2", 8);
  first.Knows(second);
  std::mt19937_64 random(11);
  std::vector<int> strangers;
  for (int i = 0; i < 20; ++i) {
    const int stranger = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{.sin_family = AF_INET,
                        .sin_port = htons(second.network.endpoint().port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(::connect(stranger, reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)),
              0);
    std::string bytes(4096, '\0');
    for (char& byte : bytes) byte = static_cast<char>(random());
    // Every other stranger starts with a plausible segment table.
    if (i % 2 == 0) bytes.replace(0, 8, std::string("\0\0\0\0\x20\0\0\0", 8));
    ::send(stranger, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    strangers.push_back(stranger);
  }
  EXPECT_TRUE(this->RunUntil(
      [&] { return second.network.accounts().connections_accepted >= 20; }));
  EXPECT_TRUE(this->SendUntilReceived(first, second));
  for (const int stranger : strangers) ::close(stranger);
  EXPECT_TRUE(this->SendUntilReceived(first, second));
}

TEST_F(PeerNetworkTest, MalformedMessageIsRefusedAndTheConnectionStays) {
  End first(this->loop, "e1", 7);
  End second(this->loop, "e2", 8);
  first.Knows(second);
  const JobAnswer bad{.code = static_cast<base::ResultCode>(9999)};
  first.network.Send(second.host, bad);
  EXPECT_TRUE(this->RunUntil(
      [&] { return second.network.accounts().messages_refused == 1; }));
  EXPECT_TRUE(this->SendUntilReceived(first, second));
  EXPECT_EQ(first.network.accounts().peers[second.host].connections_made, 1);
}

}  // namespace
}  // namespace agatepass::peers
