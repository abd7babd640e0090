// What the client makes of a server that closes the connection or cannot be
// reached: an answer that arrives together with the end of its connection is
// used, a part of one is counted, and only a server that refuses connections
// counts as one where nobody listens.
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "agatepass/base/http_client.h"
#include "fmt/format.h"
#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

using std::chrono::milliseconds;

/** A socket that listens on the loopback address. */
class ListeningSocket {
 public:
  explicit ListeningSocket(int backlog)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    this->address.sin_family = AF_INET;
    this->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(
        bind(this->descriptor, this->raw_address(), sizeof(this->address)), 0);
    socklen_t size = sizeof(this->address);
    getsockname(this->descriptor, this->raw_address(), &size);
    listen(this->descriptor, backlog);
  }
  ~ListeningSocket() { close(this->descriptor); }
  ListeningSocket(const ListeningSocket&) = delete;
  ListeningSocket& operator=(const ListeningSocket&) = delete;

  Endpoint endpoint() const {
    return {"127.0.0.1", ntohs(this->address.sin_port)};
  }
  sockaddr* raw_address() {
    return reinterpret_cast<sockaddr*>(&this->address);
  }

  int descriptor;
  sockaddr_in address{};
};

class HttpClosingServer : public ::testing::Test {
 protected:
  /** Sends a request to a server that reads it, sends `answer` and closes the
   * connection, all while the client's loop handles no event.
   * \param reset whether the connection is reset instead. */
  HttpOutcome SendAndClose(const std::string& answer, bool reset) {
    ListeningSocket server(1);
    std::promise<void> request_read;
    std::promise<void> loop_waits;
    std::promise<void> closed;
    std::thread thread([&] {
      const int connection = accept(server.descriptor, nullptr, nullptr);
      std::vector<char> request(4096);
      EXPECT_GT(recv(connection, request.data(), request.size(), 0), 0);
      request_read.set_value();
      loop_waits.get_future().wait();
      EXPECT_EQ(send(connection, answer.data(), answer.size(), 0),
                static_cast<ssize_t>(answer.size()));
      const linger abort_on_close{.l_onoff = reset ? 1 : 0, .l_linger = 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort_on_close,
                 sizeof(abort_on_close));
      close(connection);
      closed.set_value();
    });
    std::optional<HttpOutcome> result;
    this->client.Send(server.endpoint(), {.path = "/"}, std::chrono::seconds(5),
                      [&](HttpOutcome outcome) {
                        result = std::move(outcome);
                        this->loop.Stop();
                      });
    std::future<void> read = request_read.get_future();
    std::unique_ptr<LoopEvent> poll;
    const auto wait_for_close = [&] {
      loop_waits.set_value();
      closed.get_future().wait();
    };
    std::function<void()> check = [&] {
      if (read.wait_for(milliseconds(0)) == std::future_status::ready) {
        wait_for_close();
      } else {
        poll = this->loop.After(milliseconds(1), check);
      }
    };
    poll = this->loop.After(milliseconds(1), check);
    this->loop.Run();
    thread.join();
    return *result;
  }

  EventLoop loop;
  HttpClient client{this->loop, {}};
};

TEST_F(HttpClosingServer, AnAnswerThatComesWithTheEndOfTheConnectionIsUsed) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast";
  for (const bool reset : {false, true}) {
    const HttpOutcome outcome = this->SendAndClose(answer, reset);
    EXPECT_EQ(outcome.delivery, Delivery::kAnswered) << "reset " << reset;
    EXPECT_EQ(outcome.answer.body, "last") << "reset " << reset;
  }
}

TEST_F(HttpClosingServer, APartOfAnAnswerIsCountedAndNotUsed) {
  const std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nla";
  const HttpOutcome outcome = this->SendAndClose(part, false);
  EXPECT_EQ(outcome.delivery, Delivery::kUnknown);
  EXPECT_EQ(outcome.fault, fmt::format("connection closed after {} bytes of "
                                       "the answer",
                                       part.size()));
  EXPECT_EQ(this->SendAndClose("", false).fault, "connection closed");
}

