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
  health.OnFailure(now);
  health.OnFailure(now);
  EXPECT_FALSE(health.IsDown());
  health.OnAnswer();
  health.OnFailure(now);
  EXPECT_FALSE(health.IsDown());
}

TEST(StoreHealth, ThreeFailuresInARowAreAnOutage) {
  StoreHealth health;
  for (int i = 0; i < 3; ++i) health.OnFailure(base::Instant(seconds(10)));
  EXPECT_TRUE(health.IsDown());
  health.OnAnswer();
  EXPECT_FALSE(health.IsDown());
}

TEST(StoreHealth, TheRetryDelayGrowsWithTheOutage) {
  StoreHealth health;
  health.OnFailure(base::Instant(seconds(10)));
  EXPECT_EQ(health.RetryAfter(base::Instant(seconds(10))), seconds(1));
  EXPECT_EQ(health.RetryAfter(base::Instant(seconds(13))), seconds(3));
  EXPECT_EQ(health.RetryAfter(base::Instant(seconds(60))), seconds(4));
}

TEST(StoreHealth, IsFailingAfterRepeatedFailuresForAWhile) {
  StoreHealth health;
  const base::Instant now{seconds(10)};
  health.OnFailure(now);
  EXPECT_FALSE(health.IsFailing(now + seconds(1)));
  health.OnFailure(now + milliseconds(100));
  EXPECT_FALSE(health.IsFailing(now + milliseconds(100)));
  EXPECT_TRUE(health.IsFailing(now + milliseconds(400)));
  health.OnAnswer();
  EXPECT_FALSE(health.IsFailing(now + milliseconds(400)));
}

}  // namespace
}  // namespace agatepass::pool
