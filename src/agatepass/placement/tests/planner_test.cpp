#include "agatepass/placement/planner.h"

#include "agatepass/placement/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::placement {
namespace {

TEST(Planner, FillsAWorkerAndNoMore) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  for (int i = 0; i < 6; ++i) {
    ASSERT_TRUE(
        planner.Enqueue(MakeTask("t" + std::to_string(i)), kStart).ok());
  }
  const auto placed = OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace);
  EXPECT_EQ(placed.size(), 4U);
  EXPECT_EQ(planner.waiting(), 2U);
  EXPECT_TRUE(planner.Decide(kStart, 100).empty());
}

TEST(Planner, AnEndMakesRoomForTheNext) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(
        planner.Enqueue(MakeTask("t" + std::to_string(i)), kStart).ok());
  }
  planner.Decide(kStart, 100);
  planner.OnEnded(base::TaskId("t0"), true, {}, std::chrono::seconds(1),
                  kStart);
  const auto placed = OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace);
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].task.value, "t4");
}

TEST(Planner, RefusesWhatCanNeverRunAndNamesTheLargestWorker) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  TaskRequest request = MakeTask("t");
  request.declared.accelerators = 2;
  const absl::Status status = planner.Enqueue(request, kStart);
  EXPECT_EQ(base::ResultCodeOf(status), base::ResultCode::kCanNeverRun);
  EXPECT_NE(std::string(status.message()).find("\"w1\""), std::string::npos);
  EXPECT_NE(std::string(status.message()).find("lacks 2 of 2 accelerators"),
            std::string::npos);
}

TEST(Planner, AFailedStartIsTriedAgain) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  ASSERT_TRUE(planner.Enqueue(MakeTask("t"), kStart).ok());
  planner.Decide(kStart, 100);
  planner.OnStartFailed(base::TaskId("t"), base::WorkerId("w1"),
                        StartFailure::kNotSent, kStart);
  EXPECT_EQ(OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace).size(),
            1U);
}

TEST(Planner, LeavingWorkersGetNothing) {
  Planner planner(1);
  WorkerView view = MakeWorker("w1");
  view.state = WorkerState::kLeaving;
  planner.UpsertWorker(view);
  planner.UpsertWorker(MakeWorker("w2"));
  for (int i = 0; i < 8; ++i) {
    ASSERT_TRUE(
        planner.Enqueue(MakeTask("t" + std::to_string(i)), kStart).ok());
  }
  const auto placed = OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace);
  EXPECT_EQ(placed.size(), 4U);
  for (const Decision& decision : placed) {
    EXPECT_EQ(decision.worker.value, "w2");
  }
}

TEST(Planner, AnAdoptedTaskTakesItsRoom) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  planner.Adopt(MakeTask("old"), base::WorkerId("w1"),
                {.millicores = 3000, .memory_mib = 1024}, kStart);
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(
        planner.Enqueue(MakeTask("t" + std::to_string(i)), kStart).ok());
  }
  EXPECT_EQ(OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace).size(),
            1U);
}

}  // namespace
}  // namespace agatepass::placement
