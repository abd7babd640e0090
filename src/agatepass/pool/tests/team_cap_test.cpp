// Teams under load: a planner keeps each team within its cap, right through
// takeovers, and turns away what is beyond its share.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TeamId kTeam("a");

class TeamCap : public PlannerFixture {
 protected:
  /** Configures the team "a" with a cap, and others without. */
  void Configure(int64_t cap_millicores, double weight = 100) {
    QueueTable queues = fakes::MakePoolQueues();
    queues.version = ++this->version;
    queues.teams = {
        {.id = kTeam, .weight = weight, .cap = {.millicores = cap_millicores}},
        {.id = base::TeamId("b"), .weight = 100}};
    this->planner.SetQueues(queues, this->time);
  }

  void Begin(int64_t cap_millicores, double weight = 100) {
    this->planner.Load({}, {}, this->time);
    this->Configure(cap_millicores, weight);
    this->ListWorker("w0", 1);
    this->RunFor(kStep);
    this->AnswerSync(this->TakeSync("w0"), 1);
  }

  static Job MakeJob(const std::string& id, uint32_t tasks,
                     const std::string& team = "a") {
    Job job = fakes::MakePoolJob(id, tasks, 1000, seconds(5));
    job.team = base::TeamId(team);
    return job;
  }

  /** Submits a job and returns its answer, if it is answered at once. */
  std::optional<CallerAnswer> SubmitNow(const Job& job) {
    this->planner.Submit(this->call++, job, this->time);
    std::optional<CallerAnswer> answer;
    for (const Effect& effect : this->planner.Advance(this->time)) {
      if (const auto* found = std::get_if<CallerAnswer>(&effect))
        answer = *found;
    }
    return answer;
  }

  void ConfirmStarts() {
    for (const StartRequest& start : std::exchange(this->starts, {})) {
      this->planner.OnStart(
          start.task, start.run,
          {.result = WorkerCallResult::kDone, .worker_clock_ms = 1200},
          this->time);
    }
  }

  uint64_t version = 10;
  CallId call = 1000;
};

TEST_F(TeamCap, AStepWiderThanTheCapRunsInWaves) {
  this->Begin(3000);
  this->Submit(MakeJob("j", 5));
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 3U) << "starts that are not answered count";
  this->ConfirmStarts();
  this->RunFor(milliseconds(200));
  EXPECT_TRUE(this->starts.empty());
  this->AnswerSync(this->TakeSync("w0"), 1, {},
                   {{.sequence_number = 1,
                     .task = {base::JobId("j"), 0, 0, 0},
                     .run = 1,
                     .end = RunEnd::kSucceeded}});
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 1U);
}

TEST_F(TeamCap, ACapThatIsLoweredStartsNothingAndARaisedOneAtOnce) {
  this->Begin(3000);
  this->Submit(MakeJob("j", 5));
  this->RunFor(milliseconds(200));
  this->ConfirmStarts();
  this->Configure(1000);
  this->RunFor(milliseconds(200));
  EXPECT_TRUE(this->starts.empty());
  EXPECT_TRUE(this->stops.empty()) << "a lowered cap stops nothing";
  this->Configure(4000);
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->starts.size(), 1U);
}

// Teams that have used up their caps must not keep others from free capacity.
TEST_F(TeamCap, ATeamThatIsHeldKeepsNoOtherWaiting) {
  this->Begin(2000);
  this->Submit(MakeJob("j", 8));
  this->RunFor(milliseconds(200));
  this->ConfirmStarts();
  this->Submit(MakeJob("k", 6, "b"));
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 6U);
}

TEST_F(TeamCap, AGangThatItsCapCanNeverHoldIsRejectedAtOnce) {
  this->Begin(3000);
  Job gang = MakeJob("g", 4);
  gang.steps[0].gang = true;
  const auto answer = this->SubmitNow(gang);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->code, base::ResultCode::kCanNeverRun);
  EXPECT_FALSE(this->SubmitNow(MakeJob("j", 4))) << "it runs in waves";
  gang = MakeJob("h", 4, "b");
  gang.steps[0].gang = true;
  EXPECT_FALSE(this->SubmitNow(gang)) << "its team has no cap";
}

