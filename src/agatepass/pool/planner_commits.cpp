// Writes to the store: jobs, progress, the worker roster.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"
#include "fmt/format.h"

namespace agatepass::pool {

namespace {

/** Entries of a typical write: a job's definition or its progress, with its
 * expected revision. */
constexpr size_t kTypicalEntriesPerJob = 2;

/** Entries of the largest write: a job's definition and progress, each with its
 * expected revision. */
constexpr size_t kMaxEntriesPerJob = 4;

/** Bytes of a commit from which on no further job is added. */
constexpr size_t kMaxBytesPerCommit = 1'000'000;

size_t CountBytes(const StoreCommit& commit) {
  size_t bytes = 0;
  for (const StoreWrite& write : commit.writes) {
    if (write.value) bytes += write.value->size();
  }
  return bytes;
}

/** Whether a commit writes anything; others only probe the store. */
bool HasWrites(const SentCommit& commit) {
  return commit.roster || !commit.created.empty() ||
         !commit.progress_written.empty() || !commit.removed.empty() ||
         !commit.compacted.empty();
}

/** Appends task `index` to the ranges, or extends the last range by it. */
void AddSucceeded(std::vector<SucceededRange>& ranges, const StepState& step,
                  uint32_t index) {
  if (!ranges.empty()) {
    SucceededRange& last = ranges.back();
    if (last.occurrence == step.occurrence && last.step == step.step_index &&
        last.last + 1 == index) {
      last.last = index;
      return;
    }
  }
  ranges.push_back({step.occurrence, step.step_index, index, index});
}

/** Returns what the store has to know of a job. */
JobProgress BuildProgress(const JobState& job) {
  JobProgress progress;
  progress.phase = job.phase;
  progress.final_ms = job.final_ms;
  // No task of a final job is started again.
  if (!job.IsOpen()) return progress;
  progress.finished = job.finished;
  for (const auto& step : job.steps) {
    for (uint32_t i = 0; i < step->tasks.size(); ++i) {
      const TaskState& task = step->tasks[i];
      if (task.succeeded) {
        AddSucceeded(progress.succeeded, *step, i);
        continue;
      }
      const std::vector<RunNumber>& failed_runs =
          step->definition->gang ? step->failed_runs : task.failed_runs;
      const bool has_crashes =
          !task.crashed_runs.empty() || task.at_risk_run > task.ended_run;
      if (task.ended_run == 0 && failed_runs.empty() && !has_crashes) continue;
      progress.tasks.push_back(
          {step->occurrence, step->step_index, i, task.ended_run, failed_runs,
           task.checkpoint, task.crashed_runs,
           has_crashes ? task.at_risk_run : 0,
           task.begun_run > task.ended_run ? task.begun_run : 0});
    }
  }
  return progress;
}

}  // namespace

void PoolPlanner::QueueWrite(const JobState& job) {
  const bool caller_waits = !job.stored || !job.IsOpen();
  this->unwritten_jobs.Add(job.job.id, {.is_progress = !caller_waits,
                                        .priority = job.policy.priority});
}

void PoolPlanner::MarkChanged(JobState& job) {
  ++job.changes;
  this->QueueWrite(job);
}

std::string PoolPlanner::EncodeProgressOf(const JobState& job,
                                          const PlannerTime& time) const {
  JobProgress progress = BuildProgress(job);
  std::string value = EncodeProgress(progress);
  if (value.size() <= kMaxStoredBytes) return value;
  // Work is repeated then, and nothing else is lost.
  for (TaskProgress& task : progress.tasks) task.checkpoint.clear();
  this->log.Add(time.now, "checkpoints not stored", "job={} bytes={} tasks={}",
                job.job.id.value, value.size(), progress.tasks.size());
  return EncodeProgress(progress);
}

bool PoolPlanner::HasWriteBacklog() const {
  return this->unwritten_jobs.size() >=
         this->options.max_entries_per_commit / kTypicalEntriesPerJob;
}

bool PoolPlanner::IsCommitDue(base::Instant now) {
  if (now < this->next_commit) return false;
  if (!this->HasWriteBacklog()) {
    return now >= this->last_commit + this->options.min_commit_interval;
  }
  // A planner that is late gets here seldom: it makes up for the commits that
  // it might have sent since the last ones.
  const base::Duration interval = this->options.min_backlog_commit_interval;
  const int64_t max_due =
      this->backlog_left
          ? static_cast<int64_t>(this->options.max_commits_in_flight)
          : 1;
  this->last_commit = std::max(this->last_commit, now - max_due * interval);
  return now >= this->last_commit + interval;
}

void PoolPlanner::SendCommits(const PlannerTime& time) {
  if (this->IsProbing()) {
    this->SendProbe(time);
    return;
  }
  // Probes that an outage left unanswered must not hold back the writes after
  // it until they time out.
  auto in_flight = static_cast<size_t>(
      std::count_if(this->commits.begin(), this->commits.end(),
                    [](const auto& entry) { return HasWrites(entry.second); }));
  for (; in_flight < this->options.max_commits_in_flight &&
         this->IsCommitDue(time.now);
       ++in_flight) {
    const bool has_backlog = this->HasWriteBacklog();
    StoreCommit commit;
    SentCommit sent;
    if (!this->FillCommit(commit, sent, time)) break;
    commit.id = this->next_commit_id++;
    sent.sent_at = time.now;
    this->commits.emplace(commit.id, std::move(sent));
    ++this->totals.commits;
    this->last_commit =
        has_backlog
            ? this->last_commit + this->options.min_backlog_commit_interval
            : time.now;
    this->effects.push_back(std::move(commit));
  }
  this->backlog_left = this->HasWriteBacklog();
}

bool PoolPlanner::FillCommit(StoreCommit& commit, SentCommit& sent,
                             const PlannerTime& time) {
  this->AddWorkerRoster(commit, sent);
  std::vector<base::JobId> selected;
  for (const auto& [urgency, arrival, id] : this->unwritten_jobs.entries()) {
    if (commit.CountEntries() + kMaxEntriesPerJob >
            this->options.max_entries_per_commit ||
        CountBytes(commit) > kMaxBytesPerCommit) {
      break;
    }
    if (this->being_written.contains(id)) continue;
    if (JobState* job = this->FindJob(id)) {
      this->AddJobWrites(*job, commit, sent, time);
    }
    selected.push_back(id);
  }
  for (const base::JobId& id : selected) this->unwritten_jobs.Remove(id);
  return !commit.writes.empty();
}

void PoolPlanner::AddWorkerRoster(StoreCommit& commit, SentCommit& sent) {
  if (this->roster_in_flight) return;
  const bool is_incomplete =
      std::exchange(this->roster_may_be_incomplete, false) &&
      std::any_of(
          this->workers.begin(), this->workers.end(), [](const auto& entry) {
            const WorkerState& worker = *entry.second;
            return worker.listed && !worker.in_roster && !worker.replaced;
          });
  if (!is_incomplete && !this->roster_is_stale) return;
  this->roster_is_stale = false;
  WorkerRoster& roster = sent.roster.emplace();
  for (const auto& [id, worker] : this->workers) {
    if (!worker->replaced) roster.workers.push_back(id);
  }
  // Workers of earlier terms stay in the roster until their leases must have
  // expired.
  for (const base::WorkerId& id : this->unsynced_workers) {
    if (!this->workers.contains(id)) roster.workers.push_back(id);
  }
  roster.settled = this->settled_incarnations;
  this->roster_in_flight = true;
  commit.writes.push_back({.key = kWorkerRosterKey,
                           .value = EncodeWorkerRoster(roster),
                           .expected = this->roster_revision});
}

void PoolPlanner::AddJobWrites(JobState& job, StoreCommit& commit,
                               SentCommit& sent, const PlannerTime& time) {
  const base::JobId& id = job.job.id;
  const size_t before = commit.writes.size();
  if (!job.stored) {
    commit.writes.push_back(
        {.key = JobKey(id), .value = EncodeJob(job.job), .expected = 0});
    sent.created.push_back(id);
  }
  if (job.changes > job.stored_changes) {
    commit.writes.push_back({.key = ProgressKey(id),
                             .value = this->EncodeProgressOf(job, time),
                             .expected = job.progress_revision});
    sent.progress_written.emplace_back(id, job.changes);
  }
  if (commit.writes.size() > before) this->being_written.insert(id);
}

void PoolPlanner::OnCommit(uint64_t commit, const CommitReply& reply,
                           const PlannerTime& time) {
  const auto found = this->commits.find(commit);
  if (found == this->commits.end()) return;
  const SentCommit sent = std::move(found->second);
  this->commits.erase(found);
  for (const base::JobId& id : sent.created) this->being_written.erase(id);
  for (const auto& [id, changes] : sent.progress_written) {
    this->being_written.erase(id);
  }
  if (sent.roster) this->roster_in_flight = false;
  const bool answered = reply.outcome == platform::Outcome::kDone ||
                        reply.outcome == platform::Outcome::kRefused;
  if (answered) this->OnStoreAnswer(sent.sent_at, time.now);
  if (reply.lost_leadership) {
    this->EndLeadership("the store holds the key of another planner");
    return;
  }
  if (reply.outcome == platform::Outcome::kDone) {
    this->FinishCommit(sent, reply.revision, time);
    return;
  }
  if (reply.outcome == platform::Outcome::kRefused) {
    for (const KeyRevision& current : reply.current) {
      this->UpdateRevision(current, time);
    }
  }
  this->RetryCommit(sent, reply.outcome, time);
}

void PoolPlanner::MarkStored(JobState& job, const PlannerTime& time) {
  if (std::exchange(job.stored, true)) return;
  ++this->totals.accepted;
  this->scheduling_needed = true;
  this->log.Add(time.now, "job accepted",
                "job={} queue={} priority={} steps={} objective_ms={}",
                job.job.id.value, job.job.queue, job.policy.priority,
                job.job.steps.size(),
                base::ToMilliseconds(job.objective_end - job.accepted_at));
  for (const SubmitCall& submit : std::exchange(job.waiting_submits, {})) {
    this->Answer(submit.call, base::ResultCode::kAccepted);
  }
}

void PoolPlanner::UpdateRevision(const KeyRevision& current,
                                 const PlannerTime& time) {
  // A revision that differs was written by an earlier commit whose answer was
  // lost.
  if (current.key == kWorkerRosterKey) {
    this->roster_revision = current.revision;
    return;
  }
  const std::string_view key = current.key;
  for (const std::string_view prefix :
       {std::string_view(kJobPrefix), std::string_view(kProgressPrefix)}) {
    if (!key.starts_with(prefix)) continue;
    const auto job = this->jobs.find(base::JobId(key.substr(prefix.size())));
    if (job == this->jobs.end()) return;
    if (prefix == kProgressPrefix) {
      job->second->progress_revision = current.revision;
    } else if (current.revision != 0) {
      this->MarkStored(*job->second, time);
    }
  }
}

void PoolPlanner::FinishCommit(const SentCommit& sent,
                               platform::Revision revision,
                               const PlannerTime& time) {
  for (const base::JobId& id : sent.created) {
    const auto job = this->jobs.find(id);
    if (job != this->jobs.end()) this->MarkStored(*job->second, time);
  }
  for (const auto& [id, changes] : sent.progress_written) {
    JobState* found = this->FindJob(id);
    if (found == nullptr) continue;
    JobState& job = *found;
    job.progress_revision = revision;
    job.stored_changes = std::max(job.stored_changes, changes);
    if (job.stored_changes == job.changes) {
      job.stored_phase = job.phase;
    }
    if (job.changes > job.stored_changes) this->QueueWrite(job);
    if (!IsFinal(job.stored_phase)) continue;
    if (!std::exchange(job.compacted, true))
      this->uncompacted_jobs.push_back(id);
    for (const CallId call : std::exchange(job.waiting_cancels, {})) {
      this->Answer(call, base::ResultCode::kOk);
    }
  }
  if (sent.roster) this->FinishRoster(*sent.roster, revision);
  this->scheduling_needed = true;
  std::erase_if(this->workers_with_unstored_ends, [&](WorkerState* worker) {
    this->AcknowledgeStoredEnds(*worker, time);
    return worker->unstored_ends.empty();
  });
}

bool PoolPlanner::VouchesForFormer(const WorkerRoster& roster,
                                   const base::WorkerId& id) const {
  const auto stored = roster.settled.find(id);
  if (stored == roster.settled.end()) return false;
  const auto current = this->settled_incarnations.find(id);
  return current == this->settled_incarnations.end() ||
         current->second != stored->second;
}

void PoolPlanner::FinishRoster(const WorkerRoster& roster,
                               platform::Revision revision) {
  this->roster_revision = revision;
  for (const base::WorkerId& id : roster.workers) {
    const auto worker = this->workers.find(id);
    if (worker == this->workers.end()) continue;
    const bool is_current =
        !worker->second->replaced && !this->VouchesForFormer(roster, id);
    worker->second->in_roster = is_current;
    if (!is_current) this->roster_is_stale = true;
  }
}

void PoolPlanner::RetryCommit(const SentCommit& sent, platform::Outcome outcome,
                              const PlannerTime& time) {
  const bool was_down = this->store_health.IsDown();
  if (outcome != platform::Outcome::kRefused) {
    if (this->store_health.OnFailure(sent.sent_at, time.now)) {
      this->next_commit = time.now + this->options.commit_retry_delay;
    }
    this->log.Add(time.now, "commit failed or unanswered",
                  "outcome=\"{}\" jobs={} progress={}",
                  platform::OutcomeName(outcome), sent.created.size(),
                  sent.progress_written.size());
  }
  this->uncompacted_jobs.insert(this->uncompacted_jobs.end(),
                                sent.compacted.begin(), sent.compacted.end());
  // The stored roster may name a worker that is gone, for which the next
  // planner would wait: either the old roster was not replaced, or this commit
  // may still be carried out. The roster is written again.
  if (sent.roster) this->roster_is_stale = true;
  for (const auto& [id, changes] : sent.progress_written) {
    const auto found = this->jobs.find(id);
    if (found != this->jobs.end()) this->QueueWrite(*found->second);
  }
  for (const base::JobId& id : sent.created) {
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end() || found->second->stored) continue;
    JobState& job = *found->second;
    if (outcome == platform::Outcome::kUnknown) {
      job.may_be_stored = true;
      this->possibly_stored_jobs.insert(id);
    }
    if (outcome == platform::Outcome::kNotSent && !job.may_be_stored) {
      this->WithdrawUnstored(job, "the store did not take the job", time);
      continue;
    }
    this->QueueWrite(job);
  }
  if (!was_down && this->store_health.IsDown()) this->WithdrawUnsent(time);
}

