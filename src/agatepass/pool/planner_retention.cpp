// What has ended: when it is freed in memory, compacted and removed in the
// store.
#include <algorithm>
#include <memory>
#include <span>
#include <utility>
#include <vector>

#include "agatepass/pool/memory_cost.h"
#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

/** Period at which definitions of final jobs are compacted, and the maximum
 * number of commits for it each time. */
constexpr base::Duration kCompactionPeriod = std::chrono::milliseconds(500);
constexpr int kMaxCompactionCommits = 4;

/** Period at which final jobs are removed whose retention time has passed. */
constexpr base::Duration kRemovalPeriod = std::chrono::seconds(1);

/** Maximum number of jobs removed at a time, so that removals do not delay
 * other writes; each takes two of the 31 entries of a commit. */
constexpr size_t kMaxRemovalsPerCommit = 15;

/** Whether a task of the job has a run that has not provably ended. */
bool JobHasRuns(const JobState& job) {
  return std::any_of(job.steps.begin(), job.steps.end(),
                     [](const auto& step) { return HasRuns(*step); });
}

/** Whether nothing of the step is needed any more. */
bool HasEnded(const StepState& step) {
  return (step.IsDone() || !step.job->IsOpen()) && !step.advice.in_flight &&
         !HasRuns(step);
}

}  // namespace

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

void PoolPlanner::CompactFinalJobs(const PlannerTime& time) {
  if (time.now < this->next_compaction) return;
  this->next_compaction = time.now + kCompactionPeriod;
  if (this->store_health.IsDown()) return;
  // Workers that are not synced may have runs of jobs of earlier terms.
  const bool inherited_runs_known = this->CanStartInheritedJobs(time.now);
  std::vector<base::JobId> still_running;
  for (int i = 0; i < kMaxCompactionCommits && !this->uncompacted_jobs.empty();
       ++i) {
    StoreCommit commit{.id = this->next_commit_id++};
    SentCommit sent;
    while (!this->uncompacted_jobs.empty() &&
           commit.CountEntries() < this->options.max_entries_per_commit) {
      const base::JobId id = this->uncompacted_jobs.front();
      this->uncompacted_jobs.pop_front();
      const auto job = this->jobs.find(id);
      if (job == this->jobs.end()) continue;
      if (JobHasRuns(*job->second) ||
          (job->second->inherited && !job->second->job.team.empty() &&
           !inherited_runs_known)) {
        // A new leader needs the definition to know which resources the runs
        // take, and of which team they are.
        still_running.push_back(id);
        continue;
      }
      // No expected revision is needed: a final job never changes again, and
      // its removal follows only minutes later.
      commit.writes.push_back(
          {.key = JobKey(id), .value = kCompactedJobRecord});
      sent.compacted.push_back(id);
      this->DropDefinition(*job->second);
    }
    if (commit.writes.empty()) break;
    sent.sent_at = time.now;
    this->commits.emplace(commit.id, std::move(sent));
    this->effects.push_back(std::move(commit));
  }
  this->uncompacted_jobs.insert(this->uncompacted_jobs.end(),
                                still_running.begin(), still_running.end());
}

void PoolPlanner::RemoveExpiredJobs(const PlannerTime& time) {
  if (time.now < this->next_removal) return;
  this->next_removal = time.now + kRemovalPeriod;
  if (this->store_health.IsDown()) return;
  StoreCommit commit;
  SentCommit sent;
  for (auto entry = this->jobs.begin(); entry != this->jobs.end();) {
    JobState& job = *entry->second;
    const bool keep =
        job.IsOpen() || !job.stored || job.stored_changes < job.changes ||
        this->being_written.contains(entry->first) ||
        time.now < job.final_at + this->options.final_job_retention;
    if (keep || sent.removed.size() >= kMaxRemovalsPerCommit) {
      ++entry;
      continue;
    }
    if (JobHasRuns(job)) {
      ++entry;
      continue;
    }
    this->ReleaseHeld(job, job.held_bytes);
    commit.writes.push_back({.key = JobKey(entry->first)});
    commit.writes.push_back({.key = ProgressKey(entry->first)});
    sent.removed.push_back(entry->first);
    this->unwritten_jobs.Remove(entry->first);
    this->jobs_by_id.erase(entry->first);
    entry = this->jobs.erase(entry);
  }
  if (commit.writes.empty()) return;
  commit.id = this->next_commit_id++;
  sent.sent_at = time.now;
  this->commits.emplace(commit.id, std::move(sent));
  this->effects.push_back(std::move(commit));
}

}  // namespace agatepass::pool
