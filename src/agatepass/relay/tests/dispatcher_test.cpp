#include "agatepass/relay/dispatcher.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace agatepass::relay {
namespace {

using base::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServiceId kServiceId("notice-desk");

platform::HostRecord MakeUpstream(const std::string& name, uint16_t port) {
  platform::HostRecord host;
  host.name = name;
  host.role = platform::HostRole::kUpstream;
  host.endpoint = {"127.0.0.1", port};
  host.data_centre = base::DataCentreId("uus-a");
  host.service = kServiceId;
  return host;
}

class DispatcherTest : public ::testing::Test {
 protected:
  DispatcherTest() {
    ServiceRule rule{.service = kServiceId, .slots = 2, .queue_length = 4};
    this->dispatcher.SetServices({&rule, 1}, this->now);
    this->hosts = {MakeUpstream("u1", 1), MakeUpstream("u2", 2)};
    this->dispatcher.SetUpstreams(this->hosts, this->now);
  }

  std::vector<Command> Submit(
      RequestNumber number,
      RequestClass request_class = RequestClass::kInteractive,
      bool idempotent = false, base::Duration time = seconds(5)) {
    return this->dispatcher.Submit({number, kServiceId, request_class, "",
                                    idempotent, this->now + time, 10},
                                   this->now);
  }

  static int CountSends(const std::vector<Command>& commands) {
    int count = 0;
    for (const Command& command : commands)
      count += std::holds_alternative<SendCommand>(command) ? 1 : 0;
    return count;
  }

