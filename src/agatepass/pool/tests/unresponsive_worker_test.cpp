// Workers that stop answering, leave, restart or make no progress. The runs of
// a worker that stops answering count as running until its lease has expired.
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::seconds;

TEST(UnresponsiveWorker, ItsTasksAreNotStartedAgainBeforeItsLeaseHasExpired) {
  PoolCell cell(1, 2);
  cell.Submit(MakePoolJob("a", 2, 5000, seconds(3)));
  cell.RunFor(seconds(1));
  cell.faults.unreachable_workers.insert(base::WorkerId("w0"));
  cell.RunFor(seconds(2));
  const TaskName task{base::JobId("a"), 0, 0, 0};
  EXPECT_EQ(cell.CountStarts(task), 1)
      << "started again before the lease of w0 has expired";
  cell.RunFor(seconds(18));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(UnresponsiveWorker, ContinuesItsRunsAfterAShortPartition) {
  PoolCell cell(1, 2);
  cell.Submit(MakePoolJob("a", 2, 5000, seconds(6)));
  cell.RunFor(seconds(1));
  cell.faults.unreachable_workers.insert(base::WorkerId("w0"));
  cell.RunFor(seconds(4));
  cell.faults.unreachable_workers.clear();
  cell.RunFor(seconds(10));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.CountStarts({base::JobId("a"), 0, 0, 0}), 1);
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(UnresponsiveWorker, AGangWhoseWorkerLeavesIsRestarted) {
  PoolCell cell(1, 3);
  Job job = MakePoolJob("a", 2, 5000, seconds(4));
  job.steps[0].gang = true;
  cell.Submit(job);
  cell.RunFor(seconds(1));
  size_t busy_worker = 0;
  while (cell.worker(busy_worker).GetRuns().empty()) ++busy_worker;
  cell.DrainWorker(busy_worker, seconds(1));
  cell.RunFor(seconds(25));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(UnresponsiveWorker, TasksOfARestartedWorkerAreStartedAgain) {
  PoolCell cell(1, 1);
  cell.Submit(MakePoolJob("a", 1, 5000, seconds(3)));
  cell.RunFor(seconds(1));
  cell.CrashAndRestartWorker(0);
  cell.RunFor(seconds(6));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.CountStarts({base::JobId("a"), 0, 0, 0}), 2);
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(UnresponsiveWorker, StalledRunsAreMoved) {
  PoolCell cell(1, 2);
  cell.Submit(MakePoolJob("a", 2, 5000, seconds(1)));
  cell.RunFor(std::chrono::milliseconds(300));
  cell.worker(0).runs_stall = true;
  // 4 s suffice: syncs are 1 s apart. The first after the stall may still show
  // progress from before it. The second is too early, as a stall is at least
  // 1.2 s without progress. The third detects it, about 3 s after it began at
  // the latest, and the stop takes 0.3 s.
  cell.RunFor(seconds(4));
  EXPECT_EQ(cell.CountStarts({base::JobId("a"), 0, 0, 0}), 2);
  cell.RunFor(seconds(2));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

}  // namespace
}  // namespace agatepass::pool
