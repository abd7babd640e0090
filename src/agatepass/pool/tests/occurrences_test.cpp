// Jobs that run many times: memory, time and stored bytes follow what is due,
// not the number that a caller wrote.
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agatepass/pool/job.h"
#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/record_codec.h"
#include "agatepass/pool/tests/planner_fixture.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kMinutesAYear = 525'600;
constexpr uint32_t kMostTimes = std::numeric_limits<uint32_t>::max();
constexpr int64_t kMinuteMs = 60'000;

/** What a job of few tasks may take in memory, however often it runs. */
constexpr size_t kFewBytes = 16 * 1024;

/** Plays one worker that runs all that it is told to, for a while. */
class Occurrences : public PlannerFixture {
 protected:
  static Job MakeTimedJob(const std::string& id, uint32_t times,
                          int64_t first_due_ms, int64_t interval_ms) {
    Job job = fakes::MakePoolJob(id, 1, 100, milliseconds(100));
    job.occurrences = times;
    job.first_due_ms = first_due_ms;
    job.interval_ms = interval_ms;
    return job;
  }

  void ListAndSync() {
    this->ListWorker("w0", 1);
    this->RunFor(kStep);
    this->Sync();
  }

  /** Answers all syncs of the worker with what runs and has ended there. */
  void Sync() {
    while (!this->syncs.empty()) {
      const SyncRequest request = this->TakeSync("w0");
      std::erase_if(this->ends, [&request](const ReportedEnd& end) {
        return end.sequence_number <= request.acknowledged_up_to;
      });
      this->AnswerSync(request, 1, this->running, this->ends, this->ClockMs());
      if (!this->ends.empty()) return;
    }
  }

  int64_t ClockMs() const {
    return 1000 +
           base::ToMilliseconds(this->time.now - base::Instant(seconds(100)));
  }

  /** Runs time, and lets each start succeed in the next step. */
  void Play(base::Duration duration) {
    const base::Instant end = this->time.now + duration;
    while (this->time.now < end) {
      this->time.wall_ms += base::ToMilliseconds(kStep);
      this->RunFor(kStep);
      for (const ReportedRun& run : std::exchange(this->running, {})) {
        this->ends.push_back({.sequence_number = ++this->last_end,
                              .task = run.task,
                              .run = run.run,
                              .end = RunEnd::kSucceeded});
      }
      for (const StartRequest& start : std::exchange(this->starts, {})) {
        EXPECT_TRUE(this->began[start.task.job.value]
                        .insert(start.task.occurrence)
                        .second)
            << ToString(start.task) << " ran twice";
        this->running.push_back({.task = start.task, .run = start.run});
        this->planner.OnStart(start.task, start.run,
                              {.result = WorkerCallResult::kDone,
                               .worker_clock_ms = this->ClockMs()},
                              this->time);
      }
      this->Sync();
      this->most_held = std::max(this->most_held, this->planner.held_memory());
    }
  }

  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ends;
  uint64_t last_end = 0;
  /** Occurrences of which a run has begun, by job. */
  std::map<std::string, std::set<uint32_t>> began;
  size_t most_held = 0;
};

// Guards against a job that is due each minute for a year and ends the process.
TEST_F(Occurrences, AJobThatIsDueEachMinuteForAYearTakesFewBytes) {
  this->Load();
  this->ListAndSync();
  this->Submit(
      MakeTimedJob("a", kMinutesAYear, kWallMs + kMinuteMs, kMinuteMs));
  this->Play(milliseconds(200));
  EXPECT_LT(this->planner.held_memory(), kFewBytes);
  EXPECT_EQ(this->began["a"], std::set<uint32_t>());
  this->Play(seconds(61));
  EXPECT_EQ(this->began["a"], std::set<uint32_t>{0});
  EXPECT_LT(this->most_held, kFewBytes);
}

TEST_F(Occurrences, AJobThatIsDueEachSecondBeginsEachSecond) {
  this->Load();
  this->ListAndSync();
  this->Submit(MakeTimedJob("a", kMostTimes, kWallMs + 500, 1000));
  this->Play(seconds(20));
  EXPECT_GE(this->began["a"].size(), 19U);
  EXPECT_LT(this->most_held, kFewBytes);
}

