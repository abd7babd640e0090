// Job submission: only jobs that are stored are accepted, and rejected jobs
// never run. Also cancellation, the number of attempts, the compaction of final
// jobs and the order of steps.
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using base::ResultCode;
using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::JobId kJob("a");

TEST(Submit, AcceptsTheSameJobTwiceAndRunsItOnce) {
  PoolCell cell(1, 1);
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(seconds(3));
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(seconds(3));
  EXPECT_EQ(cell.Answers(kJob),
            (std::vector{ResultCode::kAccepted, ResultCode::kAccepted}));
  EXPECT_EQ(cell.CountStarts({kJob, 0, 0, 0}), 1);
}

TEST(Submit, RejectsAtOnceAJobThatTheStoreDidNotAccept) {
  PoolCell cell(1, 1);
  cell.faults.commits_not_sent = true;
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(milliseconds(200));
  EXPECT_EQ(cell.Answers(kJob), std::vector{ResultCode::kStoreUnreachable});
  cell.faults.commits_not_sent = false;
  cell.RunFor(seconds(5));
  EXPECT_EQ(cell.CountStarts({kJob, 0, 0, 0}), 0);
  EXPECT_FALSE(cell.IsStored(kJob));
}

TEST(Submit, NeverRejectsAJobThatMayBeStored) {
  PoolCell cell(1, 1);
  cell.faults.lost_commit_reply_share = 1;
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(milliseconds(1000));
  cell.faults.lost_commit_reply_share = 0;
  cell.RunFor(seconds(10));
  EXPECT_EQ(cell.Answers(kJob), std::vector{ResultCode::kOutcomeUnknown});
  EXPECT_EQ(cell.StoredPhase(kJob), JobPhase::kSucceeded);
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(seconds(3));
  EXPECT_EQ(cell.Answers(kJob),
            (std::vector{ResultCode::kOutcomeUnknown, ResultCode::kAccepted}));
  EXPECT_EQ(cell.CountStarts({kJob, 0, 0, 0}), 1);
}

TEST(Submit, RejectsAtOnceWhileTheStoreIsUnresponsive) {
  PoolCell cell(1, 1);
  cell.faults.commits_unanswered = true;
  for (int i = 0; i < 3; ++i) {
    cell.Submit(MakePoolJob("early" + std::to_string(i), 1, 1000, seconds(1)));
    cell.RunFor(milliseconds(30));
  }
  cell.RunFor(milliseconds(1800));
  EXPECT_EQ(cell.Answers(base::JobId("early0")),
            std::vector{ResultCode::kOutcomeUnknown});
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(milliseconds(50));
  EXPECT_EQ(cell.Answers(kJob), std::vector{ResultCode::kStoreUnreachable});
  cell.faults.commits_unanswered = false;
  cell.RunFor(seconds(4));
  cell.Submit(MakePoolJob("b", 1, 1000, seconds(1)));
  cell.RunFor(seconds(3));
  EXPECT_EQ(cell.StoredPhase(base::JobId("b")), JobPhase::kSucceeded);
  EXPECT_EQ(cell.StoredPhase(base::JobId("early0")), JobPhase::kSucceeded);
  EXPECT_EQ(cell.CountStarts({kJob, 0, 0, 0}), 0);
}

TEST(Submit, RejectsAJobWithATaskLargerThanEveryWorker) {
  PoolCell cell(1, 2);
  cell.RunFor(seconds(1));
  cell.Submit(MakePoolJob("a", 1, 9000, seconds(1)));
  cell.RunFor(milliseconds(100));
  EXPECT_EQ(cell.Answers(kJob), std::vector{ResultCode::kCanNeverRun});
}

TEST(Submit, NoFurtherTaskStartsAfterACancellation) {
  PoolCell cell(1, 1);
  cell.Submit(MakePoolJob("a", 4, 4000, seconds(2)));
  cell.RunFor(seconds(1));
  cell.Cancel(kJob);
  cell.RunFor(seconds(8));
  EXPECT_EQ(cell.StoredPhase(kJob), JobPhase::kCancelled);
  EXPECT_EQ(cell.CountStarts({kJob, 0, 0, 3}), 0);
  EXPECT_TRUE(cell.worker(0).GetRuns().empty());
}

TEST(Submit, AJobThatAlwaysFailsEndsAfterItsAttempts) {
  PoolCell cell(1, 3);
  Job job = MakePoolJob("a", 1, 1000, milliseconds(200));
  job.payload = "always-fails";
  cell.Submit(job);
  cell.RunFor(seconds(5));
  EXPECT_EQ(cell.StoredPhase(kJob), JobPhase::kFailed);
  EXPECT_EQ(cell.CountStarts({kJob, 0, 0, 0}), 3);
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
}

TEST(Submit, AFinalJobsDefinitionIsCompactedAndItsIdStaysKnown) {
  PoolCell cell(1, 1);
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(seconds(4));
  EXPECT_EQ(cell.StoredValue(JobKey(kJob)), kCompactedJobRecord);
  cell.KillPlanners(milliseconds(100));
  cell.RunFor(seconds(1));
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(seconds(3));
  EXPECT_EQ(cell.Answers(kJob),
            (std::vector{ResultCode::kAccepted, ResultCode::kAccepted}));
  EXPECT_EQ(cell.CountStarts({kJob, 0, 0, 0}), 1);
  EXPECT_EQ(cell.StoredPhase(kJob), JobPhase::kSucceeded);
}

TEST(Submit, DefinitionsAreCompactedAfterAnOutageToo) {
  PoolCell cell(1, 2);
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(milliseconds(1300));
  cell.faults.commits_not_sent = true;
  cell.RunFor(seconds(3));
  cell.faults.commits_not_sent = false;
  cell.RunFor(seconds(4));
  EXPECT_EQ(cell.StoredValue(JobKey(kJob)), kCompactedJobRecord);
}

TEST(Submit, AStepStartsAfterTheStepsItDependsOn) {
  PoolCell cell(1, 2);
  Job job = MakePoolJob("a", 3, 2000, seconds(1));
  job.steps.push_back(job.steps[0]);
  job.steps[1].depends_on = {0};
  cell.Submit(job);
  cell.RunFor(seconds(5));
  EXPECT_EQ(cell.StoredPhase(kJob), JobPhase::kSucceeded);
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
}

}  // namespace
}  // namespace agatepass::pool
