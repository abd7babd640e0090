#include "agatepass/placement/planner.h"
#include "agatepass/placement/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::placement {
namespace {

TaskRequest Member(const std::string& job, int index, uint32_t size) {
  TaskRequest request = MakeTask(job + "/" + std::to_string(index));
  request.job = base::JobId(job);
  request.kind = WorkloadKind::kGang;
  request.gang_size = size;
  request.declared = {.millicores = 2000, .memory_mib = 1024};
  return request;
}

void EnqueueGang(Planner& planner, const std::string& job, uint32_t size) {
  for (uint32_t i = 0; i < size; ++i) {
    ASSERT_TRUE(
        planner.Enqueue(Member(job, static_cast<int>(i), size), kStart).ok());
  }
}

size_t CountPlaced(const std::vector<Decision>& decisions) {
  return OfKind(decisions, DecisionKind::kPlace).size();
}

TEST(Gang, WaitsForItsLastTask) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  ASSERT_TRUE(planner.Enqueue(Member("g", 0, 2), kStart).ok());
  EXPECT_EQ(CountPlaced(planner.Decide(kStart, 10)), 0U);
  ASSERT_TRUE(planner.Enqueue(Member("g", 1, 2), kStart).ok());
  EXPECT_EQ(CountPlaced(planner.Decide(kStart, 10)), 2U);
}

TEST(Gang, StartsWholeOrNotAtAll) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  planner.UpsertWorker(MakeWorker("w2"));
  planner.Adopt(MakeTask("other"), base::WorkerId("w1"),
                {.millicores = 1000, .memory_mib = 1024}, kStart);
  EnqueueGang(planner, "g", 4);
  EXPECT_EQ(CountPlaced(planner.Decide(kStart, 10)), 0U);
  planner.OnEnded(base::TaskId("other"), true, {}, std::chrono::seconds(1),
                  kStart);
  EXPECT_EQ(CountPlaced(planner.Decide(kStart, 10)), 4U);
}

TEST(Gang, SmallWorkDoesNotStarveIt) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  for (int i = 0; i < 4; ++i) {
    ASSERT_TRUE(
        planner.Enqueue(MakeTask("small" + std::to_string(i)), kStart).ok());
  }
  planner.Decide(kStart, 10);
  EnqueueGang(planner, "g", 2);
  planner.Decide(kStart, 10);
  // A stream of small tasks wants each processor as soon as it is free.
  for (int i = 0; i < 4; ++i) {
    const base::Instant now = kStart + std::chrono::seconds(i);
    ASSERT_TRUE(
        planner.Enqueue(MakeTask("late" + std::to_string(i)), now).ok());
    planner.OnEnded(base::TaskId("small" + std::to_string(i)), true, {},
                    std::chrono::seconds(1), now);
    const auto decisions = planner.Decide(now, 10);
    EXPECT_EQ(CountPlaced(decisions), i < 3 ? 0U : 2U) << i;
  }
}

TEST(Gang, HeldRoomIsBackFilledByWorkThatEndsInTime) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  TaskRequest running = MakeTask("running");
  running.declared.millicores = 2000;
  running.expected_run_time = std::chrono::minutes(10);
  ASSERT_TRUE(planner.Enqueue(running, kStart).ok());
  planner.Decide(kStart, 10);
  EnqueueGang(planner, "g", 2);
  planner.Decide(kStart, 10);
  TaskRequest brief = MakeTask("brief");
  brief.expected_run_time = std::chrono::minutes(5);
  TaskRequest lengthy = MakeTask("lengthy");
  lengthy.expected_run_time = std::chrono::minutes(20);
  ASSERT_TRUE(planner.Enqueue(lengthy, kStart).ok());
  ASSERT_TRUE(planner.Enqueue(brief, kStart).ok());
  const auto placed = OfKind(planner.Decide(kStart, 10), DecisionKind::kPlace);
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].task.value, "brief");
}

TEST(Gang, ACancelledGangGivesItsHoldBack) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  planner.Adopt(MakeTask("other"), base::WorkerId("w1"),
                {.millicores = 2000, .memory_mib = 1024}, kStart);
  EnqueueGang(planner, "g", 2);
  planner.Decide(kStart, 10);
  ASSERT_TRUE(planner.Enqueue(MakeTask("small"), kStart).ok());
  EXPECT_EQ(CountPlaced(planner.Decide(kStart, 10)), 0U);
  EXPECT_EQ(planner.CancelJob(base::JobId("g")).removed.size(), 2U);
  EXPECT_EQ(CountPlaced(planner.Decide(kStart, 10)), 1U);
}

}  // namespace
}  // namespace agatepass::placement
