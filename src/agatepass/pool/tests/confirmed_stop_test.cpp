// What a confirmed stop proves: that a start of the run which arrives later is
// rejected, but only by the incarnation of the worker that confirmed it.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ConfirmedStop : public PlannerFixture {
 protected:
  static constexpr WorkerCallResult kDone = WorkerCallResult::kDone;

  /** Starts the task of job "a" on w0 without an answer, and waits for the
   * stop. */
  void StartWithoutAnswer() {
    this->Load();
    this->ListWorker("w0", 1);
    this->RunFor(kStep);
    this->AnswerSync(this->TakeSync("w0"), 1);
    this->Submit(MakePoolJob("a", 1, 1000, seconds(5)));
    this->RunFor(milliseconds(100));
    ASSERT_EQ(this->starts.size(), 1U);
    this->starts.clear();
    this->planner.OnStart(this->task, 1, {}, this->time);
    this->RunFor(kStep);
    ASSERT_EQ(this->stops.size(), 1U);
  }

  /** Confirms the stop that was requested. */
  void ConfirmStop() {
    ASSERT_EQ(this->stops.size(), 1U);
    this->planner.OnStop(this->stops.front(), {.result = kDone}, this->time);
    this->stops.clear();
  }

  /** Answers the syncs of the next two seconds as this incarnation, without any
   * run. */
  void AnswerSyncsOfW0(int64_t started_at_ms) {
    for (int i = 0; i < 20; ++i) {
      while (!this->syncs.empty()) {
        this->AnswerSync(this->TakeSync("w0"), started_at_ms);
      }
      this->RunFor(milliseconds(100));
    }
  }
};

TEST_F(ConfirmedStop, FreesTheTask) {
  this->StartWithoutAnswer();
  this->ConfirmStop();
  this->AnswerSyncsOfW0(1);
  EXPECT_EQ(this->starts.size(), 1U);
}

TEST_F(ConfirmedStop, ProvesNothingForTheNextIncarnation) {
  this->StartWithoutAnswer();
  this->ConfirmStop();
  // The start may be carried out by this incarnation, which has seen no stop.
  this->AnswerSyncsOfW0(2);
  EXPECT_EQ(this->starts.size(), 0U) << "started again";
  this->ConfirmStop();
  this->AnswerSyncsOfW0(2);
  EXPECT_EQ(this->starts.size(), 1U);
}

TEST_F(ConfirmedStop, ProvesNothingIfItWasInFlightWhenTheIncarnationChanged) {
  this->StartWithoutAnswer();
  this->ListWorker("w0", 2);
  this->RunFor(kStep);
  this->ConfirmStop();
  this->AnswerSyncsOfW0(2);
  EXPECT_EQ(this->starts.size(), 0U) << "started again";
  this->ConfirmStop();
  this->AnswerSyncsOfW0(2);
  EXPECT_EQ(this->starts.size(), 1U);
}

TEST_F(ConfirmedStop, IsRepeatedOnTheNextIncarnationAfterTheTaskIsFree) {
  this->StartWithoutAnswer();
  this->ConfirmStop();
  this->AnswerSyncsOfW0(1);
  ASSERT_EQ(this->starts.size(), 1U);
  this->stops.clear();
  // The start of run 1 may be carried out beside run 2.
  this->AnswerSyncsOfW0(2);
  ASSERT_EQ(this->stops.size(), 1U);
  EXPECT_EQ(this->stops.front().worker, base::WorkerId("w0"));
  EXPECT_EQ(this->stops.front().task, this->task);
  EXPECT_EQ(this->stops.front().run, 1U);
}

}  // namespace
}  // namespace agatepass::pool