void PoolPlanner::AnswerSubmitsOfUnknownOutcome(const PlannerTime& time) {
  std::erase_if(this->possibly_stored_jobs, [&](const base::JobId& id) {
    const auto found = this->open.find(id);
    if (found == this->open.end() || found->second->stored) return true;
    JobState& job = *found->second;
    if (time.now < job.accepted_at + this->options.submit_outcome_timeout) {
      return false;
    }
    for (const SubmitCall& submit : std::exchange(job.waiting_submits, {})) {
      this->Answer(submit.call, base::ResultCode::kOutcomeUnknown,
                   "the store does not say whether it took the job");
    }
    return false;
  });
}

void PoolPlanner::AcknowledgeStoredEnds(WorkerState& worker,
                                        const PlannerTime& time) {
  const uint64_t before = worker.last_stored_end;
  while (!worker.unstored_ends.empty()) {
    const UnstoredEnd& end = worker.unstored_ends.front();
    const JobState* job = this->FindJob(end.job);
    if (job != nullptr && job->stored_changes < end.changes) break;
    worker.last_stored_end = end.sequence_number;
    worker.unstored_ends.pop_front();
  }
  if (worker.last_stored_end > before && worker.unstored_ends.empty()) {
    worker.next_sync = time.now;
  }
}

}  // namespace agatepass::pool
