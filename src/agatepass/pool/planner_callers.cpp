// Requests of callers: submit, cancel, describe, count pending jobs.
#include <algorithm>
#include <utility>

#include "agatepass/pool/memory_cost.h"
#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

/** Time for which a count of pending jobs is told again. */
constexpr base::Duration kPendingCountPeriod = std::chrono::milliseconds(50);

/** Retry delay while accepted work leaves no memory: jobs that have ended are
 * kept for a while, and leave it then. */
constexpr base::Duration kMemoryRetryDelay = std::chrono::seconds(10);

/** Retry delay of a job that cannot run with the present workers and caps. */
constexpr base::Duration kNeverFitsRetryDelay = std::chrono::seconds(30);

/** Returns the number of tasks of a job without occurrences. */
double CountTasks(const Job& job) {
  double tasks = 0;
  for (const Step& step : job.steps) tasks += step.count;
  return tasks;
}

}  // namespace

void PoolPlanner::Answer(CallId call, base::ResultCode code,
                         std::string detail) {
  this->effects.push_back(
      CallerAnswer{.call = call, .code = code, .detail = std::move(detail)});
}

void PoolPlanner::Reject(CallId call, const Job& job, base::ResultCode code,
                         base::Duration retry_after, std::string reason,
                         const PlannerTime& time) {
  ++this->totals.rejected;
  this->log.Add(time.now, "job rejected",
                "job={} queue={} team={} code={} retry_after_ms={} "
                "reason=\"{}\"",
                job.id.value, job.queue, job.team.value, static_cast<int>(code),
                base::ToMilliseconds(retry_after), reason);
  this->effects.push_back(CallerAnswer{.call = call,
                                       .code = code,
                                       .retry_after = retry_after,
                                       .detail = std::move(reason)});
}

void PoolPlanner::Reject(std::span<const SubmitCall> calls, const Job& job,
                         base::ResultCode code, base::Duration retry_after,
                         const std::string& reason, const PlannerTime& time) {
  for (const SubmitCall& call : calls) {
    this->Reject(call.call, job, code, retry_after, reason, time);
  }
}

void PoolPlanner::Submit(CallId call, Job job, const PlannerTime& time,
                         base::Duration patience) {
  const SubmitCall submit{.call = call, .given_up_at = time.now + patience};
  if (const auto existing = this->jobs.find(job.id);
      existing != this->jobs.end()) {
    if (existing->second->stored) {
      this->Answer(call, base::ResultCode::kAccepted);
    } else {
      existing->second->waiting_submits.push_back(submit);
    }
    return;
  }
  if (this->waiting.Contains(job.id)) {
    this->JoinWaiting(submit, job.id, time);
    return;
  }
  const Queue* queue = this->queues.Find(job.queue);
  if (queue == nullptr) {
    this->Reject(call, job, base::ResultCode::kNotFound, base::Duration(0),
                 "no such queue", time);
    return;
  }
  if (std::string error = FindSubmissionError(job); !error.empty()) {
    this->Reject(call, job, base::ResultCode::kInvalidRequest,
                 base::Duration(0), std::move(error), time);
    return;
  }
  if (this->handing_over) {
    this->effects.push_back(MakeNextPlannerAnswer(call));
    return;
  }
  // Those that wait go first, in their order.
  if (this->store_health.IsDown() ||
      (!this->waiting.empty() &&
       WaitingSubmissions::LeavesTime(submit, time.now))) {
    this->WaitForStore(std::span(&submit, 1), job, queue->policy.priority,
                       "the store does not take writes now", time);
    return;
  }
  this->Admit(std::span(&submit, 1), std::move(job), *queue, time);
}

