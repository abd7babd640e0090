// Leader election: the planner is the host that holds the leased key.
#include "agatepass/pool/election.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using platform::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

const PlannerEntry kSelf{base::HostId("a"), {"10.0.0.1", 7000}, "1"};
const PlannerEntry kOtherHost{base::HostId("b"), {"10.0.0.2", 7000}, "1"};

class ElectionTest : public testing::Test {
 protected:
  void BecomeLeader() {
    this->election.OnPlannerObserved(std::nullopt, 0, this->now);
    ASSERT_EQ(this->election.Next(this->now), ElectionStep::kGrantLease);
    this->election.OnGrantLeaseResult(Outcome::kDone, 5, this->now);
    ASSERT_EQ(this->election.Next(this->now), ElectionStep::kCreateKey);
    this->election.OnKeyWriteResult(Outcome::kDone, 12, this->now);
  }

  base::Instant now{seconds(10)};
  Election election{{.self = kSelf}};
};

TEST_F(ElectionTest, TheRevisionOfTheKeyIsTheFence) {
  this->BecomeLeader();
  EXPECT_TRUE(this->election.is_leader());
  EXPECT_EQ(this->election.term(), 12U);
}

TEST_F(ElectionTest, IsNoCandidateWhileAPlannerExists) {
  this->election.OnPlannerObserved(kOtherHost, 7, this->now);
  EXPECT_EQ(this->election.Next(this->now + seconds(5)),
            ElectionStep::kNothing);
}

TEST_F(ElectionTest, ReadsTheKeyAfterAnUnansweredCreate) {
  this->election.OnPlannerObserved(std::nullopt, 0, this->now);
  this->election.Next(this->now);
  this->election.OnGrantLeaseResult(Outcome::kDone, 5, this->now);
  this->election.Next(this->now);
  this->election.OnKeyWriteResult(Outcome::kUnknown, 0, this->now);
  EXPECT_FALSE(this->election.is_leader());
  this->now += seconds(1);
  ASSERT_EQ(this->election.Next(this->now), ElectionStep::kReadKey);
  this->election.OnKeyRead(Outcome::kDone, kSelf, 14, this->now);
  EXPECT_EQ(this->election.term(), 14U);
}

TEST_F(ElectionTest, RevokesItsLeaseIfAnUnansweredCreateWasNotApplied) {
  this->election.OnPlannerObserved(std::nullopt, 0, this->now);
  this->election.Next(this->now);
  this->election.OnGrantLeaseResult(Outcome::kDone, 5, this->now);
  this->election.Next(this->now);
  this->election.OnKeyWriteResult(Outcome::kUnknown, 0, this->now);
  this->now += seconds(1);
  this->election.Next(this->now);
  this->election.OnKeyRead(Outcome::kDone, kOtherHost, 14, this->now);
  EXPECT_EQ(this->election.Next(this->now), ElectionStep::kRevokeLease);
  EXPECT_FALSE(this->election.is_leader());
}

TEST_F(ElectionTest, ARefusedRenewalEndsTheTerm) {
  this->BecomeLeader();
  this->now += seconds(1);
  ASSERT_EQ(this->election.Next(this->now), ElectionStep::kRenewLease);
  this->election.OnRenewLeaseResult(Outcome::kRefused, this->now);
  EXPECT_FALSE(this->election.is_leader());
}

TEST_F(ElectionTest, AnUnansweredRenewalDoesNotEndTheTerm) {
  this->BecomeLeader();
  this->now += seconds(1);
  this->election.Next(this->now);
  this->election.OnRenewLeaseResult(Outcome::kUnknown, this->now);
  EXPECT_TRUE(this->election.is_leader());
}

TEST_F(ElectionTest, AnotherPlannersKeyEndsTheTerm) {
  this->BecomeLeader();
  this->election.OnPlannerObserved(kOtherHost, 20, this->now);
  EXPECT_FALSE(this->election.is_leader());
  EXPECT_EQ(this->election.Next(this->now), ElectionStep::kRevokeLease);
}

