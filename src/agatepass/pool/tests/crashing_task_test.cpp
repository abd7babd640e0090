// A task that crashes each worker that starts it is given up before it crashes
// many; a job that only loses workers to other causes is not.
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

constexpr size_t kWorkers = 6;

/** A cell whose workers are back a few seconds after a crash. */
class CrashingTask : public testing::Test {
 protected:
  CrashingTask() { this->cell.restart_duration = milliseconds(3300); }

  /** Submits a job of several tasks, of which the first crashes its workers. */
  void SubmitCrashingJob(const std::string& id, bool gang = false) {
    Job job = MakePoolJob(id, 4, 2000, seconds(1));
    job.steps[0].gang = gang;
    this->cell.crashing_tasks.insert({job.id, 0, 0, 0});
    this->cell.Submit(job);
  }

  void ExpectNoViolations() {
    EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
    EXPECT_EQ(this->cell.JobsFailedWithoutCause(), std::vector<base::JobId>());
    if (this->HasFailure()) ADD_FAILURE() << this->cell.TakeLog();
  }

  JobPhase PhaseOf(const std::string& job) const {
    return this->cell.StoredPhase(base::JobId(job));
  }

  PoolCell cell{1, kWorkers};
  const TaskName crasher{base::JobId("crasher"), 0, 0, 0};
};

TEST_F(CrashingTask, IsNotStartedAThirdTimeMoreAfterThreeCrashes) {
  this->cell.RunFor(seconds(1));
  this->SubmitCrashingJob("crasher");
  this->cell.RunFor(seconds(40));
  this->ExpectNoViolations();
  EXPECT_EQ(this->PhaseOf("crasher"), JobPhase::kFailed);
}

TEST_F(CrashingTask, IsNotStartedAThirdTimeMoreAsAGangMember) {
  this->cell.RunFor(seconds(1));
  this->SubmitCrashingJob("crasher", true);
  this->cell.RunFor(seconds(60));
  this->ExpectNoViolations();
  EXPECT_EQ(this->PhaseOf("crasher"), JobPhase::kFailed);
}

TEST_F(CrashingTask, IsRememberedWhenThePlannerIsLostAfterEachCrash) {
  this->cell.RunFor(seconds(1));
  this->SubmitCrashingJob("crasher");
  int starts = 0;
  for (int i = 0; i < 3000; ++i) {
    this->cell.RunFor(milliseconds(20));
    if (this->cell.CountStarts(this->crasher) == starts) continue;
    starts = this->cell.CountStarts(this->crasher);
    this->cell.RunFor(milliseconds(200));
    this->cell.KillPlanners(milliseconds(300));
  }
  this->ExpectNoViolations();
  EXPECT_EQ(this->PhaseOf("crasher"), JobPhase::kFailed);
}

// Guards against evidence of a trial's beginning that is stored too late for
// the successor of a planner that is lost together with the worker.
TEST_F(CrashingTask, IsRememberedWhenThePlannerIsLostWithTheWorkerOfEachTrial) {
  this->cell.RunFor(seconds(1));
  this->SubmitCrashingJob("crasher");
  int starts = 0;
  for (int i = 0; i < 60'000; ++i) {
    this->cell.RunFor(milliseconds(1));
    if (this->cell.CountStarts(this->crasher) == starts) continue;
    starts = this->cell.CountStarts(this->crasher);
    // Nothing is recorded of the first start before its worker is lost.
    this->cell.RunFor(starts == 1 ? milliseconds(200) : PoolCell::kCrashDelay);
    this->cell.KillPlanners(milliseconds(300));
  }
  this->ExpectNoViolations();
  EXPECT_EQ(this->PhaseOf("crasher"), JobPhase::kFailed);
}

TEST_F(CrashingTask, IsNotForgottenInAnOutageOfTheStore) {
  this->cell.RunFor(seconds(1));
  this->SubmitCrashingJob("crasher");
  this->cell.RunFor(milliseconds(200));
  this->cell.faults.commits_unanswered = true;
  this->cell.RunFor(seconds(30));
  this->cell.KillPlanners(milliseconds(300));
  this->cell.faults = {};
  this->cell.RunFor(seconds(40));
  this->ExpectNoViolations();
  EXPECT_EQ(this->PhaseOf("crasher"), JobPhase::kFailed);
}

TEST_F(CrashingTask, DoesNotFailItsNeighbours) {
  this->cell.RunFor(seconds(1));
  for (int i = 0; i < 10; ++i) {
    this->SubmitCrashingJob("crasher" + std::to_string(i));
    for (int k = 0; k < 3; ++k) {
      this->cell.Submit(
          MakePoolJob("j" + std::to_string(i) + "-" + std::to_string(k), 4, 500,
                      seconds(1)));
    }
    this->cell.RunFor(milliseconds(700));
  }
  this->cell.RunFor(seconds(150));
  this->ExpectNoViolations();
  EXPECT_EQ(this->cell.UnfinishedJobs(), std::vector<base::JobId>());
}

