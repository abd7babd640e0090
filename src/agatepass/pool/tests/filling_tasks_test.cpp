// Tasks that use only idle processors take no processors from other work,
// whoever started them: the planner or one before it. What they hold for
// themselves, such as memory, stays theirs.
#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using fakes::PoolCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kWorkers = 2;
/** Processors of a worker of the simulated pool. */
constexpr int64_t kWorkerMillicores = 8000;

/** Returns a job that fills the idle processors of all workers until it is
 * cancelled. */
Job MakeFillingJob(const std::string& id) {
  Job job = MakePoolJob(id, kWorkers, kWorkerMillicores, std::chrono::hours(1));
  job.steps[0].long_running = true;
  job.steps[0].uses_idle_processors = true;
  job.steps[0].max_tasks_per_worker = 1;
  return job;
}

class FillingTasks : public testing::Test {
 protected:
  JobPhase PhaseOf(const std::string& job) const {
    return this->cell.StoredPhase(base::JobId(job));
  }

  PoolCell cell{1, kWorkers};
};

// Guards against a planner that counts the processors of filling tasks which an
// earlier planner started: no other work starts while they run.
TEST_F(FillingTasks, TakeNoProcessorsFromOtherWorkAfterATakeover) {
  this->cell.Submit(MakeFillingJob("filling"));
  this->cell.RunFor(seconds(1));
  Job two_steps = MakePoolJob("two-steps", 2, 2000, seconds(2));
  two_steps.steps.push_back(two_steps.steps[0]);
  two_steps.steps[1].depends_on = {0};
  this->cell.Submit(two_steps);
  this->cell.RunFor(seconds(1));
  this->cell.KillPlanners(milliseconds(500));
  this->cell.RunFor(seconds(1));
  this->cell.Submit(MakePoolJob("later", 1, 1000, seconds(1)));
  Job gang = MakePoolJob("gang", kWorkers, 7000, seconds(1));
  gang.steps[0].gang = true;
  this->cell.Submit(gang);
  this->cell.RunFor(seconds(12));
  EXPECT_EQ(this->PhaseOf("two-steps"), JobPhase::kSucceeded);
  EXPECT_EQ(this->PhaseOf("later"), JobPhase::kSucceeded);
  EXPECT_EQ(this->PhaseOf("gang"), JobPhase::kSucceeded);
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

// Guards against the opposite: memory of a filling task that is given away.
TEST_F(FillingTasks, KeepTheirMemoryAfterATakeover) {
  constexpr int64_t kMostOfAWorkerMib = 10'000;
  Job filling = MakeFillingJob("filling");
  filling.steps[0].need.memory_mib = kMostOfAWorkerMib;
  this->cell.Submit(filling);
  this->cell.RunFor(seconds(1));
  this->cell.KillPlanners(milliseconds(500));
  this->cell.RunFor(seconds(1));
  Job job = MakePoolJob("job", 1, 1000, seconds(1));
  job.steps[0].need.memory_mib = kMostOfAWorkerMib;
  this->cell.Submit(job);
  Job gang = MakePoolJob("gang", kWorkers, 1000, seconds(1));
  gang.steps[0].gang = true;
  gang.steps[0].need.memory_mib = kMostOfAWorkerMib;
  this->cell.Submit(gang);
  this->cell.RunFor(seconds(5));
  EXPECT_EQ(this->cell.CountStarts({base::JobId("job"), 0, 0, 0}), 0);
  EXPECT_EQ(this->cell.CountStarts({base::JobId("gang"), 0, 0, 0}), 0);
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

// Guards against counting the processors of filling tasks that wait, for memory
// here, as load: other jobs would be rejected in an idle pool.
TEST_F(FillingTasks, ThatWaitRejectNoOtherJob) {
  Job filling = MakeFillingJob("filling");
  filling.steps[0].count = 100;
  filling.steps[0].estimate = std::chrono::minutes(10);
  this->cell.Submit(filling);
  this->cell.RunFor(seconds(1));
  this->cell.Submit(MakePoolJob("job", 2, 1000, seconds(1)));
  this->cell.RunFor(seconds(3));
  EXPECT_EQ(this->cell.Answers(base::JobId("job")),
            std::vector<base::ResultCode>{base::ResultCode::kAccepted});
  EXPECT_EQ(this->PhaseOf("job"), JobPhase::kSucceeded);
}

// Guards against rejecting a filling task as too large for its processors,
// which are not counted.
TEST_F(FillingTasks, MayAskForMoreProcessorsThanAWorkerHas) {
  Job filling = MakeFillingJob("filling");
  filling.steps[0].need.millicores = 2 * kWorkerMillicores;
  this->cell.Submit(filling);
  this->cell.RunFor(seconds(1));
  EXPECT_EQ(this->cell.CountStarts({base::JobId("filling"), 0, 0, 0}), 1);
  EXPECT_EQ(this->cell.CountStarts({base::JobId("filling"), 0, 0, 1}), 1);
  EXPECT_EQ(this->cell.violations(), std::vector<std::string>());
}

class InheritedRun : public PlannerFixture {};

// Guards against a limit per worker that leaves out the runs which this planner
// did not start and stops: they are still there.
TEST_F(InheritedRun, CountsForTheLimitPerWorkerUntilItHasEnded) {
  Job job = MakePoolJob("a", 2, 1000, seconds(5));
  job.steps[0].max_tasks_per_worker = 1;
  JobProgress progress{.phase = JobPhase::kRunning};
  progress.succeeded.push_back({.occurrence = 0, .step = 0});
  this->Load({{job, progress}}, {"w0"});
  this->ListWorker("w0", 1);
  this->RunFor(kStep);
  const TaskName repeated{job.id, 0, 0, 0};
  this->AnswerSync(this->TakeSync("w0"), 1, {{repeated, 2}});
  this->RunFor(milliseconds(500));
  EXPECT_EQ(this->starts.size(), 0U) << "beside a run that is being stopped";
  this->AnswerSync(this->TakeSync("w0"), 1, {},
                   {{1, repeated, 2, RunEnd::kStopped, ""}}, 1500);
  this->RunFor(milliseconds(500));
  EXPECT_EQ(this->starts.size(), 1U);
}

}  // namespace
}  // namespace agatepass::pool
