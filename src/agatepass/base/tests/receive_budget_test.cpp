// Which connections are closed when clients make a process hold too much.
#include "agatepass/base/receive_budget.h"

#include <algorithm>
#include <vector>

#include "agatepass/base/request_meter.h"
#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

using std::chrono::seconds;

class ReceiveBudgetTest : public testing::Test {
 protected:
  ReceiveBudget::Id Open(ReceiveBudget::Server server = nullptr) {
    return this->budget.Open(server, [this, id = ++this->opened] {
      this->closed.push_back(id);
      this->budget.Close(id);
    });
  }

  ReceiveBudget budget{
      {.bytes = 1000, .request_time = seconds(10), .answer_time = seconds(5)}};
  Instant now{seconds(100)};
  ReceiveBudget::Id opened = 0;
  std::vector<ReceiveBudget::Id> closed;
};

// Bodies that stopped short of their end, on many connections, took all memory.
TEST_F(ReceiveBudgetTest, ClosesWhatHoldsMuchAndHasTakenLong) {
  for (int i = 0; i < 4; ++i) {
    this->budget.OnReceived(this->Open(), 250,
                            this->now + seconds(i == 1 ? 0 : 1));
  }
  const ReceiveBudget::Id next = this->Open();
  EXPECT_FALSE(this->budget.IsExceeded());
  this->budget.OnReceived(next, 300, this->now + seconds(5));
  ASSERT_TRUE(this->budget.IsExceeded());
  this->budget.CloseExcess(this->now + seconds(5));
  EXPECT_LE(this->budget.held(), 875U);
  EXPECT_EQ(this->closed.front(), 2U) << "the slowest of the stalled ones";
  EXPECT_EQ(std::count(this->closed.begin(), this->closed.end(), next), 0)
      << "the largest has just begun";
  EXPECT_EQ(this->budget.closed_for(CloseReason::kMemory), this->closed.size());
}

// Callers must not take what calls of other hosts need.
TEST_F(ReceiveBudgetTest, ClosesConnectionsOfTheServerThatHoldsMost) {
  const int callers = 0;
  const int peers = 0;
  const ReceiveBudget::Id peer = this->Open(&peers);
  this->budget.OnReceived(peer, 400, this->now);
  for (int i = 0; i < 70; ++i) {
    this->budget.OnReceived(this->Open(&callers), 10, this->now + seconds(9));
  }
  this->budget.CloseExcess(this->now + seconds(10));
  EXPECT_LE(this->budget.held(), 875U);
  EXPECT_EQ(std::count(this->closed.begin(), this->closed.end(), peer), 0);
}

TEST_F(ReceiveBudgetTest, ACompleteRequestAndASentAnswerHoldNothing) {
  const ReceiveBudget::Id id = this->Open();
  this->budget.OnReceived(id, 900, this->now);
  this->budget.OnComplete(id, 40, 0);
  EXPECT_EQ(this->budget.held(), 40U);
  this->budget.OnAnswer(id, 1200, this->now);
  EXPECT_TRUE(this->budget.IsExceeded()) << "an answer that nobody takes";
  this->budget.OnAnswerSent(id, this->now);
  EXPECT_EQ(this->budget.held(), 0U);
  EXPECT_TRUE(
      this->budget.FindOverdue(this->now + std::chrono::hours(1)).empty())
      << "an idle connection is not late";
  const Instant later = this->now + std::chrono::hours(1);
  this->budget.OnReceived(id, 10, later);
  EXPECT_TRUE(this->budget.FindOverdue(later + seconds(9)).empty())
      << "the next request has all its time";
}

// Clients that send or read a byte at a time are never silent.
TEST_F(ReceiveBudgetTest, ProgressDoesNotExtendTheTimeOfARequest) {
  const ReceiveBudget::Id slow = this->Open();
  const ReceiveBudget::Id handled = this->Open();
  const ReceiveBudget::Id reader = this->Open();
  this->Open();  // It has sent nothing, which is not slow.
  this->budget.OnReceived(handled, 10, this->now);
  this->budget.OnComplete(handled, 0, 0);
  this->budget.OnReceived(reader, 10, this->now);
  this->budget.OnComplete(reader, 0, 0);
  this->budget.OnAnswer(reader, 10, this->now + seconds(4));
  for (int i = 1; i <= 9; ++i) {
    this->budget.OnReceived(slow, static_cast<size_t>(i),
                            this->now + seconds(i));
  }
  EXPECT_TRUE(this->budget.FindOverdue(this->now + seconds(9)).empty());
  const auto overdue = this->budget.FindOverdue(this->now + seconds(12));
  ASSERT_EQ(overdue.size(), 2U);
  EXPECT_EQ(overdue[0].id, slow);
  EXPECT_EQ(overdue[0].reason, CloseReason::kRequestTime);
  EXPECT_EQ(overdue[1].id, reader);
  EXPECT_EQ(overdue[1].reason, CloseReason::kAnswerTime);
}

// The time of what was sent ahead begins when the request before is answered.
TEST_F(ReceiveBudgetTest, WhatIsSentAheadIsNotLateWhileItWaitsForAnAnswer) {
  const ReceiveBudget::Id id = this->Open();
  this->budget.OnReceived(id, 50, this->now);
  this->budget.OnComplete(id, 0, 20);
  EXPECT_TRUE(this->budget.FindOverdue(this->now + seconds(60)).empty());
  this->budget.OnAnswer(id, 10, this->now + seconds(60));
  this->budget.OnAnswerSent(id, this->now + seconds(60));
  EXPECT_TRUE(this->budget.FindOverdue(this->now + seconds(69)).empty());
  EXPECT_EQ(this->budget.FindOverdue(this->now + seconds(71)).size(), 1U);
}

// A field of four bytes takes thirty times as much once it is parsed.
TEST(RequestMeter, ChargesFieldsAndNotTheLinesOfABody) {
  RequestMeter meter;
  meter.Add("GET / HTTP/1.1\r\na:\r\nb:\r\n");
  const size_t header = meter.EstimateMemory();
  EXPECT_GE(header, 3U * 100);
  EXPECT_TRUE(meter.in_header());
  meter.Add("\r");
  meter.Add("\n\n\n\n\n");
  EXPECT_FALSE(meter.in_header());
  EXPECT_LT(meter.EstimateMemory(), header + 100);
  meter.Reset();
  EXPECT_EQ(meter.EstimateMemory(), 0U);
}

}  // namespace
}  // namespace agatepass::base
