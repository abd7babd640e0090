// Whether the planner has failed or this host is cut off from the network.
#include "agatepass/pool/planner_failure_detector.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PlannerFailureDetectorTest : public testing::Test {
 protected:
  void CheckPeers(size_t peers, size_t answers) {
    ASSERT_TRUE(this->detector.ShouldCheckPeers(this->now));
    this->detector.BeginPeerCheck(peers, this->now);
    for (size_t i = 0; i < answers; ++i) {
      this->detector.OnPeerAnswer({"10.0.0.1", static_cast<uint16_t>(i + 1)});
    }
  }

  base::Instant now{seconds(10)};
  PlannerFailureDetector detector;
};

TEST_F(PlannerFailureDetectorTest,
       ThePlannerIsLostAfterARefusedConnectionIfMostPeersAnswer) {
  this->detector.OnFailure(true);
  this->CheckPeers(5, 2);
  EXPECT_FALSE(this->detector.IsLost());
  this->detector.OnPeerAnswer({"10.0.0.9", 9});
  EXPECT_TRUE(this->detector.IsLost());
}

TEST_F(PlannerFailureDetectorTest, OneUnansweredCallStartsNoCheck) {
  this->detector.OnFailure(false);
  EXPECT_FALSE(this->detector.ShouldCheckPeers(this->now));
  this->detector.OnFailure(false);
  EXPECT_TRUE(this->detector.ShouldCheckPeers(this->now));
}

TEST_F(PlannerFailureDetectorTest,
       APartitionedHostDoesNotDeclareThePlannerLost) {
  this->detector.OnFailure(true);
  this->CheckPeers(5, 0);
  EXPECT_FALSE(this->detector.IsLost());
  EXPECT_FALSE(this->detector.ShouldCheckPeers(this->now + milliseconds(100)));
  EXPECT_TRUE(this->detector.ShouldCheckPeers(this->now + milliseconds(400)));
}

TEST_F(PlannerFailureDetectorTest, WithoutPeersThePlannerIsNeverLost) {
  this->detector.OnFailure(true);
  this->CheckPeers(0, 0);
  EXPECT_FALSE(this->detector.IsLost());
}

TEST_F(PlannerFailureDetectorTest, AnAnswerClearsTheSuspicion) {
  this->detector.OnFailure(true);
  this->CheckPeers(1, 1);
  EXPECT_TRUE(this->detector.IsLost());
  this->detector.OnAnswer();
  EXPECT_FALSE(this->detector.IsLost());
  EXPECT_FALSE(this->detector.ShouldCheckPeers(this->now));
}

}  // namespace
}  // namespace agatepass::pool
