#include "agatepass/placement/planner.h"
#include "agatepass/placement/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::placement {
namespace {

TEST(Cancellation, NothingStartsAfterAnAcknowledgedCancel) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  constexpr int kWave = 10000;
  for (int i = 0; i < kWave; ++i) {
    ASSERT_TRUE(
        planner.Enqueue(MakeTask("t" + std::to_string(i)), kStart).ok());
  }
  EXPECT_EQ(OfKind(planner.Decide(kStart, 100), DecisionKind::kPlace).size(),
            4U);
  const JobCancellation wave = planner.CancelJob(base::JobId("j"));
  EXPECT_EQ(wave.removed.size(), kWave - 4U);
  EXPECT_EQ(wave.already_placed.size(), 4U);
  for (const base::TaskId& task : wave.already_placed) {
    planner.OnEnded(task, false, {}, std::chrono::seconds(1), kStart);
  }
  EXPECT_TRUE(planner.Decide(kStart, 100).empty());
  EXPECT_EQ(planner.waiting(), 0U);
  EXPECT_EQ(planner.placed(), 0U);
}

TEST(Cancellation, AnUnknownTaskIsSaidToBeUnknown) {
  Planner planner(1);
  EXPECT_EQ(planner.Cancel(base::TaskId("t")), CancelResult::kUnknownTask);
}

}  // namespace
}  // namespace agatepass::placement
