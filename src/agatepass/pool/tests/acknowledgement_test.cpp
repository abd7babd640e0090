// Acknowledgements of ends. A sync that got no answer may be carried out
// seconds later by the next incarnation of the worker, which then forgets ends
// that the planner has not read. So an acknowledgement is sent only while it is
// needed.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;

class Acknowledgement : public PlannerFixture {
 protected:
  /** Runs the task of job "a" on w0 to its end, whose effect is stored. */
  void EndOnW0() {
    this->Load();
    this->StartOnW0(1);
    this->AnswerSync(this->TakeSync("w0"), 1, {},
                     {{1, this->task, 1, RunEnd::kSucceeded, ""}});
    this->RunFor(milliseconds(200));
  }

  /** Starts the task of job "b" on w0, without an answer so far. */
  void StartAnother() {
    this->Submit(MakePoolJob("b", 1, 1000, milliseconds(5000)));
    this->RunFor(milliseconds(100));
    ASSERT_EQ(this->starts.size(), 1U);
  }

  /** Confirms the start of "b" with this reading of the worker's clock. */
  void ConfirmStart(int64_t clock_ms) {
    this->planner.OnStart(
        this->starts.front().task, this->starts.front().run,
        {.result = WorkerCallResult::kDone, .worker_clock_ms = clock_ms},
        this->time);
  }
};

TEST_F(Acknowledgement, IsNotRepeatedOnceItWasAnswered) {
  this->EndOnW0();
  const SyncRequest first = this->TakeSync("w0");
  EXPECT_EQ(first.acknowledged_up_to, 1U);
  this->AnswerSync(first, 1);
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->TakeSync("w0").acknowledged_up_to, 0U);
}

TEST_F(Acknowledgement, IsRepeatedOnlyOnceTheIncarnationIsKnownAgain) {
  this->EndOnW0();
  const SyncRequest first = this->TakeSync("w0");
  EXPECT_EQ(first.acknowledged_up_to, 1U);
  this->planner.OnSync(first, {}, this->time);
  this->RunFor(milliseconds(600));
  // Another incarnation may answer.
  const SyncRequest second = this->TakeSync("w0");
  EXPECT_EQ(second.acknowledged_up_to, 0U);
  this->AnswerSync(second, 1, {}, {{1, this->task, 1, RunEnd::kSucceeded, ""}});
  this->RunFor(milliseconds(200));
  EXPECT_EQ(this->TakeSync("w0").acknowledged_up_to, 1U);
}

TEST_F(Acknowledgement, IsWithheldAfterAnUnansweredSyncAlsoIfAStartIsAnswered) {
  this->EndOnW0();
  const SyncRequest first = this->TakeSync("w0");
  EXPECT_EQ(first.acknowledged_up_to, 1U);
  this->StartAnother();
  this->planner.OnSync(first, {}, this->time);
  // The next incarnation carries the start out. Its first end may be there by
  // the next sync.
  this->ConfirmStart(5000);
  this->RunFor(milliseconds(600));
  EXPECT_EQ(this->TakeSync("w0").acknowledged_up_to, 0U);
}

TEST_F(Acknowledgement, IsWithheldIfTheClockWentBack) {
  this->Load();
  this->StartOnW0(1);
  this->StartAnother();
  this->commits_succeed = false;
  this->AnswerSync(this->TakeSync("w0"), 1, {},
                   {{1, this->task, 1, RunEnd::kSucceeded, ""}}, 5000);
  // While the end cannot be stored, no sync waits at the worker and shows that
  // it starts again.
  this->RunFor(milliseconds(100));
  this->ConfirmStart(50);
  this->commits_succeed = true;
  this->RunFor(milliseconds(600));
  EXPECT_EQ(this->TakeSync("w0").acknowledged_up_to, 0U);
}

TEST_F(Acknowledgement, NeedsNoCommitForEndsThatChangeNothing) {
  // After a takeover a worker may list many ends whose effect an earlier
  // planner has stored. Nothing is left to store for them.
  this->Load({}, {"w0"});
  this->ListWorker("w0", 1);
  this->RunFor(milliseconds(100));
  this->AnswerSync(this->TakeSync("w0"), 1, {},
                   {{1, {base::JobId("x"), 0, 0, 0}, 1, RunEnd::kStopped, ""}});
  this->RunFor(milliseconds(600));
  EXPECT_EQ(this->TakeSync("w0").acknowledged_up_to, 1U);
}

}  // namespace
}  // namespace agatepass::pool
