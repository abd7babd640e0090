// What is kept for a gang that cannot start: only resources that will come
// free, for a limited time, and not from work that would wait beside room.
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kWorkers = 4;

/** A pool in which a service with one task on each worker leaves room for a
 * gang of one member on each, as long as no worker is lost. */
class GangReservations : public testing::Test {
 protected:
  GangReservations() {
    Queue serving = this->cell.queues.queues[0];
    serving.name = "serving";
    serving.prefix = "/serving/";
    this->cell.queues.queues.push_back(serving);
    this->cell.ReplacePlanner();
    this->cell.RunFor(milliseconds(500));
  }

  Job MakeLastingJob(const std::string& id, int64_t millicores) {
    // The estimate of a task that lasts says nothing of its end.
    Job job = MakePoolJob(id, kWorkers, millicores, seconds(1));
    job.steps[0].long_running = true;
    this->cell.run_durations[job.id] = std::chrono::hours(1);
    job.queue = "serving";
    return job;
  }

  void SubmitService() {
    Job service = this->MakeLastingJob("service", 3250);
    service.steps[0].max_tasks_per_worker = 1;
    this->cell.Submit(service);
    this->cell.RunFor(seconds(2));
  }

  void SubmitLastingGang(const std::string& id) {
    Job gang = this->MakeLastingJob(id, 2500);
    gang.steps[0].gang = true;
    this->cell.Submit(gang);
    this->cell.RunFor(seconds(1));
  }

  void LoseWorker() {
    this->cell.faults.unreachable_workers.insert(
        this->cell.worker(0).record.worker);
    this->cell.UnlistWorker(0);
    this->cell.RunFor(seconds(12));
  }

  /** Submits a job of two steps and checks that it ends in time. */
  void ExpectThatOtherWorkRuns() {
    Job job = MakePoolJob("other", 2, 1000, seconds(3));
    job.steps.push_back(job.steps[0]);
    job.steps[1].depends_on = {0};
    this->cell.Submit(job);
    this->cell.RunFor(seconds(9));
    EXPECT_EQ(this->cell.StoredPhase(job.id), JobPhase::kSucceeded)
        << this->cell.TakeLog();
    EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
  }

  PoolCell cell{1, kWorkers};
};

// Guards against reserving all workers for a gang until tasks end that run
// until they are cancelled: nothing else starts as long as the gang waits.
TEST_F(GangReservations, DoNotWaitForTasksThatLast) {
  this->SubmitService();
  this->SubmitLastingGang("gang");
  this->LoseWorker();
  this->ExpectThatOtherWorkRuns();
}

// The same with several gangs, the later one handed in after the loss, and a
// planner that finds them waiting.
TEST_F(GangReservations,
       OfSeveralGangsAfterATakeoverDoNotWaitForTasksThatLast) {
  this->SubmitService();
  this->SubmitLastingGang("gang");
  this->LoseWorker();
  this->SubmitLastingGang("second");
  this->cell.KillPlanners(milliseconds(500));
  this->cell.RunFor(seconds(2));
  this->ExpectThatOtherWorkRuns();
}

// Guards against a gang that keeps the workers from others for as long as the
// tasks beside it take longer than estimated, although most of the pool is
// idle.
TEST_F(GangReservations, DoNotWaitForTasksThatAreOverTheirEstimates) {
  for (size_t i = 0; i < kWorkers; ++i) {
    Job job = MakePoolJob("long" + std::to_string(i), 1, 2000, seconds(1));
    job.steps[0].max_tasks_per_worker = 1;
    // Nothing tells when it will end: it makes hardly any progress.
    this->cell.run_durations[job.id] = seconds(100);
    this->cell.Submit(job);
    Job filler =
        MakePoolJob("filler" + std::to_string(i), 1, 6000, milliseconds(500));
    this->cell.Submit(filler);
    this->cell.RunFor(milliseconds(100));
  }
  this->cell.RunFor(seconds(2));
  Job gang = MakePoolJob("gang", kWorkers, 7000, seconds(20));
  gang.steps[0].gang = true;
  this->cell.Submit(gang);
  this->cell.RunFor(seconds(1));
  Job job = MakePoolJob("other", 2, 1000, seconds(10));
  this->cell.Submit(job);
  this->cell.RunFor(seconds(3));
  EXPECT_EQ(this->cell.CountStarts({job.id, 0, 0, 0}), 1)
      << this->cell.TakeLog();
  EXPECT_EQ(this->cell.CountStarts({job.id, 0, 0, 1}), 1);
}

}  // namespace
}  // namespace agatepass::pool
