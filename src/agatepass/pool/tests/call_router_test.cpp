// Calls on an entry host while planners come and go.
#include "agatepass/pool/call_router.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using base::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

const CurrentPlanner kFirst{{"10.0.0.1", 7000}, 5};
const CurrentPlanner kSecond{{"10.0.0.2", 7000}, 9};

class CallRouterTest : public testing::Test {
 protected:
  CallId Submit() {
    return this->router.Add({.verb = PeerVerb::kSubmit}, seconds(2), this->now);
  }

  /** Lets time pass in steps and sorts what the router wants. */
  void Run(base::Duration time) {
    const base::Instant until = this->now + time;
    do {
      for (const RouterEffect& effect : this->router.Advance(this->now)) {
        if (const auto* ask = std::get_if<AskPlanner>(&effect)) {
          this->asked.push_back(*ask);
        } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
          this->answers.push_back(answer->answer);
        } else {
          ++this->described;
        }
      }
      this->now += milliseconds(10);
    } while (this->now < until);
  }

  base::Instant now{seconds(10)};
  CallRouter router;
  std::vector<AskPlanner> asked;
  std::vector<CallerAnswer> answers;
  int described = 0;
};

TEST_F(CallRouterTest, AnswersOnceWithWhatThePlannerSays) {
  this->router.SetPlanner(kFirst);
  this->Submit();
  this->Run(milliseconds(10));
  ASSERT_EQ(this->asked.size(), 1U);
  const AskPlanner& ask = this->asked[0];
  EXPECT_EQ(ask.planner, kFirst);
  const CallerAnswer accepted{.code = ResultCode::kAccepted};
  this->router.OnAnswer(ask.call, ask.attempt, accepted, this->now);
  this->router.OnAnswer(ask.call, ask.attempt, accepted, this->now);
  this->Run(seconds(3));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kAccepted);
}

TEST_F(CallRouterTest, WaitsForTheNextPlanner) {
  this->Submit();
  this->Run(milliseconds(500));
  EXPECT_TRUE(this->answers.empty());
  this->router.SetPlanner(kSecond);
  this->Run(milliseconds(20));
  ASSERT_EQ(this->asked.size(), 1U);
  EXPECT_EQ(this->asked[0].planner, kSecond);
}

TEST_F(CallRouterTest, RejectsSoonIfNoPlannerComes) {
  this->Submit();
  this->Run(milliseconds(1000));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kPeerUnreachable);
  EXPECT_GT(this->answers[0].retry_after.count(), 0);
}

TEST_F(CallRouterTest, RejectsAtOnceWhileNoPlannerCanCome) {
  this->router.SetStoreReachable(false);
  this->Submit();
  this->Run(milliseconds(10));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kPeerUnreachable);
}

TEST_F(CallRouterTest, AsksTheNextPlannerWhatTheLostOneDidNotAnswer) {
  this->router.SetPlanner(kFirst);
  this->Submit();
  this->Run(milliseconds(300));
  this->router.SetPlanner(kSecond);
  this->Run(milliseconds(20));
  ASSERT_EQ(this->asked.size(), 2U);
  // The lost planner's answer comes too late to count.
  this->router.OnAnswer(this->asked[0].call, this->asked[0].attempt,
                        {.code = ResultCode::kOverloaded}, this->now);
  this->router.OnAnswer(this->asked[1].call, this->asked[1].attempt,
                        {.code = ResultCode::kAccepted}, this->now);
  this->Run(seconds(3));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kAccepted);
}

TEST_F(CallRouterTest, NeverSaysNotRunAfterAnAttemptThatMayBeDone) {
  this->router.SetPlanner(kFirst);
  this->Submit();
  this->Run(milliseconds(10));
  this->router.OnNoAnswer(this->asked[0].call, this->asked[0].attempt, true,
                          this->now);
  this->router.SetPlanner(std::nullopt);
  this->Run(seconds(2));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kOutcomeUnknown);
}

TEST_F(CallRouterTest, ATermThatEndsLeadsToTheNextOne) {
  this->router.SetPlanner(kFirst);
  this->Submit();
  this->Run(milliseconds(10));
  this->router.OnAnswer(
      this->asked[0].call, this->asked[0].attempt,
      {.code = ResultCode::kOutcomeUnknown, .term_ended = true}, this->now);
  this->router.SetPlanner(kSecond);
  this->Run(milliseconds(100));
  ASSERT_EQ(this->asked.size(), 2U);
  EXPECT_EQ(this->asked[1].planner, kSecond);
  EXPECT_TRUE(this->answers.empty());
}

TEST_F(CallRouterTest, AShortOutageOfThePlannersStoreIsWaitedOut) {
  this->router.SetPlanner(kFirst);
  this->Submit();
  this->Run(milliseconds(10));
  const CallerAnswer away{.code = ResultCode::kStoreUnreachable,
                          .retry_after = seconds(1)};
  const base::Instant began = this->now;
  while (this->answers.empty() && this->now < began + seconds(2)) {
    const AskPlanner& ask = this->asked.back();
    this->router.OnAnswer(ask.call, ask.attempt, away, this->now);
    this->Run(milliseconds(20));
  }
  EXPECT_GE(this->asked.size(), 3U);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kStoreUnreachable);
  EXPECT_LE(this->now, began + milliseconds(450));
}

TEST_F(CallRouterTest, ALongOutageOfTheStoreIsToldAtOnce) {
  this->router.SetPlanner(kFirst);
  this->Submit();
  this->Run(milliseconds(10));
  this->router.OnAnswer(
      this->asked[0].call, 1,
      {.code = ResultCode::kStoreUnreachable, .retry_after = seconds(3)},
      this->now);
  this->Run(milliseconds(10));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].retry_after, seconds(3));
}

TEST_F(CallRouterTest, QuestionsGoToTheStoreWithoutAPlanner) {
  this->router.Add({.verb = PeerVerb::kDescribe}, seconds(2), this->now);
  this->Run(milliseconds(10));
  EXPECT_EQ(this->described, 1);
}

TEST_F(CallRouterTest, KeepsABoundedNumberOfCalls) {
  for (size_t i = 0; i < CallRouter::kMaxCalls + 10; ++i) this->Submit();
  this->Run(milliseconds(10));
  EXPECT_EQ(this->answers.size(), 10U);
  EXPECT_EQ(this->router.size(), CallRouter::kMaxCalls);
}

}  // namespace
}  // namespace agatepass::pool
