// Workers whose tasks stand still.
#include "agatepass/pool/stall_detection.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Pace, ARunThatStandsStillIsFound) {
  EXPECT_EQ(JudgeProgressSample({.percent_before = 40,
                                 .percent = 40,
                                 .elapsed = milliseconds(1300),
                                 .estimate = seconds(2)}),
            ProgressVerdict::kStalled);
}

TEST(Pace, AnEstimateThatIsTenTimesTooShortIsNoReason) {
  // Trace: a coil set estimated at 0.9 s ran for 8 s and was moved four times.
  EXPECT_EQ(JudgeProgressSample({.percent_before = 29,
                                 .percent = 41,
                                 .elapsed = milliseconds(1025),
                                 .estimate = milliseconds(900)}),
            ProgressVerdict::kProgressing);
}

TEST(Pace, AGangsMemberThatIsDoneWaitsForTheOthers) {
  EXPECT_EQ(JudgeProgressSample({.percent_before = 100,
                                 .percent = 100,
                                 .elapsed = seconds(5),
                                 .estimate = seconds(1)}),
            ProgressVerdict::kProgressing);
}

TEST(Pace, AShortLookSaysNothing) {
  EXPECT_EQ(JudgeProgressSample(
                {.elapsed = milliseconds(1000), .estimate = seconds(2)}),
            ProgressVerdict::kTooEarly);
  EXPECT_EQ(
      JudgeProgressSample({.elapsed = seconds(2), .estimate = seconds(60)}),
      ProgressVerdict::kTooEarly);
}

TEST(Pace, ARunsProgressTellsItsEndBetterThanItsEstimate) {
  const base::Instant began{std::chrono::seconds(100)};
  const base::Instant seen = began + std::chrono::seconds(3);
  const base::Instant estimated = began + std::chrono::seconds(4);
  EXPECT_EQ(PredictEnd(began, seen, 0, estimated), estimated);
  EXPECT_EQ(PredictEnd(began, seen, 30, estimated),
            began + std::chrono::seconds(10));
  EXPECT_EQ(PredictEnd(began, seen, 100, estimated), seen);
}

}  // namespace
}  // namespace agatepass::pool
