// A worker that starts again under its id answers requests as another
// incarnation, whose ends are numbered anew and whose clock starts anew. Late
// answers of the former one say nothing about it. The later incarnation may
// have the earlier start time, as times of day may jump.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;

constexpr int64_t kFormer = 5000;
constexpr int64_t kFormerClockMs = 1'000'000;
/** A reading that no incarnation of these tests but the former one reaches. */
constexpr int64_t kMaxClockMs = 100'000;

class FormerIncarnation : public PlannerFixture,
                          public testing::WithParamInterface<int64_t> {
 protected:
  static int64_t current() { return GetParam(); }
};

TEST_P(FormerIncarnation, ItsLateAnswerAcknowledgesNothingToTheCurrentOne) {
  this->Load();
  this->StartOnW0(kFormer);
  const SyncRequest in_flight = this->TakeSync("w0");
  this->RunFor(kStep);
  this->ListWorker("w0", current());
  this->RunFor(kStep);
  this->AnswerSync(in_flight, kFormer, {},
                   {{57, this->task, 1, RunEnd::kSucceeded, ""}},
                   kFormerClockMs);
  this->RunFor(milliseconds(600));
  const SyncRequest next = this->TakeSync("w0");
  EXPECT_EQ(next.acknowledged_up_to, 0U);
  EXPECT_FALSE(next.lease_until_ms) << "by the clock of the former incarnation";
}

TEST_P(FormerIncarnation, AnEndInItsLateAnswerCounts) {
  this->Load();
  this->StartOnW0(kFormer);
  const SyncRequest in_flight = this->TakeSync("w0");
  this->RunFor(kStep);
  this->ListWorker("w0", current());
  this->RunFor(kStep);
  this->AnswerSync(in_flight, kFormer, {},
                   {{57, this->task, 1, RunEnd::kSucceeded, ""}},
                   kFormerClockMs);
  this->RunFor(milliseconds(600));
  this->AnswerSync(this->TakeSync("w0"), current());
  this->RunFor(milliseconds(600));
  EXPECT_EQ(this->starts.size(), 0U);
  EXPECT_EQ(this->planner.open_jobs(), 0U);
}

TEST_P(FormerIncarnation, ItsRunsAreStartedAgainOnceTheCurrentOneAnswers) {
  this->Load();
  this->StartOnW0(kFormer);
  const SyncRequest in_flight = this->TakeSync("w0");
  this->RunFor(kStep);
  this->ListWorker("w0", current());
  this->RunFor(kStep);
  this->AnswerSync(in_flight, kFormer, {{this->task, 1}});
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->starts.size(), 0U);
  this->AnswerSync(this->TakeSync("w0"), current());
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->starts.size(), 1U);
}

TEST_P(FormerIncarnation, ItsAnswerMayBeOvertakenByTheCurrentOne) {
  this->Load();
  this->StartOnW0(kFormer);
  this->AnswerSync(this->TakeSync("w0"), kFormer, {{this->task, 1}});
  this->RunFor(kStep);
  const SyncRequest long_poll = this->TakeSync("w0");
  this->planner.Cancel(100, this->task.job, this->time);
  this->RunFor(kStep);
  ASSERT_EQ(this->stops.size(), 1U);
  this->planner.OnStop(this->stops.front(), {.result = WorkerCallResult::kDone},
                       this->time);
  this->RunFor(kStep);
  const SyncRequest quick = this->TakeSync("w0");
  this->AnswerSync(quick, current(), {}, {}, 500);
  this->AnswerSync(long_poll, kFormer, {},
                   {{57, this->task, 1, RunEnd::kStopped, ""}}, kFormerClockMs);
  this->Submit(MakePoolJob("b", 1, 1000, milliseconds(100)));
  for (int i = 0; i < 5; ++i) {
    this->RunFor(milliseconds(600));
    while (!this->syncs.empty()) {
      const SyncRequest request = this->TakeSync("w0");
      EXPECT_EQ(request.acknowledged_up_to, 0U);
      EXPECT_LT(request.lease_until_ms.value_or(0), kMaxClockMs);
      this->AnswerSync(request, current(), {}, {}, 600);
    }
  }
}

TEST_P(FormerIncarnation, ItsLateAnswerToAStartDoesNotSetTheClock) {
  this->Load();
  this->ListWorker("w0", kFormer);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), kFormer, {}, {}, kFormerClockMs);
  this->Submit(MakePoolJob("a", 1, 1000, milliseconds(5000)));
  this->RunFor(milliseconds(100));
  ASSERT_EQ(this->starts.size(), 1U);
  this->ListWorker("w0", current());
  this->planner.OnSync(this->TakeSync("w0"), {}, this->time);
  this->planner.OnStart(
      this->task, 1,
      {.result = WorkerCallResult::kDone, .worker_clock_ms = kFormerClockMs},
      this->time);
  this->RunFor(milliseconds(600));
  EXPECT_FALSE(this->TakeSync("w0").lease_until_ms);
}

TEST_P(FormerIncarnation, ARefusalOfItsAddressDoesNotEndTheCurrentOne) {
  this->Load();
  this->ListWorker("w0", kFormer);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), kFormer);
  this->Submit(MakePoolJob("a", 1, 1000, milliseconds(5000)));
  this->RunFor(milliseconds(100));
  ASSERT_EQ(this->starts.size(), 1U);
  // While the start of "a" is in flight, the worker starts again at another
  // address and gets "b". Another worker now has its former address.
  this->ListWorker("w0", current());
  this->planner.OnSync(this->TakeSync("w0"), {}, this->time);
  this->RunFor(milliseconds(600));
  this->AnswerSync(this->TakeSync("w0"), current());
  this->RunFor(milliseconds(1600));
  this->Submit(MakePoolJob("b", 1, 1000, milliseconds(5000)));
  this->RunFor(milliseconds(100));
  // The current incarnation does not have "a" and refuses its former start, so
  // that it was started again.
  ASSERT_EQ(this->starts.size(), 3U);
  EXPECT_EQ(this->starts[1].task, this->task);
  EXPECT_GT(this->starts[1].fence, this->starts[0].fence);
  const TaskName other{base::JobId("b"), 0, 0, 0};
  ASSERT_EQ(this->starts.back().task, other);
  this->planner.OnStart(
      other, 1, {.result = WorkerCallResult::kDone, .worker_clock_ms = 2000},
      this->time);
  this->starts.clear();
  this->planner.OnStart(this->task, 1,
                        {.result = WorkerCallResult::kOtherIncarnation},
                        this->time);
  for (int i = 0; i < 10; ++i) {
    this->RunFor(milliseconds(600));
    while (!this->syncs.empty()) {
      this->AnswerSync(this->TakeSync("w0"), current(), {{other, 1}});
    }
  }
  for (const StartRequest& start : this->starts) {
    EXPECT_EQ(start.task, this->task) << "was present and is started again";
  }
}

INSTANTIATE_TEST_SUITE_P(StartTime, FormerIncarnation,
                         testing::Values(kFormer + 60'000, kFormer - 3000));

}  // namespace
}  // namespace agatepass::pool
