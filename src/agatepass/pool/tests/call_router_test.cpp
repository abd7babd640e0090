// Callers' calls to a host while the planner changes or is missing.
#include "agatepass/pool/call_router.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using base::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

const CurrentPlanner kFirstPlanner{{"10.0.0.1", 7000}, 5};
const CurrentPlanner kSecondPlanner{{"10.0.0.2", 7000}, 9};

class CallRouterTest : public testing::Test {
 protected:
  CallId Submit() {
    return this->router.Add({.verb = PeerVerb::kSubmit}, seconds(2), this->now);
  }

  /** Advances time in steps of 10 ms and collects the router's effects. */
  void AdvanceFor(base::Duration duration) {
    const base::Instant until = this->now + duration;
    do {
      for (const RouterEffect& effect : this->router.Advance(this->now)) {
        if (const auto* sent = std::get_if<AskPlanner>(&effect)) {
          this->sent_attempts.push_back(*sent);
        } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
          this->answers.push_back(answer->answer);
        } else {
          ++this->describe_count;
        }
      }
      this->now += milliseconds(10);
    } while (this->now < until);
  }

  base::Instant now{seconds(10)};
  CallRouter router;
  std::vector<AskPlanner> sent_attempts;
  std::vector<CallerAnswer> answers;
  int describe_count = 0;
};

TEST_F(CallRouterTest, AnswersOnceWithThePlannersAnswer) {
  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->AdvanceFor(milliseconds(10));
  ASSERT_EQ(this->sent_attempts.size(), 1U);
  const AskPlanner& sent = this->sent_attempts[0];
  EXPECT_EQ(sent.planner, kFirstPlanner);
  const CallerAnswer accepted{.code = ResultCode::kAccepted};
  this->router.OnAnswer(sent.call, sent.attempt, accepted, this->now);
  this->router.OnAnswer(sent.call, sent.attempt, accepted, this->now);
  this->AdvanceFor(seconds(3));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kAccepted);
}

TEST_F(CallRouterTest, WaitsForTheNextPlanner) {
  this->Submit();
  this->AdvanceFor(milliseconds(500));
  EXPECT_TRUE(this->answers.empty());
  this->router.SetPlanner(kSecondPlanner);
  this->AdvanceFor(milliseconds(20));
  ASSERT_EQ(this->sent_attempts.size(), 1U);
  EXPECT_EQ(this->sent_attempts[0].planner, kSecondPlanner);
}

TEST_F(CallRouterTest, RejectsSoonIfNoPlannerAppears) {
  this->Submit();
  this->AdvanceFor(milliseconds(1000));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kPeerUnreachable);
  EXPECT_GT(this->answers[0].retry_after.count(), 0);
}

TEST_F(CallRouterTest, RejectsAtOnceWithoutAPlannerWhileTheStoreIsUnreachable) {
  this->router.SetStoreReachable(false);
  this->Submit();
  this->AdvanceFor(milliseconds(10));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kPeerUnreachable);
}

TEST_F(CallRouterTest, ResendsUnansweredCallsToTheNextPlanner) {
  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->AdvanceFor(milliseconds(300));
  this->router.SetPlanner(kSecondPlanner);
  this->AdvanceFor(milliseconds(20));
  ASSERT_EQ(this->sent_attempts.size(), 2U);
  // The previous planner's late answer is ignored.
  this->router.OnAnswer(this->sent_attempts[0].call,
                        this->sent_attempts[0].attempt,
                        {.code = ResultCode::kOverloaded}, this->now);
  this->router.OnAnswer(this->sent_attempts[1].call,
                        this->sent_attempts[1].attempt,
                        {.code = ResultCode::kAccepted}, this->now);
  this->AdvanceFor(seconds(3));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kAccepted);
}

TEST_F(CallRouterTest,
       ReportsOutcomeUnknownAfterAnAttemptThatMayHaveBeenExecuted) {
  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->AdvanceFor(milliseconds(10));
  this->router.OnNoAnswer(this->sent_attempts[0].call,
                          this->sent_attempts[0].attempt, true, this->now);
  this->router.SetPlanner(std::nullopt);
  this->AdvanceFor(seconds(2));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kOutcomeUnknown);
}

