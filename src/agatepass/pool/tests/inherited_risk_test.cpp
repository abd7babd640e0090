// What a successor concludes from what is stored of a task's risk: only a run
// that began and was lost with its worker counts as a crash.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** How far a trial gets before its planner is lost. */
enum class Trial : uint8_t {
  kRecorded,
  kRequested,
  kNotSent,
  kOutcomeUnknown,
  kConfirmed
};

/** Terms of planners in a row, each with what the one before has stored, and
 * with two workers that answer all syncs. */
class InheritedRisk : public testing::Test {
 protected:
  static constexpr int64_t kWallMs = 1'700'000'000'000;

  explicit InheritedRisk(TaskProgress stored = {}) {
    this->progress.phase = JobPhase::kRunning;
    this->progress.tasks.push_back(std::move(stored));
  }

  void BeginTerm() {
    this->running.reset();
    this->planner = std::make_unique<PoolPlanner>(
        PlannerOptions{.fence = ++this->fence}, this->log, this->time);
    this->planner->SetQueues(fakes::MakePoolQueues(), this->time);
    const std::vector<StoredJob> jobs = {{this->job, this->progress}};
    const WorkerRoster roster{
        .workers = {base::WorkerId("w0"), base::WorkerId("w1")}};
    this->planner->Load(jobs, roster, this->time);
    for (const base::WorkerId& worker : roster.workers) {
      this->planner->OnWorker(
          {.worker = worker,
           .service = base::ServiceId("desk"),
           .total = {.millicores = 8000, .memory_mib = 8000},
           .started_at_ms = this->started_at_ms},
          this->time);
    }
  }

  /** Advances the planner until the trial got as far, at the longest for 3 s.
   * \return whether it did. */
  bool RunUntil(std::optional<Trial> end) {
    bool reached = false;
    for (int i = 0; i < 300 && !reached; ++i) {
      this->time.now += milliseconds(10);
      for (const Effect& effect : this->planner->Advance(this->time)) {
        reached = this->Handle(effect, end) || reached;
      }
    }
    // What follows from the last answer is stored.
    for (int i = 0; i < 5 && end != Trial::kRecorded; ++i) {
      this->time.now += milliseconds(10);
      for (const Effect& effect : this->planner->Advance(this->time)) {
        if (!std::holds_alternative<StartRequest>(effect))
          this->Handle(effect, std::nullopt);
      }
    }
    return reached;
  }

  bool Handle(const Effect& effect, std::optional<Trial> end) {
    if (const auto* commit = std::get_if<StoreCommit>(&effect)) {
      bool is_recorded = false;
      for (const StoreWrite& write : commit->writes) {
        if (write.key != ProgressKey(this->job.id)) continue;
        const RunNumber before = this->Stored().at_risk_run;
        this->progress = *DecodeProgress(*write.value);
        is_recorded = this->Stored().at_risk_run > before;
      }
      // The planner is lost before it learns that the trial is recorded.
      if (is_recorded && end == Trial::kRecorded) return true;
      this->planner->OnCommit(
          commit->id,
          {.outcome = platform::Outcome::kDone, .revision = ++this->revision},
          this->time);
    } else if (const auto* sync = std::get_if<SyncRequest>(&effect)) {
      SyncReply reply{.result = WorkerCallResult::kDone,
                      .worker_clock_ms = base::ToMilliseconds(
                          this->time.now.time_since_epoch()),
                      .started_at_ms = this->started_at_ms};
      if (sync->worker == this->reporter) {
        if (this->running)
          reply.running.push_back({this->task, *this->running});
        reply.ended = this->ended;
      }
      this->planner->OnSync(*sync, reply, this->time);
    } else if (const auto* start = std::get_if<StartRequest>(&effect)) {
      return this->Answer(*start, end);
    }
    return false;
  }

  bool Answer(const StartRequest& start, std::optional<Trial> end) {
    ++this->starts;
    if (!end || end == Trial::kRequested) return end.has_value();
    StartStopReply reply{.result = WorkerCallResult::kNotSent};
    if (end == Trial::kOutcomeUnknown)
      reply.result = WorkerCallResult::kUnknown;
    if (end == Trial::kConfirmed) {
      this->reporter = start.worker;
      this->running = start.run;
      reply = {.result = WorkerCallResult::kDone,
               .worker_clock_ms =
                   base::ToMilliseconds(this->time.now.time_since_epoch())};
    }
    this->planner->OnStart(start.task, start.run, reply, this->time);
    return true;
  }

  /** Returns what is stored of the task; no crashes and no runs if nothing is.
   */
  TaskProgress Stored() const {
    return this->progress.tasks.empty() ? TaskProgress()
                                        : this->progress.tasks[0];
  }

  const Job job = fakes::MakePoolJob("a", 1, 1000, seconds(5));
  const TaskName task{base::JobId("a"), 0, 0, 0};
  JobProgress progress;
  /** Start time of the workers' incarnations. */
  int64_t started_at_ms = 1;
  /** The worker that lists a run and ends, and what it lists. */
  base::WorkerId reporter{"w0"};
  std::optional<RunNumber> running;
  std::vector<ReportedEnd> ended;
  int starts = 0;
  timeline::DecisionLog log{"test"};
  PlannerTime time{base::Instant(seconds(100)), kWallMs};
  std::unique_ptr<PoolPlanner> planner;

