// Submissions of callers with a deadline of 3 s while the store does not answer
// for some seconds. Callers were rejected up to five times within their
// deadline, and again after the store was back.
#include <random>

#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using base::ResultCode;
using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kPatience = milliseconds(2750);

Job MakeJob(const std::string& id) {
  return MakePoolJob(id, 1, 100, seconds(1));
}

class StoreOutage : public testing::Test {
 protected:
  /** Begins an outage and lets the planner notice it. */
  void BeginOutage() {
    this->cell.RunFor(milliseconds(500));
    this->cell.faults.commits_unanswered = true;
    for (int i = 0; i < 3; ++i) {
      this->cell.Submit(MakeJob("early" + std::to_string(i)), kPatience);
      this->cell.RunFor(milliseconds(30));
    }
    this->cell.RunFor(milliseconds(1600));
  }

  std::vector<ResultCode> Answers(const std::string& id) const {
    return this->cell.Answers(base::JobId(id));
  }

  PoolCell cell{1, 2};
};

TEST_F(StoreOutage, ASubmissionWaitsAndIsTakenSoonAfterTheStoreIsBack) {
  this->BeginOutage();
  EXPECT_EQ(this->Answers("early0"), std::vector{ResultCode::kOutcomeUnknown});
  this->cell.Submit(MakeJob("a"), kPatience);
  this->cell.RunFor(milliseconds(2000));
  EXPECT_TRUE(this->Answers("a").empty());
  EXPECT_FALSE(this->cell.IsStored(base::JobId("a")));
  this->cell.faults.commits_unanswered = false;
  this->cell.RunFor(milliseconds(200));
  EXPECT_EQ(this->Answers("a"), std::vector{ResultCode::kAccepted});
  this->cell.RunFor(seconds(6));
  EXPECT_EQ(this->cell.StoredPhase(base::JobId("a")), JobPhase::kSucceeded);
  EXPECT_EQ(this->cell.planner()->counts().submissions_taken, 1U);
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

TEST_F(StoreOutage, ASubmissionThatTheStoreDidNotTakeWaits) {
  this->cell.faults.commits_not_sent = true;
  this->cell.Submit(MakeJob("a"), kPatience);
  this->cell.RunFor(milliseconds(300));
  EXPECT_TRUE(this->Answers("a").empty());
  this->cell.faults.commits_not_sent = false;
  this->cell.RunFor(milliseconds(200));
  EXPECT_EQ(this->Answers("a"), std::vector{ResultCode::kAccepted});
}

TEST_F(StoreOutage, ARejectionComesInTimeAndStaysTrue) {
  this->BeginOutage();
  this->cell.Submit(MakeJob("a"), milliseconds(1000));
  this->cell.RunFor(milliseconds(780));
  EXPECT_TRUE(this->Answers("a").empty());
  this->cell.RunFor(milliseconds(60));
  EXPECT_EQ(this->Answers("a"), std::vector{ResultCode::kStoreUnreachable});
  // Too little time to wait.
  this->cell.Submit(MakeJob("b"), milliseconds(250));
  this->cell.RunFor(milliseconds(20));
  EXPECT_EQ(this->Answers("b"), std::vector{ResultCode::kStoreUnreachable});
  this->cell.faults.commits_unanswered = false;
  this->cell.RunFor(seconds(10));
  for (const char* id : {"a", "b"}) {
    EXPECT_FALSE(this->cell.IsStored(base::JobId(id)));
    EXPECT_EQ(this->cell.CountStarts({base::JobId(id), 0, 0, 0}), 0);
  }
  EXPECT_EQ(this->cell.planner()->counts().submissions_expired, 1U);
}

TEST_F(StoreOutage, ARepeatJoinsItsFirstTry) {
  this->BeginOutage();
  this->cell.Submit(MakeJob("a"), kPatience);
  this->cell.RunFor(milliseconds(300));
  this->cell.Submit(MakeJob("a"), kPatience);
  this->cell.Submit(MakeJob("a"), milliseconds(100));
  this->cell.RunFor(milliseconds(20));
  EXPECT_EQ(this->Answers("a"), std::vector{ResultCode::kOutcomeUnknown});
  EXPECT_EQ(this->cell.planner()->waiting_submissions().size(), 1U);
  this->cell.faults.commits_unanswered = false;
  this->cell.RunFor(seconds(5));
  EXPECT_EQ(this->Answers("a"),
            (std::vector{ResultCode::kOutcomeUnknown, ResultCode::kAccepted,
                         ResultCode::kAccepted}));
  EXPECT_EQ(this->cell.CountStarts({base::JobId("a"), 0, 0, 0}), 1);
}

// Guards against a job that runs after its cancellation was answered.
TEST_F(StoreOutage, ACancelledSubmissionDoesNotWaitOn) {
  this->BeginOutage();
  this->cell.Submit(MakeJob("a"), kPatience);
  this->cell.Cancel(base::JobId("a"));
  this->cell.RunFor(milliseconds(20));
  EXPECT_EQ(this->Answers("a"), std::vector{ResultCode::kStoreUnreachable});
  this->cell.faults.commits_unanswered = false;
  this->cell.RunFor(seconds(5));
  EXPECT_FALSE(this->cell.IsStored(base::JobId("a")));
}

TEST_F(StoreOutage, AHandoverSendsOnWhatWaits) {
  this->BeginOutage();
  this->cell.Submit(MakeJob("a"), kPatience);
  this->cell.planner()->BeginHandover();
  this->cell.Submit(MakeJob("b"), kPatience);
  this->cell.RunFor(milliseconds(20));
  EXPECT_EQ(this->Answers("a"), std::vector{ResultCode::kPeerUnreachable});
  EXPECT_EQ(this->Answers("b"), std::vector{ResultCode::kPeerUnreachable});
  EXPECT_TRUE(this->cell.planner()->waiting_submissions().empty());
}

TEST_F(StoreOutage, APlannerThatWasReplacedSendsOnWhatWaits) {
  this->BeginOutage();
  this->cell.Submit(MakeJob("a"), kPatience);
  this->cell.ReplacePlanner();
  this->cell.RunFor(milliseconds(500));
  EXPECT_TRUE(this->Answers("a").empty());
  this->cell.faults.commits_unanswered = false;
  this->cell.RunFor(milliseconds(200));
  EXPECT_EQ(this->Answers("a"), std::vector{ResultCode::kPeerUnreachable});
  this->cell.RunFor(seconds(5));
  EXPECT_FALSE(this->cell.IsStored(base::JobId("a")));
}

// Guards against jobs of unknown outcome whose first write was sent when the
// store was known to be down.
TEST_F(StoreOutage, AcceptedJobsThatNoCommitCarriedWaitToo) {
  this->cell.RunFor(milliseconds(500));
  this->cell.faults.commits_unanswered = true;
  for (int i = 0; i < 12; ++i) {
    this->cell.Submit(MakeJob("a" + std::to_string(i)), kPatience);
    this->cell.RunFor(milliseconds(30));
  }
  this->cell.RunFor(milliseconds(1500));
  EXPECT_EQ(this->cell.planner()->waiting_submissions().size(), 4U);
  this->cell.faults.commits_unanswered = false;
  this->cell.RunFor(milliseconds(300));
  for (int i = 8; i < 12; ++i) {
    EXPECT_EQ(this->Answers("a" + std::to_string(i)),
              std::vector{ResultCode::kAccepted});
  }
}

TEST_F(StoreOutage, ProbesCostFewCommits) {
  this->BeginOutage();
  const uint64_t before = this->cell.planner()->counts().commits;
  for (int i = 0; i < 200; ++i) {
    this->cell.Submit(MakeJob("a" + std::to_string(i)), kPatience);
    this->cell.RunFor(milliseconds(10));
  }
  EXPECT_LE(this->cell.planner()->counts().commits - before, 21U);
}

// Guards against a second outage that begins as commits of the first time out.
TEST_F(StoreOutage, ManyThatWaitAreAllTakenOnceTheStoreIsBack) {
  this->BeginOutage();
  for (int i = 0; i < 150; ++i) {
    this->cell.Submit(MakeJob("a" + std::to_string(i)), kPatience);
  }
  this->cell.RunFor(milliseconds(1500));
  this->cell.faults.commits_unanswered = false;
  this->cell.RunFor(milliseconds(600));
  SCOPED_TRACE(this->cell.TakeLog());
  for (int i = 0; i < 150; ++i) {
    const std::vector<ResultCode> answers =
        this->Answers("a" + std::to_string(i));
    ASSERT_EQ(answers.size(), 1U) << i;
    EXPECT_TRUE(answers[0] == ResultCode::kAccepted ||
                answers[0] == ResultCode::kOverloaded);
  }
  this->cell.RunFor(seconds(2));
  EXPECT_TRUE(this->cell.planner()->waiting_submissions().empty());
}

// Outages of random kind and length: what is rejected never runs, what is
// accepted is stored, and each call is answered.
TEST(StoreOutageSeeds, AnswersStayTrue) {
  uint64_t taken = 0;
  uint64_t expired = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    const auto draw = [&random](uint64_t bound) { return random() % bound; };
    PoolCell cell(seed, 2);
    int jobs = 0;
    for (int round = 0; round < 6; ++round) {
      cell.faults.commits_unanswered = draw(3) == 0;
      cell.faults.commits_not_sent = draw(3) == 0;
      cell.faults.lost_commit_reply_share = draw(3) == 0 ? 0.3 : 0;
      const uint64_t submissions = draw(30);
      for (uint64_t i = 0; i < submissions; ++i) {
        cell.Submit(MakeJob(std::to_string(jobs++)), milliseconds(draw(3000)));
        cell.RunFor(milliseconds(draw(100)));
      }
    }
    cell.faults = {};
    cell.RunFor(seconds(10));
    for (int i = 0; i < jobs; ++i) {
      const base::JobId id(std::to_string(i));
      const std::vector<ResultCode> answers = cell.Answers(id);
      ASSERT_EQ(answers.size(), 1U) << i << cell.TakeLog();
      if (answers[0] == ResultCode::kAccepted) {
        EXPECT_TRUE(cell.IsStored(id)) << i;
      } else if (answers[0] != ResultCode::kOutcomeUnknown) {
        EXPECT_FALSE(cell.IsStored(id)) << i;
        EXPECT_EQ(cell.CountStarts({id, 0, 0, 0}), 0) << i;
      }
    }
    EXPECT_EQ(cell.violations(), std::vector<std::string>());
    taken += cell.planner()->counts().submissions_taken;
    expired += cell.planner()->counts().submissions_expired;
  }
  EXPECT_GT(taken, 0U);
  EXPECT_GT(expired, 0U);
}

}  // namespace
}  // namespace agatepass::pool