TEST_F(CallRouterTest, ResendsACallToTheNextPlannerWhenATermEnds) {
  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->AdvanceFor(milliseconds(10));
  this->router.OnAnswer(
      this->sent_attempts[0].call, this->sent_attempts[0].attempt,
      {.code = ResultCode::kOutcomeUnknown, .term_ended = true}, this->now);
  this->router.SetPlanner(kSecondPlanner);
  this->AdvanceFor(milliseconds(100));
  ASSERT_EQ(this->sent_attempts.size(), 2U);
  EXPECT_EQ(this->sent_attempts[1].planner, kSecondPlanner);
  EXPECT_TRUE(this->answers.empty());
}

TEST_F(CallRouterTest,
       AsksAgainForABoundedTimeAboutWhatDoesNotWaitAtThePlanner) {
  this->router.SetPlanner(kFirstPlanner);
  this->router.Add({.verb = PeerVerb::kCancel, .job = base::JobId("a")},
                   seconds(2), this->now);
  this->AdvanceFor(milliseconds(10));
  const CallerAnswer store_unreachable{.code = ResultCode::kStoreUnreachable,
                                       .retry_after = seconds(1)};
  const base::Instant started_at = this->now;
  while (this->answers.empty() && this->now < started_at + seconds(2)) {
    const AskPlanner& sent = this->sent_attempts.back();
    this->router.OnAnswer(sent.call, sent.attempt, store_unreachable,
                          this->now);
    this->AdvanceFor(milliseconds(20));
  }
  EXPECT_GE(this->sent_attempts.size(), 3U);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kStoreUnreachable);
  EXPECT_LE(this->now, started_at + milliseconds(450));
}

// Guards against a final answer that is held back: the planner has let the
// submission wait for as long as that could help.
TEST_F(CallRouterTest, ASubmissionRejectedInAnOutageIsAnsweredAtOnce) {
  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->AdvanceFor(milliseconds(10));
  this->router.OnAnswer(
      this->sent_attempts[0].call, 1,
      {.code = ResultCode::kStoreUnreachable, .retry_after = seconds(1)},
      this->now);
  this->AdvanceFor(milliseconds(10));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kStoreUnreachable);
  EXPECT_EQ(this->sent_attempts.size(), 1U);
}

// Guards against submissions that waited for the store at a planner which left,
// and were called rejected, or of unknown outcome, instead of sent on.
TEST_F(CallRouterTest, ACallThatOnlyWaitedIsSentToTheNextPlannerAsNotExecuted) {
  const CallerAnswer sent_on{.code = ResultCode::kPeerUnreachable,
                             .term_ended = true};
  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->AdvanceFor(milliseconds(1000));
  this->router.OnAnswer(this->sent_attempts[0].call, 1, sent_on, this->now);
  this->router.SetPlanner(std::nullopt);
  this->AdvanceFor(milliseconds(500));
  EXPECT_TRUE(this->answers.empty());
  this->router.SetPlanner(kSecondPlanner);
  this->AdvanceFor(milliseconds(20));
  ASSERT_EQ(this->sent_attempts.size(), 2U);
  EXPECT_EQ(this->sent_attempts[1].planner, kSecondPlanner);
  this->router.OnAnswer(this->sent_attempts[1].call, 2, sent_on, this->now);
  this->router.SetPlanner(std::nullopt);
  this->AdvanceFor(seconds(2));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kPeerUnreachable);
}

TEST_F(CallRouterTest, ReportsALongStoreOutageAtOnce) {
  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->AdvanceFor(milliseconds(10));
  // The length of the outage shows in retry_after, which is too long to wait.
  this->router.OnAnswer(
      this->sent_attempts[0].call, 1,
      {.code = ResultCode::kStoreUnreachable, .retry_after = seconds(3)},
      this->now);
  this->AdvanceFor(milliseconds(10));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].retry_after, seconds(3));
}

TEST_F(CallRouterTest, DescribesFromTheStoreWithoutAPlanner) {
  this->router.Add({.verb = PeerVerb::kDescribe, .job = base::JobId("a")},
                   seconds(2), this->now);
  this->AdvanceFor(milliseconds(10));
  EXPECT_EQ(this->describe_count, 1);
}

