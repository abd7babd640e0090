// Workers that drain and shut down as announced. A run that ends in the last
// instant is listed by its worker and read by nobody, so that no run may be
// left by then; and a draining worker that cannot be reached may be running on.
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TaskName kTask{base::JobId("a"), 0, 0, 0};

/** Runs the cell until the task runs. Stops take as long as they may.
 * \return the index of its worker. */
size_t RunUntilStarted(PoolCell& cell, size_t worker_count) {
  for (size_t i = 0; i < worker_count; ++i) {
    cell.worker(i).stop_duration = PlannerOptions().max_stop_time;
  }
  while (true) {
    cell.RunFor(milliseconds(1));
    for (size_t i = 0; i < worker_count; ++i) {
      if (cell.worker(i).IsRunning(kTask)) return i;
    }
  }
}

TEST(DrainingWorker, ATaskThatEndsAsItsWorkerShutsDownIsNotStartedAgain) {
  for (int early_ms = -10; early_ms <= 600; ++early_ms) {
    PoolCell cell(1, 2);
    cell.Submit(MakePoolJob("a", 1, 5000, seconds(3)));
    const size_t worker = RunUntilStarted(cell, 2);
    cell.DrainWorker(worker, seconds(3) + milliseconds(early_ms));
    cell.RunFor(seconds(15));
    EXPECT_EQ(cell.violations(), std::vector<std::string>())
        << "shut down " << early_ms << " ms after the end\n"
        << cell.TakeLog();
    EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
  }
}

TEST(DrainingWorker, ATaskThatEndsAsItsWorkerShutsDownWhileTheStoreIsSlow) {
  for (int early_ms = -10; early_ms <= 40; early_ms += 5) {
    PoolCell cell(1, 2);
    cell.faults.commit_duration = milliseconds(240);
    cell.Submit(MakePoolJob("a", 1, 4000, seconds(3)));
    const size_t worker = RunUntilStarted(cell, 2);
    // Its end is not stored yet when the other task ends.
    cell.Submit(MakePoolJob("b", 2, 2000, milliseconds(2500)));
    cell.DrainWorker(worker, seconds(3) + milliseconds(early_ms));
    cell.RunFor(seconds(15));
    EXPECT_EQ(cell.violations(), std::vector<std::string>())
        << "shut down " << early_ms << " ms after the end\n"
        << cell.TakeLog();
    EXPECT_EQ(cell.UnfinishedJobs(), std::vector<base::JobId>());
  }
}

TEST(DrainingWorker, ATaskThatEndsAsItsWorkerShutsDownAfterATakeover) {
  for (int early_ms = -10; early_ms <= 40; early_ms += 5) {
    PoolCell cell(1, 2);
    cell.Submit(MakePoolJob("a", 1, 5000, seconds(6)));
    const size_t worker = RunUntilStarted(cell, 2);
    cell.RunFor(milliseconds(1500));
    cell.DrainWorker(worker, milliseconds(4500 + early_ms));
    cell.RunFor(milliseconds(2200));
    cell.KillPlanners(milliseconds(300));
    cell.RunFor(seconds(20));
    EXPECT_EQ(cell.violations(), std::vector<std::string>())
        << "shut down " << early_ms << " ms after the end\n"
        << cell.TakeLog();
    EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
  }
}

TEST(DrainingWorker, ARunThatEndsInTimeIsNotStopped) {
  PoolCell cell(1, 2);
  cell.Submit(MakePoolJob("a", 1, 5000, seconds(3)));
  const size_t worker = RunUntilStarted(cell, 2);
  cell.DrainWorker(worker, milliseconds(3600));
  cell.RunFor(seconds(4));
  EXPECT_EQ(cell.CountStarts(kTask), 1) << cell.TakeLog();
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(DrainingWorker, ThatIsCutOffIsNotTakenForShutDown) {
  PoolCell cell(1, 2);
  cell.Submit(MakePoolJob("a", 1, 5000, seconds(9)));
  const size_t worker = RunUntilStarted(cell, 2);
  cell.RunFor(seconds(1));
  cell.ReportDraining(worker, milliseconds(4500));
  cell.faults.unreachable_workers.insert(cell.worker(worker).record.worker);
  // Its last report arrived before it was cut off, so that its entry expires
  // less than three report periods later.
  cell.RunFor(milliseconds(2900));
  cell.UnlistWorker(worker);
  cell.RunFor(seconds(25));
  EXPECT_EQ(cell.violations(), std::vector<std::string>()) << cell.TakeLog();
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(DrainingWorker, ItsRunsContinueElsewhereBeforeItShutsDown) {
  PoolCell cell(1, 2);
  cell.Submit(MakePoolJob("a", 1, 5000, seconds(8)));
  const size_t worker = RunUntilStarted(cell, 2);
  cell.DrainWorker(worker, milliseconds(4500));
  cell.RunFor(milliseconds(4500));
  EXPECT_EQ(cell.CountStarts(kTask), 2) << cell.TakeLog();
  cell.RunFor(seconds(10));
  EXPECT_EQ(cell.violations(), std::vector<std::string>()) << cell.TakeLog();
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(DrainingWorker, ItsGangsContinueElsewhereBeforeItShutsDown) {
  PoolCell cell(1, 3);
  Job job = MakePoolJob("a", 2, 5000, seconds(8));
  job.steps[0].gang = true;
  cell.Submit(job);
  const size_t worker = RunUntilStarted(cell, 3);
  cell.DrainWorker(worker, milliseconds(4500));
  cell.RunFor(milliseconds(4500));
  EXPECT_EQ(cell.CountStarts(kTask), 2) << cell.TakeLog();
  cell.RunFor(seconds(12));
  EXPECT_EQ(cell.violations(), std::vector<std::string>()) << cell.TakeLog();
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(DrainingWorker, ItsLeaseIsNotRenewedPastItsAnnouncedShutdown) {
  timeline::DecisionLog log("test");
  PlannerTime time{base::Instant(seconds(100)), 0};
  PoolPlanner planner({.fence = 9}, log, time);
  WorkerRecord record{.worker = base::WorkerId("w0"), .started_at_ms = 1};
  planner.OnWorker(record, time);
  constexpr int64_t kClockMs = 70'000;
  // The first sync reads the worker's clock; the later ones renew its lease.
  const auto sync = [&]() -> std::optional<int64_t> {
    std::optional<int64_t> lease_until_ms;
    for (const Effect& effect : planner.Advance(time)) {
      const auto* request = std::get_if<SyncRequest>(&effect);
      if (request == nullptr) continue;
      lease_until_ms = request->lease_until_ms;
      planner.OnSync(*request,
                     {.result = WorkerCallResult::kDone,
                      .worker_clock_ms = kClockMs,
                      .started_at_ms = 1},
                     time);
    }
    return lease_until_ms;
  };
  EXPECT_EQ(sync(), std::nullopt);
  EXPECT_EQ(sync(), kClockMs + 6500);
  record.draining = true;
  record.remaining = milliseconds(4500);
  planner.OnWorker(record, time);
  EXPECT_EQ(sync(), kClockMs + 4500);
  record.draining = false;
  planner.OnWorker(record, time);
  EXPECT_EQ(sync(), kClockMs + 6500);
}

}  // namespace
}  // namespace agatepass::pool
