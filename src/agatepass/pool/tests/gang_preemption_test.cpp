// Preemption of runs of lower priority to free capacity for gangs.
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A pool with the queue "packs", whose priority is higher than that of
 * "letters". */
class GangPreemption : public testing::Test {
 protected:
  void SetUp() override {
    Queue high_priority = this->cell.queues.queues[0];
    high_priority.name = "packs";
    high_priority.prefix = "/packs/";
    high_priority.policy.priority = 0;
    this->cell.queues.queues.push_back(high_priority);
    this->cell.ReplacePlanner();
  }

  void FillPoolWithLowPriorityJobs(bool uses_checkpoints) {
    for (int i = 0; i < 4; ++i) {
      Job job = MakePoolJob(std::to_string(i), 8, 1000, seconds(8));
      job.steps[0].uses_checkpoints = uses_checkpoints;
      this->cell.Submit(job);
    }
    this->cell.RunFor(seconds(1));
  }

  void SubmitGang() {
    Job job = MakePoolJob("gang", 4, 4000, seconds(1));
    job.queue = "packs";
    job.steps[0].gang = true;
    this->cell.Submit(job);
  }

  PoolCell cell{1, 4};
};

TEST_F(GangPreemption, PreemptsTasksThatSaveCheckpoints) {
  this->FillPoolWithLowPriorityJobs(true);
  this->SubmitGang();
  this->cell.RunFor(seconds(4));
  EXPECT_EQ(this->cell.StoredPhase(base::JobId("gang")), JobPhase::kSucceeded);
  this->cell.RunFor(seconds(40));
  EXPECT_EQ(this->cell.UnfinishedJobs(), std::vector<base::JobId>());
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

TEST_F(GangPreemption, DoesNotPreemptTasksWithoutCheckpoints) {
  this->FillPoolWithLowPriorityJobs(false);
  this->SubmitGang();
  this->cell.RunFor(seconds(4));
  EXPECT_EQ(this->cell.planner()->counts().runs_preempted, 0U);
  this->cell.RunFor(seconds(40));
  EXPECT_EQ(this->cell.UnfinishedJobs(), std::vector<base::JobId>());
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

TEST_F(GangPreemption, PreemptsAtMostTwicePerTaskOnAverage) {
  this->FillPoolWithLowPriorityJobs(true);
  for (int i = 0; i < 12; ++i) {
    Job job = MakePoolJob("gang" + std::to_string(i), 8, 3000, seconds(1));
    job.queue = "packs";
    job.steps[0].gang = true;
    this->cell.Submit(job);
    this->cell.RunFor(milliseconds(700));
  }
  // 32 tasks, each of which may be preempted twice; the sum is checked.
  EXPECT_LE(this->cell.planner()->counts().runs_preempted, 64U);
  this->cell.RunFor(seconds(60));
  EXPECT_EQ(this->cell.UnfinishedJobs(), std::vector<base::JobId>());
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

}  // namespace
}  // namespace agatepass::pool
