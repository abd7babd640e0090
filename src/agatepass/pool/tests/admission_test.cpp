// Admission control: a job is rejected at once if, given the work already
// accepted, it cannot end within its objective (the time within which its queue
// wants it to end).
#include "agatepass/pool/admission.h"

#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::seconds;

const QueuePolicy kPolicy{.stretch = 3, .slack = seconds(2)};

Job MakeJob() { return fakes::MakePoolJob("a", 4, 1000, seconds(4)); }

TEST(Admission, AcceptsAJobThatMeetsItsObjective) {
  const PoolLoad load{.usable_millicores = 10'000,
                      .same_priority_work = 20'000};
  EXPECT_EQ(FindAdmissionRetryDelay(load, MakeJob(), kPolicy), std::nullopt);
}

TEST(Admission, RejectsBehindTooMuchWorkWithARetryDelay) {
  const PoolLoad load{.usable_millicores = 10'000,
                      .same_priority_work = 200'000};
  const auto wait = FindAdmissionRetryDelay(load, MakeJob(), kPolicy);
  ASSERT_TRUE(wait);
  EXPECT_GT(*wait, seconds(10));
  EXPECT_LT(*wait, seconds(20));
}

TEST(Admission, CountsHigherPriorityWorkToo) {
  const PoolLoad load{.usable_millicores = 10'000,
                      .higher_priority_work = 200'000};
  EXPECT_TRUE(FindAdmissionRetryDelay(load, MakeJob(), kPolicy));
}

TEST(Admission, AcceptsALargeJobWhenNoWorkIsWaiting) {
  const PoolLoad load{.usable_millicores = 100};
  EXPECT_EQ(FindAdmissionRetryDelay(load, MakeJob(), kPolicy), std::nullopt);
}

TEST(Admission, AcceptsJobsBeforeTheFirstWorkerIsKnown) {
  EXPECT_EQ(FindAdmissionRetryDelay({}, MakeJob(), kPolicy), std::nullopt);
}

TEST(Admission, AcceptsAJobThatStartsAtOnceWhileGangsWaitForCapacity) {
  // Only gangs wait: they are not counted in waiting_millicores.
  PoolLoad load{.usable_millicores = 10'000,
                .higher_priority_work = 200'000,
                .free_millicores = 12'000};
  EXPECT_EQ(FindAdmissionRetryDelay(load, MakeJob(), kPolicy), std::nullopt);
  // Waiting tasks compete for the free capacity: together with the job's 4,000
  // millicores they request 8,000, but only 40% of the 12,000 free ones, 4,800,
  // count as usable.
  load.waiting_millicores = 4'000;
  EXPECT_TRUE(FindAdmissionRetryDelay(load, MakeJob(), kPolicy));
}

TEST(Admission, FreeCapacityDoesNotCountForAGang) {
  const PoolLoad load{.usable_millicores = 10'000,
                      .higher_priority_work = 200'000,
                      .free_millicores = 100'000};
  Job gang = MakeJob();
  gang.steps[0].gang = true;
  EXPECT_TRUE(FindAdmissionRetryDelay(load, gang, kPolicy));
}

}  // namespace
}  // namespace agatepass::pool
