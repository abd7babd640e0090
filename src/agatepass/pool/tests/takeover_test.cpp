// How a new planner takes over the runs and run ends left by earlier planners.
#include "agatepass/pool/worker_fence.h"
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A planner without a simulated pool, whose effects are checked directly. */
class Takeover : public testing::Test {
 protected:
  static constexpr int64_t kWallMs = 1'700'000'000'000;

  Takeover() { this->queues.queues[0].policy.attempts = 4; }

  void Load(const Job& job, const JobProgress& progress) {
    this->planner.SetQueues(this->queues, this->time);
    const std::vector<StoredJob> jobs = {{job, progress}};
    const WorkerRoster roster{
        .workers = {base::WorkerId("w0"), base::WorkerId("w1")}};
    this->planner.Load(jobs, roster, this->time);
    for (const base::WorkerId& worker : roster.workers) {
      this->planner.OnWorker({.worker = worker,
                              .service = base::ServiceId("desk"),
                              .total = {.millicores = 8000, .memory_mib = 8000},
                              .started_at_ms = 1},
                             this->time);
    }
  }

  /** Delivers a worker's sync reply that lists ends and runs. */
  void DeliverSync(const std::string& worker, std::vector<ReportedEnd> ended,
                   std::vector<ReportedRun> running = {}) {
    this->planner.OnSync(
        {.worker = base::WorkerId(worker), .fence = FenceOfIncarnation(9, 0)},
        {.result = WorkerCallResult::kDone,
         .worker_clock_ms = 1000,
         .started_at_ms = 1,
         .running = std::move(running),
         .ended = std::move(ended)},
        this->time);
  }

  /** Advances time in 20 steps of 30 ms and confirms all commits.
   * \return the other effects. */
  std::vector<Effect> AdvanceAndConfirmCommits() {
    std::vector<Effect> others;
    for (int i = 0; i < 20; ++i) {
      this->time.now += milliseconds(30);
      for (Effect& effect : this->planner.Advance(this->time)) {
        if (const auto* commit = std::get_if<StoreCommit>(&effect)) {
          this->planner.OnCommit(
              commit->id, {.outcome = platform::Outcome::kDone}, this->time);
        } else {
          others.push_back(std::move(effect));
        }
      }
    }
    return others;
  }

  static size_t CountStarts(const std::vector<Effect>& effects) {
    size_t count = 0;
    for (const Effect& effect : effects) {
      count += std::holds_alternative<StartRequest>(effect) ? 1 : 0;
    }
    return count;
  }

  QueueTable queues = fakes::MakePoolQueues();
  timeline::DecisionLog log{"test"};
  PlannerTime time{base::Instant(seconds(100)), kWallMs};
  PoolPlanner planner{{.fence = 9}, this->log, this->time};
  const TaskName task{base::JobId("a"), 0, 0, 0};
};

TEST_F(Takeover, DoesNotCountAnEndAgainThatIsReportedAgain) {
  JobProgress progress{.phase = JobPhase::kRunning};
  progress.tasks.push_back({.ended_run = 3, .failed_runs = {1, 2, 3}});
  this->Load(MakePoolJob("a", 1, 1000, seconds(1)), progress);
  this->DeliverSync("w0", {{1, this->task, 3, RunEnd::kFailed, ""}});
  this->DeliverSync("w1", {});
  // Three of four attempts have failed: the fourth is due.
  EXPECT_EQ(CountStarts(this->AdvanceAndConfirmCommits()), 1U);
}

TEST_F(Takeover, CountsFailuresThatBecomeKnownOutOfOrder) {
  this->Load(MakePoolJob("a", 1, 1000, seconds(1)),
             {.phase = JobPhase::kRunning});
  this->DeliverSync("w0", {{1, this->task, 2, RunEnd::kFailed, ""},
                           {2, this->task, 4, RunEnd::kFailed, ""}});
  this->DeliverSync("w1", {{1, this->task, 1, RunEnd::kFailed, ""},
                           {2, this->task, 3, RunEnd::kFailed, ""}});
  EXPECT_EQ(CountStarts(this->AdvanceAndConfirmCommits()), 0U);
  EXPECT_EQ(this->planner.open_jobs(), 0U);
}

TEST_F(Takeover, StartsNoInheritedTaskBeforeAllWorkersAreSynced) {
  this->Load(MakePoolJob("a", 1, 1000, seconds(1)),
             {.phase = JobPhase::kRunning});
  this->DeliverSync("w0", {});
  EXPECT_EQ(CountStarts(this->AdvanceAndConfirmCommits()), 0U);
  this->DeliverSync("w1", {});
  EXPECT_EQ(CountStarts(this->AdvanceAndConfirmCommits()), 1U);
}

