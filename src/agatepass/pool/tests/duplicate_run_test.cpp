// A run that two workers report is stopped on one of them. The answer to that
// stop says nothing about the run on the other one.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A run that the planner starts on w0, and that w1 reports too. */
class StopOfDuplicate : public PlannerFixture {
 protected:
  static constexpr WorkerCallResult kDone = WorkerCallResult::kDone;

  void StartOnW0AndReportOnW1() {
    this->Load();
    this->ListWorker("w0", 1);
    this->RunFor(kStep);
    this->AnswerSync(this->TakeSync("w0"), 1);
    this->Submit(MakePoolJob("a", 1, 1000, seconds(5)));
    this->RunFor(milliseconds(100));
    ASSERT_EQ(this->starts.size(), 1U);
    this->starts.clear();
    this->ListWorker("w1", 1);
    this->RunFor(kStep);
    this->AnswerSync(this->TakeSync("w1"), 1, {{this->task, 1}});
    this->RunFor(kStep);
    ASSERT_EQ(this->stops.size(), 1U);
    ASSERT_EQ(this->stops.front().worker, base::WorkerId("w1"));
  }
};

TEST_F(StopOfDuplicate, SaysNothingAboutTheRunOnTheOtherWorker) {
  this->StartOnW0AndReportOnW1();
  this->planner.OnStop(this->stops.front(), {.result = kDone}, this->time);
  // The start is still on its way to w0.
  this->AnswerSync(this->TakeSync("w0"), 1);
  this->RunFor(milliseconds(100));
  this->AnswerSync(this->TakeSync("w0"), 1);
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->starts.size(), 0U) << "started again";
}

TEST_F(StopOfDuplicate, ItsRefusalDoesNotEndTheRunsOfTheOtherWorker) {
  this->StartOnW0AndReportOnW1();
  this->planner.OnStart(this->task, 1,
                        {.result = kDone, .worker_clock_ms = 1100}, this->time);
  this->planner.OnStop(this->stops.front(),
                       {.result = WorkerCallResult::kOtherIncarnation},
                       this->time);
  this->stops.clear();
  for (int i = 0; i < 20; ++i) {
    this->RunFor(milliseconds(100));
    while (!this->syncs.empty()) {
      const SyncRequest request = this->syncs.front();
      this->syncs.erase(this->syncs.begin());
      const bool is_w0 = request.worker == base::WorkerId("w0");
      this->planner.OnSync(
          request,
          {.result = is_w0 ? kDone : WorkerCallResult::kOtherIncarnation,
           .started_at_ms = 1,
           .running = {{.task = this->task, .run = 1, .percent = 4 * i}}},
          this->time);
    }
  }
  EXPECT_EQ(this->starts.size(), 0U) << "started again";
  EXPECT_EQ(this->stops.size(), 0U) << "stopped";
}

}  // namespace
}  // namespace agatepass::pool
