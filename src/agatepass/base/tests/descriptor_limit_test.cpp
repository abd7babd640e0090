// What servers and clients do when the process has no descriptor left, or as
// many connections as they may have.
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "agatepass/base/http_client.h"
#include "agatepass/base/http_server.h"
#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

using std::chrono::milliseconds;

/** Takes all descriptors of the process but some. */
class ScarceDescriptors {
 public:
  explicit ScarceDescriptors(size_t left) {
    getrlimit(RLIMIT_NOFILE, &this->usual);
    rlimit low = this->usual;
    low.rlim_cur = std::min<rlim_t>(low.rlim_cur, 128);
    setrlimit(RLIMIT_NOFILE, &low);
    for (;;) {
      const int taken = open("/dev/null", O_RDONLY | O_CLOEXEC);
      if (taken < 0) break;
      this->descriptors.push_back(taken);
    }
    this->Release(left);
  }
  ~ScarceDescriptors() {
    this->Release(this->descriptors.size());
    setrlimit(RLIMIT_NOFILE, &this->usual);
  }
  ScarceDescriptors(const ScarceDescriptors&) = delete;
  ScarceDescriptors& operator=(const ScarceDescriptors&) = delete;

  void Release(size_t count) {
    for (; count > 0 && !this->descriptors.empty(); --count) {
      close(this->descriptors.back());
      this->descriptors.pop_back();
    }
  }

 private:
  rlimit usual{};
  std::vector<int> descriptors;
};

/** Connects without an event loop; the kernel completes the connection. */
int Connect(const Endpoint& endpoint) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)),
            0);
  return descriptor;
}

HttpServer::Handler AnswerAll() {
  return [](const HttpRequest&, const HttpResponder& responder) {
    responder.Respond({.status = 200});
  };
}

class DescriptorLimit : public testing::Test {
 protected:
  /** Sends a request and runs the loop until it has ended. */
  HttpOutcome Ask(HttpClient& client, const Endpoint& endpoint) {
    std::optional<HttpOutcome> outcome;
    client.Send(endpoint, {.path = "/"}, std::chrono::seconds(5),
                [&](HttpOutcome ended) { outcome = std::move(ended); });
    EXPECT_FALSE(outcome) << "the outcome comes from the loop";
    while (!outcome) this->loop.RunDueHandlers();
    return *outcome;
  }

  EventLoop loop;
};

// A planner without a descriptor left accepted in vain 14,000 times a second,
// and handled nothing else, not even the ends of connections.
TEST_F(DescriptorLimit, AServerThatCannotAcceptLetsOtherEventsRun) {
  HttpServer server(this->loop, {}, AnswerAll());
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  int others = 0;
  const auto other = this->loop.Every(milliseconds(1), [&others] { ++others; });
  {
    ScarceDescriptors scarce(1);
    const int waiting = Connect(server.endpoint());
    while (others < 30) this->loop.RunDueHandlers();
    EXPECT_GE(server.accept_pauses(), 1U);
    EXPECT_LE(server.accept_pauses(), 30U);
    close(waiting);
  }
  HttpClient client(this->loop, {});
  EXPECT_EQ(this->Ask(client, server.endpoint()).answer.status, 200)
      << "it accepts again once there are descriptors";
}

// Own descriptors that had run out were taken for a server that is gone, and a
// planner would be replaced for it.
TEST_F(DescriptorLimit, AClientWithoutDescriptorsDoesNotTakeTheServerForGone) {
  HttpServer server(this->loop, {}, AnswerAll());
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  HttpClient client(this->loop, {});
  const Endpoint served = server.endpoint();
  {
    const ScarceDescriptors scarce(0);
    const HttpOutcome outcome = this->Ask(client, served);
    EXPECT_EQ(outcome.delivery, Delivery::kNotSent);
    EXPECT_FALSE(outcome.refused) << outcome.fault;
  }
  server.StopListening();
  // Listening ends in the loop, once what waits there is accepted.
  this->loop.RunDueHandlers();
  EXPECT_TRUE(this->Ask(client, served).refused);
}

