// Workers whose tasks stand still.
#include "agatepass/pool/pace.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Pace, ARunThatStandsStillIsFound) {
  EXPECT_EQ(JudgePace({.percent_before = 40,
                       .percent = 40,
                       .elapsed = milliseconds(1300),
                       .estimate = seconds(2)}),
            PaceVerdict::kStandsStill);
}

TEST(Pace, AnEstimateThatIsTenTimesTooShortIsNoReason) {
  // Trace: a coil set estimated at 0.9 s ran for 8 s and was moved four times.
  EXPECT_EQ(JudgePace({.percent_before = 29,
                       .percent = 41,
                       .elapsed = milliseconds(1025),
                       .estimate = milliseconds(900)}),
            PaceVerdict::kMoves);
}

TEST(Pace, AGangsMemberThatIsDoneWaitsForTheOthers) {
  EXPECT_EQ(JudgePace({.percent_before = 100,
                       .percent = 100,
                       .elapsed = seconds(5),
                       .estimate = seconds(1)}),
            PaceVerdict::kMoves);
}

TEST(Pace, AShortLookSaysNothing) {
  EXPECT_EQ(JudgePace({.elapsed = milliseconds(1000), .estimate = seconds(2)}),
            PaceVerdict::kTooEarly);
  EXPECT_EQ(JudgePace({.elapsed = seconds(2), .estimate = seconds(60)}),
            PaceVerdict::kTooEarly);
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
