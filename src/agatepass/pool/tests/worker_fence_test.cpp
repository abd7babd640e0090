// Calls that were meant for a former incarnation of a worker: the next one may
// carry them out until it has seen a fence of its own.
#include "agatepass/pool/worker_fence.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kFormer = 5000;
constexpr int64_t kCurrent = 65'000;
/** Fence of the term of the fixture's planner. */
constexpr Fence kTerm = 9;

TEST(WorkerFence, OrdersIncarnationsWithinATermAndTermsBeforeThem) {
  EXPECT_LT(FenceOfIncarnation(kTerm, 0), FenceOfIncarnation(kTerm, 1));
  EXPECT_LT(FenceOfIncarnation(kTerm, kMaxIncarnationsPerTerm + 5),
            FenceOfIncarnation(kTerm + 1, 0));
  EXPECT_EQ(FenceOfIncarnation(kTerm, kMaxIncarnationsPerTerm + 5),
            FenceOfIncarnation(kTerm, kMaxIncarnationsPerTerm + 6));
}

class RebornWorker : public PlannerFixture {
 protected:
  /** Lets w0 start again: the current incarnation answers the sync that was
   * sent to the former one. */
  void AnswerAsCurrent() {
    this->AnswerSync(this->TakeSync("w0"), kCurrent, {}, {}, 500);
  }

  /** Lets time pass in which w1 answers, and nothing comes from w0. */
  void RunWithW1Alone(base::Duration duration) {
    constexpr base::Duration kAnswerDelay = milliseconds(100);
    for (base::Duration passed{0}; passed < duration; passed += kAnswerDelay) {
      this->RunFor(kAnswerDelay);
      for (const SyncRequest& sync : std::exchange(this->syncs, {})) {
        if (sync.worker == base::WorkerId("w1")) {
          this->AnswerSync(sync, 1, {}, {}, 100'000);
        } else {
          this->planner.OnSync(sync, {}, this->time);
        }
      }
    }
  }
};

// Guards against starts on an incarnation that may still carry out a sync of
// the former one: that would forget its ends and lengthen its lease.
TEST_F(RebornWorker, GetsNoStartBeforeItHasAnsweredUnderItsOwnFence) {
  this->Load();
  this->StartOnW0(kFormer);
  const Fence former = this->syncs.back().fence;
  EXPECT_EQ(former, FenceOfIncarnation(kTerm, 0));
  this->AnswerAsCurrent();
  this->Submit(MakePoolJob("b", 1, 1000, seconds(5)));
  this->RunFor(milliseconds(300));
  EXPECT_EQ(this->starts.size(), 0U);
  const SyncRequest own = this->TakeSync("w0");
  EXPECT_EQ(own.fence, FenceOfIncarnation(kTerm, 1));
  EXPECT_EQ(own.acknowledged_up_to, 0U);
  EXPECT_FALSE(own.lease_until_ms);
  this->AnswerSync(own, kCurrent, {}, {}, 600);
  this->ListWorker("w0", kCurrent);
  this->RunFor(milliseconds(300));
  ASSERT_GE(this->starts.size(), 1U);
  for (const StartRequest& start : this->starts) {
    EXPECT_EQ(start.fence, FenceOfIncarnation(kTerm, 1));
  }
}

// Guards against a run that is given up 6.6 s after the last renewal, while its
// worker still has the lease of 10 s that a call to its former incarnation
// brought: the task would run twice.
TEST_F(RebornWorker, KeepsItsRunsForAsLongAsACallToTheFormerOneAllows) {
  this->Load();
  this->StartOnW0(kFormer);
  this->AnswerAsCurrent();
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), kCurrent, {}, {}, 600);
  this->ListWorker("w0", kCurrent);
  this->ListWorker("w1", 1);
  this->RunFor(milliseconds(300));
  ASSERT_EQ(this->starts.size(), 1U);
  ASSERT_EQ(this->starts[0].worker, base::WorkerId("w0"));
  this->planner.OnStart(
      this->task, 2,
      {.result = WorkerCallResult::kDone, .worker_clock_ms = 900}, this->time);
  this->starts.clear();
  this->RunWithW1Alone(milliseconds(9500));
  EXPECT_EQ(this->starts.size(), 0U);
  this->RunWithW1Alone(seconds(2));
  ASSERT_EQ(this->starts.size(), 1U);
  EXPECT_EQ(this->starts[0].worker, base::WorkerId("w1"));
}

