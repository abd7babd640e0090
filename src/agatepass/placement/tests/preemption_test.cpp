#include "agatepass/placement/planner.h"
#include "agatepass/placement/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::placement {
namespace {

/** A planner with one worker full of `count` tasks like `request`. */
Planner MakeFull(TaskRequest request, int count) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  for (int i = 0; i < count; ++i) {
    request.task = base::TaskId("low" + std::to_string(i));
    EXPECT_TRUE(planner.Enqueue(request, kStart).ok());
  }
  for (const Decision& decision : planner.Decide(kStart, 100)) {
    planner.OnStarted(decision.task, decision.worker, kStart);
  }
  return planner;
}

TaskRequest Alert() {
  TaskRequest request = MakeTask("alert");
  request.job = base::JobId("alert");
  request.priority = Priority::kUrgent;
  return request;
}

TEST(Preemption, UrgentWorkTakesRoomOfWhatCanBeCheckpointed) {
  TaskRequest low = MakeTask("");
  low.checkpointable = true;
  Planner planner = MakeFull(low, 4);
  ASSERT_TRUE(planner.Enqueue(Alert(), kStart).ok());
  const auto leaving =
      OfKind(planner.Decide(kStart, 10), DecisionKind::kCheckpoint);
  ASSERT_EQ(leaving.size(), 1U);
  planner.OnPreempted(leaving[0].task, kStart);
  const auto placed = OfKind(planner.Decide(kStart, 10), DecisionKind::kPlace);
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].task.value, "alert");
}

TEST(Preemption, NeverStopsANonIdempotentTask) {
  Planner planner = MakeFull(MakeTask(""), 4);
  ASSERT_TRUE(planner.Enqueue(Alert(), kStart).ok());
  const auto decisions = planner.Decide(kStart, 10);
  EXPECT_TRUE(OfKind(decisions, DecisionKind::kStop).empty());
  EXPECT_TRUE(OfKind(decisions, DecisionKind::kCheckpoint).empty());
}

TEST(Preemption, OrdinaryWorkDoesNotPreempt) {
  TaskRequest low = MakeTask("");
  low.checkpointable = true;
  low.priority = Priority::kBulk;
  Planner planner = MakeFull(low, 4);
  TaskRequest ordinary = Alert();
  ordinary.priority = Priority::kOrdinary;
  ASSERT_TRUE(planner.Enqueue(ordinary, kStart).ok());
  EXPECT_TRUE(
      OfKind(planner.Decide(kStart, 10), DecisionKind::kCheckpoint).empty());
}

TEST(Preemption, PeakLetsInteractiveWorkPreempt) {
  TaskRequest low = MakeTask("");
  low.checkpointable = true;
  Planner planner = MakeFull(low, 4);
  TaskRequest quote = Alert();
  quote.priority = Priority::kInteractive;
  ASSERT_TRUE(planner.Enqueue(quote, kStart).ok());
  EXPECT_TRUE(
      OfKind(planner.Decide(kStart, 10), DecisionKind::kCheckpoint).empty());
  planner.SetPolicy(PeakPolicy());
  EXPECT_EQ(
      OfKind(planner.Decide(kStart, 10), DecisionKind::kCheckpoint).size(), 1U);
}

TEST(Preemption, ASlowCheckpointBecomesAStopIfThatDoesNoHarm) {
  TaskRequest low = MakeTask("");
  low.checkpointable = true;
  low.idempotent = true;
  Planner planner = MakeFull(low, 4);
  ASSERT_TRUE(planner.Enqueue(Alert(), kStart).ok());
  planner.Decide(kStart, 10);
  const base::Instant later = kStart + planner.policy().limits.checkpoint_grace;
  EXPECT_EQ(OfKind(planner.Decide(later, 10), DecisionKind::kStop).size(), 1U);
}

TEST(Preemption, ACancelledAlertGivesThePromisedRoomBack) {
  TaskRequest low = MakeTask("");
  low.checkpointable = true;
  Planner planner = MakeFull(low, 4);
  ASSERT_TRUE(planner.Enqueue(Alert(), kStart).ok());
  const auto leaving =
      OfKind(planner.Decide(kStart, 10), DecisionKind::kCheckpoint);
  ASSERT_EQ(leaving.size(), 1U);
  EXPECT_EQ(planner.Cancel(base::TaskId("alert")),
            CancelResult::kRemovedFromQueue);
  planner.OnPreempted(leaving[0].task, kStart);
  const auto placed = OfKind(planner.Decide(kStart, 10), DecisionKind::kPlace);
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].task, leaving[0].task);
}

}  // namespace
}  // namespace agatepass::placement
