#include "agatepass/pool/pool_planner.h"

#include <algorithm>
#include <utility>

#include "agatepass/pool/leadership_evidence.h"

namespace agatepass::pool {

namespace {

/** Maximum time between two scheduling passes while work waits. */
constexpr base::Duration kMaxSchedulingInterval = std::chrono::milliseconds(50);

}  // namespace

std::string_view RunEndName(RunEnd end) {
  switch (end) {
    case RunEnd::kSucceeded:
      return "succeeded";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lease expired";
    case RunEnd::kGangMemberEnded:
      return "gang member ended";
    case RunEnd::kGangIncomplete:
      return "gang incomplete";
  }
  return "unknown";
}

std::string_view WorkerCallResultName(WorkerCallResult result) {
  switch (result) {
    case WorkerCallResult::kDone:
      return "done";
    case WorkerCallResult::kFenced:
      return "fenced";
    case WorkerCallResult::kStaleRun:
      return "stale run";
    case WorkerCallResult::kDeadlinePassed:
      return "deadline passed";
    case WorkerCallResult::kNoCapacity:
      return "no capacity";
    case WorkerCallResult::kInvalidTicket:
      return "invalid ticket";
    case WorkerCallResult::kOtherIncarnation:
      return "other incarnation";
    case WorkerCallResult::kUnhealthy:
      return "unhealthy";
    case WorkerCallResult::kMalformed:
      return "malformed";
    case WorkerCallResult::kNotSent:
      return "not sent";
    case WorkerCallResult::kNotTried:
      return "not tried";
    case WorkerCallResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

PoolPlanner::PoolPlanner(const PlannerOptions& options,
                         timeline::DecisionLog& log, const PlannerTime& time)
    : options(options),
      log(log),
      memory(options.max_held_bytes),
      term_started_at(time.now) {}

void PoolPlanner::CheckLeadership(base::Instant now) {
  if (!this->leadership_confirmed_at) return;
  const base::Duration age = now - *this->leadership_confirmed_at;
  const bool is_confirmed = age < LeadershipEvidence::kMaxAge;
  if (is_confirmed == !this->unconfirmed_since) return;
  if (is_confirmed) {
    this->log.Add(now, "leases renewed again", "fence={} paused_ms={}",
                  this->options.fence,
                  base::ToMilliseconds(now - *this->unconfirmed_since));
    this->unconfirmed_since.reset();
    this->scheduling_needed = true;
    // The syncs that wait at the workers renew no lease.
    for (const auto& [id, worker] : this->workers) {
      if (!worker->sync_in_flight || worker->runs.empty()) continue;
      worker->quick_sync_wanted = true;
      this->QueueSync(*worker);
    }
  } else {
    this->log.Add(now, "leases not renewed",
                  "fence={} runs={} leadership_confirmed_ms={}",
                  this->options.fence, this->runs.size(),
                  base::ToMilliseconds(age));
    this->unconfirmed_since = now;
  }
}

void PoolPlanner::CheckCapacityReports(base::Instant now) {
  if (!this->workers_confirmed_at) return;
  const base::Duration age = now - *this->workers_confirmed_at;
  const bool is_outdated = age >= this->options.max_capacity_age;
  if (is_outdated == this->capacities_outdated_since.has_value()) return;
  if (is_outdated) {
    this->log.Add(now, "starts held as capacities are outdated",
                  "workers_confirmed_ms={}", base::ToMilliseconds(age));
    this->capacities_outdated_since = now;
  } else {
    this->log.Add(now, "starts resumed as capacities are known", "held_ms={}",
                  base::ToMilliseconds(now - *this->capacities_outdated_since));
    this->capacities_outdated_since.reset();
    this->scheduling_needed = true;
  }
}

void PoolPlanner::SetQueues(const QueueTable& table, const PlannerTime& time) {
  if (table.version < this->queues.table().version) return;
  this->queues = QueueIndex(table);
  const std::vector<Team> teams = table.teams.value_or(std::vector<Team>());
  this->team_usage.SetTeams(teams);
  this->team_shares.SetTeams(teams);
  for (auto& [id, job] : this->open) this->ApplyQueuePolicy(*job);
  this->scheduling_needed = true;
  this->log.Add(time.now, "planner configured", "version={} queues={} teams={}",
                table.version, table.queues.size(), teams.size());
}

void PoolPlanner::Load(std::span<const StoredJob> stored,
                       const WorkerRoster& roster, const PlannerTime& time) {
  for (const StoredJob& entry : stored) {
    const bool has_definition = !entry.job.steps.empty();
    if (!has_definition &&
        !(entry.progress && IsFinal(entry.progress->phase))) {
      this->log.Add(time.now, "stored job without a definition", "job={}",
                    entry.job.id.value);
      continue;
    }
    if (const std::string error = FindStructureError(entry.job);
        has_definition && !error.empty()) {
      this->log.Add(time.now, "stored job cannot be carried",
                    "job={} reason=\"{}\"", entry.job.id.value, error);
      continue;
    }
    JobState& job = this->AddJob(entry.job, time);
    job.stored = true;
    job.inherited = true;
    job.progress_revision = entry.progress_revision;
    if (entry.progress) this->LoadProgress(job, *entry.progress, time);
    this->AwaitOccurrences(job);
    if (!job.IsOpen()) {
      job.final_at = time.now;
      job.compacted = true;
      if (has_definition) this->uncompacted_jobs.push_back(job.job.id);
      this->open.erase(job.job.id);
      this->MarkForTrim(job);
    }
  }
  this->unsynced_workers.insert(roster.workers.begin(), roster.workers.end());
  this->settled_incarnations = roster.settled;
  this->roster_revision = roster.revision;
  this->log.Add(time.now, "stored jobs loaded",
                "fence={} jobs={} open={} workers={} settled={}",
                this->options.fence, this->jobs.size(), this->open.size(),
                roster.workers.size(), roster.settled.size());
}

void PoolPlanner::LoadSucceeded(JobState& job, const SucceededRange& range,
                                const PlannerTime& time) {
  StepState* step = this->FindReportedStep(
      {job.job.id, range.occurrence, range.step, range.first}, time);
  if (step == nullptr) return;
  for (uint32_t i = range.first; i <= range.last && i < step->tasks.size();
       ++i) {
    if (step->tasks[i].succeeded) continue;
    step->tasks[i].succeeded = true;
    ++step->succeeded;
    --step->waiting;
  }
  // An older record lists each occurrence that has ended.
  const auto first =
      job.steps.begin() +
      static_cast<ptrdiff_t>(job.FindOccurrence(range.occurrence));
  if (job.job.occurrences > 0 && this->CloseOccurrence(job, *first)) {
    job.steps.erase(first,
                    first + static_cast<ptrdiff_t>(job.job.steps.size()));
  }
}

void PoolPlanner::LoadProgress(JobState& job, const JobProgress& progress,
                               const PlannerTime& time) {
  job.finished = progress.finished;
  for (const SucceededRange& range : progress.succeeded) {
    this->LoadSucceeded(job, range, time);
  }
  for (const TaskProgress& stored : progress.tasks) {
    const TaskName name{job.job.id, stored.occurrence, stored.step,
                        stored.index};
    StepState* step = this->FindReportedStep(name, time);
    if (step == nullptr) continue;
    TaskState& task = step->tasks[stored.index];
    task.last_run = std::max(stored.ended_run, stored.at_risk_run);
    task.ended_run = stored.ended_run;
    task.checkpoint = stored.checkpoint;
    task.crashed_runs = stored.crashed_runs;
    task.at_risk_run = stored.at_risk_run;
    task.begun_run = stored.begun_run;
    for (const CrashedRun& crash : task.crashed_runs)
      task.last_run = std::max(task.last_run, crash.run);
    if (task.begun_run > task.ended_run) {
      this->inherited_risks.push_back(name);
    }
    if (step->definition->gang) {
      step->failed_runs = stored.failed_runs;
    } else {
      task.failed_runs = stored.failed_runs;
    }
  }
  job.phase = progress.phase;
  job.stored_phase = job.phase;
  job.final_ms = progress.final_ms;
}

std::vector<Effect> PoolPlanner::Advance(const PlannerTime& time) {
  this->TrimJobs();
  if (!this->superseded) {
    this->CheckLeadership(time.now);
    this->CheckCapacityReports(time.now);
    this->CheckWorkers(time);
    this->LogEndOfEarlierTerms(time.now);
    this->DropUnlistedUnsyncedWorkers(time.now);
    this->CountInheritedRisks(time);
    this->SendStops(time);
    if (!this->handing_over && !this->unconfirmed_since &&
        time.now >= this->earliest_scheduling_at &&
        (this->scheduling_needed || time.now >= this->next_scheduling_at)) {
      this->scheduling_needed = false;
      this->next_scheduling_at = time.now + kMaxSchedulingInterval;
      this->ScheduleReadySteps(time);
    }
    this->AdvanceWaiting(time);
    this->SendCommits(time);
    this->SendSyncs(time);
    this->CompactFinalJobs(time);
    this->RemoveExpiredJobs(time);
    this->AnswerSubmitsOfUnknownOutcome(time);
  }
  return std::exchange(this->effects, {});
}

bool PoolPlanner::IsReadyForHandover() const {
  // Ends that are not stored need no check: the workers still list them for the
  // next planner.
  return std::none_of(this->jobs.begin(), this->jobs.end(),
                      [](const auto& entry) {
                        const JobState& job = *entry.second;
                        return !job.stored || !job.waiting_cancels.empty();
                      });
}

std::pair<int64_t, int64_t> PoolPlanner::GetProcessorUsage() const {
  int64_t used = 0;
  int64_t total = 0;
  for (const auto& [id, worker] : this->workers) {
    if (!worker->listed) continue;
    used += worker->used.millicores;
    total += worker->record.total.millicores;
  }
  return {used, total};
}

void PoolPlanner::EndLeadership(std::string reason) {
  if (std::exchange(this->superseded, true)) return;
  for (CallerAnswer& answer : this->EndWaitingSubmissions()) {
    this->effects.emplace_back(std::move(answer));
  }
  this->effects.push_back(LeadershipLost{std::move(reason)});
}

}  // namespace agatepass::pool