TEST_F(ElectionTest, RemovesTheKeyOfAnEarlierIncarnation) {
  PlannerEntry earlier = kSelf;
  earlier.incarnation = "0";
  this->election.OnPlannerObserved(earlier, 7, this->now);
  ASSERT_EQ(this->election.Next(this->now), ElectionStep::kRemoveKey);
  EXPECT_EQ(this->election.planner_revision(), 7U);
  this->election.OnRemoveKeyResult(Outcome::kDone, this->now);
  EXPECT_EQ(this->election.Next(this->now), ElectionStep::kGrantLease);
}

TEST_F(ElectionTest, ReplacesTheKeyOfALostPlanner) {
  this->election.SetCandidacyDelay(milliseconds(50));
  this->election.OnPlannerObserved(kOtherHost, 7, this->now);
  this->election.OnPlannerLost(7, this->now);
  EXPECT_EQ(this->election.Next(this->now), ElectionStep::kNothing);
  this->now += milliseconds(50);
  ASSERT_EQ(this->election.Next(this->now), ElectionStep::kGrantLease);
  this->election.OnGrantLeaseResult(Outcome::kDone, 5, this->now);
  ASSERT_EQ(this->election.Next(this->now), ElectionStep::kReplaceKey);
  EXPECT_EQ(this->election.planner_revision(), 7U);
  this->election.OnKeyWriteResult(Outcome::kDone, 9, this->now);
  EXPECT_EQ(this->election.term(), 9U);
  // The lease was granted before the key was written: it is renewed at once.
  EXPECT_EQ(this->election.Next(this->now), ElectionStep::kRenewLease);
}

TEST_F(ElectionTest, DoesNotReplaceAPlannerThatIsReachableAgain) {
  this->election.OnPlannerObserved(kOtherHost, 7, this->now);
  this->election.OnPlannerLost(7, this->now);
  this->election.OnPlannerReachable();
  EXPECT_EQ(this->election.Next(this->now + seconds(1)),
            ElectionStep::kNothing);
}

TEST_F(ElectionTest, IgnoresTheLossOfAnEarlierPlanner) {
  this->election.OnPlannerObserved(kOtherHost, 9, this->now);
  this->election.OnPlannerLost(7, this->now);
  EXPECT_EQ(this->election.Next(this->now + seconds(1)),
            ElectionStep::kNothing);
  this->election.OnPlannerLost(9, this->now);
  this->election.OnPlannerObserved(kOtherHost, 12, this->now);
  EXPECT_EQ(this->election.Next(this->now + seconds(1)),
            ElectionStep::kNothing);
}

TEST_F(ElectionTest, GivesUpWhenAnotherHostHasReplacedTheKey) {
  this->election.OnPlannerObserved(kOtherHost, 7, this->now);
  this->election.OnPlannerLost(7, this->now);
  this->election.Next(this->now);
  this->election.OnGrantLeaseResult(Outcome::kDone, 5, this->now);
  this->election.Next(this->now);
  this->election.OnKeyWriteResult(Outcome::kRefused, 0, this->now);
  EXPECT_FALSE(this->election.is_leader());
  EXPECT_EQ(this->election.Next(this->now + seconds(1)),
            ElectionStep::kNothing);
}

TEST_F(ElectionTest, IsNoCandidateForAWhileAfterYieldingLeadership) {
  this->BecomeLeader();
  this->election.YieldLeadership(this->now + seconds(5));
  ASSERT_EQ(this->election.Next(this->now), ElectionStep::kRevokeLease);
  this->election.OnLeaseRevoked();
  this->election.OnPlannerObserved(std::nullopt, 0, this->now);
  EXPECT_EQ(this->election.Next(this->now + seconds(1)),
            ElectionStep::kNothing);
  EXPECT_EQ(this->election.Next(this->now + seconds(6)),
            ElectionStep::kGrantLease);
}

TEST_F(ElectionTest, PlannerEntriesRoundTrip) {
  EXPECT_EQ(DecodePlannerEntry(EncodePlannerEntry(kSelf)), kSelf);
  EXPECT_EQ(DecodePlannerEntry("a b c"), std::nullopt);
}

}  // namespace
}  // namespace agatepass::pool