TEST_F(HttpClosingServer, AConnectionAttemptWithoutAnAnswerIsNotRefused) {
  // The kernel drops further attempts while the queue of one is full.
  ListeningSocket server(0);
  std::vector<int> queued;
  for (int i = 0; i < 2; ++i) {
    queued.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    // It goes on in the background.
    static_cast<void>(
        connect(queued.back(), server.raw_address(), sizeof(server.address)));
  }
  std::optional<HttpOutcome> silent;
  this->client.Send(server.endpoint(), {.path = "/"}, milliseconds(100),
                    [&](HttpOutcome outcome) {
                      silent = std::move(outcome);
                      this->loop.Stop();
                    });
  this->loop.Run();
  EXPECT_EQ(silent->delivery, Delivery::kNotSent);
  EXPECT_FALSE(silent->refused);
  for (const int descriptor : queued) close(descriptor);
}

// A start was taken for not sent and carried out: the connection was made
// between the verdict and its end.
TEST_F(HttpClosingServer, NothingIsSentAfterItWasTakenForNotSent) {
  ListeningSocket server(0);
  const int queued = socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(connect(queued, server.raw_address(), sizeof(server.address)), 0);
  std::optional<HttpOutcome> outcome;
  int late_connection = -1;
  this->client.Send(
      server.endpoint(), {.path = "/"}, milliseconds(100),
      [&](HttpOutcome ended) {
        outcome = std::move(ended);
        // Makes room for the connection, which the kernel tries again after a
        // second, before the loop can do anything else.
        close(accept(server.descriptor, nullptr, nullptr));
        pollfd incoming{.fd = server.descriptor, .events = POLLIN};
        if (poll(&incoming, 1, 2000) == 1) {
          late_connection = accept(server.descriptor, nullptr, nullptr);
        }
      });
  // In vain while the callback blocks: the loop goes on for a while after it.
  std::unique_ptr<LoopEvent> stop;
  const auto watch = this->loop.Every(milliseconds(10), [&] {
    if (!outcome || stop) return;
    stop = this->loop.After(milliseconds(100), [&] { this->loop.Stop(); });
  });
  this->loop.Run();
  ASSERT_TRUE(outcome.has_value());
  EXPECT_EQ(outcome->delivery, Delivery::kNotSent);
  EXPECT_EQ(outcome->fault, "timeout");
  if (late_connection >= 0) {
    char byte = 0;
    EXPECT_LE(recv(late_connection, &byte, 1, MSG_DONTWAIT), 0);
    close(late_connection);
  }
  close(queued);
}

// A takeover on a slow link never got its jobs: each page took longer than the
// timeout of a call.
TEST_F(HttpClosingServer, ALargeAnswerOverASlowLinkIsReadWhileItsBytesArrive) {
  constexpr int kPieces = 12;
  constexpr auto kPause = milliseconds(50);
  constexpr auto kTimeout = milliseconds(400);
  static_assert(kPieces * kPause > kTimeout);
  for (const TimeLimit limit : {TimeLimit::kAnswer, TimeLimit::kSilence}) {
    ListeningSocket server(1);
    std::thread thread([&] {
      const int connection = accept(server.descriptor, nullptr, nullptr);
      std::vector<char> request(4096);
      EXPECT_GT(recv(connection, request.data(), request.size(), 0), 0);
      const std::string head =
          fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", kPieces);
      send(connection, head.data(), head.size(), MSG_NOSIGNAL);
      for (int i = 0; i < kPieces; ++i) {
        std::this_thread::sleep_for(kPause);
        send(connection, "x", 1, MSG_NOSIGNAL);
      }
      close(connection);
    });
    std::optional<HttpOutcome> outcome;
    this->client.Send(
        server.endpoint(), {.path = "/"}, kTimeout,
        [&](HttpOutcome ended) {
          outcome = std::move(ended);
          this->loop.Stop();
        },
        limit);
    this->loop.Run();
    thread.join();
    const bool expect_whole = limit == TimeLimit::kSilence;
    EXPECT_EQ(outcome->delivery,
              expect_whole ? Delivery::kAnswered : Delivery::kUnknown);
    EXPECT_EQ(outcome->answer.body.size(), expect_whole ? kPieces : 0U);
  }
}

}  // namespace
}  // namespace agatepass::base
