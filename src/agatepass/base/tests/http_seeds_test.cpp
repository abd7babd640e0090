// Malformed and truncated requests at random, at a real server: it must neither
// end nor hang, nor keep what a closed connection has sent.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <random>
#include <string>
#include <vector>

#include "agatepass/base/http_client.h"
#include "agatepass/base/http_server.h"
#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

constexpr int kSeedsPerCase = 20;
constexpr int kRequestsPerSeed = 20;
/** Turns of the loop after each piece. */
constexpr int kTurns = 4;

int Connect(const Endpoint& endpoint) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  // The kernel completes it; a connection that fails sends nothing.
  const int result = connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address));
  EXPECT_TRUE(result == 0 || errno == EINPROGRESS);
  return descriptor;
}

class RequestDraw {
 public:
  explicit RequestDraw(uint64_t seed) : random(seed) {}

  size_t operator()(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(this->random);
  }

  /** Returns a request, several, or parts of them, some bytes of it changed. */
  std::string Draw() {
    const std::vector<std::string> parts = {
        "GET / HTTP/1.1\r\n\r\n",
        "POST /a?b=c%20&d HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "3\r\nabc\r\n",
        "0\r\n\r\n",
        "ffffffffffffffff\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "GET / HTTP/1.0\r\nConnection: close\r\n\r\n",
        "PUT http://[::1 HTTP/1.1\r\nHost: a\r\n\r\n",
        "a:\r\n",
        "\r\n",
        "Expect: 100-continue\r\n",
        std::string(3000, 'x')};
    std::string request;
    for (size_t count = 1 + (*this)(6); count > 0; --count) {
      request += parts[(*this)(parts.size())];
    }
    for (size_t changes = (*this)(4); changes > 0; --changes) {
      request[(*this)(request.size())] = static_cast<char>((*this)(256));
    }
    request.resize(1 + (*this)(request.size()));
    return request;
  }

 private:
  std::mt19937_64 random;
};

class HttpSeeds : public testing::TestWithParam<uint64_t> {};

TEST_P(HttpSeeds, AServerOutlivesMalformedRequests) {
  for (uint64_t i = 0; i < kSeedsPerCase; ++i) {
    const uint64_t seed = GetParam() * kSeedsPerCase + i;
    RequestDraw draw(seed);
    EventLoop loop;
    ReceiveBudget budget(
        {.bytes = 20'000, .request_time = std::chrono::milliseconds(200)});
    HttpServer server(
        loop, {.header_bytes = 2048, .body_bytes = 4096, .budget = &budget},
        [](const HttpRequest&, const HttpResponder& responder) {
          responder.Respond({.status = 200, .body = "answer"});
        });
    ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
    std::vector<int> connections;
    for (int request = 0; request < kRequestsPerSeed; ++request) {
      if (connections.empty() || draw(3) == 0) {
        connections.push_back(Connect(server.endpoint()));
      }
      const std::string bytes = draw.Draw();
      const size_t chosen = draw(connections.size());
      send(connections[chosen], bytes.data(), bytes.size(), MSG_NOSIGNAL);
      for (int turn = 0; turn < kTurns; ++turn) loop.RunDueHandlers();
      if (draw(4) == 0) {
        close(connections[chosen]);
        connections.erase(connections.begin() + static_cast<ptrdiff_t>(chosen));
      }
      ASSERT_FALSE(budget.IsExceeded()) << "seed " << seed;
    }
    for (const int connection : connections) close(connection);
    bool answered = false;
    HttpClient client(loop, {});
    client.Send(server.endpoint(), {.path = "/"}, std::chrono::seconds(5),
                [&](const HttpOutcome& outcome) {
                  answered = outcome.answer.status == 200;
                  loop.Stop();
                });
    loop.Run();
    ASSERT_TRUE(answered) << "seed " << seed;
    while (server.connections() > 1) loop.RunDueHandlers();
    ASSERT_EQ(budget.held(), 0U) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Random, HttpSeeds, testing::Range<uint64_t>(0, 10));

}  // namespace
}  // namespace agatepass::base