  base::Instant now{seconds(100)};
  std::vector<platform::HostRecord> hosts;
  Dispatcher dispatcher{{base::RegionId(), base::DataCentreId("uus-a")}, 7};
};

TEST_F(DispatcherTest, FillsSlotsThenQueuesThenRefuses) {
  int sent = 0;
  for (RequestNumber i = 1; i <= 8; ++i) sent += CountSends(this->Submit(i));
  EXPECT_EQ(sent, 4);
  const std::vector<Command> refused = this->Submit(9);
  ASSERT_EQ(refused.size(), 1U);
  const auto& finish = std::get<FinishCommand>(refused[0]);
  EXPECT_EQ(finish.code, ResultCode::kOverloaded);
  EXPECT_GT(finish.retry_after.count(), 0);
}

TEST_F(DispatcherTest, UrgentGoesBeforeBulkThatCameFirst) {
  for (RequestNumber i = 1; i <= 4; ++i) this->Submit(i);
  this->Submit(5, RequestClass::kBulk);
  this->Submit(6, RequestClass::kUrgent);
  const std::vector<Command> commands = this->dispatcher.OnAttemptEnd(
      1, AttemptEnd::kAnswered, "", this->now + milliseconds(10));
  ASSERT_EQ(commands.size(), 2U);
  EXPECT_EQ(std::get<SendCommand>(commands[1]).request, 6U);
}

TEST_F(DispatcherTest, RetriesWhatWasNotSentElsewhere) {
  const auto first = std::get<SendCommand>(this->Submit(1)[0]);
  const std::vector<Command> commands = this->dispatcher.OnAttemptEnd(
      1, AttemptEnd::kNotRun, "cannot connect", this->now);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_NE(std::get<SendCommand>(commands[0]).upstream, first.upstream);
}

TEST_F(DispatcherTest, NonIdempotentRequestIsUnknownAfterALostAnswer) {
  this->Submit(1);
  const std::vector<Command> commands = this->dispatcher.OnAttemptEnd(
      1, AttemptEnd::kUnknown, "timeout", this->now);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(std::get<FinishCommand>(commands[0]).code,
            ResultCode::kOutcomeUnknown);
}

TEST_F(DispatcherTest, SlotOfALostAnswerStaysTakenWhileItMayRun) {
  for (RequestNumber i = 1; i <= 5; ++i)
    this->Submit(i, RequestClass::kInteractive, false, seconds(20));
  EXPECT_EQ(
      CountSends(this->dispatcher.OnAttemptEnd(
          1, AttemptEnd::kUnknown, "timeout", this->now + milliseconds(10))),
      0);
  EXPECT_EQ(CountSends(this->dispatcher.OnTick(this->now + milliseconds(9999))),
            0);
  EXPECT_EQ(CountSends(this->dispatcher.OnTick(this->now + seconds(10))), 1);
}

TEST_F(DispatcherTest, NothingIsSentAfterItsDeadline) {
  for (RequestNumber i = 1; i <= 5; ++i) this->Submit(i);
  const std::vector<Command> commands = this->dispatcher.OnAttemptEnd(
      1, AttemptEnd::kAnswered, "", this->now + seconds(6));
  EXPECT_EQ(CountSends(commands), 0);
  EXPECT_EQ(std::get<FinishCommand>(commands.back()).code,
            ResultCode::kOverloaded);
}

TEST_F(DispatcherTest, LeavingUpstreamGetsNothingNew) {
  this->hosts[0].state = platform::HostState::kLeaving;
  this->dispatcher.SetUpstreams(this->hosts, this->now);
  for (RequestNumber i = 1; i <= 3; ++i) {
    for (const Command& command : this->Submit(i)) {
      if (const auto* send = std::get_if<SendCommand>(&command)) {
        EXPECT_EQ(send->upstream.value, "u2");
      }
    }
  }
}

TEST_F(DispatcherTest, NoticeOfLeavingOutlivesTheLaggingHostList) {
  this->dispatcher.OnLeavingNotice(kServiceId, base::UpstreamId("u1"));
  this->dispatcher.SetUpstreams(this->hosts, this->now);
  for (RequestNumber i = 1; i <= 2; ++i) {
    EXPECT_EQ(std::get<SendCommand>(this->Submit(i)[0]).upstream.value, "u2");
  }
}

TEST_F(DispatcherTest, TooShortDeadlineIsRefusedAtOnce) {
  this->Submit(1);
  this->dispatcher.OnAttemptEnd(1, AttemptEnd::kAnswered, "",
                                this->now + milliseconds(200));
  this->now += milliseconds(200);
  const std::vector<Command> commands =
      this->Submit(2, RequestClass::kUrgent, false, milliseconds(100));
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(std::get<FinishCommand>(commands[0]).code,
            ResultCode::kDeadlineTooShort);
}

TEST_F(DispatcherTest, WaitingRequestIsGivenUpBeforeItsDeadline) {
  for (RequestNumber i = 1; i <= 4; ++i) this->Submit(i);
  this->dispatcher.OnAttemptEnd(1, AttemptEnd::kAnswered, "",
                                this->now + milliseconds(500));
  this->now += milliseconds(500);
  this->Submit(5);
  this->Submit(6, RequestClass::kBulk, false, seconds(2));
  const std::vector<Command> commands =
      this->dispatcher.OnTick(this->now + milliseconds(1600));
  ASSERT_EQ(commands.size(), 1U);
  const auto& finish = std::get<FinishCommand>(commands[0]);
  EXPECT_EQ(finish.code, ResultCode::kOverloaded);
  EXPECT_GT(finish.retry_after.count(), 0);
}

TEST_F(DispatcherTest, LabelsNeverShareAnUpstream) {
  this->hosts[0].label = "estate";
  this->hosts[1].label = "counter";
  this->dispatcher.SetUpstreams(this->hosts, this->now);
  const std::vector<Command> commands =
      this->dispatcher.Submit({1, kServiceId, RequestClass::kBulk, "estate",
                               false, this->now + seconds(5), 10},
                              this->now);
  EXPECT_EQ(std::get<SendCommand>(commands[0]).upstream.value, "u1");
  EXPECT_EQ(std::get<FinishCommand>(this->Submit(2)[0]).code,
            ResultCode::kUpstreamUnreachable);
}

TEST_F(DispatcherTest, WithoutAShareNothingIsSent) {
  const UpstreamShare share{base::UpstreamId("u2"), 1, 8};
  this->dispatcher.SetShares({&share, 1}, this->now);
  EXPECT_EQ(std::get<SendCommand>(this->Submit(1)[0]).upstream.value, "u2");
  EXPECT_EQ(CountSends(this->Submit(2)), 0);
}

TEST_F(DispatcherTest, StoppingRefusesNewAndFinishesOld) {
  this->Submit(1);
  this->dispatcher.StopAccepting();
  EXPECT_EQ(std::get<FinishCommand>(this->Submit(2)[0]).code,
            ResultCode::kStopping);
  const std::vector<Command> commands =
      this->dispatcher.OnAttemptEnd(1, AttemptEnd::kAnswered, "", this->now);
  EXPECT_EQ(std::get<FinishCommand>(commands[0]).code, ResultCode::kOk);
}

}  // namespace
}  // namespace agatepass::relay