// Guards against starts by the labels and the capacity of the former
// incarnation: the next one may be of another kind.
TEST_F(RebornWorker, GetsNoStartByTheEntryOfTheFormerOne) {
  this->Load();
  this->ListWorker("w0", kFormer);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), kFormer);
  this->RunFor(kStep);
  this->AnswerAsCurrent();
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), kCurrent, {}, {}, 600);
  this->Submit(MakePoolJob("a", 1, 1000, seconds(5)));
  this->RunFor(seconds(1));
  EXPECT_EQ(this->starts.size(), 0U);
  this->ListWorker("w0", kCurrent);
  this->RunFor(milliseconds(100));
  ASSERT_EQ(this->starts.size(), 1U);
}

// Guards against a planner that takes the refusal of a call to the former
// incarnation for a newer planner, and ends its term.
TEST_F(RebornWorker, MayRefuseCallsToTheFormerOneWithoutEndingTheTerm) {
  this->Load();
  this->ListWorker("w0", kFormer);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), kFormer);
  this->Submit(MakePoolJob("a", 1, 1000, seconds(5)));
  this->RunFor(milliseconds(100));
  ASSERT_EQ(this->starts.size(), 1U);
  this->starts.clear();
  const SyncRequest former = this->TakeSync("w0");
  this->ListWorker("w0", kCurrent);
  this->RunFor(kStep);
  // The start and the sync arrive after the current one has seen its fence.
  this->planner.OnStart(
      this->task, 1,
      {.result = WorkerCallResult::kFenced, .worker_clock_ms = 400},
      this->time);
  this->planner.OnSync(former, {.result = WorkerCallResult::kFenced},
                       this->time);
  this->AnswerSync(this->TakeSync("w0"), kCurrent, {}, {}, 500);
  this->RunFor(milliseconds(300));
  ASSERT_EQ(this->starts.size(), 1U) << "the term goes on";
  EXPECT_EQ(this->starts[0].run, 2U);
}

// Guards against counting the silence of the former incarnation against the
// current one, which would get no work for a while.
TEST_F(RebornWorker, IsNotBlamedForUnansweredCallsToTheFormerOne) {
  this->Load();
  this->StartOnW0(kFormer);
  const SyncRequest former = this->TakeSync("w0");
  this->ListWorker("w0", kCurrent);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), kCurrent, {}, {}, 500);
  this->planner.OnSync(former, {}, this->time);
  this->RunFor(milliseconds(300));
  EXPECT_EQ(this->starts.size(), 1U);
}

/** A worker whose former incarnation is known to nobody any more: a planner has
 * just begun its term. Its argument is how far, in milliseconds, the worker's
 * start time is behind the time of day of the planner's host. */
class RebornWorkerOfASuccessor : public RebornWorker,
                                 public testing::WithParamInterface<int64_t> {};

