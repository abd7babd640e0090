// Workers whose capacity shrinks and grows while they run.
#include <string>
#include <vector>

#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr platform::Resources kSmall = {.millicores = 1000, .memory_mib = 1024};
constexpr platform::Resources kLarge = {.millicores = 8000,
                                        .memory_mib = 16384};

class ShrinkingCapacity : public testing::Test {
 protected:
  ShrinkingCapacity() { this->cell.RunFor(seconds(1)); }

  void SubmitFor(base::Duration duration, const std::string& prefix) {
    for (int i = 0; i * milliseconds(200) < duration; ++i) {
      this->cell.Submit(
          MakePoolJob(prefix + std::to_string(i), 2, 1000, milliseconds(700)));
      this->cell.RunFor(milliseconds(200));
    }
  }

  void Shrink(const platform::Resources& total) {
    this->cell.SetCapacity(0, total);
    this->cell.SetCapacity(1, total);
  }

  PoolCell cell{1, 2};
};

TEST_F(ShrinkingCapacity, GetsNoStartsBeyondItOnceItIsReported) {
  this->SubmitFor(seconds(2), "a");
  this->Shrink(kSmall);
  this->SubmitFor(seconds(8), "b");
  this->Shrink(kLarge);
  this->cell.RunFor(seconds(40));
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
  EXPECT_EQ(this->cell.UnfinishedJobs(), std::vector<base::JobId>());
}

// The planner learns of a shrink by the store alone.
TEST_F(ShrinkingCapacity, GetsNoStartsBeyondItInAnOutageOfTheStore) {
  for (int i = 0; i < 40; ++i) {
    this->cell.Submit(
        MakePoolJob("a" + std::to_string(i), 4, 1000, milliseconds(2500)));
    this->cell.RunFor(milliseconds(20));
  }
  this->cell.faults.reports_lost = true;
  this->Shrink(kSmall);
  this->cell.RunFor(seconds(12));
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
  this->cell.faults = {};
  this->Shrink(kLarge);
  this->cell.RunFor(seconds(90));
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
  EXPECT_EQ(this->cell.UnfinishedJobs(), std::vector<base::JobId>());
}

// The job would have run seconds later.
TEST_F(ShrinkingCapacity, DoesNotRejectForGoodWhatFitsOnceItHasGrownAgain) {
  this->Shrink(kSmall);
  this->cell.RunFor(seconds(2));
  this->cell.Submit(MakePoolJob("large", 1, 6000, seconds(1)));
  this->cell.RunFor(seconds(1));
  EXPECT_EQ(this->cell.Answers(base::JobId("large")),
            std::vector<base::ResultCode>{base::ResultCode::kAccepted});
  this->Shrink(kLarge);
  this->cell.RunFor(seconds(10));
  EXPECT_EQ(this->cell.StoredPhase(base::JobId("large")), JobPhase::kSucceeded);
}

TEST_F(ShrinkingCapacity, DoesNotStopAGangThatWasReservedFor) {
  Job gang = MakePoolJob("gang", 8, 1500, seconds(1));
  gang.steps[0].gang = true;
  this->SubmitFor(seconds(2), "a");
  this->cell.Submit(gang);
  this->Shrink({.millicores = 4000, .memory_mib = 8192});
  this->SubmitFor(seconds(6), "b");
  this->Shrink(kLarge);
  this->cell.RunFor(seconds(40));
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
  EXPECT_EQ(this->cell.UnfinishedJobs(), std::vector<base::JobId>());
}

}  // namespace
}  // namespace agatepass::pool
