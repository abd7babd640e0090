// What explains the loss of a worker beside the run that is judged: a worker
// that falls silent at the same time, but not one that comes back.
#include "agatepass/pool/crash_evidence.h"

#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kFormer = 5000;
constexpr int64_t kCurrent = 65'000;

// Guards against excusing a crash by any worker of a large pool that is lost
// for another reason meanwhile.
TEST(CommonCause, IsLikelyForANeighbourOrAPartOfThePool) {
  EXPECT_FALSE(HasCommonCause({.workers = 0}, 6));
  EXPECT_TRUE(HasCommonCause({.workers = 1}, 6));
  EXPECT_TRUE(HasCommonCause({.workers = 1}, 50));
  EXPECT_FALSE(HasCommonCause({.workers = 5}, 1000));
  EXPECT_TRUE(HasCommonCause({.workers = 20}, 1000));
  EXPECT_TRUE(HasCommonCause({.workers = 1, .in_same_rack = true}, 1000));
}

/** The only task of "a" runs on w0, which crashes soon after its start. */
class CrashEvidenceTest : public PlannerFixture {
 protected:
  void StartOnW0BesideW1() {
    this->Load();
    this->ListWorker("w1", kFormer);
    this->StartOnW0(kFormer);
  }

  /** w0 is back as another incarnation, without the run. */
  void CrashW0() {
    this->ListWorker("w0", kCurrent);
    this->RunFor(kStep);
    while (!this->syncs.empty()) {
      const SyncRequest sync = this->syncs.front();
      this->syncs.erase(this->syncs.begin());
      if (sync.worker != base::WorkerId("w0")) continue;
      this->AnswerSync(sync, kCurrent, {}, {}, 500);
    }
  }

  void ExpectBlamedAlone(uint64_t alone) {
    EXPECT_EQ(this->planner.counts().crashes_alone, alone);
    EXPECT_EQ(this->planner.counts().crashes_suspected, 1 - alone);
  }
};

TEST_F(CrashEvidenceTest, AWorkerThatFallsSilentAtTheSameTimeExplainsACrash) {
  this->StartOnW0BesideW1();
  this->AnswerSync(this->TakeSync("w1"), kFormer);
  this->RunFor(kStep);
  this->planner.OnSync(this->TakeSync("w1"), {}, this->time);
  this->CrashW0();
  this->ExpectBlamedAlone(0);
}

TEST_F(CrashEvidenceTest, OneOfManyThatFallsSilentMeanwhileExplainsNothing) {
  constexpr int kOthers = 200;
  for (int i = 0; i < kOthers; ++i) {
    this->ListWorker("x" + std::to_string(i), kFormer);
  }
  this->StartOnW0BesideW1();
  this->AnswerSync(this->TakeSync("w1"), kFormer);
  this->RunFor(kStep);
  this->planner.OnSync(this->TakeSync("w1"), {}, this->time);
  this->CrashW0();
  this->ExpectBlamedAlone(1);
}

// Guards against taking the return of a worker that this planner has not
// reached before for a silence: in a storm of crashes each of them would excuse
// others.
TEST_F(CrashEvidenceTest,
       TheReturnOfAWorkerThatWasNeverReachedExplainsNothing) {
  this->StartOnW0BesideW1();
  this->ListWorker("w1", kCurrent);
  this->CrashW0();
  this->ExpectBlamedAlone(1);
}

// Guards against the same for the first call to a worker that is back, which
// may fail on a connection of its former incarnation.
TEST_F(CrashEvidenceTest, AFailedFirstCallToAWorkerThatIsBackExplainsNothing) {
  this->StartOnW0BesideW1();
  this->AnswerSync(this->TakeSync("w1"), kFormer);
  this->RunFor(seconds(1));
  this->ListWorker("w1", kCurrent);
  this->RunFor(seconds(1));
  while (!this->syncs.empty()) {
    const SyncRequest sync = this->syncs.front();
    this->syncs.erase(this->syncs.begin());
    if (sync.worker == base::WorkerId("w1")) {
      this->planner.OnSync(sync, {}, this->time);
    } else {
      this->AnswerSync(sync, kFormer, {{this->task, 1}}, {}, 1210);
    }
  }
  this->CrashW0();
  this->ExpectBlamedAlone(1);
}

// Guards against a crash that counts for nothing, as the worker's entry came
// before its answer to the start.
TEST_F(CrashEvidenceTest, AnAnswerToAStartCountsAfterTheWorkerIsBack) {
  this->Load();
  this->ListWorker("w0", kFormer);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), kFormer);
  this->Submit(MakePoolJob("a", 1, 1000, seconds(5)));
  this->RunFor(milliseconds(200));
  ASSERT_EQ(this->starts.size(), 1U);
  this->ListWorker("w0", kCurrent);
  this->planner.OnStart(
      this->task, 1,
      {.result = WorkerCallResult::kDone, .worker_clock_ms = 1200}, this->time);
  this->CrashW0();
  EXPECT_EQ(this->planner.counts().crashes_suspected, 1U);
}

}  // namespace
}  // namespace agatepass::pool
