// What the suspicion that a task crashes its workers costs other work: the
// worker of a trial is kept free of it for a short time only, however long the
// suspect's workers had lived.
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A pool of one worker, as is the only one with a label, under which a service
 * runs for a while until the worker crashes. */
class Trial : public testing::Test {
 protected:
  void SubmitService() {
    Job service = MakePoolJob("service", 1, 2000, seconds(6));
    service.steps[0].long_running = true;
    this->cell.run_durations[service.id] = std::chrono::hours(1);
    this->cell.Submit(service);
  }

  void CrashAfter(base::Duration lifetime) {
    this->cell.RunFor(lifetime);
    this->cell.CrashAndRestartWorker(0);
    this->cell.RunFor(milliseconds(2500));
    ASSERT_EQ(this->cell.worker(0).GetRuns().size(), 1U)
        << "the service does not run";
  }

  /** Checks that a job ends at once, beside the service. */
  void ExpectThatOtherWorkRuns() {
    const Job job = MakePoolJob("other", 1, 2000, seconds(2));
    this->cell.Submit(job);
    this->cell.RunFor(seconds(4));
    EXPECT_EQ(this->cell.StoredPhase(job.id), JobPhase::kSucceeded)
        << this->cell.TakeLog();
    EXPECT_EQ(this->cell.CountStarts({base::JobId("service"), 0, 0, 0}), 3);
    EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
  }

  PoolCell cell{1, 1};
};

// Guards against a trial that keeps all other work off its worker for as long
// as the suspect once ran: for a service, for ever.
TEST_F(Trial, OfATaskThatRanForLongKeepsItsWorkerFreeForAShortTime) {
  this->SubmitService();
  this->CrashAfter(seconds(40));
  this->CrashAfter(seconds(5));
  this->ExpectThatOtherWorkRuns();
}

// The same for a planner that finds the suspect running.
TEST_F(Trial, ThatIsInheritedKeepsItsWorkerFreeForAShortTime) {
  this->SubmitService();
  this->CrashAfter(seconds(40));
  this->CrashAfter(seconds(5));
  this->cell.KillPlanners(milliseconds(500));
  this->cell.RunFor(seconds(2));
  this->ExpectThatOtherWorkRuns();
}

// Guards against a suspect that keeps the other suspects of its step waiting
// for as long as it once ran.
TEST_F(Trial, OfATaskThatRanForLongDelaysTheOtherTasksOfItsStepShortly) {
  Job service = MakePoolJob("service", 3, 2000, seconds(6));
  service.steps[0].long_running = true;
  this->cell.run_durations[service.id] = std::chrono::hours(1);
  this->cell.Submit(service);
  for (const base::Duration lifetime : {seconds(40), seconds(5)}) {
    this->cell.RunFor(lifetime);
    this->cell.CrashAndRestartWorker(0);
    this->cell.RunFor(seconds(6));
  }
  EXPECT_EQ(this->cell.worker(0).GetRuns().size(), 3U) << this->cell.TakeLog();
}

}  // namespace
}  // namespace agatepass::pool
