#include "agatepass/relay/ticket_book.h"
#include "gtest/gtest.h"

namespace agatepass::relay {
namespace {

using base::ResultCode;
using std::chrono::minutes;

class TicketTest : public ::testing::Test {
 protected:
  TicketDecision Begin(const Ticket& ticket, RequestNumber number = 1) {
    return this->book.Begin(ticket, this->team, number, this->now);
  }

  base::Instant now{minutes(1)};
  base::TeamId team{"estate"};
  TicketBook book{base::HostId("e1"), 7, {.answer_bytes = 10}};
  Ticket ticket = *this->book.Issue(this->team, this->now);
};

TEST_F(TicketTest, RepeatsWaitAndGetTheFirstAnswer) {
  EXPECT_EQ(this->Begin(this->ticket, 1).step, TicketStep::kRun);
  EXPECT_EQ(this->Begin(this->ticket, 2).step, TicketStep::kWait);
  const RelayResult result{.code = ResultCode::kOk, .answer = {200, {}, "85"}};
  EXPECT_EQ(this->book.OnEnd(this->ticket, result),
            std::vector<RequestNumber>{2});
  const TicketDecision repeat = this->Begin(this->ticket, 3);
  EXPECT_EQ(repeat.step, TicketStep::kAnswer);
  EXPECT_EQ(repeat.result.answer.body, "85");
}

TEST_F(TicketTest, OnlyWhatDidNotRunRunsAgain) {
  this->Begin(this->ticket);
  this->book.OnEnd(this->ticket, {.code = ResultCode::kUpstreamUnreachable});
  EXPECT_EQ(this->Begin(this->ticket).step, TicketStep::kRun);
  this->book.OnEnd(this->ticket, {.code = ResultCode::kOutcomeUnknown});
  EXPECT_EQ(this->Begin(this->ticket).step, TicketStep::kAnswer);
}

TEST_F(TicketTest, ForeignOldForgedAndExpiredTicketsNeverRun) {
  EXPECT_EQ(this->Begin({base::HostId("e2"), 7, 1}).step,
            TicketStep::kElsewhere);
  EXPECT_EQ(this->Begin({base::HostId("e1"), 6, 1}).result.code,
            ResultCode::kOutcomeUnknown);
  EXPECT_EQ(this->Begin({base::HostId("e1"), 7, 2}).result.code,
            ResultCode::kInvalidRequest);
  EXPECT_EQ(this->book.Begin(this->ticket, base::TeamId("x"), 1, this->now)
                .result.code,
            ResultCode::kForbidden);
  this->now += minutes(20);
  EXPECT_EQ(this->Begin(this->ticket).result.code, ResultCode::kOutcomeUnknown);
}

TEST_F(TicketTest, RunningTicketOutlivesItsTime) {
  this->Begin(this->ticket);
  this->now += minutes(20);
  EXPECT_EQ(this->Begin(this->ticket, 2).step, TicketStep::kWait);
}

TEST_F(TicketTest, DroppedAnswerIsUnknownAndNotRunAgain) {
  this->Begin(this->ticket);
  this->book.OnEnd(this->ticket, {.code = ResultCode::kOk,
                                  .answer = {200, {}, "more than ten bytes"}});
  const TicketDecision repeat = this->Begin(this->ticket);
  EXPECT_EQ(repeat.step, TicketStep::kAnswer);
  EXPECT_EQ(repeat.result.code, ResultCode::kOutcomeUnknown);
}

TEST_F(TicketTest, TextFormIsReadBack) {
  const Ticket dotted{base::HostId("uus-a.e1"), 9, 12};
  EXPECT_EQ(ParseTicket(dotted.ToString()), dotted);
  for (const char* text : {"", "a", "a.b", "a.1.x", ".1.2", "a.1."})
    EXPECT_EQ(ParseTicket(text), std::nullopt) << text;
}

}  // namespace
}  // namespace agatepass::relay
