#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/http_client.h"
#include "agatepass/base/http_server.h"
#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

using std::chrono::milliseconds;

class Http : public ::testing::Test {
 protected:
  HttpOutcome Send(const Endpoint& endpoint, const HttpRequest& request,
                   Duration timeout = std::chrono::seconds(5)) {
    std::optional<HttpOutcome> result;
    this->client.Send(endpoint, request, timeout, [&](HttpOutcome outcome) {
      result = std::move(outcome);
      this->loop.Stop();
    });
    this->loop.Run();
    return *result;
  }

  EventLoop loop;
  HttpClient client{this->loop, {}};
};

TEST_F(Http, AnswersWithTheBodySent) {
  HttpServer server(
      this->loop, {},
      [](const HttpRequest& request, const HttpResponder& responder) {
        responder.Respond(
            {.status = 200,
             .headers = {{"X-Path", request.path}},
             .body = request.body + FindHeader(request.query, "q").data()});
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  for (int i = 0; i < 3; ++i) {
    const HttpOutcome outcome =
        this->Send(server.endpoint(), {.method = HttpMethod::kPut,
                                       .path = "/a/b",
                                       .query = {{"q", "x y"}},
                                       .body = "body-"});
    EXPECT_EQ(outcome.delivery, Delivery::kAnswered);
    EXPECT_EQ(outcome.answer.body, "body-x y");
    EXPECT_EQ(FindHeader(outcome.answer.headers, "x-path"), "/a/b");
  }
  EXPECT_GT(this->client.bytes_sent(), 0U);
  EXPECT_EQ(server.in_flight(), 0U);
}

TEST_F(Http, RefusedConnectionIsNotSent) {
  Endpoint unused;
  {
    HttpServer server(this->loop, {},
                      [](const HttpRequest&, const HttpResponder&) {});
    ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
    unused = server.endpoint();
  }
  EXPECT_EQ(this->Send(unused, {.path = "/"}).delivery, Delivery::kNotSent);
}

TEST_F(Http, SilentServerLeavesTheOutcomeUnknown) {
  HttpServer server(this->loop, {},
                    [](const HttpRequest&, const HttpResponder&) {});
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  const HttpOutcome outcome =
      this->Send(server.endpoint(), {.path = "/"}, milliseconds(50));
  EXPECT_EQ(outcome.delivery, Delivery::kUnknown);
  EXPECT_EQ(outcome.fault, "timeout");
}

TEST_F(Http, LateAnswerReachesNobody) {
  std::optional<HttpResponder> late;
  HttpServer server(
      this->loop, {},
      [&](const HttpRequest& request, const HttpResponder& responder) {
        if (request.path == "/late") {
          late = responder;
        } else {
          responder.Respond({.status = 200, .body = "mine"});
        }
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  EXPECT_EQ(this->Send(server.endpoint(), {.path = "/late"}, milliseconds(50))
                .delivery,
            Delivery::kUnknown);
  late->Respond({.status = 200, .body = "another caller's"});
  EXPECT_EQ(this->Send(server.endpoint(), {.path = "/next"}).answer.body,
            "mine");
}

TEST_F(Http, PipelinedRequestWaitsForTheFirstAnswer) {
  std::vector<HttpResponder> waiting;
  HttpServer server(this->loop, {},
                    [&](const HttpRequest&, const HttpResponder& responder) {
                      waiting.push_back(responder);
                      this->loop.Stop();
                    });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.endpoint().port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)),
            0);
  const std::string first =
      "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab";
  const std::string second = "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
  ASSERT_GT(send(descriptor, first.data(), first.size(), 0), 0);
  this->loop.Run();
  ASSERT_GT(send(descriptor, second.data(), second.size(), 0), 0);
  const auto pause =
      this->loop.After(milliseconds(50), [this] { this->loop.Stop(); });
  this->loop.Run();
  ASSERT_EQ(waiting.size(), 1U);
  waiting[0].Respond({.status = 200, .body = "one"});
  this->loop.Run();
  EXPECT_EQ(waiting.size(), 2U);
  close(descriptor);
}

// A hello must not wait behind all that is due, not even the first one.
TEST_F(Http, FirstRequestOnAConnectionDoesNotWaitForAllBulkEvents) {
  HttpServer server(
      this->loop,
      {.priority = [](const HttpRequest&) { return EventPriority::kControl; }},
      [](const HttpRequest&, const HttpResponder& responder) {
        responder.Respond({.status = 200});
      });
  HttpClient hello_client(this->loop, {.priority = EventPriority::kControl});
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  constexpr size_t kBulkEvents = 3000;
  size_t bulk_handled = 0;
  std::vector<std::unique_ptr<LoopEvent>> bulk;
  for (size_t i = 0; i < kBulkEvents; ++i) {
    bulk.push_back(
        this->loop.After(Duration(0), [this, &bulk, &bulk_handled, i] {
          if (++bulk_handled == 4 * kBulkEvents) this->loop.Stop();
          bulk[i]->Arm(Duration(0));
        }));
  }
  std::optional<size_t> handled_before_answer;
  hello_client.Send(server.endpoint(), {.path = "/"}, std::chrono::seconds(5),
                    [&](const HttpOutcome& /*outcome*/) {
                      handled_before_answer = bulk_handled;
                      this->loop.Stop();
                    });
  this->loop.Run();
  ASSERT_TRUE(handled_before_answer.has_value());
  EXPECT_LT(*handled_before_answer, kBulkEvents);
}

}  // namespace
}  // namespace agatepass::base
