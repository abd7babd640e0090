// Distinguishes a failed planner from a host that is itself partitioned.
#include "agatepass/pool/planner_failure_detector.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PlannerFailureDetectorTest : public testing::Test {
 protected:
  void RunPeerCheck(size_t hosts, size_t answers) {
    ASSERT_TRUE(this->detector.ShouldCheckPeers(this->now));
    this->detector.BeginPeerCheck(hosts, this->now);
    for (size_t i = 0; i < answers; ++i) {
      this->detector.OnPeerAnswer({"10.0.0.1", static_cast<uint16_t>(i + 1)});
    }
  }

  base::Instant now{seconds(10)};
  PlannerFailureDetector detector;
};

TEST_F(PlannerFailureDetectorTest,
       LostAfterARefusedConnectionAndAnswersOfMostHosts) {
  this->detector.OnFailure(true);
  this->RunPeerCheck(5, 2);
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
  this->RunPeerCheck(5, 0);
  EXPECT_FALSE(this->detector.IsLost());
  EXPECT_FALSE(this->detector.ShouldCheckPeers(this->now + milliseconds(100)));
  EXPECT_TRUE(this->detector.ShouldCheckPeers(this->now + milliseconds(400)));
}

TEST_F(PlannerFailureDetectorTest, WithoutOtherHostsOnlyTheLeaseDecides) {
  this->detector.OnFailure(true);
  this->RunPeerCheck(0, 0);
  EXPECT_FALSE(this->detector.IsLost());
}

TEST_F(PlannerFailureDetectorTest, AnAnswerClearsTheSuspicion) {
  this->detector.OnFailure(true);
  this->RunPeerCheck(1, 1);
  EXPECT_TRUE(this->detector.IsLost());
  this->detector.OnAnswer();
  EXPECT_FALSE(this->detector.IsLost());
  EXPECT_FALSE(this->detector.ShouldCheckPeers(this->now));
}

}  // namespace
}  // namespace agatepass::pool
