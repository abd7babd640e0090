// The order, the bounds and the end of the wait of submissions.
#include "agatepass/pool/waiting_submissions.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Instant kNow{seconds(10)};

WaitingSubmission MakeSubmission(const std::string& id, uint32_t priority,
                                 CallId call, base::Duration patience,
                                 size_t bytes = 100) {
  WaitingSubmission submission{
      .priority = priority,
      .calls = {{.call = call, .given_up_at = kNow + patience}},
      .since = kNow,
      .bytes = bytes};
  submission.job.id = base::JobId(id);
  return submission;
}

TEST(WaitingSubmissions, AreTakenByPriorityThenByTheNearestDeadline) {
  WaitingSubmissions waiting;
  waiting.Add(MakeSubmission("low", 2, 1, seconds(1)));
  waiting.Add(MakeSubmission("late", 0, 2, seconds(3)));
  waiting.Add(MakeSubmission("soon", 0, 3, seconds(2)));
  EXPECT_EQ(waiting.TakeFirst()->job.id.value, "soon");
  EXPECT_EQ(waiting.TakeFirst()->job.id.value, "late");
  EXPECT_EQ(waiting.TakeFirst()->job.id.value, "low");
  EXPECT_FALSE(waiting.TakeFirst());
  EXPECT_EQ(waiting.held_bytes(), 0U);
}

// Guards against a first try that is told "not run" while its repeat waits on.
TEST(WaitingSubmissions, AJobWaitsAsLongAsAnyOfItsCalls) {
  WaitingSubmissions waiting;
  waiting.Add(MakeSubmission("a", 0, 1, seconds(1)));
  EXPECT_TRUE(waiting.Join(base::JobId("a"),
                           {.call = 2, .given_up_at = kNow + seconds(2)}));
  EXPECT_EQ(waiting.size(), 1U);
  const base::Duration margin = WaitingSubmissions::kAnswerMargin;
  EXPECT_TRUE(waiting.TakeExpired(kNow + seconds(1) - margin - milliseconds(1))
                  .left_early.empty());
  const auto first = waiting.TakeExpired(kNow + seconds(1) - margin);
  EXPECT_EQ(first.left_early, std::vector<CallId>{1});
  EXPECT_TRUE(first.dropped.empty());
  const auto second = waiting.TakeExpired(kNow + seconds(2) - margin);
  ASSERT_EQ(second.dropped.size(), 1U);
  ASSERT_EQ(second.dropped[0].calls.size(), 1U);
  EXPECT_EQ(second.dropped[0].calls[0].call, 2U);
  EXPECT_TRUE(waiting.empty());
  EXPECT_EQ(waiting.calls(), 0U);
}

// Guards against an outage that fills the planner's memory.
TEST(WaitingSubmissions, AreBoundedInCallsAndBytes) {
  WaitingSubmissions waiting;
  EXPECT_FALSE(waiting.Fits(WaitingSubmissions::kMaxBytes + 1, 1));
  waiting.Add(MakeSubmission("a", 0, 1, seconds(1),
                             WaitingSubmissions::kMaxBytes - 10));
  EXPECT_FALSE(waiting.Fits(11, 1));
  EXPECT_TRUE(waiting.Fits(10, 1));
  const SubmitCall repeat{.call = 2, .given_up_at = kNow + seconds(1)};
  while (waiting.calls() < WaitingSubmissions::kMaxCalls) {
    ASSERT_TRUE(waiting.Join(base::JobId("a"), repeat));
  }
  EXPECT_FALSE(waiting.Join(base::JobId("a"), repeat));
  EXPECT_FALSE(waiting.Fits(1, 1));
  waiting.Take(base::JobId("a"));
  EXPECT_TRUE(waiting.Fits(WaitingSubmissions::kMaxBytes, 1));
}

}  // namespace
}  // namespace agatepass::pool
