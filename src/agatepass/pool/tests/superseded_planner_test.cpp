// A planner that may have been superseded without noticing it. The next planner
// takes the runs on workers that it cannot reach for ended once their leases
// must have expired, so a superseded planner that still reaches such a worker
// must have stopped to renew its lease and to start tasks there. A planner that
// cannot be superseded must not: its runs would lapse.
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PlannerCutOff;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kWorkers = 3;
constexpr Fence kFirstPlanner = 1;
constexpr Fence kSecondPlanner = 2;

size_t FindBusyWorker(PoolCell& cell) {
  size_t index = 0;
  while (index + 1 < kWorkers && cell.worker(index).GetRuns().empty()) ++index;
  return index;
}

/** Splits the pool: the first planner reaches only this worker, and neither the
 * store nor another host; the second one reaches all but this worker. */
void SplitPool(PoolCell& cell, size_t worker) {
  auto& first = cell.faults.planner_cut_offs[kFirstPlanner];
  first.store = true;
  first.hosts = true;
  for (size_t i = 0; i < kWorkers; ++i) {
    if (i != worker) first.workers.insert(cell.worker(i).record.worker);
  }
  cell.faults.planner_cut_offs[kSecondPlanner].workers.insert(
      cell.worker(worker).record.worker);
}

/** Plays a split of the pool in which the second planner is elected after
 * `until_elected`, and the split lasts for long after that. */
void PlaySplit(Job job, base::Duration until_elected) {
  PoolCell cell(1, kWorkers);
  cell.Submit(std::move(job));
  cell.RunFor(seconds(1));
  SplitPool(cell, FindBusyWorker(cell));
  cell.RunFor(until_elected);
  cell.ReplacePlanner();
  cell.RunFor(seconds(25));
  cell.faults = {};
  cell.RunFor(seconds(40));
  SCOPED_TRACE(cell.TakeLog());
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.UnfinishedJobs(), std::vector<base::JobId>());
}

TEST(SupersededPlanner, ARunThatOnlyItReachesEndsBeforeItsTaskStartsAgain) {
  // A planner that is lost may be replaced at once or after its lease.
  for (const milliseconds until_elected :
       {milliseconds(0), milliseconds(400), milliseconds(1300),
        milliseconds(5000)}) {
    SCOPED_TRACE(until_elected.count());
    PlaySplit(MakePoolJob("a", 1, 5000, seconds(20)), until_elected);
  }
}

TEST(SupersededPlanner, StopsAlsoIfNoHostHasCalledItYet) {
  // Without any host that it knows, it could take itself for the only one.
  PoolCell cell(1, kWorkers);
  SplitPool(cell, 0);
  cell.Submit(MakePoolJob("a", 1, 5000, seconds(4)));
  cell.RunFor(milliseconds(400));
  cell.ReplacePlanner();
  cell.Submit(MakePoolJob("b", 1, 5000, seconds(4)));
  cell.RunFor(seconds(3));
  EXPECT_NE(cell.TakeLog().find("leases not renewed"), std::string::npos);
}

TEST(SupersededPlanner, DoesNotStartTasksThatTheNextPlannerStarts) {
  // One task fits on a worker at a time: as each run ends, both planners have
  // tasks left to start.
  PlaySplit(MakePoolJob("a", 20, 5000, seconds(3)), milliseconds(400));
}

/** Cuts the planner off from all but these workers. */
void ReachOnly(PoolCell& cell, Fence planner, const std::set<size_t>& workers) {
  for (size_t i = 0; i < kWorkers; ++i) {
    if (workers.contains(i)) continue;
    cell.faults.planner_cut_offs[planner].workers.insert(
        cell.worker(i).record.worker);
  }
}

TEST(SupersededPlanner,
     DoesNotTakeLeasesForExpiredThatTheNextOneMayHaveRenewed) {
  // The run ends as succeeded on a worker that only the second planner reaches.
  // That planner has the worker forget the end, shortly before the first one
  // takes the lease that it granted itself for expired, and starts the task on
  // a worker that the second one does not reach.
  for (milliseconds elected(4000); elected < milliseconds(7000);
       elected += milliseconds(100)) {
    SCOPED_TRACE(elected.count());
    PoolCell cell(1, kWorkers);
    cell.Submit(MakePoolJob("a", 1, 5000, seconds(4)));
    cell.RunFor(seconds(1));
    ASSERT_FALSE(cell.worker(0).GetRuns().empty());
    ReachOnly(cell, kFirstPlanner, {1, 2});
    cell.RunFor(elected);
    ReachOnly(cell, kSecondPlanner, {0});
    cell.ReplacePlanner();
    cell.RunFor(seconds(10));
    EXPECT_EQ(cell.violations(), std::vector<std::string>()) << cell.TakeLog();
  }
}

