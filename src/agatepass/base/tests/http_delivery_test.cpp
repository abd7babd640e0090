// An answer that was handed to the HTTP library is not yet an answer sent.
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/http_server.h"
#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

class HttpDelivery : public ::testing::Test {
 protected:
  /** Connects a socket that receives only little ahead of its reader. */
  static int Connect(const HttpServer& server) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const int bytes = 4096;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.endpoint().port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)),
              0);
    return descriptor;
  }

  static void Send(int descriptor, std::string_view text) {
    EXPECT_EQ(send(descriptor, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
  }

  /** Reads what has arrived, without waiting. */
  static std::string Read(int descriptor) {
    std::string text;
    std::array<char, 65536> part{};
    for (ssize_t size = 0; (size = recv(descriptor, part.data(), part.size(),
                                        MSG_DONTWAIT)) > 0;) {
      text.append(part.data(), static_cast<size_t>(size));
    }
    return text;
  }

  void RunFor(Duration duration) {
    const auto timer =
        this->loop.After(duration, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  EventLoop loop;
};

// Guards against a process that exits while an answer is still in its buffer.
TEST_F(HttpDelivery, AnAnswerIsInFlightUntilItIsWritten) {
  std::optional<size_t> in_flight_after_answer;
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      this->loop, HttpServerLimits{},
      [&](const HttpRequest&, const HttpResponder& responder) {
        responder.Respond({.status = 200});
        in_flight_after_answer = server->in_flight();
      });
  ASSERT_TRUE(server->Listen({"127.0.0.1", 0}).ok());
  const int descriptor = Connect(*server);
  Send(descriptor, kRequest);
  this->RunFor(milliseconds(50));
  EXPECT_EQ(in_flight_after_answer, 1U);
  EXPECT_EQ(server->in_flight(), 0U);
  EXPECT_TRUE(Read(descriptor).starts_with("HTTP/1.1 200"));
  close(descriptor);
}

// Guards against an answer that is dropped because its reader is slow.
TEST_F(HttpDelivery, AnAnswerToASlowReaderIsInFlightUntilTheLastByte) {
  const std::string body(size_t{16} << 20U, 'x');
  HttpServer server(this->loop, {},
                    [&](const HttpRequest&, const HttpResponder& responder) {
                      responder.Respond({.status = 200, .body = body});
                    });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  const int descriptor = Connect(server);
  Send(descriptor, kRequest);
  this->RunFor(milliseconds(50));
  EXPECT_EQ(server.in_flight(), 1U);
  size_t received = 0;
  for (int i = 0; i < 20'000 && received < body.size(); ++i) {
    received += Read(descriptor).size();
    this->loop.RunDueHandlers();
  }
  EXPECT_GT(received, body.size());
  EXPECT_EQ(server.in_flight(), 0U);
  EXPECT_EQ(server.unwritten_answers(), 0U);
  close(descriptor);
}

// A reader that has gone is counted, and does not keep the process.
TEST_F(HttpDelivery, AnAnswerThatNobodyReadsAnyMoreIsCounted) {
  HttpServer server(
      this->loop, {}, [&](const HttpRequest&, const HttpResponder& responder) {
        responder.Respond(
            {.status = 200, .body = std::string(size_t{16} << 20U, 'x')});
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  const int descriptor = Connect(server);
  Send(descriptor, kRequest);
  this->RunFor(milliseconds(50));
  close(descriptor);
  this->RunFor(milliseconds(50));
  EXPECT_EQ(server.in_flight(), 0U);
  EXPECT_EQ(server.unwritten_answers(), 1U);
}

// Guards against requests that are left without an answer at the last moment.
TEST_F(HttpDelivery, AllOpenRequestsCanBeAnsweredAtOnce) {
  std::vector<HttpResponder> waiting;
  HttpServer server(this->loop, {},
                    [&](const HttpRequest&, const HttpResponder& responder) {
                      waiting.push_back(responder);
                    });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  const std::array<int, 2> descriptors = {Connect(server), Connect(server)};
  for (const int descriptor : descriptors) Send(descriptor, kRequest);
  this->RunFor(milliseconds(50));
  ASSERT_EQ(waiting.size(), 2U);
  server.AnswerAll({.status = 503});
  EXPECT_EQ(server.in_flight(), 2U);
  this->RunFor(milliseconds(50));
  EXPECT_EQ(server.in_flight(), 0U);
  for (const int descriptor : descriptors) {
    EXPECT_TRUE(Read(descriptor).starts_with("HTTP/1.1 503"));
    close(descriptor);
  }
}

// Guards against requests that wait in the kernel when listening ends.
TEST_F(HttpDelivery, ConnectionsThatWaitAreAcceptedBeforeListeningEnds) {
  HttpServer server(this->loop, {},
                    [&](const HttpRequest&, const HttpResponder& responder) {
                      responder.Respond({.status = 200});
                    });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  this->RunFor(milliseconds(10));
  const int descriptor = Connect(server);
  Send(descriptor, kRequest);
  server.StopListening();
  this->RunFor(milliseconds(50));
  EXPECT_TRUE(Read(descriptor).starts_with("HTTP/1.1 200"));
  const int late = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.endpoint().port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_NE(
      connect(late, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  close(late);
  close(descriptor);
}

// Guards against handlers that read a request after the process has decided
// that nothing is open.
TEST_F(HttpDelivery, TheLoopEndsWithTheHandlerThatStopsIt) {
  bool ran_after = false;
  const auto stop =
      this->loop.After(Duration(0), [this] { this->loop.StopNow(); });
  const auto after =
      this->loop.After(Duration(0), [&ran_after] { ran_after = true; });
  this->loop.Run();
  EXPECT_FALSE(ran_after);
}

}  // namespace
}  // namespace agatepass::base
