// Which workers an advice query names.
#include "agatepass/pool/advice_choice.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

std::vector<AdviceCandidate> MakeCandidates(size_t count, uint32_t fits_now,
                                            uint32_t fits_when_empty) {
  std::vector<AdviceCandidate> workers;
  for (size_t i = 0; i < count; ++i) {
    workers.push_back({i, fits_now, fits_when_empty});
  }
  return workers;
}

TEST(AdviceChoice, NamesNoMoreWorkersThanTheStepNeeds) {
  const AdviceDemand demand{
      .tasks = 2, .allowed_share = 0.5, .min_workers = 4, .max_workers = 100};
  // Three places (each has capacity for one task) are wanted for each of two
  // tasks. Half of the workers are allowed, with two places each: a worker
  // counts as one place.
  EXPECT_EQ(ChooseWorkersToName(MakeCandidates(200, 2, 2), demand).size(), 6U);
}

TEST(AdviceChoice, KeepsWithinTheMinimumAndMaximumOfWorkers) {
  AdviceDemand demand{
      .tasks = 1, .allowed_share = 1, .min_workers = 30, .max_workers = 100};
  EXPECT_EQ(ChooseWorkersToName(MakeCandidates(200, 8, 8), demand).size(), 30U);
  demand.tasks = 400;
  EXPECT_EQ(ChooseWorkersToName(MakeCandidates(200, 8, 8), demand).size(),
            100U);
  EXPECT_EQ(ChooseWorkersToName(MakeCandidates(12, 8, 8), demand).size(), 12U);
}

TEST(AdviceChoice, WorkersWithFreeCapacityComeFirst) {
  std::vector<AdviceCandidate> workers = MakeCandidates(50, 0, 4);
  workers[40].fits_now = 3;
  workers[45].fits_now = 4;
  const auto chosen = ChooseWorkersToName(
      workers,
      {.tasks = 1, .allowed_share = 0.5, .min_workers = 2, .max_workers = 9});
  ASSERT_GE(chosen.size(), 2U);
  EXPECT_EQ(chosen[0], 45U);
  EXPECT_EQ(chosen[1], 40U);
}

TEST(AdviceChoice, NamesMoreWorkersIfAllAreFull) {
  const AdviceDemand demand{
      .tasks = 4, .allowed_share = 1, .min_workers = 1, .max_workers = 100};
  const size_t with_capacity =
      ChooseWorkersToName(MakeCandidates(99, 4, 4), demand).size();
  const size_t full =
      ChooseWorkersToName(MakeCandidates(99, 0, 4), demand).size();
  // 12 places are wanted; a place in use counts as 0.2 of a free one.
  EXPECT_EQ(with_capacity, 3U);
  EXPECT_EQ(full, 15U);
}

TEST(AdviceChoice, AFewMorePlacesDoNotJustifyAQuery) {
  EXPECT_FALSE(IsQueryWorthwhile({.expected_slots = 5, .unplaced_tasks = 20}));
  EXPECT_TRUE(IsQueryWorthwhile({.expected_slots = 10, .unplaced_tasks = 20}));
  EXPECT_FALSE(IsQueryWorthwhile({.expected_slots = 10, .unplaced_tasks = 0}));
}

TEST(AdviceChoice, AStepThatCannotStartAsksForAFewPlacesAfterAWhile) {
  QueryGain gain{.expected_slots = 0.3,
                 .unplaced_tasks = 20,
                 .cannot_start = true,
                 .since_last_query = std::chrono::milliseconds(100)};
  EXPECT_FALSE(IsQueryWorthwhile(gain));
  gain.since_last_query = std::chrono::seconds(1);
  EXPECT_TRUE(IsQueryWorthwhile(gain));
  gain.cannot_start = false;
  EXPECT_FALSE(IsQueryWorthwhile(gain));
}

TEST(AdviceChoice, StepsThatFindNoRoomAskLessAndLess) {
  EXPECT_EQ(DelayBeforeNextQuery(1, true), base::Duration(0));
  base::Duration previous{0};
  for (uint32_t answers = 4; answers < 9; ++answers) {
    EXPECT_GT(DelayBeforeNextQuery(answers, true), previous);
    previous = DelayBeforeNextQuery(answers, true);
  }
  EXPECT_EQ(DelayBeforeNextQuery(1000, true), std::chrono::milliseconds(1600));
}

TEST(AdviceChoice, StepsInTimeWaitLessThanLateOnes) {
  EXPECT_EQ(DelayBeforeNextQuery(3, false), base::Duration(0));
  EXPECT_EQ(DelayBeforeNextQuery(1000, false), std::chrono::milliseconds(100));
}

TEST(AllowedShareEstimator, FollowsTheAnswersForEachQueue) {
  AllowedShareEstimator shares;
  const double initial_share = shares.EstimateShare("letters");
  EXPECT_GT(initial_share, 0);
  for (int i = 0; i < 60; ++i) shares.OnAnswer("letters", 40, 12);
  EXPECT_NEAR(shares.EstimateShare("letters"), 0.3, 0.01);
  EXPECT_EQ(shares.EstimateShare("alerts"), initial_share);
}

}  // namespace
}  // namespace agatepass::pool