void PoolPlanner::Admit(std::span<const SubmitCall> calls, Job job,
                        const Queue& queue, const PlannerTime& time) {
  if (!this->FitsAnyWorker(job, queue.policy.service)) {
    this->Reject(calls, job, base::ResultCode::kCanNeverRun,
                 kNeverFitsRetryDelay, "a task is larger than every worker",
                 time);
    return;
  }
  if (!this->FitsTeamCap(job)) {
    ++this->counts_by_team[job.team].rejected_by_cap;
    this->Reject(calls, job, base::ResultCode::kCanNeverRun,
                 kNeverFitsRetryDelay,
                 "a task or a gang needs more than the cap of its team", time);
    return;
  }
  if (!this->memory.FitsSubmission(DefinitionCost(job) + OccurrenceCost(job))) {
    this->Reject(calls, job, base::ResultCode::kOverloaded, kMemoryRetryDelay,
                 "the work accepted before it leaves no memory for it", time);
    return;
  }
  const bool within_share = this->team_shares.IsWithin(job.team, time.now);
  if (this->RejectOverloaded(calls, job, queue, within_share, time)) return;
  job.accepted_ms = time.wall_ms;
  job.policy = queue.policy;
  JobState& state = this->AddJob(std::move(job), time);
  state.beyond_share = !within_share;
  this->CountAcceptedOfTeam(state, time.now);
  this->AwaitOccurrences(state);
  this->AddToLoad(state, time);
  if (state.job.occurrences == 0) {
    this->capacity.OnAccepted(state.policy.priority, CountTasks(state.job),
                              time.now);
  }
  state.waiting_submits.assign(calls.begin(), calls.end());
  this->QueueWrite(state);
  this->scheduling_needed = true;
}

bool PoolPlanner::RejectOverloaded(std::span<const SubmitCall> calls,
                                   const Job& job, const Queue& queue,
                                   bool within_share, const PlannerTime& time) {
  if (const auto retry_delay = this->CheckTeamCap(job, queue, time)) {
    ++this->counts_by_team[job.team].rejected_by_cap;
    this->Reject(calls, job, base::ResultCode::kOverloaded, *retry_delay,
                 "it would end too late under the cap of its team", time);
    return true;
  }
  const auto retry_delay = this->CheckOverload(job, queue, within_share, time);
  if (!retry_delay) return false;
  if (!within_share) ++this->counts_by_team[job.team].rejected_by_share;
  this->Reject(
      calls, job, base::ResultCode::kOverloaded, *retry_delay,
      within_share
          ? "it would end too late behind the work accepted before it"
          : "it is beyond the share of its team while all capacity is in use",
      time);
  return true;
}

bool PoolPlanner::FitsAnyWorker(const Job& job,
                                const base::ServiceId& service) {
  const std::vector<platform::Resources>& sizes =
      this->FindWorkerSizes(service);
  if (sizes.empty()) return true;
  return std::all_of(
      job.steps.begin(), job.steps.end(), [&sizes](const Step& step) {
        return std::any_of(sizes.begin(), sizes.end(),
                           [&step](const platform::Resources& size) {
                             return TakenResources(step).FitsIn(size);
                           });
      });
}

const std::vector<platform::Resources>& PoolPlanner::FindWorkerSizes(
    const base::ServiceId& service) {
  const auto [entry, is_new] = this->worker_sizes.try_emplace(service);
  std::vector<platform::Resources>& sizes = entry->second;
  if (!is_new) return sizes;
  for (const auto& [id, worker] : this->workers) {
    if (!worker->listed || worker->record.service != service) continue;
    if (std::find(sizes.begin(), sizes.end(), worker->largest_total) ==
        sizes.end()) {
      sizes.push_back(worker->largest_total);
    }
  }
  return sizes;
}

void PoolPlanner::ApplyQueuePolicy(JobState& job) {
  if (const Queue* queue = this->queues.Find(job.job.queue)) {
    job.policy = queue->policy;
  } else if (job.job.policy) {
    job.policy = *job.job.policy;
  }
  job.objective_end = job.accepted_at + job.policy.slack +
                      std::chrono::duration_cast<base::Duration>(
                          CriticalPathDuration(job.job) * job.policy.stretch);
}