// Guards against a successor that counts on the usual lease of a worker which
// has just started, as by its own time of day that was long ago.
TEST_P(RebornWorkerOfASuccessor, KeepsItsRunsWhateverTheTimeOfDay) {
  const int64_t start = kWallMs - GetParam();
  const Job job = MakePoolJob("a", 1, 1000, seconds(30));
  this->Load({{job, JobProgress{.phase = JobPhase::kRunning}}}, {"w0"});
  this->ListWorker("w0", start);
  this->ListWorker("w1", 1);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w1"), 1, {}, {}, 100'000);
  this->AnswerSync(this->TakeSync("w0"), start, {{this->task, 1}}, {}, 2000);
  this->RunWithW1Alone(milliseconds(9500));
  EXPECT_EQ(this->starts.size(), 0U);
  this->RunWithW1Alone(seconds(2));
  EXPECT_EQ(this->starts.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(StartTimes, RebornWorkerOfASuccessor,
                         testing::Values(2000, 62'000, 602'000, 31'536'000'000,
                                         -58'000, -600'000));

// Guards against a successor that counts on the usual lease of a worker which
// it never reaches: a call to a former incarnation may have brought a longer
// one just before the last renewal of an earlier planner.
TEST_F(RebornWorker, HoldsWorkOfEarlierTermsIfASuccessorNeverReachesIt) {
  const Job job = MakePoolJob("a", 1, 1000, seconds(30));
  this->Load({{job, JobProgress{.phase = JobPhase::kRunning}}}, {"w0"});
  this->ListWorker("w1", 1);
  this->RunFor(kStep);
  this->RunWithW1Alone(milliseconds(12'000));
  EXPECT_EQ(this->starts.size(), 0U);
  this->RunWithW1Alone(milliseconds(500));
  EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against a run that is given up by the lease that its start named,
// though a next incarnation that nobody knows may have answered the start: to
// it the start brings the longest lease.
TEST_F(RebornWorker, KeepsARunThatNoListHasShown) {
  this->LoadSettled({{base::WorkerId("w0"), kFormer}});
  this->StartOnW0(kFormer);
  this->ListWorker("w1", 1);
  this->RunWithW1Alone(milliseconds(9500));
  EXPECT_EQ(this->starts.size(), 0U);
  this->RunWithW1Alone(seconds(1));
  EXPECT_EQ(this->starts.size(), 1U);
}

// The same, of a worker that the store does not list: it is not removed before.
TEST_F(RebornWorker, KeepsARunThatNoListHasShownIfItIsUnlisted) {
  this->LoadSettled({{base::WorkerId("w0"), kFormer}});
  this->StartOnW0(kFormer);
  this->ListWorker("w1", 1);
  this->planner.OnWorkerUnlisted(base::WorkerId("w0"), this->time);
  this->RunWithW1Alone(milliseconds(9500));
  EXPECT_EQ(this->starts.size(), 0U);
  this->RunWithW1Alone(seconds(1));
  EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against a worker that has seen a fence of this term, is listed again
// after it was removed, and refuses the lower fence it is called under: the
// planner would take that for a newer planner and end its term.
TEST_F(RebornWorker, IsCalledUnderAHigherFenceOnceItIsListedAgain) {
  this->Load();
  this->StartOnW0(kFormer);
  this->ListWorker("w0", kCurrent);
  this->RunFor(kStep);
  Fence highest = 0;
  for (const SyncRequest& sync : this->syncs)
    highest = std::max(highest, sync.fence);
  EXPECT_EQ(highest, FenceOfIncarnation(kTerm, 1));
  this->planner.OnWorkerUnlisted(base::WorkerId("w0"), this->time);
  this->RunWithW1Alone(seconds(20));
  this->syncs.clear();
  this->ListWorker("w0", kCurrent);
  this->RunFor(kStep);
  EXPECT_GT(this->TakeSync("w0").fence, highest);
}

// Guards against start times, which workers write, that are beyond all reason.
TEST_F(RebornWorker, MayReportAnyStartTime) {
  this->Load();
  for (const int64_t start : {std::numeric_limits<int64_t>::min(),
                              std::numeric_limits<int64_t>::max()}) {
    this->ListWorker("w0", start);
    this->RunFor(milliseconds(500));
    this->AnswerSync(this->TakeSync("w0"), start);
  }
  this->Submit(MakePoolJob("a", 1, 1000, seconds(5)));
  this->RunFor(milliseconds(300));
  EXPECT_EQ(this->starts.size(), 1U);
}

}  // namespace
}  // namespace agatepass::pool
