// What callers are told of a job follows what has begun, not what was asked
// for.
#include <optional>
#include <variant>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class BegunJobs : public PlannerFixture {
 protected:
  /** Hands in the job "a" and lets the planner ask w0 to start it. */
  void AskForAStart() {
    this->Load();
    this->ListWorker("w0", 1);
    this->RunFor(kStep);
    this->AnswerSync(this->TakeSync("w0"), 1);
    this->Submit(fakes::MakePoolJob("a", 1, 1000, seconds(5)));
    this->RunFor(milliseconds(200));
    ASSERT_EQ(this->starts.size(), 1U);
  }

  void AnswerStart(WorkerCallResult result) {
    const StartRequest start = this->starts.back();
    this->starts.clear();
    this->planner.OnStart(start.task, start.run,
                          {.result = result, .worker_clock_ms = 1200},
                          this->time);
    this->time.now += milliseconds(100);
  }

  template <typename Call>
  CallerAnswer Ask(Call call) {
    call();
    for (const Effect& effect : this->planner.Advance(this->time)) {
      const auto* answer = std::get_if<CallerAnswer>(&effect);
      if (answer != nullptr && answer->call == kQuestion) return *answer;
    }
    ADD_FAILURE() << "no answer";
    return {};
  }

  uint64_t CountPending() {
    return this
        ->Ask([this] {
          this->planner.CountPending(kQuestion, "letters", this->time);
        })
        .pending;
  }

  JobPhase Describe() {
    return this
        ->Ask([this] {
          this->planner.Describe(kQuestion, base::JobId("a"), this->time);
        })
        .phase;
  }

  static constexpr CallId kQuestion = 1'000'000;
};

// Guards against jobs that never began and are missing from the pending count.
TEST_F(BegunJobs, AStartThatWasRefusedLeavesTheJobPending) {
  this->AskForAStart();
  EXPECT_EQ(this->CountPending(), 1U);
  EXPECT_EQ(this->Describe(), JobPhase::kQueued);
  this->AnswerStart(WorkerCallResult::kUnhealthy);
  EXPECT_EQ(this->CountPending(), 1U);
  EXPECT_EQ(this->Describe(), JobPhase::kQueued);
}

TEST_F(BegunJobs, AStartThatWasNotAnsweredLeavesTheJobPending) {
  this->AskForAStart();
  this->AnswerStart(WorkerCallResult::kUnknown);
  EXPECT_EQ(this->CountPending(), 1U);
  EXPECT_EQ(this->Describe(), JobPhase::kQueued);
}

TEST_F(BegunJobs, AConfirmedStartBeginsTheJob) {
  this->AskForAStart();
  this->AnswerStart(WorkerCallResult::kDone);
  EXPECT_EQ(this->CountPending(), 0U);
  EXPECT_EQ(this->Describe(), JobPhase::kRunning);
}

// The answer may be lost, and the run be there all the same.
TEST_F(BegunJobs, ARunThatTheWorkerListsBeginsTheJob) {
  this->AskForAStart();
  this->AnswerStart(WorkerCallResult::kUnknown);
  this->AnswerSync(this->TakeSync("w0"), 1, {{.task = this->task, .run = 1}});
  this->time.now += milliseconds(100);
  EXPECT_EQ(this->CountPending(), 0U);
  EXPECT_EQ(this->Describe(), JobPhase::kRunning);
}

}  // namespace
}  // namespace agatepass::pool
