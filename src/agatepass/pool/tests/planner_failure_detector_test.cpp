// Telling a lost planner from a host that is cut off itself.
#include "agatepass/pool/planner_failure_detector.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PlannerContactTest : public testing::Test {
 protected:
  void Check(size_t hosts, size_t answers) {
    ASSERT_TRUE(this->contact.ShouldCheckPeers(this->now));
    this->contact.BeginPeerCheck(hosts, this->now);
    for (size_t i = 0; i < answers; ++i) {
      this->contact.OnPeerAnswer({"10.0.0.1", static_cast<uint16_t>(i + 1)});
    }
  }

  base::Instant now{seconds(10)};
  PlannerFailureDetector contact;
};

TEST_F(PlannerContactTest, ARefusedConnectionAndMostHostsMakeItLost) {
  this->contact.OnFailure(true);
  this->Check(5, 2);
  EXPECT_FALSE(this->contact.IsLost());
  this->contact.OnPeerAnswer({"10.0.0.9", 9});
  EXPECT_TRUE(this->contact.IsLost());
}

TEST_F(PlannerContactTest, OneSilentCallIsNoSign) {
  this->contact.OnFailure(false);
  EXPECT_FALSE(this->contact.ShouldCheckPeers(this->now));
  this->contact.OnFailure(false);
  EXPECT_TRUE(this->contact.ShouldCheckPeers(this->now));
}

TEST_F(PlannerContactTest, AHostThatIsCutOffLosesNobody) {
  this->contact.OnFailure(true);
  this->Check(5, 0);
  EXPECT_FALSE(this->contact.IsLost());
  EXPECT_FALSE(this->contact.ShouldCheckPeers(this->now + milliseconds(100)));
  EXPECT_TRUE(this->contact.ShouldCheckPeers(this->now + milliseconds(400)));
}

TEST_F(PlannerContactTest, WithoutOtherHostsTheLeaseDecides) {
  this->contact.OnFailure(true);
  this->Check(0, 0);
  EXPECT_FALSE(this->contact.IsLost());
}

TEST_F(PlannerContactTest, AnAnswerClearsIt) {
  this->contact.OnFailure(true);
  this->Check(1, 1);
  EXPECT_TRUE(this->contact.IsLost());
  this->contact.OnAnswer();
  EXPECT_FALSE(this->contact.IsLost());
  EXPECT_FALSE(this->contact.ShouldCheckPeers(this->now));
}

}  // namespace
}  // namespace agatepass::pool
