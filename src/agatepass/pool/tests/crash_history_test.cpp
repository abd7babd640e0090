// The verdict on a task by the crashes under it.
#include "agatepass/pool/crash_history.h"

#include <vector>

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Crashes soon after the start, with these other explanations. */
std::vector<CrashedRun> EarlyCrashes(const std::vector<bool>& alone) {
  std::vector<CrashedRun> crashes;
  crashes.reserve(alone.size());
  for (const bool is_alone : alone) {
    crashes.push_back({.run = static_cast<RunNumber>(crashes.size() + 1),
                       .survived = milliseconds(5),
                       .alone = is_alone});
  }
  return crashes;
}

TEST(CrashHistory, OneEarlyCrashMakesASuspect) {
  EXPECT_EQ(JudgeCrashes({}), CrashVerdict::kClear);
  EXPECT_EQ(JudgeCrashes(EarlyCrashes({false})), CrashVerdict::kSuspect);
  EXPECT_EQ(JudgeCrashes(EarlyCrashes({true})), CrashVerdict::kSuspect);
}

TEST(CrashHistory, TwoCrashesWithoutAnotherExplanationAreEnough) {
  EXPECT_EQ(JudgeCrashes(EarlyCrashes({true, true})), CrashVerdict::kGivenUp);
  EXPECT_EQ(JudgeCrashes(EarlyCrashes({false, true, false, true})),
            CrashVerdict::kGivenUp);
}

TEST(CrashHistory, CrashesThatSomethingElseExplainsAreBoundedToo) {
  EXPECT_EQ(JudgeCrashes(EarlyCrashes({false, false, true})),
            CrashVerdict::kSuspect);
  EXPECT_EQ(JudgeCrashes(EarlyCrashes({false, false, false, false})),
            CrashVerdict::kGivenUp);
}

TEST(CrashHistory, ARunThatRanLongIsNotSuspectedForOneCrash) {
  std::vector<CrashedRun> crashes = {{.run = 1, .survived = seconds(2)}};
  EXPECT_EQ(JudgeCrashes(crashes), CrashVerdict::kClear);
  crashes.push_back({.run = 2, .survived = seconds(2)});
  EXPECT_EQ(JudgeCrashes(crashes), CrashVerdict::kSuspect);
}

TEST(CrashHistory, ProbationLastsLongerThanTheWorkersLivedBefore) {
  EXPECT_EQ(FindProbation(EarlyCrashes({true})), kProbation);
  const std::vector<CrashedRun> late = {{.run = 1, .survived = seconds(2)}};
  EXPECT_GT(FindProbation(late), seconds(2));
}

// Guards against suspicion that lasts as long as a service once ran.
TEST(CrashHistory, ProbationAndTrialAreBoundedHoweverLongTheWorkersLived) {
  const std::vector<CrashedRun> day = {
      {.run = 1, .survived = std::chrono::hours(24)},
      {.run = 2, .survived = seconds(5)}};
  EXPECT_EQ(FindProbation(day), kMaxProbation);
  EXPECT_EQ(FindTrialTime(day), kMaxTrialTime);
  EXPECT_EQ(FindTrialTime(EarlyCrashes({true})), kProbation);
}

}  // namespace
}  // namespace agatepass::pool
