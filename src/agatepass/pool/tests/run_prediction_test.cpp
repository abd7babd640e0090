// When runs are expected to end. A prediction that is too early keeps resources
// for a gang that cannot start, and lets runs go on on a worker that leaves.
#include "agatepass/pool/run_prediction.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RunPrediction : public testing::Test {
 protected:
  RunPrediction() {
    this->definition.estimate = seconds(4);
    this->step.definition = &this->definition;
    this->run.step = &this->step;
    this->run.phase = RunPhase::kRunning;
    this->run.expected_end = kStart + seconds(4);
    this->run.first_progress = ProgressPoint{0, kStart};
    this->run.last_progress = {0, kStart};
  }

  static constexpr base::Instant kStart{seconds(100)};
  Step definition;
  StepState step;
  RunState run;
};

TEST_F(RunPrediction, FollowsTheProgressInsteadOfTheEstimate) {
  this->run.last_progress = {0, kStart + seconds(3)};
  EXPECT_EQ(PredictEnd(this->run), kStart + seconds(4));
  this->run.last_progress = {30, kStart + seconds(3)};
  EXPECT_EQ(PredictEnd(this->run), kStart + seconds(10));
  this->run.last_progress = {100, kStart + seconds(3)};
  EXPECT_EQ(PredictEnd(this->run), kStart + seconds(3));
}

// Guards against taking progress that was made before this planner knew the run
// for progress made in no time.
TEST_F(RunPrediction, CountsOnlyTheProgressSinceTheFirstReport) {
  this->run.first_progress = ProgressPoint{60, kStart};
  this->run.last_progress = {60, kStart};
  EXPECT_EQ(PredictEnd(this->run), this->run.expected_end);
  this->run.last_progress = {80, kStart + seconds(2)};
  EXPECT_EQ(PredictEnd(this->run), kStart + seconds(4));
}

TEST_F(RunPrediction, OfATaskThatLastsIsNone) {
  this->definition.long_running = true;
  this->run.last_progress = {100, kStart + seconds(1)};
  EXPECT_EQ(PredictRelease(this->run, kStart + seconds(9)), std::nullopt);
}

TEST_F(RunPrediction, WithoutAnEstimateNeedsProgress) {
  this->definition.estimate = {};
  this->run.expected_end = kStart;
  EXPECT_EQ(PredictRelease(this->run, kStart + seconds(1)), std::nullopt);
  this->run.last_progress = {50, kStart + seconds(1)};
  EXPECT_EQ(PredictRelease(this->run, kStart + seconds(1)),
            kStart + seconds(2));
}

// Guards against expecting a run that is over its estimate to end at once, each
// time anew.
TEST_F(RunPrediction, OfAnOverdueRunMovesAway) {
  EXPECT_EQ(PredictRelease(this->run, kStart + seconds(1)),
            kStart + seconds(4));
  EXPECT_EQ(PredictRelease(this->run, kStart + seconds(9)),
            kStart + seconds(14));
}

TEST_F(RunPrediction, OfAStoppedRunIsTheTimeOfAStop) {
  this->definition.long_running = true;
  this->run.phase = RunPhase::kStopping;
  this->run.stop_requested_at = kStart;
  EXPECT_EQ(PredictRelease(this->run, kStart + milliseconds(200)),
            kStart + kExpectedStopTime);
}

}  // namespace
}  // namespace agatepass::pool