TEST_F(CallRouterTest, KeepsABoundedNumberOfCalls) {
  for (size_t i = 0; i < CallRouter::kMaxCalls + 10; ++i) this->Submit();
  this->AdvanceFor(milliseconds(10));
  EXPECT_EQ(this->answers.size(), 10U);
  EXPECT_EQ(this->router.size(), CallRouter::kMaxCalls);
}

// A job that one planner had stored was rejected by the next one, which was
// late and had not looked for it, and ran all the same.
TEST_F(CallRouterTest,
       ARejectionWithoutALookIsNoneIfTheCallMayHaveBeenExecuted) {
  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->AdvanceFor(milliseconds(10));
  this->router.SetPlanner(kSecondPlanner);
  this->AdvanceFor(milliseconds(100));
  ASSERT_EQ(this->sent_attempts.size(), 2U);
  const AskPlanner& sent = this->sent_attempts[1];
  this->router.OnAnswer(sent.call, sent.attempt,
                        {.code = ResultCode::kOverloaded, .unexamined = true},
                        this->now);
  this->AdvanceFor(milliseconds(10));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kOutcomeUnknown);
}

TEST_F(CallRouterTest, ARejectionWithoutALookStandsAtTheFirstAttempt) {
  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->AdvanceFor(milliseconds(10));
  const AskPlanner& sent = this->sent_attempts.at(0);
  this->router.OnAnswer(sent.call, sent.attempt,
                        {.code = ResultCode::kOverloaded, .unexamined = true},
                        this->now);
  this->AdvanceFor(milliseconds(10));
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kOverloaded);
}

// A host without a configuration asked the store for the job "", and told the
// caller that an accepted job did not exist.
TEST_F(CallRouterTest, TheStoreIsNotAskedForAJobThatIsNotKnown) {
  this->router.Add({.verb = PeerVerb::kDescribe}, seconds(2), this->now);
  this->AdvanceFor(seconds(3));
  EXPECT_EQ(this->describe_count, 0);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].code, ResultCode::kPeerUnreachable);
}

// Guards against calls that are dropped, or wrongly called not run, when the
// host can wait no longer.
TEST_F(CallRouterTest, EndsAllCallsByWhatMayHaveBeenExecuted) {
  this->Submit();
  this->AdvanceFor(milliseconds(10));
  std::vector<RouterEffect> effects = this->router.EndAll();
  ASSERT_EQ(effects.size(), 1U);
  EXPECT_EQ(std::get<AnswerCaller>(effects[0]).answer.code,
            ResultCode::kPeerUnreachable);
  EXPECT_GT(std::get<AnswerCaller>(effects[0]).answer.retry_after,
            base::Duration(0));

  this->router.SetPlanner(kFirstPlanner);
  this->Submit();
  this->router.Add({.verb = PeerVerb::kCountPending}, seconds(2), this->now);
  this->AdvanceFor(milliseconds(10));
  ASSERT_EQ(this->sent_attempts.size(), 2U);
  effects = this->router.EndAll();
  ASSERT_EQ(effects.size(), 2U);
  EXPECT_EQ(std::get<AnswerCaller>(effects[0]).answer.code,
            ResultCode::kOutcomeUnknown);
  EXPECT_EQ(std::get<AnswerCaller>(effects[1]).answer.code,
            ResultCode::kPeerUnreachable);
  EXPECT_EQ(this->router.size(), 0U);
}

// Guards against a few calls with large bodies that fill the memory.
TEST_F(CallRouterTest, TheBytesOfCallsThatWaitAreBounded) {
  PeerCall large{.verb = PeerVerb::kSubmit};
  large.submission.steps.resize(20'000);
  for (int i = 0; i < 100; ++i) {
    this->router.Add(large, seconds(2), this->now);
  }
  const size_t waiting = this->router.size();
  EXPECT_LT(waiting, 20U);
  this->AdvanceFor(milliseconds(10));
  ASSERT_EQ(this->answers.size(), 100 - waiting);
  EXPECT_EQ(this->answers[0].code, ResultCode::kOverloaded);
  EXPECT_GT(this->answers[0].retry_after, base::Duration(0));
  // Calls that are answered make room.
  this->AdvanceFor(seconds(3));
  EXPECT_EQ(this->router.size(), 0U);
  this->router.Add(large, seconds(2), this->now);
  EXPECT_EQ(this->router.size(), 1U);
}

}  // namespace
}  // namespace agatepass::pool