TEST_F(TeamCap, AGangStartsWholeOnceItsTeamHasRoom) {
  this->Begin(4000);
  this->Submit(MakeJob("j", 2));
  this->RunFor(milliseconds(200));
  this->ConfirmStarts();
  Job gang = MakeJob("g", 3);
  gang.steps[0].gang = true;
  this->Submit(gang);
  this->RunFor(milliseconds(100));
  EXPECT_TRUE(this->starts.empty()) << "two of its members would fit";
  this->Submit(MakeJob("k", 2));
  this->RunFor(milliseconds(100));
  EXPECT_TRUE(this->starts.empty()) << "room is held back for the gang";
  this->AnswerSync(this->TakeSync("w0"), 1, {},
                   {{.sequence_number = 1,
                     .task = {base::JobId("j"), 0, 0, 0},
                     .run = 1,
                     .end = RunEnd::kSucceeded}});
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->starts.size(), 3U);
}

// A job waited for its team's cap for longer than its objective allowed.
TEST_F(TeamCap, AJobThatWouldEndTooLateUnderTheCapIsRejectedAtOnce) {
  this->Begin(1000);
  std::optional<CallerAnswer> answer;
  int accepted = 0;
  for (; accepted < 100 && !answer; ++accepted) {
    answer = this->SubmitNow(MakeJob("j" + std::to_string(accepted), 2));
  }
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->code, base::ResultCode::kOverloaded);
  EXPECT_GT(answer->retry_after.count(), 0);
  EXPECT_FALSE(this->SubmitNow(MakeJob("k", 2, "b")));
}

// A successor that has not reached a worker yet does not know what runs there.
TEST_F(TeamCap, ASuccessorCountsWhatMayRunOnWorkersThatItHasNotReached) {
  Job running = MakeJob("r", 3);
  running.accepted_ms = kWallMs;
  running.policy = fakes::MakePoolQueues().queues[0].policy;
  WorkerRoster roster;
  roster.workers = {base::WorkerId("w0"), base::WorkerId("w1")};
  this->planner.Load(
      std::vector<StoredJob>{
          {.job = running, .progress = JobProgress{}, .progress_revision = 5}},
      roster, this->time);
  this->Configure(4000);
  this->ListWorker("w0", 1);
  this->ListWorker("w1", 1);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), 1);
  this->Submit(MakeJob("n", 4));
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 1U)
      << "three tasks of the inherited job may run on w1";
  this->AnswerSync(
      this->TakeSync("w1"), 1,
      {{.task = {base::JobId("r"), 0, 0, 0}, .run = 1, .percent = 10}});
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->starts.size(), 3U);
}

// One team sends several times its usual; the others' jobs were rejected with
// its jobs.
TEST_F(TeamCap, WhatIsBeyondAShareIsTurnedAwayFirst) {
  this->Begin(0, 1);
  int accepted = 0;
  std::optional<CallerAnswer> rejected;
  for (int i = 0; i < 60; ++i) {
    const auto answer = this->SubmitNow(MakeJob("j" + std::to_string(i), 2));
    if (answer) {
      rejected = answer;
    } else {
      ++accepted;
    }
  }
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->code, base::ResultCode::kOverloaded);
  EXPECT_GT(rejected->retry_after, seconds(4));
  EXPECT_LE(rejected->retry_after, seconds(5)) << "the window's length";
  EXPECT_GE(accepted, 5) << "its share in a window";
  EXPECT_LE(accepted, 8) << "and what finds free capacity";
  EXPECT_FALSE(this->SubmitNow(MakeJob("k", 4, "b")));
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->planner.counts_of_teams().at(kTeam).rejected_by_share,
            static_cast<uint64_t>(60 - accepted));
}

}  // namespace
}  // namespace agatepass::pool