TEST_F(CrashingTask, CostsItsNeighboursAtMostTheRunsBesideItsFirstStart) {
  this->cell.RunFor(seconds(1));
  for (int k = 0; k < 10; ++k) {
    this->cell.Submit(
        MakePoolJob("long" + std::to_string(k), 1, 1000, seconds(30)));
  }
  this->cell.RunFor(seconds(2));
  this->SubmitCrashingJob("crasher");
  this->cell.RunFor(milliseconds(500));
  const int lost_beside_first_start = this->cell.lost_runs();
  this->cell.RunFor(seconds(25));
  // Each further crash takes only the task itself.
  EXPECT_LE(this->cell.lost_runs(), lost_beside_first_start + 4);
  this->ExpectNoViolations();
}

TEST_F(CrashingTask, KeepsItsQueueFromPuttingSeveralJobsAtRiskOnOneWorker) {
  this->cell.RunFor(seconds(1));
  for (const char* id : {"crasher", "crasher2"}) {
    this->SubmitCrashingJob(id);
    this->cell.RunFor(milliseconds(100));
  }
  this->cell.RunFor(seconds(2));
  this->cell.Submit(MakePoolJob("x", 1, 500, seconds(3)));
  this->cell.Submit(MakePoolJob("y", 1, 500, seconds(3)));
  this->cell.RunFor(milliseconds(200));
  const TaskName x{base::JobId("x"), 0, 0, 0};
  const TaskName y{base::JobId("y"), 0, 0, 0};
  for (size_t i = 0; i < kWorkers; ++i) {
    const auto runs = this->cell.worker(i).GetRuns();
    EXPECT_FALSE(runs.contains(x) && runs.contains(y));
  }
  EXPECT_EQ(this->cell.CountStarts(x), 1);
  EXPECT_EQ(this->cell.CountStarts(y), 1);
  this->cell.RunFor(seconds(60));
  this->ExpectNoViolations();
}

TEST_F(CrashingTask, IsNotBlamedForRacksAndPowerCutsThatHitEachOfItsRuns) {
  this->cell.RunFor(seconds(1));
  this->cell.Submit(MakePoolJob("innocent", 12, 500, seconds(4)));
  for (int round = 0; round < 8; ++round) {
    // Soon after the start, all workers at once.
    this->cell.RunFor(milliseconds(200));
    for (size_t i = 0; i < kWorkers; ++i) this->cell.CrashAndRestartWorker(i);
    this->cell.RunFor(milliseconds(4200));
  }
  this->cell.RunFor(seconds(60));
  this->ExpectNoViolations();
  EXPECT_EQ(this->PhaseOf("innocent"), JobPhase::kSucceeded);
}

// Each planner is lost while the trial still waits for advice.
TEST_F(CrashingTask, IsNotBlamedForPlannersThatAreReplacedBeforeItsTrial) {
  this->cell.restart_duration = milliseconds(400);
  this->cell.queues.queues[0].policy.advice =
      AdvicePolicy{.call_duration = seconds(1), .ticket_lifetime = seconds(2)};
  this->cell.ReplacePlanner();
  this->cell.RunFor(seconds(1));
  this->cell.Submit(MakePoolJob("innocent", 2, 500, seconds(4)));
  const TaskName innocent{base::JobId("innocent"), 0, 0, 0};
  while (this->cell.CountStarts(innocent) == 0) {
    this->cell.RunFor(milliseconds(20));
  }
  this->cell.RunFor(milliseconds(100));
  for (size_t i = 0; i < kWorkers; ++i) this->cell.CrashAndRestartWorker(i);
  this->cell.RunFor(milliseconds(300));
  for (int i = 0; i < 8; ++i) {
    this->cell.KillPlanners(milliseconds(100));
    this->cell.RunFor(milliseconds(900));
  }
  this->cell.RunFor(seconds(60));
  this->ExpectNoViolations();
  EXPECT_EQ(this->PhaseOf("innocent"), JobPhase::kSucceeded);
}

TEST_F(CrashingTask, IsNotBlamedForWorkersThatAreCutOff) {
  this->cell.RunFor(seconds(1));
  this->cell.Submit(MakePoolJob("innocent", 2, 500, seconds(4)));
  for (int round = 0; round < 6; ++round) {
    this->cell.RunFor(milliseconds(200));
    for (size_t i = 0; i < kWorkers; ++i) {
      if (this->cell.worker(i).GetRuns().empty()) continue;
      this->cell.faults.unreachable_workers.insert(
          this->cell.worker(i).record.worker);
    }
    this->cell.RunFor(seconds(9));
    this->cell.faults = {};
  }
  this->cell.RunFor(seconds(60));
  this->ExpectNoViolations();
  EXPECT_EQ(this->PhaseOf("innocent"), JobPhase::kSucceeded);
}

}  // namespace
}  // namespace agatepass::pool
