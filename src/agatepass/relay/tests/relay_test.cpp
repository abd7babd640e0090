#include "agatepass/relay/relay.h"

#include <string>
#include <vector>

#include "fakes/fake_upstream.h"
#include "gtest/gtest.h"

namespace agatepass::relay {
namespace {

using base::ResultCode;
using fakes::FakeUpstream;
using fakes::UpstreamFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

class RelayTest : public ::testing::Test {
 protected:
  RelayTest() {
    const ServiceRule rule{.service = base::ServiceId("quoter")};
    this->relay.SetServices({&rule, 1});
  }

  void List(const std::vector<FakeUpstream*>& upstreams) {
    std::vector<platform::HostRecord> hosts;
    for (FakeUpstream* upstream : upstreams) {
      platform::HostRecord host;
      host.name = "u" + std::to_string(hosts.size());
      host.role = platform::HostRole::kUpstream;
      host.service = base::ServiceId("quoter");
      host.endpoint = upstream->endpoint();
      hosts.push_back(host);
    }
    this->relay.SetUpstreams(hosts);
  }

  RelayResult Ask(const std::string& body, bool idempotent = false,
                  base::Duration time = seconds(5)) {
    RelayRequest request;
    request.id = base::RequestId("r-" + body);
    request.service = base::ServiceId("quoter");
    request.idempotent = idempotent;
    request.deadline = this->loop.Now() + time;
    request.http = {
        .method = base::HttpMethod::kPost, .path = "/quote", .body = body};
    RelayResult result;
    bool done = false;
    this->relay.Forward(request, [&](RelayResult answer) {
      result = std::move(answer);
      done = true;
      this->loop.Stop();
    });
    if (!done) this->loop.Run();
    return result;
  }

  base::EventLoop loop;
  Relay relay{this->loop, {}};
  FakeUpstream first{this->loop, {.service_time = milliseconds(1)}};
  FakeUpstream second{this->loop, {.service_time = milliseconds(1)}};
};

TEST_F(RelayTest, ReturnsTheWholeAnswer) {
  ASSERT_TRUE(this->first.Listen({"127.0.0.1", 0}).ok());
  this->List({&this->first});
  const RelayResult result = this->Ask("coil");
  EXPECT_EQ(result.code, ResultCode::kOk);
  EXPECT_EQ(result.answer.body, "coil");
  EXPECT_EQ(this->relay.in_flight(), 0U);
}

TEST_F(RelayTest, NoAnswerThatIsNotWholeIsPassedOn) {
  ASSERT_TRUE(this->first.Listen({"127.0.0.1", 0}).ok());
  this->List({&this->first});
  for (const UpstreamFault fault :
       {UpstreamFault::kCut, UpstreamFault::kWrongId, UpstreamFault::kSilent}) {
    this->first.SetFault(fault);
    const std::string body = std::to_string(static_cast<int>(fault));
    const RelayResult result = this->Ask(body, false, milliseconds(200));
    EXPECT_EQ(result.code, ResultCode::kOutcomeUnknown) << result.message;
    EXPECT_TRUE(result.answer.body.empty());
    EXPECT_EQ(this->first.RunsOf("r-" + body), 1);
  }
}

TEST_F(RelayTest, BytesAfterAnAnswerReachNobody) {
  ASSERT_TRUE(this->first.Listen({"127.0.0.1", 0}).ok());
  this->List({&this->first});
  this->first.SetFault(UpstreamFault::kWrongLength);
  this->Ask("one");
  this->first.SetFault(UpstreamFault::kNone);
  const RelayResult result = this->Ask("two");
  EXPECT_NE(result.answer.body, "false");
}

TEST_F(RelayTest, RequestThatWasNotRunGoesToAnotherUpstream) {
  ASSERT_TRUE(this->first.Listen({"127.0.0.1", 0}).ok());
  ASSERT_TRUE(this->second.Listen({"127.0.0.1", 0}).ok());
  this->List({&this->first, &this->second});
  this->first.SetFault(UpstreamFault::kNotRun);
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(this->Ask(std::to_string(i)).code, ResultCode::kOk);
  EXPECT_EQ(this->second.runs(), 4);
}

TEST_F(RelayTest, NoticeOfLeavingMovesTraffic) {
  ASSERT_TRUE(this->first.Listen({"127.0.0.1", 0}).ok());
  ASSERT_TRUE(this->second.Listen({"127.0.0.1", 0}).ok());
  this->List({&this->first, &this->second});
  this->first.SetFault(UpstreamFault::kLeaving);
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(this->Ask(std::to_string(i)).code, ResultCode::kOk);
  EXPECT_LE(this->first.runs(), 1);
}

TEST_F(RelayTest, DeadUpstreamIsAnsweredAtOnceAsNotRun) {
  ASSERT_TRUE(this->first.Listen({"127.0.0.1", 0}).ok());
  this->List({&this->first});
  platform::HostRecord dead;
  dead.name = "dead";
  dead.role = platform::HostRole::kUpstream;
  dead.service = base::ServiceId("quoter");
  dead.endpoint = {"127.0.0.1", 1};
  this->relay.SetUpstreams({&dead, 1});
  const RelayResult result = this->Ask("x");
  EXPECT_EQ(result.code, ResultCode::kUpstreamUnreachable);
  EXPECT_GT(result.retry_after.count(), 0);
}

}  // namespace
}  // namespace agatepass::relay
