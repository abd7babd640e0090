// Detection of runs that make no progress.
#include "agatepass/pool/stall_detection.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(StallDetection, DetectsAStalledRun) {
  EXPECT_EQ(JudgeProgressSample({.percent_before = 40,
                                 .percent = 40,
                                 .elapsed = milliseconds(1300),
                                 .estimate = seconds(2)}),
            ProgressVerdict::kStalled);
}

TEST(StallDetection, ARunWithATenTimesTooShortEstimateIsNotStalled) {
  // Guards against moving a run because its estimate is too short: a task
  // estimated at 0.9 s that runs for 8 s was moved four times.
  EXPECT_EQ(JudgeProgressSample({.percent_before = 29,
                                 .percent = 41,
                                 .elapsed = milliseconds(1025),
                                 .estimate = milliseconds(900)}),
            ProgressVerdict::kProgressing);
}

TEST(StallDetection, AFinishedGangMemberIsNotStalled) {
  EXPECT_EQ(JudgeProgressSample({.percent_before = 100,
                                 .percent = 100,
                                 .elapsed = seconds(5),
                                 .estimate = seconds(1)}),
            ProgressVerdict::kProgressing);
}

TEST(StallDetection, AShortSampleIsTooEarly) {
  EXPECT_EQ(JudgeProgressSample(
                {.elapsed = milliseconds(1000), .estimate = seconds(2)}),
            ProgressVerdict::kTooEarly);
  EXPECT_EQ(
      JudgeProgressSample({.elapsed = seconds(2), .estimate = seconds(60)}),
      ProgressVerdict::kTooEarly);
}

}  // namespace
}  // namespace agatepass::pool
