#include "agatepass/control/runner.h"

#include <deque>
#include <sstream>
#include <thread>

#include "agatepass/base/http_server.h"
#include "agatepass/control/gate_client.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace agatepass::control {
namespace {

using ::testing::HasSubstr;

/** Gives prepared outcomes in order. */
struct FakeSender {
  std::deque<base::HttpOutcome> outcomes;

  base::HttpOutcome Send(const base::HttpRequest&) {
    if (this->outcomes.empty()) return {.fault = "no outcome prepared"};
    base::HttpOutcome outcome = this->outcomes.front();
    this->outcomes.pop_front();
    return outcome;
  }
  void Wait(base::Duration) {}
};

base::HttpOutcome Answer(int status, std::string body) {
  return {.delivery = base::Delivery::kAnswered,
          .answer = {.status = status, .body = std::move(body)}};
}

struct Result {
  int exit_code;
  std::string answers;
  std::string faults;
};

Result RunWith(std::deque<base::HttpOutcome> outcomes,
               Invocation invocation = {}) {
  FakeSender sender{std::move(outcomes)};
  if (invocation.requests.empty()) invocation.requests.resize(1);
  std::ostringstream answers;
  std::ostringstream faults;
  const int code =
      Runner(sender, invocation, {.answers = answers, .faults = faults}).Run();
  return {code, answers.str(), faults.str()};
}

TEST(Runner, PrintsATableForPeopleAndTheBodyForPrograms) {
  const std::string body =
      R"({"jobs":[{"job":"j-7","state":"running"},{"job":"j-12"}]})";
  EXPECT_EQ(RunWith({Answer(200, body)}).answers,
            "job   state\nj-7   running\nj-12  -\n");
  EXPECT_EQ(RunWith({Answer(200, body)}, {.json = true}).answers, body + "\n");
}

TEST(Runner, AnErrorGivesItsClassAndWhatToDo) {
  const Result result = RunWith({Answer(
      503,
      R"({"code":"no_room_now","message":"worker \"w1\" is full","retry_after_s":2})")});
  EXPECT_EQ(result.exit_code, 20);
  EXPECT_THAT(result.faults,
              HasSubstr("no_room_now (23, not run): worker \"w1\" is full"));
  EXPECT_THAT(result.faults, HasSubstr("after 2 s"));
}

TEST(Runner, NoAnswerIsUnknownAndNotSentIsNotRun) {
  EXPECT_EQ(RunWith({{.delivery = base::Delivery::kUnknown}}).exit_code, 40);
  EXPECT_EQ(RunWith({{.delivery = base::Delivery::kNotSent}}).exit_code, 30);
}

TEST(Runner, AnErrorStatusWithoutACodeIsNoSuccess) {
  EXPECT_EQ(RunWith({Answer(502, "bad gateway")}).exit_code, 70);
  EXPECT_EQ(RunWith({Answer(404, R"({"code":"ok"})")}).exit_code, 70);
}

TEST(Runner, ABulkAnswerWithOneRefusalIsNoSuccess) {
  const Result result = RunWith({Answer(
      200, R"({"results":[{"code":"accepted"},{"code":"quota_exceeded"}]})")});
  EXPECT_EQ(result.exit_code, 20);
}

TEST(Runner, AFailureEndsTheSequence) {
  Invocation invocation;
  invocation.requests.resize(3);
  const Result result = RunWith({Answer(200, "{}"),
                                 {.delivery = base::Delivery::kUnknown},
                                 Answer(200, R"({"never":"shown"})")},
                                invocation);
  EXPECT_EQ(result.exit_code, 40);
  EXPECT_EQ(result.answers, "");
}

TEST(Runner, ACancellationWaveGoesOnUntilNoneRemain) {
  const Result result = RunWith(
      {Answer(200, R"({"remaining":5})"), Answer(200, R"({"remaining":0})"),
       Answer(200, R"({"remaining":9})")},
      {.until_none_remain = true});
  EXPECT_EQ(result.answers, "remaining: 5\nremaining: 0\n");
  EXPECT_EQ(result.exit_code, 0);
}

TEST(Runner, AConfigurationIsHeadedByItsRevision) {
  const Result result =
      RunWith({Answer(200, R"({"revision":4,"text":"[a]\n"})")},
              {.view = View::kConfiguration});
  EXPECT_EQ(result.answers, "; revision 4\n[a]\n");
}

// The first gate refuses the connection, so the second one is asked.
TEST(GateClient, AsksTheNextGateIfNothingWasSent) {
  base::EventLoop server_loop;
  uint16_t closed_port = 0;
  {
    base::HttpServer closed(server_loop, {}, {});
    ASSERT_TRUE(closed.Listen({"127.0.0.1", 0}).ok());
    closed_port = closed.endpoint().port;
  }
  base::HttpServer server(
      server_loop, {},
      [](const base::HttpRequest& request, const base::HttpResponder& open) {
        open.Respond({.status = 200,
                      .body = std::string(
                          base::FindHeader(request.headers, "Authorization"))});
      });
  ASSERT_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  std::thread thread([&] { server_loop.Run(); });
  GateClient client({{"127.0.0.1", closed_port}, server.endpoint()}, "t",
                    std::chrono::seconds(5));
  const base::HttpOutcome outcome = client.Send({.path = "/v1/jobs"});
  server_loop.Stop();
  thread.join();
  EXPECT_EQ(outcome.delivery, base::Delivery::kAnswered) << outcome.fault;
  EXPECT_EQ(outcome.answer.body, "Bearer t");
}

}  // namespace
}  // namespace agatepass::control
