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
  // The next incarnation answers a sync that was sent to the former one. It may
  // still carry out the start, and has seen no stop.
  const Fence former = this->syncs.front().fence;
  this->AnswerSync(this->TakeSync("w0"), 2);
  this->RunFor(milliseconds(500));
  EXPECT_EQ(this->starts.size(), 0U) << "started again";
  // By its own fence it refuses the start from its next answer on.
  ASSERT_FALSE(this->syncs.empty());
  EXPECT_GT(this->syncs.front().fence, former);
  this->ListWorker("w0", 2);
  this->AnswerSyncsOfW0(2);
  ASSERT_EQ(this->starts.size(), 1U);
  EXPECT_GT(this->starts.front().fence, former);
}

TEST_F(ConfirmedStop, ProvesNothingIfItWasInFlightWhenTheIncarnationChanged) {
  this->StartWithoutAnswer();
  const SyncRequest former = this->TakeSync("w0");
  this->ListWorker("w0", 2);
  this->RunFor(kStep);
  this->ConfirmStop();
  this->AnswerSync(former, 2);
  this->RunFor(kStep);
  EXPECT_EQ(this->starts.size(), 0U) << "started again";
  this->AnswerSyncsOfW0(2);
  ASSERT_EQ(this->starts.size(), 1U);
  EXPECT_GT(this->starts.front().fence, former.fence);
}

TEST_F(ConfirmedStop, IsNotNeededFromTheNextIncarnationAfterTheTaskIsFree) {
  this->StartWithoutAnswer();
  this->ConfirmStop();
  this->AnswerSyncsOfW0(1);
  ASSERT_EQ(this->starts.size(), 1U);
  const Fence former = this->starts.front().fence;
  // The start of run 1 may be carried out beside run 2 until the incarnation
  // has seen a higher fence than that of run 1, which is the first that it
  // gets.
  this->AnswerSync(this->TakeSync("w0"), 2);
  this->RunFor(kStep);
  ASSERT_FALSE(this->syncs.empty());
  EXPECT_GT(this->TakeSync("w0").fence, former);
}

// Guards against giving up a run that the next incarnation has begun.
TEST_F(ConfirmedStop, DoesNotFreeATaskThatTheNextIncarnationHasBegun) {
  this->StartWithoutAnswer();
  this->ConfirmStop();
  this->AnswerSync(this->TakeSync("w0"), 2, {{this->task, 1}});
  this->RunFor(kStep);
  for (int i = 0; i < 20; ++i) {
    while (!this->syncs.empty()) {
      this->AnswerSync(this->TakeSync("w0"), 2, {{this->task, 1}});
    }
    this->RunFor(milliseconds(100));
  }
  EXPECT_EQ(this->starts.size(), 0U) << "beside the run that goes on";
}

}  // namespace
}  // namespace agatepass::pool
