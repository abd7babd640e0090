// A start that a worker never acknowledged says nothing about its task.
#include <utility>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UnacknowledgedStart : public PlannerFixture {
 protected:
  /** Lets w0 be lost with the start that was sent to it, and come back as a new
   * incarnation. */
  void LoseWorkerWithStart(WorkerCallResult start_result) {
    ASSERT_EQ(this->starts.size(), 1U);
    const StartRequest start = this->starts.front();
    this->starts.clear();
    this->planner.OnStart(start.task, start.run,
                          {.result = start_result, .worker_clock_ms = 1200},
                          this->time);
    this->RunFor(milliseconds(100));
    // Nothing answers for as long as it is down.
    for (int i = 0; i < 5 && !this->syncs.empty(); ++i) {
      this->planner.OnSync(this->TakeSync("w0"),
                           {.result = WorkerCallResult::kUnknown}, this->time);
      this->RunFor(milliseconds(200));
    }
    ++this->incarnation;
    this->ListWorker("w0", this->incarnation);
    for (int i = 0; i < 40 && this->starts.empty(); ++i) {
      this->RunFor(milliseconds(200));
      for (const StopRequest& stop : std::exchange(this->stops, {})) {
        this->planner.OnStop(
            stop, {.result = WorkerCallResult::kDone, .worker_clock_ms = 1300},
            this->time);
      }
      if (!this->syncs.empty()) {
        this->AnswerSync(this->TakeSync("w0"), this->incarnation);
      }
    }
  }

  void SubmitToW0() {
    this->Load();
    this->ListWorker("w0", this->incarnation);
    this->RunFor(kStep);
    this->AnswerSync(this->TakeSync("w0"), this->incarnation);
    this->Submit(fakes::MakePoolJob("a", 1, 1000, seconds(5)));
    this->RunFor(milliseconds(200));
  }

  int64_t incarnation = 1;
};

// Guards against a sound job that fails because its worker was down.
TEST_F(UnacknowledgedStart, IsNoCrashUnderTheTask) {
  this->SubmitToW0();
  for (int i = 0; i < 5; ++i) {
    SCOPED_TRACE(i);
    this->LoseWorkerWithStart(WorkerCallResult::kUnknown);
  }
  EXPECT_EQ(this->planner.open_jobs(), 1U);
  EXPECT_EQ(this->planner.counts().jobs_failed_for_crashes, 0U);
}

// The same with acknowledged starts: the task is given up after two crashes.
TEST_F(UnacknowledgedStart, AnAcknowledgedOneIs) {
  this->SubmitToW0();
  this->LoseWorkerWithStart(WorkerCallResult::kDone);
  this->LoseWorkerWithStart(WorkerCallResult::kDone);
  EXPECT_EQ(this->planner.open_jobs(), 0U);
  EXPECT_EQ(this->planner.counts().jobs_failed_for_crashes, 1U);
}

}  // namespace
}  // namespace agatepass::pool