TEST_F(Takeover, CountsAFailedRunOfAGangOnce) {
  Job job = MakePoolJob("a", 2, 1000, seconds(1));
  job.steps[0].gang = true;
  this->queues.queues[0].policy.attempts = 2;
  JobProgress progress{.phase = JobPhase::kRunning};
  // Run 1 of the gang failed and was counted; one member reports it again.
  progress.tasks.push_back({.index = 0, .ended_run = 1, .failed_runs = {1}});
  progress.tasks.push_back({.index = 1, .ended_run = 1, .failed_runs = {1}});
  this->Load(job, progress);
  this->DeliverSync("w0", {{1, this->task, 1, RunEnd::kFailed, ""}});
  this->DeliverSync("w1", {});
  EXPECT_EQ(CountStarts(this->AdvanceAndConfirmCommits()), 2U);
}

TEST_F(Takeover, AJobWhoseQueueIsNotConfiguredKeepsItsPolicy) {
  // A new planner may load jobs before it has read a configuration. One of four
  // allowed attempts has failed.
  Job job = MakePoolJob("a", 1, 1000, seconds(1));
  job.policy = this->queues.queues[0].policy;
  this->queues.queues.clear();
  this->Load(job, {.phase = JobPhase::kRunning});
  this->DeliverSync("w0", {{1, this->task, 1, RunEnd::kFailed, ""}});
  this->DeliverSync("w1", {});
  EXPECT_EQ(this->planner.open_jobs(), 1U);
  EXPECT_EQ(CountStarts(this->AdvanceAndConfirmCommits()), 1U);
}

TEST_F(Takeover, StartsNothingOnAWorkerWithARunOfUnknownNeed) {
  this->Load(MakePoolJob("a", 1, 1000, seconds(1)),
             {.phase = JobPhase::kRunning});
  // The planner has no definition of job "x", as after the compaction of a
  // final job, so it does not know what these runs need.
  const ReportedRun unknown_run{.task = {base::JobId("x"), 0, 0, 0}, .run = 1};
  const ReportedRun other_unknown_run{.task = {base::JobId("x"), 0, 0, 1},
                                      .run = 1};
  this->DeliverSync("w0", {}, {unknown_run});
  this->DeliverSync("w1", {}, {other_unknown_run});
  EXPECT_EQ(CountStarts(this->AdvanceAndConfirmCommits()), 0U);
  this->DeliverSync("w0", {{1, unknown_run.task, 1, RunEnd::kStopped, ""}});
  EXPECT_EQ(CountStarts(this->AdvanceAndConfirmCommits()), 1U);
}

TEST_F(Takeover, StopsOneOfTwoDuplicateRuns) {
  this->Load(MakePoolJob("a", 1, 1000, seconds(1)),
             {.phase = JobPhase::kRunning});
  const ReportedRun reported{.task = this->task, .run = 1};
  this->DeliverSync("w0", {}, {reported});
  this->DeliverSync("w1", {}, {reported});
  int stops = 0;
  for (const Effect& effect : this->AdvanceAndConfirmCommits()) {
    const auto* stop = std::get_if<StopRequest>(&effect);
    if (stop == nullptr) continue;
    EXPECT_EQ(stop->worker, base::WorkerId("w1"));
    ++stops;
  }
  EXPECT_EQ(stops, 1);
  this->DeliverSync("w0", {{1, this->task, 1, RunEnd::kSucceeded, ""}});
  EXPECT_EQ(this->planner.open_jobs(), 0U);
}

TEST(TakeoverInSimulatedPool, AnUnstoredEndDoesNotDelayTheHandover) {
  PoolCell cell(1, 2);
  cell.Submit(MakePoolJob("a", 2, 1000, seconds(1)));
  cell.RunFor(seconds(1));
  // A run end that is not stored yet does not delay the handover.
  cell.faults.commits_not_sent = true;
  cell.RunFor(seconds(1));
  cell.planner()->BeginHandover();
  EXPECT_TRUE(cell.planner()->IsReadyForHandover());
  cell.faults.commits_not_sent = false;
  cell.KillPlanners(milliseconds(100));
  cell.RunFor(seconds(5));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(TakeoverInSimulatedPool, AWaitingCallerDelaysTheHandover) {
  PoolCell cell(1, 2);
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  EXPECT_FALSE(cell.planner()->IsReadyForHandover());
  cell.RunFor(milliseconds(100));
  EXPECT_TRUE(cell.planner()->IsReadyForHandover());
}

TEST(TakeoverInSimulatedPool, AdoptsCurrentRuns) {
  PoolCell cell(1, 3);
  for (int i = 0; i < 6; ++i) {
    cell.Submit(MakePoolJob(std::to_string(i), 3, 1000, seconds(2)));
  }
  cell.RunFor(seconds(1));
  cell.KillPlanners(seconds(2));
  cell.RunFor(seconds(20));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.UnfinishedJobs(), std::vector<base::JobId>());
  EXPECT_EQ(cell.CountStarts({base::JobId("0"), 0, 0, 0}), 1);
}