JobState& PoolPlanner::AddJob(Job job, const PlannerTime& time) {
  auto state = std::make_unique<JobState>();
  state->job = std::move(job);
  state->accepted_at = time.now;
  if (state->job.accepted_ms > 0 && state->job.accepted_ms < time.wall_ms) {
    state->accepted_at -=
        std::chrono::milliseconds(time.wall_ms - state->job.accepted_ms);
  }
  this->ApplyQueuePolicy(*state);
  state->remaining_paths = RemainingCriticalPathDurations(state->job);
  JobState& added = *state;
  this->AddHeld(added, DefinitionCost(added.job));
  if (added.job.occurrences == 0 && !added.job.steps.empty()) {
    this->OpenOccurrence(added, 0, time);
  }
  this->open[added.job.id] = &added;
  this->jobs_by_id[added.job.id] = &added;
  this->jobs[added.job.id] = std::move(state);
  return added;
}

void PoolPlanner::RemoveUnstored(JobState& job, const PlannerTime& time) {
  for (const CallId call : job.waiting_cancels) {
    this->Answer(call, base::ResultCode::kNotFound);
  }
  for (const auto& step : job.steps) {
    this->DropGangReservation(*step);
    this->ReleaseTicketReservations(*step);
    if (step->advice.in_flight) {
      this->places.OnQueryDone(step->advice.lane, this->input_lag, time.now);
    }
  }
  this->ForgetAwaitedOccurrence(job);
  this->ReleaseHeld(job, job.held_bytes);
  this->open.erase(job.job.id);
  this->unwritten_jobs.Remove(job.job.id);
  const base::JobId id = job.job.id;
  this->jobs_by_id.erase(id);
  this->jobs.erase(id);
}

void PoolPlanner::Cancel(CallId call, const base::JobId& id,
                         const PlannerTime& time) {
  if (const auto waiting = this->waiting.Take(id)) {
    this->Reject(waiting->calls, waiting->job,
                 base::ResultCode::kStoreUnreachable,
                 this->store_health.RetryAfter(time.now),
                 "cancelled while it waited for the store", time);
  }
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    this->effects.push_back(StoreCheck{.call = call, .job = id});
    return;
  }
  JobState& job = *found->second;
  if (job.IsOpen()) {
    this->FinishJob(job, JobPhase::kCancelled, time);
  }
  if (IsFinal(job.stored_phase)) {
    this->Answer(call, base::ResultCode::kOk);
    return;
  }
  job.waiting_cancels.push_back(call);
}

void PoolPlanner::Describe(CallId call, const base::JobId& id,
                           const PlannerTime& /*time*/) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end() || !found->second->stored) {
    this->effects.push_back(StoreCheck{.call = call, .job = id});
    return;
  }
  const JobState& job = *found->second;
  // A final phase is reported only once it is stored, so that the next planner
  // knows it too.
  JobPhase phase = job.phase;
  if (IsFinal(phase) && !IsFinal(job.stored_phase)) phase = JobPhase::kRunning;
  this->effects.push_back(CallerAnswer{
      .call = call, .code = base::ResultCode::kOk, .phase = phase});
}

void PoolPlanner::CountPending(CallId call, const std::string& queue,
                               const PlannerTime& time) {
  if (time.now >= this->pending_valid_until) {
    this->pending_valid_until = time.now + kPendingCountPeriod;
    this->pending_by_queue.clear();
    for (const auto& [id, job] : this->open) {
      if (job->stored && job->phase == JobPhase::kQueued) {
        ++this->pending_by_queue[job->job.queue];
      }
    }
  }
  const auto counted = this->pending_by_queue.find(queue);
  this->effects.push_back(CallerAnswer{
      .call = call,
      .code = base::ResultCode::kOk,
      .pending = counted == this->pending_by_queue.end() ? 0 : counted->second,
      .counts_pending = true});
}

void PoolPlanner::OnStoreCheck(CallId call, std::optional<bool> exists) {
  if (exists && !*exists) {
    this->Answer(call, base::ResultCode::kNotFound, "no such job");
    return;
  }
  this->Answer(
      call, base::ResultCode::kOutcomeUnknown,
      exists ? "the job is not loaded here yet" : "the store did not answer");
}

}  // namespace agatepass::pool
