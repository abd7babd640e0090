// Occurrences of jobs: their steps and tasks are in memory from when they are
// due until all of their tasks have succeeded, whatever number a caller wrote.
#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "agatepass/pool/memory_cost.h"
#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

/** Occurrences of a job that wait for a place, from which on further ones that
 * are due stay closed: they would wait behind these anyway. */
constexpr size_t kMaxWaitingOccurrences = 64;

/** Tasks of a job's open occurrences from which on no further one is opened. It
 * bounds the stored progress, too. */
constexpr size_t kMaxOpenTasks = kMaxTasksPerOccurrence;

/** Largest difference that is believed between the clock and a due time for
 * which an occurrence is opened. */
constexpr int64_t kMaxClockDifferenceMs = 24LL * 60 * 60 * 1000;

/** Moves the job's next occurrence past those that are finished or open. */
void SkipKnownOccurrences(JobState& job) {
  while (job.next_occurrence < job.CountOccurrences()) {
    const auto next = static_cast<uint32_t>(job.next_occurrence);
    const uint64_t missing = job.finished.FirstMissing(next);
    if (missing == next && !job.IsOpenOccurrence(next)) return;
    job.next_occurrence = std::max(missing, uint64_t{next} + 1);
  }
}

size_t CountOpenTasks(const JobState& job) {
  size_t tasks = 0;
  for (const auto& step : job.steps) tasks += step->tasks.size();
  return tasks;
}

}  // namespace

void PoolPlanner::OpenOccurrence(JobState& job, uint32_t occurrence,
                                 const PlannerTime& time) {
  base::Instant released_at = job.accepted_at;
  if (job.job.occurrences > 0) {
    // A clock that is off must not make it as late or as early as it says.
    const int64_t until_due = DueMs(job.job, occurrence) - time.wall_ms;
    released_at = std::max(job.accepted_at,
                           time.now + std::chrono::milliseconds(std::clamp(
                                          until_due, -kMaxClockDifferenceMs,
                                          kMaxClockDifferenceMs)));
  }
  std::vector<std::unique_ptr<StepState>> opened;
  opened.reserve(job.job.steps.size());
  for (uint32_t number = 0; number < job.job.steps.size(); ++number) {
    auto step = std::make_unique<StepState>();
    step->job = &job;
    step->definition = &job.job.steps[number];
    step->occurrence = occurrence;
    step->step_index = number;
    step->released_at = released_at;
    step->tasks.resize(step->definition->count);
    step->waiting = step->definition->count;
    step->remaining_critical_path = job.remaining_paths[number];
    opened.push_back(std::move(step));
  }
  const auto position = job.steps.begin() +
                        static_cast<ptrdiff_t>(job.FindOccurrence(occurrence));
  job.steps.insert(position, std::make_move_iterator(opened.begin()),
                   std::make_move_iterator(opened.end()));
  this->AddHeld(job, OccurrenceCost(job.job));
}

void PoolPlanner::AwaitOccurrences(JobState& job) {
  SkipKnownOccurrences(job);
  if (job.next_occurrence < job.CountOccurrences()) {
    this->schedule.Add(DueMs(job.job, job.next_occurrence), job.job.id);
  }
}

void PoolPlanner::ForgetAwaitedOccurrence(const JobState& job) {
  this->schedule.Remove(DueMs(job.job, job.next_occurrence), job.job.id);
}

void PoolPlanner::AddHeld(JobState& job, size_t bytes) {
  job.held_bytes += bytes;
  this->memory.Add(bytes);
}

void PoolPlanner::ReleaseHeld(JobState& job, size_t bytes) {
  job.held_bytes -= bytes;
  this->memory.Release(bytes);
}

bool PoolPlanner::MayOpenOccurrence(const JobState& job,
                                    const PlannerTime& time) const {
  if (!this->memory.Fits(OccurrenceCost(job.job))) return false;
  size_t tasks = 0;
  for (const Step& step : job.job.steps) tasks += step.count;
  if (!job.steps.empty() && CountOpenTasks(job) + tasks > kMaxOpenTasks) {
    return false;
  }
  size_t waiting = 0;
  std::optional<uint32_t> counted;
  for (const auto& step : job.steps) {
    if (counted == step->occurrence || !this->IsReady(*step, time)) continue;
    counted = step->occurrence;
    ++waiting;
  }
  return waiting < kMaxWaitingOccurrences;
}

void PoolPlanner::OpenDueOccurrences(const PlannerTime& time) {
  const int64_t due_ms =
      time.wall_ms + base::ToMilliseconds(this->options.max_early_start);
  for (const auto& [first_due_ms, id] : this->schedule.TakeDue(due_ms)) {
    JobState* job = this->FindJob(id);
    if (job == nullptr || !job->IsOpen()) continue;
    SkipKnownOccurrences(*job);
    const uint64_t first = job->next_occurrence;
    uint64_t opened = 0;
    while (job->next_occurrence < job->CountOccurrences() &&
           DueMs(job->job, job->next_occurrence) <= due_ms &&
           this->MayOpenOccurrence(*job, time)) {
      this->OpenOccurrence(*job, static_cast<uint32_t>(job->next_occurrence),
                           time);
      ++opened;
      SkipKnownOccurrences(*job);
    }
    this->AwaitOccurrences(*job);
    if (opened == 0) continue;
    this->log.Add(time.now, "occurrences due",
                  "job={} first={} count={} late_ms={} held_bytes={}", id.value,
                  first, opened, time.wall_ms - first_due_ms,
                  this->memory.held());
  }
}

}  // namespace agatepass::pool