TEST(SupersededPlanner, DoesNotTakeInheritedRunsForEndedThatTheNextOneMaySee) {
  // The same with the leases of the term before: the second planner does not
  // reach the worker, and waits for them; a third one reaches it before.
  for (milliseconds elected(7000); elected < milliseconds(9000);
       elected += milliseconds(100)) {
    SCOPED_TRACE(elected.count());
    PoolCell cell(1, kWorkers);
    cell.Submit(MakePoolJob("a", 1, 5000, seconds(4)));
    cell.RunFor(seconds(1));
    ASSERT_FALSE(cell.worker(0).GetRuns().empty());
    ReachOnly(cell, kFirstPlanner, {0});
    ReachOnly(cell, kSecondPlanner, {1, 2});
    cell.ReplacePlanner();
    cell.RunFor(elected);
    ReachOnly(cell, kSecondPlanner + 1, {0});
    cell.ReplacePlanner();
    cell.RunFor(seconds(10));
    EXPECT_EQ(cell.violations(), std::vector<std::string>()) << cell.TakeLog();
  }
}

TEST(SupersededPlanner, RunsOutliveAnOutageOfTheStoreWhileTheHostsAnswer) {
  // No host reaches the store, so none can be elected.
  PoolCell cell(1, kWorkers);
  cell.Submit(MakePoolJob("a", 1, 5000, seconds(20)));
  cell.RunFor(seconds(1));
  cell.faults.planner_cut_offs[kFirstPlanner].store = true;
  cell.RunFor(seconds(18));
  cell.faults = {};
  cell.RunFor(seconds(5));
  EXPECT_EQ(cell.CountStarts({base::JobId("a"), 0, 0, 0}), 1) << cell.TakeLog();
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
}

TEST(SupersededPlanner, RunsOutliveAShortSplit) {
  // No other planner is elected: after the split the leases are renewed again,
  // and tasks that wait are started.
  PoolCell cell(1, kWorkers);
  cell.Submit(MakePoolJob("a", 1, 5000, seconds(15)));
  cell.RunFor(seconds(1));
  SplitPool(cell, FindBusyWorker(cell));
  cell.RunFor(seconds(5));
  cell.Submit(MakePoolJob("b", 6, 5000, seconds(1)));
  cell.RunFor(seconds(1));
  EXPECT_EQ(cell.CountStarts({base::JobId("b"), 0, 0, 0}), 0);
  cell.faults = {};
  cell.RunFor(seconds(12));
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
  EXPECT_EQ(cell.CountStarts({base::JobId("a"), 0, 0, 0}), 1) << cell.TakeLog();
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
  EXPECT_EQ(cell.StoredPhase(base::JobId("b")), JobPhase::kSucceeded);
}

// Guards against a start that an answer for advice brings, past the check of
// the scheduling pass, while another planner may have been elected.
TEST(SupersededPlanner, StartsNothingWhenAdviceArrives) {
  PoolCell cell(1, kWorkers);
  cell.queues.queues[0].policy.advice =
      AdvicePolicy{.call_duration = seconds(3), .ticket_lifetime = seconds(9)};
  cell.ReplacePlanner();
  cell.RunFor(seconds(1));
  cell.Submit(MakePoolJob("a", 1, 1000, seconds(1)));
  cell.RunFor(milliseconds(300));
  ASSERT_TRUE(cell.IsStored(base::JobId("a")));
  PlannerCutOff& cut_off = cell.faults.planner_cut_offs[cell.newest_fence()];
  cut_off.store = true;
  cut_off.hosts = true;
  cell.RunFor(seconds(4));
  EXPECT_EQ(cell.CountStarts({base::JobId("a"), 0, 0, 0}), 0);
  cell.faults = {};
  cell.RunFor(seconds(10));
  EXPECT_EQ(cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
  EXPECT_EQ(cell.violations(), std::vector<std::string>());
}

}  // namespace
}  // namespace agatepass::pool
