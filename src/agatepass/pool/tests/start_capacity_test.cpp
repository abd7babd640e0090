// How many starts a planner can carry, and who is rejected beyond.
#include "agatepass/pool/start_capacity.h"

#include <cmath>

#include "agatepass/pool/admission.h"
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kPeriod = milliseconds(250);
const base::Instant kNow{seconds(100)};

TEST(StartCapacity, IsUnknownWhileThePlannerIsMostlyIdle) {
  StartCapacity capacity;
  capacity.OnPeriod(100, milliseconds(50), kPeriod);
  EXPECT_TRUE(std::isinf(capacity.starts_per_second()));
  EXPECT_TRUE(std::isinf(capacity.RateFor(0, kNow)));
}

// Loading the jobs of earlier terms keeps a planner busy and starts nothing.
TEST(StartCapacity, APeriodWithoutStartsSaysNothing) {
  StartCapacity capacity;
  capacity.OnPeriod(2, kPeriod, kPeriod);
  EXPECT_TRUE(std::isinf(capacity.starts_per_second()));
}

TEST(StartCapacity, FollowsWhatAStartCosts) {
  StartCapacity capacity;
  for (int i = 0; i < 40; ++i) capacity.OnPeriod(250, kPeriod, kPeriod);
  EXPECT_NEAR(capacity.starts_per_second(), 1000, 1);
  for (int i = 0; i < 40; ++i) capacity.OnPeriod(125, kPeriod, kPeriod);
  EXPECT_NEAR(capacity.starts_per_second(), 500, 1);
}

// A successor syncs a thousand workers beside its first starts, and rejected
// jobs by what these seemed to cost for as long as it had little to do.
TEST(StartCapacity, ForgetsTheCostOfATakeoverSoon) {
  StartCapacity capacity;
  capacity.OnPeriod(50, kPeriod, kPeriod);
  EXPECT_NEAR(capacity.starts_per_second(), 200, 1);
  for (int i = 0; i < 4; ++i) capacity.OnPeriod(400, kPeriod, kPeriod);
  EXPECT_GT(capacity.starts_per_second(), 1000);
  capacity.OnPeriod(25, kPeriod, kPeriod);
  for (int i = 0; i < 12; ++i) {
    capacity.OnPeriod(10, milliseconds(60), kPeriod);
  }
  EXPECT_GT(capacity.starts_per_second(), 5000);
}

TEST(StartCapacity, HigherPrioritiesComeFirst) {
  StartCapacity capacity;
  for (int i = 0; i < 40; ++i) capacity.OnPeriod(250, kPeriod, kPeriod);
  base::Instant now = kNow;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    capacity.OnAccepted(1, 5, now);
  }
  EXPECT_NEAR(capacity.RateFor(0, now), 900, 5);
  EXPECT_NEAR(capacity.RateFor(1, now), 900, 5);
  EXPECT_NEAR(capacity.RateFor(2, now), 400, 10);
  EXPECT_NEAR(capacity.RateFor(2, now + seconds(20)), 900, 5);
}

const QueuePolicy kPolicy{.stretch = 3, .slack = seconds(2)};

// Its objective leaves 2 + (3 - 1.3) * 4 s, of which eight tenths may be
// waited.
Job MakeJob() { return fakes::MakePoolJob("a", 10, 1000, seconds(4)); }

TEST(StartCapacity, AJobThatCannotStartInTimeIsRejectedThoughThereIsRoom) {
  PoolLoad load{.usable_millicores = 1e6,
                .free_millicores = 1e6,
                .starts_ahead = 590,
                .starts_per_second = 100};
  EXPECT_EQ(FindAdmissionRetryDelay(load, MakeJob(), kPolicy), std::nullopt);
  load.starts_ahead = 1290;
  const auto delay = FindAdmissionRetryDelay(load, MakeJob(), kPolicy);
  ASSERT_TRUE(delay);
  EXPECT_GT(*delay, seconds(5)) << "the time in which enough of them start";
  EXPECT_LT(*delay, seconds(7));
}

TEST(StartCapacity, AJobLargerThanWhatCanStartInTimeIsAcceptedAlone) {
  const PoolLoad load{.usable_millicores = 1e6,
                      .free_millicores = 1e6,
                      .starts_per_second = 0.1};
  EXPECT_EQ(FindAdmissionRetryDelay(load, MakeJob(), kPolicy), std::nullopt);
}

// It would be rejected by its own width on each retry.
TEST(StartCapacity, AWideJobIsAcceptedBehindLittle) {
  const PoolLoad load{.usable_millicores = 1e6,
                      .free_millicores = 1e6,
                      .starts_ahead = 10,
                      .starts_per_second = 100};
  const Job wide = fakes::MakePoolJob("wide", 2000, 100, seconds(4));
  EXPECT_EQ(FindAdmissionRetryDelay(load, wide, kPolicy), std::nullopt);
}

TEST(StartCapacity, AJobWithoutSpareTimeIsAcceptedBehindLittle) {
  const PoolLoad load{.usable_millicores = 1e6,
                      .free_millicores = 1e6,
                      .starts_ahead = 10,
                      .starts_per_second = 1000};
  EXPECT_EQ(FindAdmissionRetryDelay(load, MakeJob(), {.stretch = 1}),
            std::nullopt);
}

// Calls and rejections may use up the planner's time and leave few starts.
TEST(StartCapacity, ForgetsACostThatNoStartsConfirm) {
  StartCapacity capacity;
  capacity.OnPeriod(20, kPeriod, kPeriod);
  EXPECT_NEAR(capacity.starts_per_second(), 80, 1);
  for (int i = 0; i < 20; ++i) {
    capacity.OnPeriod(5, milliseconds(200), kPeriod);
  }
  EXPECT_GT(capacity.starts_per_second(), 5000);
}

}  // namespace
}  // namespace agatepass::pool
