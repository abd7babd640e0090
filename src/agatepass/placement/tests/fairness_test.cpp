#include "agatepass/placement/planner.h"
#include "agatepass/placement/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::placement {
namespace {

void EnqueueMany(Planner& planner, const std::string& team, int count,
                 base::Instant now = kStart) {
  for (int i = 0; i < count; ++i) {
    TaskRequest request = MakeTask(team + std::to_string(i));
    request.team = base::TeamId(team);
    request.job = base::JobId(team);
    ASSERT_TRUE(planner.Enqueue(request, now).ok());
  }
}

std::map<std::string, int> PlacedByTeam(
    const std::vector<Decision>& decisions) {
  std::map<std::string, int> counts;
  for (const Decision& decision : OfKind(decisions, DecisionKind::kPlace)) {
    ++counts[decision.task.value.substr(0, 1)];
  }
  return counts;
}

TEST(Fairness, RoomIsSharedByWeight) {
  Planner planner(1);
  Policy policy = OrdinaryPolicy();
  policy.teams[base::TeamId("b")].weight = 3;
  planner.SetPolicy(policy);
  planner.UpsertWorker(
      MakeWorker("w1", {.millicores = 8000, .memory_mib = 16384}));
  EnqueueMany(planner, "a", 20);
  EnqueueMany(planner, "b", 20);
  const auto placed = PlacedByTeam(planner.Decide(kStart, 100));
  EXPECT_EQ(placed.at("a"), 2);
  EXPECT_EQ(placed.at("b"), 6);
}

TEST(Fairness, QuotaHoldsAndIsGivenBackAtTheEnd) {
  Planner planner(1);
  Policy policy = OrdinaryPolicy();
  policy.teams[base::TeamId("a")].quota = {.millicores = 2000,
                                           .memory_mib = 8192};
  planner.SetPolicy(policy);
  planner.UpsertWorker(MakeWorker("w1"));
  EnqueueMany(planner, "a", 3);
  EXPECT_EQ(PlacedByTeam(planner.Decide(kStart, 100)).at("a"), 2);
  EXPECT_EQ(planner.Explain(base::TaskId("a2"), kStart)->cause,
            WaitCause::kQuota);
  planner.OnEnded(base::TaskId("a0"), true, {}, std::chrono::seconds(1),
                  kStart);
  EXPECT_EQ(PlacedByTeam(planner.Decide(kStart, 100)).at("a"), 1);
  EXPECT_EQ(planner.TeamUse(base::TeamId("a")).millicores, 2000);
}

TEST(Fairness, ATaskAboveTheWholeQuotaIsRefused) {
  Planner planner(1);
  Policy policy = OrdinaryPolicy();
  policy.teams[base::TeamId("letters")].quota = {.millicores = 500,
                                                 .memory_mib = 8192};
  planner.SetPolicy(policy);
  planner.UpsertWorker(MakeWorker("w1"));
  EXPECT_EQ(base::ResultCodeOf(planner.Enqueue(MakeTask("t"), kStart)),
            base::ResultCode::kQuotaExceeded);
}

TEST(Fairness, AnOvertakenTaskAgesAheadOfNewWork) {
  Planner planner(1);
  planner.UpsertWorker(
      MakeWorker("w1", {.millicores = 1000, .memory_mib = 1024}));
  TaskRequest first = MakeTask("first");
  ASSERT_TRUE(planner.Enqueue(first, kStart).ok());
  planner.Decide(kStart, 10);
  TaskRequest old = MakeTask("old");
  old.priority = Priority::kBulk;
  old.team = base::TeamId("patient");
  ASSERT_TRUE(planner.Enqueue(old, kStart).ok());
  planner.Decide(kStart, 10);
  const base::Instant later = kStart + 3 * planner.policy().limits.ageing_step;
  ASSERT_TRUE(planner.Enqueue(MakeTask("new"), later).ok());
  planner.OnEnded(base::TaskId("first"), true, {}, std::chrono::seconds(1),
                  later);
  const auto placed = OfKind(planner.Decide(later, 10), DecisionKind::kPlace);
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].task.value, "old");
}

TEST(Fairness, MaintenanceLetsBulkWorkWaitAndOrdinaryDaysTakeItUpAgain) {
  Planner planner(1);
  planner.UpsertWorker(MakeWorker("w1"));
  planner.SetPolicy(MaintenancePolicy());
  TaskRequest bulk = MakeTask("bulk");
  bulk.priority = Priority::kBulk;
  ASSERT_TRUE(planner.Enqueue(bulk, kStart).ok());
  EXPECT_TRUE(OfKind(planner.Decide(kStart, 10), DecisionKind::kPlace).empty());
  planner.SetPolicy(OrdinaryPolicy());
  EXPECT_EQ(OfKind(planner.Decide(kStart, 10), DecisionKind::kPlace).size(),
            1U);
}

}  // namespace
}  // namespace agatepass::placement
