// A planner that is late itself takes nothing for a failure of others.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using std::chrono::seconds;

class LatePlanner : public PlannerFixture {};

// Jobs failed as their tasks had "crashed" workers that were never silent.
TEST_F(LatePlanner, BlamesNoTaskForLeasesThatItDidNotRenew) {
  constexpr int64_t kStartedAtMs = 5'000;
  this->Load();
  this->StartOnW0(kStartedAtMs);
  for (RunNumber run = 2; run <= 6; ++run) {
    // The answer to the sync waits unread until the lease has expired.
    for (int i = 0; i < 100 && this->starts.empty(); ++i) {
      this->RunFor(seconds(1));
    }
    ASSERT_EQ(this->starts.size(), 1U) << "run " << run;
    EXPECT_EQ(this->starts.front().run, run);
    this->planner.OnStart(
        this->task, run,
        {.result = WorkerCallResult::kDone, .worker_clock_ms = 1200},
        this->time);
    this->starts.clear();
  }
  EXPECT_EQ(this->planner.counts().crashes_suspected, 0U);
  EXPECT_EQ(this->planner.counts().jobs_failed_for_crashes, 0U);
  EXPECT_EQ(this->planner.open_jobs(), 1U);
}

}  // namespace
}  // namespace agatepass::pool
