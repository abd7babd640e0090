#include "agatepass/placement/planner.h"
#include "agatepass/placement/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::placement {
namespace {

constexpr int kWorkers = 6;

TaskRequest TaskOf(const std::string& job, int index) {
  TaskRequest request = MakeTask(job + "/" + std::to_string(index));
  request.job = base::JobId(job);
  request.declared.millicores = 4000;
  return request;
}

/** A planner with six workers that each take one task. */
Planner MakePlanner() {
  Planner planner(1);
  for (int i = 0; i < kWorkers; ++i) {
    planner.UpsertWorker(MakeWorker("w" + std::to_string(i)));
  }
  return planner;
}

WorkerState StateOf(const Planner& planner, const std::string& worker) {
  const auto slot = planner.cell().Find(base::WorkerId(worker));
  return planner.cell().worker(*slot).view.state;
}

/** Runs one task a job; those on w0 fail. Returns when w0 goes on probation. */
int FailOnFirstWorker(Planner& planner, int jobs) {
  for (int job = 0; job < jobs; ++job) {
    EXPECT_TRUE(
        planner.Enqueue(TaskOf("j" + std::to_string(job), 0), kStart).ok());
  }
  int failures = 0;
  for (int round = 0; round < jobs; ++round) {
    for (const Decision& decision :
         OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace)) {
      const bool succeeded = decision.worker.value != "w0";
      failures += succeeded ? 0 : 1;
      planner.OnEnded(decision.task, succeeded, {}, std::chrono::seconds(1),
                      kStart);
    }
    if (StateOf(planner, "w0") == WorkerState::kOnProbation) return failures;
  }
  return failures;
}

TEST(BadLuck, AWorkerThatFailsEverythingIsPutOnProbation) {
  Planner planner = MakePlanner();
  EXPECT_EQ(FailOnFirstWorker(planner, 60), 3);
  ASSERT_EQ(StateOf(planner, "w0"), WorkerState::kOnProbation);
  EXPECT_EQ(StateOf(planner, "w1"), WorkerState::kLive);
  // A report of the worker does not end its probation; time does.
  planner.UpsertWorker(MakeWorker("w0"));
  planner.Decide(kStart + std::chrono::seconds(29), 10);
  EXPECT_EQ(StateOf(planner, "w0"), WorkerState::kOnProbation);
  planner.Decide(kStart + std::chrono::seconds(34), 10);
  EXPECT_EQ(StateOf(planner, "w0"), WorkerState::kLive);
}

TEST(BadLuck, AJobThatFailsEverywhereIsRefusedAndTheWorkersAreNotBlamed) {
  Planner planner = MakePlanner();
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(planner.Enqueue(TaskOf("bad", i), kStart).ok());
  }
  for (const Decision& decision :
       OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace)) {
    planner.OnEnded(decision.task, false, {}, std::chrono::seconds(1), kStart);
  }
  const auto refused =
      OfKind(planner.Decide(kStart, 100), DecisionKind::kRefuse);
  EXPECT_EQ(refused.size(), 4U);
  EXPECT_EQ(planner.waiting(), 0U);
  for (int i = 0; i < kWorkers; ++i) {
    EXPECT_EQ(StateOf(planner, "w" + std::to_string(i)), WorkerState::kLive);
  }
  EXPECT_EQ(base::ResultCodeOf(planner.Enqueue(TaskOf("bad", 99), kStart)),
            base::ResultCode::kRefusedByRule);
}

TEST(BadLuck, OverusedWorkersAreThrottledThenCheckpointedThenStopped) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  for (int i = 0; i < 3; ++i) {
    TaskRequest request = MakeTask("t" + std::to_string(i));
    request.checkpointable = i == 0;
    request.idempotent = i == 1;
    ASSERT_TRUE(planner.Enqueue(request, kStart).ok());
  }
  planner.Decide(kStart, 10);
  for (int i = 0; i < 3; ++i) {
    planner.OnUsage(base::WorkerId("w1"), base::TaskId("t" + std::to_string(i)),
                    {.millicores = 1400, .memory_mib = 1024});
  }
  std::string measures;
  for (int i = 0; i < 8; ++i) {
    const base::Instant now = kStart + i * planner.policy().limits.hot_step;
    for (const Decision& decision : planner.Decide(now, 10)) {
      measures += std::string(DecisionKindName(decision.kind)) + " " +
                  decision.task.value + "\n";
    }
  }
  // t2 is not idempotent: it is slowed down and never taken off.
  EXPECT_EQ(measures,
            "throttle t0\nthrottle t1\nthrottle t2\ncheckpoint t0\nstop t1\n");
}

TEST(BadLuck, BatchIsPackedOnWhatItUsesAndUrgentWorkIsNot) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  const auto submit = [&](int index, Priority priority) {
    TaskRequest request = MakeTask("t" + std::to_string(index));
    request.job = base::JobId("j" + std::to_string(index));
    request.priority = priority;
    EXPECT_TRUE(planner.Enqueue(request, kStart).ok());
  };
  for (int i = 0; i < 20; ++i) {
    submit(i, Priority::kOrdinary);
    planner.Decide(kStart, 10);
    planner.OnEnded(base::TaskId("t" + std::to_string(i)), true,
                    {.millicores = 400, .memory_mib = 500},
                    std::chrono::seconds(1), kStart);
  }
  for (int i = 20; i < 40; ++i) submit(i, Priority::kOrdinary);
  const auto placed = OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace);
  // All tasks used the same, so there is nothing for a margin to cover.
  EXPECT_EQ(placed.size(), 10U);
  EXPECT_EQ(placed[0].granted.millicores, 400);
  planner.CancelJob(base::JobId("j20"));
  submit(50, Priority::kUrgent);
  EXPECT_TRUE(
      OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace).empty());
}

TEST(BadLuck, TheMarginGrowsWithTheSpreadOfUse) {
  UsageHistory history;
  const Margins margins{.percentile = 0.95, .factor = 1.1, .samples = 20};
  const platform::Resources declared{.millicores = 1000, .memory_mib = 1000};
  for (int i = 0; i < 20; ++i) {
    EXPECT_FALSE(history.Grant(0, declared, margins).has_value());
    history.Record(0, declared, {.millicores = 300 + 10 * i, .memory_mib = 500},
                   std::chrono::seconds(1));
  }
  const auto grant = history.Grant(0, declared, margins);
  ASSERT_TRUE(grant.has_value());
  // The median is 390 and the 95th percentile 480.
  EXPECT_EQ(grant->millicores, 489);
  EXPECT_EQ(grant->memory_mib, 500);
}

}  // namespace
}  // namespace agatepass::placement