// Guards against a start that lies long ago: all is due at once.
TEST_F(Occurrences, ABacklogOfOccurrencesIsWorkedOffWithoutGrowth) {
  constexpr uint32_t kTimes = 2000;
  this->Load();
  this->ListAndSync();
  this->Submit(MakeTimedJob("a", kTimes, kWallMs - 3'600'000, 10));
  this->Submit(MakeTimedJob("b", kMostTimes, 1, 1));
  this->Play(seconds(30));
  EXPECT_EQ(this->began["a"].size(), kTimes);
  EXPECT_LT(this->most_held, size_t{1024} * 1024);
}

TEST_F(Occurrences, DueTimesBeyondTheLargestNumberNeverCome) {
  constexpr int64_t kMaxMs = std::numeric_limits<int64_t>::max();
  this->Load();
  this->ListAndSync();
  this->Submit(MakeTimedJob("a", kMostTimes, kMaxMs - 5, kMaxMs));
  this->Submit(MakeTimedJob("b", kMostTimes, kWallMs - 5, kMaxMs));
  this->Play(seconds(1));
  // Of "b" the first one is due; nothing else ever is.
  EXPECT_EQ(this->began["a"], std::set<uint32_t>());
  EXPECT_EQ(this->began["b"], std::set<uint32_t>{0});
  EXPECT_LT(this->most_held, 2 * kFewBytes);
}

TEST_F(Occurrences, DueTimesBeforeTheSmallestNumberAreDue) {
  this->Load();
  this->ListAndSync();
  this->Submit(
      MakeTimedJob("a", 5, std::numeric_limits<int64_t>::min(), kMinuteMs));
  this->Play(seconds(1));
  EXPECT_EQ(this->began["a"].size(), 5U);
}

// Guards against jobs that leave something behind until they would be due.
TEST_F(Occurrences, ACancelledJobTakesNothingForItsOccurrences) {
  this->Load();
  this->ListAndSync();
  for (int i = 0; i < 50; ++i) {
    const std::string id = "job-" + std::to_string(i);
    this->Submit(MakeTimedJob(id, kMostTimes, kWallMs + kMinuteMs, kMinuteMs));
    this->Play(milliseconds(50));
    this->planner.Cancel(1'000'000, base::JobId(id), this->time);
    this->Play(milliseconds(50));
  }
  EXPECT_EQ(this->planner.open_jobs(), 0U);
  EXPECT_EQ(this->planner.awaited_jobs(), 0U);
}

