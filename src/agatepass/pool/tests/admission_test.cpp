// Admission control: a job that cannot finish within its objective behind the
// work accepted before it is rejected at once.
#include "agatepass/pool/admission.h"

#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::seconds;

const QueuePolicy kPolicy{.stretch = 3, .slack = seconds(2)};

Job MakeLetterJob() { return fakes::MakePoolJob("a", 4, 1000, seconds(4)); }

TEST(Admission, AcceptsAJobThatMeetsItsObjective) {
  const PoolLoad load{.usable_millicores = 10'000,
                      .same_priority_work = 20'000};
  EXPECT_EQ(RetryAfterOverload(load, MakeLetterJob(), kPolicy), std::nullopt);
}

TEST(Admission, RejectsBehindTooMuchWorkWithARetryDelay) {
  const PoolLoad load{.usable_millicores = 10'000,
                      .same_priority_work = 200'000};
  const auto wait = RetryAfterOverload(load, MakeLetterJob(), kPolicy);
  ASSERT_TRUE(wait);
  EXPECT_GT(*wait, seconds(10));
  EXPECT_LT(*wait, seconds(20));
}

TEST(Admission, CountsHigherPriorityWorkToo) {
  const PoolLoad load{.usable_millicores = 10'000,
                      .higher_priority_work = 200'000};
  EXPECT_TRUE(RetryAfterOverload(load, MakeLetterJob(), kPolicy));
}

TEST(Admission, AcceptsALargeJobWhenNoWorkIsWaiting) {
  const PoolLoad load{.usable_millicores = 100};
  EXPECT_EQ(RetryAfterOverload(load, MakeLetterJob(), kPolicy), std::nullopt);
}

TEST(Admission, AcceptsJobsBeforeTheFirstWorkerIsKnown) {
  EXPECT_EQ(RetryAfterOverload({}, MakeLetterJob(), kPolicy), std::nullopt);
}

TEST(Admission, AcceptsAJobThatStartsAtOnceWhileGangsWaitForCapacity) {
  PoolLoad load{.usable_millicores = 10'000,
                .higher_priority_work = 200'000,
                .free_millicores = 12'000};
  EXPECT_EQ(RetryAfterOverload(load, MakeLetterJob(), kPolicy), std::nullopt);
  // Waiting tasks use the free capacity first.
  load.waiting_millicores = 4'000;
  EXPECT_TRUE(RetryAfterOverload(load, MakeLetterJob(), kPolicy));
}

TEST(Admission, FragmentedFreeCapacityDoesNotCountForAGang) {
  const PoolLoad load{.usable_millicores = 10'000,
                      .higher_priority_work = 200'000,
                      .free_millicores = 100'000};
  Job gang = MakeLetterJob();
  gang.steps[0].gang = true;
  EXPECT_TRUE(RetryAfterOverload(load, gang, kPolicy));
}

}  // namespace
}  // namespace agatepass::pool
