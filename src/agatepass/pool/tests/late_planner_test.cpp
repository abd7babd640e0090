// A planner that is late itself takes nothing for a failure of others.
#include <string>
#include <variant>

#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LatePlanner : public PlannerFixture {};

// Jobs failed as their tasks had "crashed" workers that were never silent.
TEST_F(LatePlanner, BlamesNoTaskForLeasesThatItDidNotRenew) {
  constexpr int64_t kStartedAtMs = 5'000;
  this->Load();
  this->StartOnW0(kStartedAtMs);
  for (RunNumber run = 2; run <= 6; ++run) {
    // The answer to the sync waits unread until the lease has expired.
    for (int i = 0; i < 100 && this->starts.empty(); ++i) {
      this->RunFor(seconds(1));
    }
    ASSERT_EQ(this->starts.size(), 1U) << "run " << run;
    EXPECT_EQ(this->starts.front().run, run);
    this->planner.OnStart(
        this->task, run,
        {.result = WorkerCallResult::kDone, .worker_clock_ms = 1200},
        this->time);
    this->starts.clear();
  }
  EXPECT_EQ(this->planner.counts().crashes_suspected, 0U);
  EXPECT_EQ(this->planner.counts().jobs_failed_for_crashes, 0U);
  EXPECT_EQ(this->planner.open_jobs(), 1U);
}

TEST_F(LatePlanner, TakesNoRunForStalledWhoseReportWaitedUnread) {
  constexpr int64_t kStartedAtMs = 5'000;
  this->Load();
  this->StartOnW0(kStartedAtMs);
  const ReportedRun report{.task = this->task, .run = 1, .percent = 10};
  this->AnswerSync(this->TakeSync("w0"), kStartedAtMs, {report});
  this->RunFor(seconds(2));
  this->planner.SetInputLag(milliseconds(1900));
  this->AnswerSync(this->TakeSync("w0"), kStartedAtMs, {report});
  EXPECT_EQ(this->planner.counts().stalled_runs_stopped, 0U);
}

// A start that found no free connection in time put its worker into quarantine,
// as if it were silent.
TEST_F(LatePlanner, BlamesNoWorkerForACallThatItDidNotMake) {
  constexpr int64_t kStartedAtMs = 5'000;
  this->Load();
  this->ListWorker("w0", kStartedAtMs);
  this->RunFor(milliseconds(20));
  this->AnswerSync(this->TakeSync("w0"), kStartedAtMs);
  this->RunFor(milliseconds(100));
  this->Submit(fakes::MakePoolJob("a", 1, 100, seconds(1)));
  this->RunFor(milliseconds(100));
  ASSERT_EQ(this->starts.size(), 1U);
  const StartRequest start = this->starts.front();
  this->starts.clear();
  this->planner.OnStart(start.task, start.run,
                        {.result = WorkerCallResult::kNotTried}, this->time);
  this->RunFor(milliseconds(100));
  ASSERT_EQ(this->starts.size(), 1U);
  EXPECT_EQ(this->starts.front().run, start.run + 1);
}

// A job that nothing hindered but the limit of starts waited to the end.
TEST_F(LatePlanner, StartsOldWorkThoughUrgentWorkUsesUpTheLimitOfStarts) {
  constexpr int kWorkers = 50;
  constexpr int kFirstRounds = 5;
  constexpr int kRounds = 60;
  constexpr int kUrgentJobsPerRound = 40;
  this->Load();
  for (int i = 0; i < kWorkers; ++i) {
    const std::string worker = "w" + std::to_string(i);
    this->ListWorker(worker, 5'000);
    this->RunFor(kStep);
    this->AnswerSync(this->TakeSync(worker), 5'000);
  }
  bool old_started = false;
  for (int round = 0; round < kRounds && !old_started; ++round) {
    if (round == kFirstRounds)
      this->Submit(fakes::MakePoolJob("old", 1, 100, seconds(60)));
    for (int i = 0; i < kUrgentJobsPerRound; ++i) {
      const std::string id =
          "u" + std::to_string(round) + "-" + std::to_string(i);
      this->Submit(fakes::MakePoolJob(id, 1, 100, seconds(1)));
    }
    this->RunFor(milliseconds(300));
    for (const StartRequest& start : std::exchange(this->starts, {})) {
      old_started = old_started || start.task.job == base::JobId("old");
      this->planner.OnStart(
          start.task, start.run,
          {.result = WorkerCallResult::kDone, .worker_clock_ms = 1200},
          this->time);
    }
  }
  EXPECT_TRUE(old_started);
}

// A burst took a planner that is short of processor time so far behind that the
// leases of healthy workers ran out.
TEST(OverloadedPlanner, KeepsItsLeasesInABurstOfJobsThatNeedAdvice) {
  constexpr int kRunningJobs = 100;
  constexpr int kJobsOfBurst = 3000;
  fakes::PoolCell cell(1, 20);
  cell.queues.queues[0].policy.advice = AdvicePolicy{
      .call_duration = milliseconds(20), .ticket_lifetime = seconds(2)};
  cell.KillPlanners(milliseconds(10));
  cell.RunFor(seconds(1));
  for (int i = 0; i < kRunningJobs; ++i) {
    cell.Submit(fakes::MakePoolJob("running" + std::to_string(i), 1, 1000,
                                   seconds(20)));
  }
  cell.RunFor(seconds(3));
  cell.faults.answer_handling_time = milliseconds(4);
  for (int i = 0; i < kJobsOfBurst; ++i) {
    cell.Submit(
        fakes::MakePoolJob("burst" + std::to_string(i), 1, 1000, seconds(1)));
  }
  cell.RunFor(seconds(20));
  ASSERT_NE(cell.planner(), nullptr);
  EXPECT_EQ(cell.planner()->counts().workers_lost, 0U);
  cell.RunFor(seconds(60));
  EXPECT_EQ(cell.UnfinishedJobs().size(), 0U);
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
}

// A planner that came to its writes each 80 ms sent one commit each time, and
// accepted 90 jobs a second of 200, whose callers waited for a second and more.
TEST_F(LatePlanner, SendsTheCommitsAtOnceThatItMightHaveSentMeanwhile) {
  constexpr int kJobs = 80;
  this->Load();
  this->ListWorker("w0", 1);
  this->RunFor(seconds(1));
  for (int i = 0; i < kJobs; ++i) {
    this->Submit(fakes::MakePoolJob("job-" + std::to_string(i), 1, 10,
                                    milliseconds(10)));
  }
  const auto count_commits = [this] {
    size_t commits = 0;
    for (const Effect& effect : this->planner.Advance(this->time)) {
      commits += std::holds_alternative<StoreCommit>(effect) ? 1 : 0;
    }
    return commits;
  };
  EXPECT_EQ(count_commits(), 1U);
  this->time.now += milliseconds(80);
  EXPECT_GE(count_commits(), 4U);
  this->time.now += milliseconds(1);
  EXPECT_EQ(count_commits(), 0U) << "the rate stays limited";
}

}  // namespace
}  // namespace agatepass::pool