// Guards against a successor that builds all again, or runs a part again.
TEST_F(Occurrences, ASuccessorGoesOnWhereTheRecordEnds) {
  StoredJob stored{
      .job = MakeTimedJob("a", kMinutesAYear, kWallMs - 500'000 * kMinuteMs,
                          kMinuteMs),
      .progress = JobProgress{.phase = JobPhase::kRunning},
      .progress_revision = 7};
  stored.progress->finished.Add({0, 499'998});
  stored.progress->finished.Add({500'000, 500'000});
  this->Load({stored});
  EXPECT_LT(this->planner.held_memory(), kFewBytes);
  this->ListAndSync();
  this->Play(seconds(2));
  EXPECT_EQ(this->began["a"], std::set<uint32_t>{499'999});
  this->Play(seconds(60));
  EXPECT_EQ(this->began["a"], (std::set<uint32_t>{499'999, 500'001}));
}

// Guards against records of the form that listed each occurrence.
TEST_F(Occurrences, ARecordThatListsEachOccurrenceTakesFewBytesToo) {
  StoredJob stored{.job = MakeTimedJob("a", kMinutesAYear,
                                       kWallMs - 20'000 * kMinuteMs, kMinuteMs),
                   .progress = JobProgress{.phase = JobPhase::kRunning},
                   .progress_revision = 7};
  for (uint32_t i = 0; i < 20'000; ++i)
    stored.progress->succeeded.push_back({i, 0, 0, 0});
  this->Load({stored});
  EXPECT_LT(this->planner.held_memory(), kFewBytes);
  this->ListAndSync();
  this->Play(seconds(1));
  EXPECT_EQ(this->began["a"], std::set<uint32_t>{20'000});
}

// A run that an earlier planner started counts, wherever the window stands.
TEST_F(Occurrences, ARunOfAnEarlierTermGoesOnAndIsNotRepeated) {
  const StoredJob stored{.job = MakeTimedJob("a", 50, kWallMs - 1000, 10),
                         .progress = JobProgress{.phase = JobPhase::kRunning},
                         .progress_revision = 7};
  this->Load({stored}, {"w0"});
  this->ListWorker("w0", 1);
  this->RunFor(kStep);
  this->running = {{.task = {base::JobId("a"), 40, 0, 0}, .run = 1}};
  this->began["a"].insert(40);
  this->Sync();
  this->Play(seconds(3));
  EXPECT_EQ(this->began["a"].size(), 50U);
}

TEST_F(Occurrences, ProgressAfterAYearTakesFewBytes) {
  JobProgress progress{.phase = JobPhase::kRunning};
  progress.finished.Add({0, kMinutesAYear - 2});
  const std::string text = EncodeProgress(progress);
  EXPECT_LT(text.size(), 100U);
  const auto decoded = DecodeProgress(text);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(*decoded, progress);
}

// Guards against a stored record that ends each planner that reads it.
TEST_F(Occurrences, AStoredJobThatCannotBeCarriedIsLoggedAndLeftOut) {
  StoredJob huge{.job = MakeTimedJob("huge", 0, 0, 0)};
  huge.job.steps[0].count = kMostTimes;
  const StoredJob sound{.job = MakeTimedJob("sound", 0, 0, 0)};
  this->Load({huge, sound});
  EXPECT_EQ(this->planner.open_jobs(), 1U);
  EXPECT_NE(this->log.Take(this->time.now).find("stored job cannot be carried"),
            std::string::npos);
}

// Guards against many jobs, each allowed, that together are over the memory.
TEST(HeldMemory, SubmissionsBeyondItAreRejectedAtOnce) {
  constexpr size_t kLimit = size_t{8} * 1024 * 1024;
  timeline::DecisionLog log{"test"};
  const PlannerTime time{base::Instant(seconds(100)), 1'700'000'000'000};
  PoolPlanner planner({.fence = 9, .max_held_bytes = kLimit}, log, time);
  planner.SetQueues(fakes::MakePoolQueues(), time);
  planner.Load({}, {}, time);
  size_t rejected = 0;
  for (CallId call = 1; call <= 200; ++call) {
    planner.Submit(call,
                   fakes::MakePoolJob("job-" + std::to_string(call), 5000, 0,
                                      base::Duration(0)),
                   time);
    EXPECT_LE(planner.held_memory(), kLimit);
  }
  for (const Effect& effect : planner.Advance(time)) {
    const auto* answer = std::get_if<CallerAnswer>(&effect);
    if (answer == nullptr) continue;
    EXPECT_EQ(answer->code, base::ResultCode::kOverloaded);
    EXPECT_GT(answer->retry_after, base::Duration(0));
    ++rejected;
  }
  EXPECT_GT(rejected, 100U);
  EXPECT_LT(rejected, 200U);
}

TEST(JobSize, StepsThatTheStoreCannotTakeAreNamed) {
  Job job = fakes::MakePoolJob("a", 1, 100, seconds(1));
  EXPECT_EQ(FindSizeError(job), "");
  job.steps[0].required_label = std::string(1'000'000, 'x');
  EXPECT_NE(FindSizeError(job), "");
  job.steps[0].required_label = "";
  job.steps.resize(20'000, job.steps[0]);
  for (uint32_t i = 1; i < job.steps.size(); ++i)
    job.steps[i].depends_on = std::vector<uint32_t>(20, i - 1);
  EXPECT_NE(FindSizeError(job), "");
}

TEST(JobSize, TextsAndIntervalsBeyondThePagesAreNamed) {
  Job job = fakes::MakePoolJob("a", 1, 100, seconds(1));
  job.payload = std::string(4000, 'x');
  job.occurrences = 2;
  EXPECT_EQ(FindValidationError(job), "");
  job.payload += 'x';
  EXPECT_NE(FindValidationError(job), "");
  job.payload = "";
  job.interval_ms = -1;
  EXPECT_NE(FindValidationError(job), "");
}

// Guards against time that grows with the square of the steps.
TEST(JobSize, PathsThroughManyStepsAreFoundInOnePass) {
  Job job;
  job.steps.resize(20'000);
  for (uint32_t i = 0; i < job.steps.size(); ++i) {
    job.steps[i].estimate = seconds(1);
    if (i > 0) job.steps[i].depends_on = {i - 1, i / 2};
  }
  const std::vector<base::Duration> paths = RemainingCriticalPathDurations(job);
  EXPECT_EQ(paths.front(), seconds(20'000));
  EXPECT_EQ(paths.back(), seconds(1));
  EXPECT_EQ(paths.front(), CriticalPathDuration(job));
}

}  // namespace
}  // namespace agatepass::pool
