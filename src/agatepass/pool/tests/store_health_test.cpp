// When lost answers of the store count as an outage.
#include "agatepass/pool/store_health.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(StoreHealth, FewerThanThreeFailuresInARowAreNoOutage) {
  StoreHealth health;
  const base::Instant now(seconds(10));
  health.OnFailure(now, now);
  health.OnFailure(now, now);
  EXPECT_FALSE(health.IsDown());
  health.OnAnswer(now);
  health.OnFailure(now, now);
  EXPECT_FALSE(health.IsDown());
}

TEST(StoreHealth, ThreeFailuresInARowAreAnOutage) {
  StoreHealth health;
  const base::Instant now(seconds(10));
  for (int i = 0; i < 3; ++i) health.OnFailure(now, now);
  EXPECT_TRUE(health.IsDown());
  health.OnAnswer(now);
  EXPECT_FALSE(health.IsDown());
}

// Callers of an outage of 4.2 s were told to retry 3.9 s after its end.
TEST(StoreHealth, TheRetryDelayIsShortAtFirstAndGrowsWithTheOutage) {
  StoreHealth health;
  const base::Instant start(seconds(10));
  health.OnFailure(start, start);
  EXPECT_EQ(health.RetryAfter(start), seconds(1));
  EXPECT_EQ(health.RetryAfter(start + seconds(4)), seconds(1));
  EXPECT_EQ(health.RetryAfter(start + seconds(12)), seconds(3));
  EXPECT_EQ(health.RetryAfter(start + seconds(50)), seconds(4));
}

// Guards against commits of an outage that time out after its end, and so begin
// another one.
TEST(StoreHealth, FailuresOfCommitsSentBeforeAnAnsweredOneDoNotCount) {
  StoreHealth health;
  const base::Instant now(seconds(10));
  health.OnAnswer(now);
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(health.OnFailure(now - milliseconds(100), now + seconds(1)));
  }
  EXPECT_TRUE(health.IsAnswering());
  EXPECT_TRUE(health.OnFailure(now - milliseconds(50), now + seconds(1)));
  EXPECT_FALSE(health.IsAnswering());
}

TEST(StoreHealth, IsFailingAfterRepeatedFailuresForAWhile) {
  StoreHealth health;
  const base::Instant now{seconds(10)};
  health.OnFailure(now, now);
  EXPECT_FALSE(health.IsFailing(now + seconds(1)));
  health.OnFailure(now, now + milliseconds(100));
  EXPECT_FALSE(health.IsFailing(now + milliseconds(100)));
  EXPECT_TRUE(health.IsFailing(now + milliseconds(400)));
  health.OnAnswer(now);
  EXPECT_FALSE(health.IsFailing(now + milliseconds(400)));
}

}  // namespace
}  // namespace agatepass::pool