// New connections and the first requests on them went before all that workers
// said: callers that came again all the time stopped the planner.
TEST_F(DescriptorLimit, NewConnectionsLetOtherEventsRun) {
  constexpr int kMaxRequests = 20'000;
  constexpr int kOthers = 50;
  int requests = 0;
  std::vector<int> connections;
  Endpoint endpoint;
  const auto call = [&connections, &endpoint] {
    connections.push_back(Connect(endpoint));
    constexpr std::string_view kRequest =
        "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    EXPECT_EQ(send(connections.back(), kRequest.data(), kRequest.size(), 0),
              static_cast<ssize_t>(kRequest.size()));
  };
  HttpServer server(this->loop, {},
                    [&](const HttpRequest&, const HttpResponder& responder) {
                      responder.Respond({.status = 200});
                      if (++requests == kMaxRequests) this->loop.Stop();
                      if (connections.size() > 64) {
                        close(connections.front());
                        connections.erase(connections.begin());
                      }
                      call();
                    });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  endpoint = server.endpoint();
  int others = 0;
  const auto other = this->loop.Every(Duration(1), [&] {
    if (++others == kOthers) this->loop.Stop();
  });
  for (int i = 0; i < 32; ++i) call();
  this->loop.Run();
  EXPECT_EQ(others, kOthers) << requests << " requests were handled";
  for (const int connection : connections) close(connection);
}

TEST_F(DescriptorLimit, AServerClosesTheConnectionThatWasIdleForLongest) {
  HttpServer server(this->loop, {.connections = 2}, AnswerAll());
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(
        std::make_unique<HttpClient>(this->loop, HttpClientLimits{}));
    EXPECT_EQ(this->Ask(*clients.back(), server.endpoint()).answer.status, 200);
  }
  // The limit is kept once connections have been idle for a while.
  while (server.idle_closed() == 0) {
    EXPECT_EQ(this->Ask(*clients.back(), server.endpoint()).answer.status, 200);
  }
  EXPECT_EQ(server.connections(), 2U);
}

// Guards against a stall in which several connections become idle, and all of
// them are closed where one would do.
TEST_F(DescriptorLimit, AServerClosesNoMoreIdleConnectionsThanItMust) {
  HttpServer server(this->loop, {.connections = 2}, AnswerAll());
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int i = 0; i < 3; ++i) {
    // Longer than the time after which a connection counts as idle.
    if (i == 2) std::this_thread::sleep_for(milliseconds(600));
    clients.push_back(
        std::make_unique<HttpClient>(this->loop, HttpClientLimits{}));
    EXPECT_EQ(this->Ask(*clients.back(), server.endpoint()).answer.status, 200);
  }
  EXPECT_EQ(server.idle_closed(), 1U);
  EXPECT_EQ(server.connections(), 2U);
}

TEST_F(DescriptorLimit, AClientKeepsToItsNumberOfConnections) {
  std::vector<HttpResponder> held;
  HttpServer server(
      this->loop, {},
      [&held](const HttpRequest& request, const HttpResponder& responder) {
        if (request.path == "/hold") {
          held.push_back(responder);
        } else {
          responder.Respond({.status = 200});
        }
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  HttpServer other(this->loop, {}, AnswerAll());
  ASSERT_TRUE(other.Listen({"127.0.0.1", 0}).ok());
  HttpClient client(this->loop, {.connections = 1});
  EXPECT_EQ(this->Ask(client, other.endpoint()).answer.status, 200);
  EXPECT_EQ(this->Ask(client, server.endpoint()).answer.status, 200)
      << "an idle connection makes room";
  client.Send(server.endpoint(), {.path = "/hold"}, std::chrono::seconds(5),
              [](const HttpOutcome&) {});
  const HttpOutcome rejected = this->Ask(client, other.endpoint());
  EXPECT_EQ(rejected.delivery, Delivery::kNotSent);
  EXPECT_FALSE(rejected.refused);
  EXPECT_EQ(rejected.fault, "too many connections are open");
}

}  // namespace
}  // namespace agatepass::base
