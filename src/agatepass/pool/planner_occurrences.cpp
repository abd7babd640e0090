// Occurrences of jobs: their steps and tasks are in memory from when they are
// due until all of their tasks have succeeded, whatever number a caller wrote.
#include <algorithm>
#include <limits>
#include <span>
#include <utility>

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

/** Share of the memory that submissions may fill: the rest is for occurrences
 * of accepted jobs. */
constexpr double kSubmissionShare = 0.75;

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

/** Whether nothing of the step is needed any more. */
bool HasEnded(const StepState& step) {
  return (step.IsDone() || !step.job->IsOpen()) && !step.advice.in_flight &&
         !HasRuns(step);
}

}  // namespace

bool HasRuns(const StepState& step) {
  return std::any_of(
      step.tasks.begin(), step.tasks.end(),
      [](const TaskState& task) { return task.current_run != nullptr; });
}

int64_t DueMs(const Job& job, uint64_t occurrence) {
  int64_t offset = 0;
  int64_t due = 0;
  if (__builtin_mul_overflow(static_cast<int64_t>(occurrence), job.interval_ms,
                             &offset) ||
      __builtin_add_overflow(job.first_due_ms, offset, &due)) {
    return std::numeric_limits<int64_t>::max();
  }
  // Differences from the present do not overflow then.
  return std::max<int64_t>(due, 0);
}

size_t JobState::FindOccurrence(uint32_t occurrence) const {
  const auto found = std::partition_point(
      this->steps.begin(), this->steps.end(),
      [occurrence](const auto& step) { return step->occurrence < occurrence; });
  return static_cast<size_t>(found - this->steps.begin());
}

bool JobState::IsOpenOccurrence(uint32_t occurrence) const {
  const size_t position = this->FindOccurrence(occurrence);
  return position < this->steps.size() &&
         this->steps[position]->occurrence == occurrence;
}

bool JobState::IsAllDone() const {
  if (this->job.steps.empty()) return false;
  const uint64_t open = this->steps.size() / this->job.steps.size();
  return this->finished.count() + open == this->CountOccurrences() &&
         std::all_of(this->steps.begin(), this->steps.end(),
                     [](const auto& step) { return step->IsDone(); });
}

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

void PoolPlanner::AddHeld(JobState& job, size_t bytes) {
  job.held_bytes += bytes;
  this->held_bytes += bytes;
}

void PoolPlanner::ReleaseHeld(JobState& job, size_t bytes) {
  job.held_bytes -= bytes;
  this->held_bytes -= bytes;
}

bool PoolPlanner::HasMemoryFor(const Job& job) const {
  const auto limit = static_cast<size_t>(
      kSubmissionShare * static_cast<double>(this->options.max_held_bytes));
  return this->held_bytes + DefinitionCost(job) + OccurrenceCost(job) <= limit;
}

void PoolPlanner::AwaitOccurrences(JobState& job) {
  SkipKnownOccurrences(job);
  if (job.next_occurrence < job.CountOccurrences()) {
    this->awaited_occurrences.emplace(DueMs(job.job, job.next_occurrence),
                                      job.job.id);
  }
}

void PoolPlanner::ForgetAwaitedOccurrence(const JobState& job) {
  this->awaited_occurrences.erase(
      {DueMs(job.job, job.next_occurrence), job.job.id});
}

bool PoolPlanner::MayOpenOccurrence(const JobState& job,
                                    const PlannerTime& time) const {
  const size_t cost = OccurrenceCost(job.job);
  if (this->held_bytes + cost > this->options.max_held_bytes) return false;
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
  std::vector<std::pair<int64_t, base::JobId>> due;
  while (!this->awaited_occurrences.empty() &&
         this->awaited_occurrences.begin()->first <= due_ms) {
    due.push_back(*this->awaited_occurrences.begin());
    this->awaited_occurrences.erase(this->awaited_occurrences.begin());
  }
  for (const auto& [first_due_ms, id] : due) {
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
                  first, opened, time.wall_ms - first_due_ms, this->held_bytes);
  }
}

void PoolPlanner::MarkForTrim(const JobState& job) {
  // The only occurrence of an open job is needed as a whole.
  if (job.IsOpen() && job.job.occurrences == 0) return;
  this->jobs_to_trim.insert(job.job.id);
}

void PoolPlanner::TrimJobs() {
  for (const base::JobId& id : std::exchange(this->jobs_to_trim, {})) {
    if (JobState* job = this->FindJob(id)) this->TrimJob(*job);
  }
}

void PoolPlanner::TrimJob(JobState& job) {
  const auto steps = static_cast<ptrdiff_t>(job.job.steps.size());
  auto kept = job.steps.begin();
  for (auto first = job.steps.begin(); first != job.steps.end();
       first += steps) {
    if (this->CloseOccurrence(job, *first)) continue;
    kept = kept == first ? kept + steps : std::move(first, first + steps, kept);
  }
  job.steps.erase(kept, job.steps.end());
}

void PoolPlanner::DropDefinition(JobState& job) {
  if (!job.steps.empty()) return;
  job.job = {.id = job.job.id,
             .queue = job.job.queue,
             .accepted_ms = job.job.accepted_ms};
  job.remaining_paths = {};
  job.finished = {};
  this->ReleaseHeld(job, job.held_bytes);
  this->AddHeld(job, DefinitionCost(job.job));
}

bool PoolPlanner::CloseOccurrence(JobState& job,
                                  std::unique_ptr<StepState>& first) {
  const std::span steps(&first, job.job.steps.size());
  if (!std::all_of(steps.begin(), steps.end(),
                   [](const auto& step) { return HasEnded(*step); })) {
    return false;
  }
  for (const auto& step : steps) {
    this->DropGangReservation(*step);
    this->ReleaseTicketReservations(*step);
  }
  if (job.IsOpen()) job.finished.Add({first->occurrence, first->occurrence});
  this->ReleaseHeld(job, OccurrenceCost(job.job));
  return true;
}

}  // namespace agatepass::pool
