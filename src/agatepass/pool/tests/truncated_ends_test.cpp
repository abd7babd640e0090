// A worker lists only some hundred ends in one answer. A run that an answer
// names neither as running nor as ended may have its end in the rest, and its
// task must not be started again.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

class TruncatedEnds : public PlannerFixture {
 protected:
  /** Answers a sync of w0 with a list of ends that may go on. */
  void AnswerTruncated(const SyncRequest& request,
                       std::vector<ReportedEnd> ended) {
    this->planner.OnSync(request,
                         {.result = WorkerCallResult::kDone,
                          .worker_clock_ms = 1000,
                          .started_at_ms = 1,
                          .ended = std::move(ended),
                          .ends_truncated = true},
                         this->time);
  }

  /** An end of a job that the planner does not know. */
  const ReportedEnd other_end{.sequence_number = 1,
                              .task = {base::JobId("x"), 0, 0, 0},
                              .run = 1,
                              .end = RunEnd::kStopped};
};

TEST_F(TruncatedEnds, ARunAbsentFromThemIsNotStartedAgain) {
  this->Load();
  this->StartOnW0(1);
  this->AnswerSync(this->TakeSync("w0"), 1, {{this->task, 1}});
  this->RunFor(kStep);
  this->AnswerTruncated(this->TakeSync("w0"), {this->other_end});
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 0U) << "started again";
  // The acknowledgement of the first part brings the rest.
  const SyncRequest next = this->TakeSync("w0");
  EXPECT_EQ(next.acknowledged_up_to, 1U);
  this->AnswerSync(next, 1, {}, {{2, this->task, 1, RunEnd::kSucceeded, ""}});
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 0U);
  EXPECT_EQ(this->planner.open_jobs(), 0U);
}

TEST_F(TruncatedEnds, ARunAbsentFromTheWholeListIsStartedAgain) {
  this->Load();
  this->StartOnW0(1);
  this->AnswerSync(this->TakeSync("w0"), 1, {{this->task, 1}});
  this->RunFor(kStep);
  this->AnswerTruncated(this->TakeSync("w0"), {this->other_end});
  this->RunFor(milliseconds(200));
  this->AnswerSync(this->TakeSync("w0"), 1);
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 1U);
}

TEST_F(TruncatedEnds, AfterATakeoverTheWholeListIsReadBeforeTasksStart) {
  this->Load({{MakePoolJob("a", 1, 1000, seconds(1)),
               JobProgress{.phase = JobPhase::kRunning}}},
             {"w0"});
  this->ListWorker("w0", 1);
  this->RunFor(kStep);
  this->AnswerTruncated(this->TakeSync("w0"), {this->other_end});
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 0U) << "started before its end was read";
  this->AnswerSync(this->TakeSync("w0"), 1, {},
                   {{2, this->task, 1, RunEnd::kSucceeded, ""}});
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 0U);
  EXPECT_EQ(this->planner.open_jobs(), 0U);
}

TEST_F(TruncatedEnds, TheRestIsAwaitedAlsoWhenLeasesOfEarlierTermsHaveExpired) {
  // The store is down, so nothing can be acknowledged: the worker answers, but
  // shows only the first part of its list.
  this->Load({{MakePoolJob("a", 1, 1000, seconds(1)),
               JobProgress{.phase = JobPhase::kRunning}}},
             {"w0"});
  this->ListWorker("w0", 1);
  this->commits_succeed = false;
  for (int i = 0; i < 30; ++i) {
    this->RunFor(milliseconds(500));
    while (!this->syncs.empty()) {
      this->AnswerTruncated(this->TakeSync("w0"),
                            {{1, this->task, 1, RunEnd::kStopped, ""}});
    }
  }
  EXPECT_EQ(this->starts.size(), 0U) << "started before its end was read";
  this->commits_succeed = true;
  this->RunFor(seconds(1));
  this->AnswerSync(this->TakeSync("w0"), 1, {},
                   {{2, this->task, 2, RunEnd::kSucceeded, ""}});
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 0U);
  EXPECT_EQ(this->planner.open_jobs(), 0U);
}

TEST_F(TruncatedEnds,
       AWorkerThatIsLostDelaysTheStartsOnlyUntilItsLeaseExpires) {
  this->LoadSettled({{base::WorkerId("w0"), 1}},
                    {{MakePoolJob("a", 1, 1000, seconds(1)),
                      JobProgress{.phase = JobPhase::kRunning}}});
  this->ListWorker("w0", 1);
  this->ListWorker("w1", 1);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w1"), 1);
  this->AnswerTruncated(this->TakeSync("w0"), {this->other_end});
  for (int i = 0; i < 20; ++i) {
    this->RunFor(milliseconds(500));
    while (!this->syncs.empty()) {
      const SyncRequest request = this->syncs.front();
      this->syncs.erase(this->syncs.begin());
      if (request.worker == base::WorkerId("w1")) {
        this->AnswerSync(request, 1);
      } else {
        this->planner.OnSync(request, {}, this->time);
      }
    }
  }
  EXPECT_EQ(this->starts.size(), 1U);
}

TEST(TruncatedEndsInSimulatedPool, NoTaskRunsAgainWhileTheStoreIsDown) {
  // One worker ends 900 tasks while nothing can be stored or acknowledged.
  PoolCell cell(1, 1);
  for (int i = 0; i < 3; ++i) {
    cell.Submit(MakePoolJob(std::to_string(i), 300, 100, milliseconds(200)));
  }
  cell.RunFor(milliseconds(100));
  cell.faults.commits_not_sent = true;
  cell.RunFor(seconds(20));
  cell.faults.commits_not_sent = false;
  cell.RunFor(seconds(20));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.UnfinishedJobs(), std::vector<base::JobId>());
}

TEST(TruncatedEndsInSimulatedPool, NoTaskRunsAgainAfterATakeover) {
  PoolCell cell(1, 1);
  for (int i = 0; i < 3; ++i) {
    cell.Submit(MakePoolJob(std::to_string(i), 300, 100, milliseconds(200)));
  }
  cell.RunFor(milliseconds(100));
  cell.faults.commits_not_sent = true;
  cell.RunFor(seconds(20));
  cell.KillPlanners(milliseconds(100));
  cell.RunFor(seconds(20));
  cell.faults.commits_not_sent = false;
  cell.RunFor(seconds(20));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.UnfinishedJobs(), std::vector<base::JobId>());
}

}  // namespace
}  // namespace agatepass::pool