 private:
  Fence fence = 8;
  platform::Revision revision = 1;
};

/** A task under one run of which its worker crashed. */
class InheritedTrial : public InheritedRisk,
                       public testing::WithParamInterface<Trial> {
 protected:
  InheritedTrial() : InheritedRisk({.crashed_runs = {{.run = 1}}}) {}
};

// Guards against a job that fails although only its first run ever began: each
// planner is lost in the trial of the second one, which has not begun.
TEST_P(InheritedTrial, ThatNeverBeganIsNoCrash) {
  for (int term = 0; term < 8; ++term) {
    this->BeginTerm();
    ASSERT_TRUE(this->RunUntil(this->GetParam())) << "term " << term;
    ASSERT_EQ(this->Stored().crashed_runs, std::vector<CrashedRun>{{.run = 1}})
        << "term " << term;
    ASSERT_EQ(this->progress.phase, JobPhase::kRunning) << "term " << term;
  }
}

INSTANTIATE_TEST_SUITE_P(Ends, InheritedTrial,
                         testing::Values(Trial::kRecorded, Trial::kRequested,
                                         Trial::kNotSent,
                                         Trial::kOutcomeUnknown));

/** Same, whose trials begin. */
class InheritedCrash : public InheritedRisk {
 protected:
  InheritedCrash() : InheritedRisk({.crashed_runs = {{.run = 1}}}) {}
};

// Guards against a task that crashes worker after worker unseen, as each of its
// planners is lost with the worker.
TEST_F(InheritedCrash, OfEachTrialThatBeganIsCounted) {
  for (int term = 0; term < 3; ++term) {
    this->BeginTerm();
    ASSERT_TRUE(this->RunUntil(Trial::kConfirmed)) << "term " << term;
    // The workers restart, and the run is lost, while there is no planner.
    ++this->started_at_ms;
    ASSERT_EQ(this->Stored().crashed_runs.size(), 1U + term);
  }
  const int starts_before = this->starts;
  this->BeginTerm();
  this->RunUntil(std::nullopt);
  EXPECT_EQ(this->progress.phase, JobPhase::kFailed);
  EXPECT_EQ(this->starts, starts_before);
}

/** What is stored of a task and listed by its worker, and how many crashes are
 * stored once the successor has all lists. */
struct StoredRisk {
  const char* name;
  TaskProgress stored;
  std::optional<RunNumber> running;
  std::optional<RunNumber> failed;
  size_t crashes = 0;
};

class StoredTask : public InheritedRisk,
                   public testing::WithParamInterface<StoredRisk> {
 protected:
  StoredTask() : InheritedRisk(StoredTask::GetParam().stored) {}
};

// Guards against conclusions from a stored field beyond those that
// docs/PLATFORM.md names.
TEST_P(StoredTask, ShowsOnlyTheCrashesThatItIsEvidenceOf) {
  const StoredRisk& risk = GetParam();
  for (int term = 0; term < 3; ++term) {
    this->BeginTerm();
    this->running = risk.running;
    if (risk.failed)
      this->ended = {{1, this->task, *risk.failed, RunEnd::kFailed, ""}};
    // As far as the next start, which is lost with the planner.
    if (risk.running) {
      for (int i = 0; i < 10; ++i) {
        this->time.now += milliseconds(10);
        for (const Effect& effect : this->planner->Advance(this->time))
          this->Handle(effect, std::nullopt);
      }
    } else {
      this->RunUntil(Trial::kRequested);
    }
    EXPECT_EQ(this->Stored().crashed_runs.size(), risk.crashes)
        << "term " << term;
    EXPECT_EQ(this->Stored().failed_runs.size(),
              std::max<size_t>(risk.stored.failed_runs.size(),
                               risk.failed.has_value() ? 1 : 0))
        << "term " << term;
    EXPECT_EQ(this->progress.phase, JobPhase::kRunning) << "term " << term;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fields, StoredTask,
    testing::Values(
        StoredRisk{"AtRiskRun", {.at_risk_run = 2}},
        StoredRisk{"AtRiskRunOfASuspect",
                   {.crashed_runs = {{.run = 1}}, .at_risk_run = 2},
                   {},
                   {},
                   1},
        StoredRisk{"BegunRun", {.at_risk_run = 2, .begun_run = 2}, {}, {}, 1},
        StoredRisk{
            "BegunRunThatGoesOn",
            {.crashed_runs = {{.run = 1}}, .at_risk_run = 2, .begun_run = 2},
            2,
            {},
            1},
        StoredRisk{"BegunRunWhoseEndIsStored",
                   {.ended_run = 2, .at_risk_run = 2, .begun_run = 2}},
        StoredRisk{"BegunRunWhoseEndIsListed",
                   {.at_risk_run = 2, .begun_run = 2},
                   {},
                   2},
        StoredRisk{
            "BegunRunThatIsCounted",
            {.crashed_runs = {{.run = 2}}, .at_risk_run = 2, .begun_run = 2},
            {},
            {},
            1},
        StoredRisk{"FailedRuns", {.ended_run = 1, .failed_runs = {1}}, {}, 1},
        // The worker lists the end in each term until that is acknowledged.
        StoredRisk{
            "EndOfARunBeforeTheCrash",
            {.ended_run = 1, .failed_runs = {1}, .crashed_runs = {{.run = 2}}},
            {},
            1,
            1}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace agatepass::pool
