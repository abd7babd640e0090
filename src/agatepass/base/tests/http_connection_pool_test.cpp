// How a client uses its connections to one address.
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "agatepass/base/http_client.h"
#include "agatepass/base/http_server.h"
#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class HttpConnectionPool : public testing::Test {
 protected:
  EventLoop loop;
  HttpClient client{this->loop,
                    {.connections_per_address = 2, .idle_connections = 2}};
};

// A burst of starts to one worker made a connection for each, and closed those
// of other workers.
TEST_F(HttpConnectionPool, ABurstWaitsForTheConnectionsThatThereAre) {
  constexpr int kRequests = 20;
  HttpServer server(
      this->loop, {},
      [](const HttpRequest& request, const HttpResponder& responder) {
        responder.Respond({.status = 200, .body = request.path});
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  std::vector<std::string> answers;
  for (int i = 0; i < kRequests; ++i) {
    this->client.Send(server.endpoint(), {.path = "/" + std::to_string(i)},
                      seconds(5), [&](const HttpOutcome& outcome) {
                        answers.push_back(outcome.answer.body);
                        if (answers.size() == kRequests) this->loop.Stop();
                      });
  }
  EXPECT_EQ(this->client.waiting(), kRequests - 2U);
  EXPECT_EQ(this->client.in_flight(), static_cast<size_t>(kRequests));
  this->loop.Run();
  EXPECT_EQ(this->client.connections_made(), 2U);
  EXPECT_EQ(this->client.connections(), 2U);
  EXPECT_EQ(this->client.waiting(), 0U);
  EXPECT_EQ(answers.back(), "/" + std::to_string(kRequests - 1));
}

TEST_F(HttpConnectionPool, ARequestThatFoundNoConnectionInTimeWasNotSent) {
  std::vector<HttpResponder> held;
  int requests = 0;
  HttpServer server(this->loop, {},
                    [&](const HttpRequest&, const HttpResponder& responder) {
                      ++requests;
                      held.push_back(responder);
                    });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  for (int i = 0; i < 2; ++i) {
    this->client.Send(server.endpoint(), {.path = "/held"}, seconds(5),
                      [](const HttpOutcome&) {});
  }
  std::optional<HttpOutcome> outcome;
  this->client.Send(server.endpoint(), {.path = "/late"}, milliseconds(50),
                    [&](HttpOutcome ended) {
                      outcome = std::move(ended);
                      this->loop.Stop();
                    });
  this->loop.Run();
  EXPECT_EQ(outcome->delivery, Delivery::kNotSent);
  EXPECT_FALSE(outcome->refused);
  EXPECT_TRUE(outcome->at_own_limit) << "the server was not asked";
  EXPECT_EQ(requests, 2);
  EXPECT_EQ(this->client.waiting(), 0U);
}

// Lease renewals and urgent starts wait behind no other call.
TEST_F(HttpConnectionPool, ARequestThatMustNotWaitGetsAConnection) {
  std::vector<HttpResponder> held;
  HttpServer server(
      this->loop, {},
      [&](const HttpRequest& request, const HttpResponder& responder) {
        if (request.path == "/held") {
          held.push_back(responder);
        } else {
          responder.Respond({.status = 200});
        }
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  for (int i = 0; i < 5; ++i) {
    this->client.Send(server.endpoint(), {.path = "/held"}, seconds(5),
                      [](const HttpOutcome&) {});
  }
  std::optional<HttpOutcome> outcome;
  this->client.Send(
      server.endpoint(), {.path = "/renew"}, seconds(5),
      [&](HttpOutcome ended) {
        outcome = std::move(ended);
        this->loop.Stop();
      },
      TimeLimit::kAnswer, WhenBusy::kConnect);
  this->loop.Run();
  EXPECT_EQ(outcome->answer.status, 200);
  EXPECT_EQ(this->client.waiting(), 3U);
}

// It would be carried out, and its answer come too late.
TEST_F(HttpConnectionPool, NothingIsSentAfterItsTimeIsOver) {
  int requests = 0;
  HttpServer server(this->loop, {},
                    [&](const HttpRequest&, const HttpResponder& responder) {
                      ++requests;
                      responder.Respond({.status = 200});
                    });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  std::optional<HttpOutcome> outcome;
  this->client.Send(server.endpoint(), {.path = "/"}, milliseconds(1),
                    [&](HttpOutcome ended) { outcome = std::move(ended); });
  // The kernel makes the connection while this loop handles nothing.
  const Instant over = this->loop.Now() + milliseconds(20);
  while (this->loop.Now() < over) std::this_thread::yield();
  const auto stop =
      this->loop.After(milliseconds(20), [this] { this->loop.Stop(); });
  this->loop.Run();
  ASSERT_TRUE(outcome.has_value());
  EXPECT_EQ(outcome->delivery, Delivery::kNotSent);
  EXPECT_EQ(requests, 0);
}

TEST_F(HttpConnectionPool, WhatWaitsIsSentAfterAConnectionHasFailed) {
  std::vector<HttpResponder> held;
  HttpServer server(
      this->loop, {},
      [&](const HttpRequest& request, const HttpResponder& responder) {
        if (request.path == "/silent") {
          held.push_back(responder);
        } else {
          responder.Respond({.status = 200});
        }
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  for (int i = 0; i < 2; ++i) {
    this->client.Send(server.endpoint(), {.path = "/silent"}, milliseconds(50),
                      [](const HttpOutcome& outcome) {
                        EXPECT_EQ(outcome.fault, "timeout");
                      });
  }
  std::optional<HttpOutcome> outcome;
  this->client.Send(server.endpoint(), {.path = "/"}, seconds(5),
                    [&](HttpOutcome ended) {
                      outcome = std::move(ended);
                      this->loop.Stop();
                    });
  this->loop.Run();
  EXPECT_EQ(outcome->answer.status, 200);
}

// A planner that is late took workers for silent whose answers waited for it.
TEST_F(HttpConnectionPool, AnAnswerThatWaitsForALateLoopIsNoTimeout) {
  std::optional<Endpoint> endpoint;
  std::atomic<bool> answered = false;
  EventLoop* server_loop = nullptr;
  std::atomic<bool> ready = false;
  std::thread thread([&] {
    EventLoop other;
    HttpServer server(other, {},
                      [&](const HttpRequest&, const HttpResponder& responder) {
                        responder.Respond({.status = 200});
                        answered = true;
                      });
    ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
    endpoint = server.endpoint();
    server_loop = &other;
    ready = true;
    other.Run();
  });
  while (!ready) std::this_thread::yield();
  std::optional<HttpOutcome> outcome;
  const auto ask = [&](Duration timeout) {
    outcome.reset();
    this->client.Send(*endpoint, {.path = "/"}, timeout,
                      [&](HttpOutcome ended) {
                        outcome = std::move(ended);
                        this->loop.Stop();
                      });
  };
  ask(seconds(5));
  this->loop.Run();
  ASSERT_EQ(outcome->answer.status, 200);
  answered = false;
  ask(milliseconds(1));
  // This loop handles nothing until the time is over and the answer is there.
  const Instant over = this->loop.Now() + milliseconds(50);
  while (!answered || this->loop.Now() < over) std::this_thread::yield();
  this->loop.Run();
  EXPECT_EQ(outcome->delivery, Delivery::kAnswered) << outcome->fault;
  server_loop->Stop();
  thread.join();
}

}  // namespace
}  // namespace agatepass::base