TEST(TakeoverInSimulatedPool, AWorkerThatLeftLongAgoDelaysNothing) {
  PoolCell cell(1, 3);
  cell.RunFor(seconds(1));
  cell.faults.unreachable_workers.insert(base::WorkerId("w2"));
  cell.UnlistWorker(2);
  cell.RunFor(seconds(20));
  for (int i = 0; i < 4; ++i) {
    cell.Submit(MakePoolJob(std::to_string(i), 8, 4000, seconds(1)));
  }
  cell.RunFor(milliseconds(500));
  cell.KillPlanners(milliseconds(200));
  // 32 tasks of 1 s, four at a time, take about 8 s. A planner that waited for
  // the lease of w2 to expire would start nothing for nearly all of that time.
  cell.RunFor(seconds(8));
  EXPECT_EQ(cell.UnfinishedJobs(), std::vector<base::JobId>());
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
}

/** A cell in which a run succeeds on a worker that no planner reaches, after a
 * takeover. */
class UnreachedWorker : public testing::Test {
 protected:
  UnreachedWorker() {
    // The workers have settled: their leases are the usual ones.
    this->cell.RunFor(seconds(13));
    this->cell.Submit(MakePoolJob("a", 1, 5000, seconds(2)));
    this->cell.RunFor(seconds(1));
    this->busy = this->cell.worker(0).GetRuns().empty() ? 1 : 0;
    this->cell.faults.unreachable_workers.insert(
        base::WorkerId(this->busy == 0 ? "w0" : "w1"));
    this->cell.KillPlanners(milliseconds(500));
  }

  JobPhase phase() { return this->cell.StoredPhase(base::JobId("a")); }

  PoolCell cell{1, 2};
  size_t busy = 0;
};

// A task that had succeeded on a worker was started again when no planner had
// reached that worker for longer than its lease; the worker then listed the
// end.
TEST_F(UnreachedWorker, ATaskMayHaveSucceededOnAWorkerThatLives) {
  this->cell.RunFor(seconds(14));
  this->cell.faults.unreachable_workers.clear();
  this->cell.RunFor(seconds(5));
  EXPECT_EQ(this->cell.CountStarts({base::JobId("a"), 0, 0, 0}), 1);
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
  EXPECT_EQ(this->phase(), JobPhase::kSucceeded);
}

TEST_F(UnreachedWorker, JobsDoNotWaitForItForGood) {
  this->cell.RunFor(seconds(30));
  EXPECT_EQ(this->phase(), JobPhase::kSucceeded);
}

/** The same, on workers that have not settled. */
class UnreachedYoungWorker : public testing::Test {
 protected:
  UnreachedYoungWorker() {
    this->cell.Submit(MakePoolJob("a", 1, 5000, seconds(2)));
    this->cell.RunFor(seconds(1));
    const size_t busy = this->cell.worker(0).GetRuns().empty() ? 1 : 0;
    this->cell.faults.unreachable_workers.insert(
        base::WorkerId(busy == 0 ? "w0" : "w1"));
    this->cell.KillPlanners(milliseconds(500));
    this->cell.UnlistWorker(busy);
  }

  PoolCell cell{1, 2};
};

// The longest lease and the grace of a superseded planner are 12.2 s.
TEST_F(UnreachedYoungWorker, JobsWaitForItUntilItsLongestLeaseIsOver) {
  this->cell.RunFor(milliseconds(12'700));
  EXPECT_EQ(this->cell.CountStarts({base::JobId("a"), 0, 0, 0}), 1);
  this->cell.RunFor(milliseconds(3500));
  EXPECT_EQ(this->cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST_F(UnreachedWorker, JobsDoNotWaitForItOnceItIsNotListed) {
  this->cell.UnlistWorker(this->busy);
  this->cell.RunFor(seconds(15));
  EXPECT_EQ(this->phase(), JobPhase::kSucceeded);
}

}  // namespace
}  // namespace agatepass::pool
