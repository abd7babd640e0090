// A task that lasts and fails soon after each start is started again for ever:
// that may cost the workers and the planner little.
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kWorkers = 4;

class LastingFailures : public testing::Test {
 protected:
  LastingFailures() {
    Job job = MakePoolJob("failing", 8, 100, seconds(5));
    job.payload = "always-fails";
    job.steps[0].long_running = true;
    this->cell.run_durations[job.id] = milliseconds(30);
    this->cell.Submit(job);
  }

  PoolCell cell{1, kWorkers};
};

// Guards against a task whose own failures keep all workers from others.
TEST_F(LastingFailures, KeepNoWorkerFromOtherWork) {
  this->cell.RunFor(seconds(5));
  for (int i = 0; i < 10; ++i) {
    const Job job = MakePoolJob("j" + std::to_string(i), 2, 1000, seconds(1));
    this->cell.Submit(job);
    this->cell.RunFor(seconds(3));
    EXPECT_EQ(this->cell.StoredPhase(job.id), JobPhase::kSucceeded)
        << job.id.value;
  }
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

// Guards against restarts that take the planner's and the workers' time, and
// against a task that lasts and is not started again within some seconds.
TEST_F(LastingFailures, AreStartedAgainSoonButNotAllTheTime) {
  const TaskName task{base::JobId("failing"), 0, 0, 0};
  this->cell.RunFor(seconds(10));
  const int before = this->cell.CountStarts(task);
  this->cell.RunFor(seconds(30));
  const int starts = this->cell.CountStarts(task) - before;
  EXPECT_GE(starts, 30 / 4);
  EXPECT_LE(starts, 30);
}

}  // namespace
}  // namespace agatepass::pool
