// Workers: records, leases, stops and incarnations.
#include <algorithm>
#include <string>
#include <utility>

#include "agatepass/pool/crash_evidence.h"
#include "agatepass/pool/leadership_evidence.h"
#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/worker_fence.h"

namespace agatepass::pool {

namespace {

/** Longest time for which jobs of earlier terms wait, beyond all leases, for a
 * worker that lives and cannot be reached. */
constexpr base::Duration kMaxHoldForLivingWorker = std::chrono::seconds(10);

/** Consecutive unanswered calls at which a worker is logged as unresponsive. It
 * is quarantined after each unanswered call. */
constexpr uint32_t kUnansweredCallsToLog = 1;

/** Period at which workers that are about to shut down, or whose leases have
 * expired, are looked for. */
constexpr base::Duration kWorkerCheckPeriod = std::chrono::milliseconds(25);

/** Delay of the write of the roster once an incarnation has settled, so that
 * one write has many. */
constexpr base::Duration kSettledWriteDelay = std::chrono::seconds(1);

/** Length of a list of workers from which on no more are logged. */
constexpr size_t kMaxLoggedIdsLength = 200;

/** Time for which a superseded planner may keep renewing leases and starting
 * tasks before it knows that it may be superseded. */
constexpr base::Duration kSupersededPlannerGrace = std::chrono::seconds(2);
static_assert(LeadershipEvidence::kMaxAge < kSupersededPlannerGrace);

/** Prefix of labels that name a rack; other labels name the kind of worker. */
constexpr char kRackPrefix = 'r';

/** Returns the label that names the worker's rack ("r", digits, "-", digits),
 * or an empty id if there is none. */
base::RackId RackOf(const WorkerRecord& record) {
  for (const std::string& label : record.labels) {
    if (label.size() < 4 || label[0] != kRackPrefix) continue;
    if (label.find('-') == std::string::npos) continue;
    if (label.find_first_not_of("0123456789-", 1) != std::string::npos) {
      continue;
    }
    return base::RackId(label);
  }
  return {};
}

}  // namespace

void PoolPlanner::OnWorker(const WorkerRecord& record,
                           const PlannerTime& time) {
  std::unique_ptr<WorkerState>& slot = this->workers[record.worker];
  const bool is_first_report = !slot;
  if (is_first_report) {
    slot = std::make_unique<WorkerState>();
    slot->index = this->workers_by_index.size();
    slot->former_incarnations = this->incarnations_of_removed;
    slot->fence =
        FenceOfIncarnation(this->options.fence, slot->former_incarnations);
    this->workers_by_index.push_back(slot.get());
    slot->next_sync = time.now;
    this->QueueSync(*slot);
    slot->last_answer_at = time.now;
    slot->record = record;
    slot->lease_expires_at = this->InheritedRunsExpireAt(record.worker);
  } else if (const int64_t known_start = slot->started_at_ms != 0
                                             ? slot->started_at_ms
                                             : slot->record.started_at_ms;
             known_start != 0 && record.started_at_ms != 0 &&
             known_start != record.started_at_ms) {
    // Its runs are kept until the next sync shows which are left: requests may
    // have reached the new incarnation.
    this->ForgetIncarnation(*slot, time);
    slot->leaves_at.reset();
    slot->largest_total = {};
    this->worker_sizes.clear();
  }
  if (record.draining && !slot->record.draining) {
    this->log.Add(time.now, "worker draining", "worker={} remaining_ms={}",
                  record.worker.value, base::ToMilliseconds(record.remaining));
  }
  if (!is_first_report && record.total != slot->record.total) {
    this->log.Add(time.now, "worker capacity changed",
                  "worker={} millicores={} memory_mib={} accelerators={} "
                  "millicores_before={} used_millicores={}",
                  record.worker.value, record.total.millicores,
                  record.total.memory_mib, record.total.accelerators,
                  slot->record.total.millicores, slot->used.millicores);
  }
  const platform::Resources largest_total =
      platform::Max(slot->largest_total, record.total);
  if (!slot->listed || slot->record.service != record.service ||
      slot->largest_total != largest_total) {
    this->worker_sizes.clear();
  }
  slot->record = record;
  slot->largest_total = largest_total;
  slot->rack = RackOf(record);
  slot->listed = true;
  slot->replaced = false;
  this->RecordDraining(
      *slot,
      is_first_report ? this->options.worker_report_period : base::Duration(0),
      time.now);
  this->roster_may_be_incomplete = true;
  this->scheduling_needed = true;
}

void PoolPlanner::OnWorkerUnlisted(const base::WorkerId& id,
                                   const PlannerTime& time) {
  const auto found = this->workers.find(id);
  if (found == this->workers.end()) return;
  found->second->listed = false;
  this->worker_sizes.clear();
  this->log.Add(time.now, "worker unlisted",
                "worker={} runs={} draining={} last_answer_ms={}", id.value,
                found->second->runs.size(), found->second->record.draining,
                base::ToMilliseconds(time.now - found->second->last_answer_at));
}

std::optional<int64_t> PoolPlanner::LeaseOnWorkerClock(
    const WorkerState& worker, base::Instant now) const {
  if (!worker.clock_ms) return std::nullopt;
  return *worker.clock_ms + base::ToMilliseconds(now - worker.clock_read_at) +
         base::ToMilliseconds(this->GetLeaseTime(worker, now));
}

void PoolPlanner::RecordAnswer(WorkerState& worker, int64_t clock_ms,
                               base::Instant now) {
  // Each incarnation's clock starts anew. An answer that was overtaken shows an
  // earlier reading too, which costs no more than a later acknowledgement.
  if (worker.clock_ms && clock_ms < *worker.clock_ms)
    worker.may_have_restarted = true;
  worker.clock_ms = clock_ms;
  worker.clock_read_at = now;
  worker.last_answer_at = now;
  worker.unanswered_calls = 0;
  RecordSurvival(worker, clock_ms);
}

void PoolPlanner::RecordLease(WorkerState& worker, base::Instant now) {
  // The lease ends at a fixed reading of the worker's clock, whenever the
  // worker processes the request. That reading was computed from the latest
  // known one, and the clock may run slow from then on.
  const base::Duration lease_time =
      this->GetLeaseTime(worker, now) + (now - worker.clock_read_at);
  worker.lease_expires_at =
      std::max(worker.lease_expires_at, now + this->OnSlowestClock(lease_time));
}

void PoolPlanner::SendStops(const PlannerTime& time) {
  for (const RunKey& key : this->stopping_runs) {
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) continue;
    RunState& run = *found->second;
    if (run.stop_in_flight || run.stop_confirmed_at ||
        time.now < run.next_stop) {
      continue;
    }
    run.stop_in_flight = true;
    this->effects.push_back(StopRequest{.worker = run.worker->record.worker,
                                        .endpoint = run.worker->record.endpoint,
                                        .task = run.task,
                                        .run = run.run_number,
                                        .fence = run.worker->fence});
  }
}

void PoolPlanner::OnStop(const StopRequest& request,
                         const StartStopReply& reply, const PlannerTime& time) {
  if (reply.result == WorkerCallResult::kFenced)
    this->HandleFenced(request.worker, request.fence, time);
  if (this->superseded) return;
  RunState* run = this->FindRun(request.task, request.run);
  // The stop of a duplicate says nothing about the run on the other worker.
  if (run == nullptr || run->worker->record.worker != request.worker) return;
  run->stop_in_flight = false;
  if (run->worker->WasForFormerIncarnation(request.fence)) {
    run->next_stop = time.now;
    return;
  }
  switch (reply.result) {
    case WorkerCallResult::kDone:
    case WorkerCallResult::kStaleRun:
      run->stop_confirmed_at = time.now;
      // Only the next sync shows whether it ran.
      run->worker->quick_sync_wanted = true;
      this->QueueSync(*run->worker);
      break;
    case WorkerCallResult::kOtherIncarnation:
      this->EndIncarnation(*run->worker, time);
      break;
    default:
      run->next_stop = time.now + this->options.stop_retry_delay;
      break;
  }
}

void PoolPlanner::HandleFenced(const base::WorkerId& id, Fence fence,
                               const PlannerTime& time) {
  const auto found = this->workers.find(id);
  const bool was_for_former = found != this->workers.end() &&
                              found->second->WasForFormerIncarnation(fence);
  if (!was_for_former) {
    this->EndLeadership("a worker has seen a higher fence");
    return;
  }
  this->log.Add(time.now, "call to former worker incarnation refused",
                "worker={} fence={} current_fence={}", id.value, fence,
                found->second->fence);
}

void PoolPlanner::RecordUnansweredCall(WorkerState& worker,
                                       const PlannerTime& time) {
  ++worker.unanswered_calls;
  worker.may_have_restarted = true;
  worker.quarantined_until = time.now + this->options.quarantine_time;
  this->RecordSilence(worker, time.now);
  if (worker.unanswered_calls == kUnansweredCallsToLog) {
    this->log.Add(time.now, "worker unresponsive",
                  "worker={} last_answer_ms={} runs={} unproven_jobs={} "
                  "unexplained={} synced={}",
                  worker.record.worker.value,
                  base::ToMilliseconds(time.now - worker.last_answer_at),
                  worker.runs.size(), CountUnprovenJobs(worker),
                  worker.silence && worker.silence->unexplained, worker.synced);
  }
}

void PoolPlanner::ForgetIncarnation(WorkerState& worker,
                                    const PlannerTime& time) {
  this->RecordSilence(worker, time.now);
  this->log.Add(time.now, "worker incarnation changed",
                "worker={} runs={} unexplained={} synced={}",
                worker.record.worker.value, worker.runs.size(),
                worker.silence->unexplained, worker.synced);
  worker.silence->over = true;
  worker.fence =
      FenceOfIncarnation(this->options.fence, ++worker.former_incarnations);
  worker.synced = false;
  worker.settled = false;
  if (this->settled_incarnations.erase(worker.record.worker) > 0) {
    // Nothing starts on the next incarnation while the stored roster vouches
    // for this one.
    worker.in_roster = false;
    this->roster_is_stale = true;
  }
  worker.may_have_restarted = true;
  // The former incarnation leaves a sync in flight without an answer.
  worker.quick_sync_wanted = true;
  this->QueueSync(worker);
  worker.last_stored_end = 0;
  worker.last_handled_end = 0;
  worker.last_acknowledged_end = 0;
  worker.ends_truncated = false;
  worker.unstored_ends.clear();
  worker.clock_ms.reset();
  worker.started_at_ms = 0;
  worker.next_sync = time.now;
  for (RunState* run : worker.runs) {
    run->worker_restarted = true;
    run->listed = false;
    run->confirmed_clock_ms.reset();
  }
}

void PoolPlanner::EndIncarnation(WorkerState& worker, const PlannerTime& time) {
  if (worker.replaced && worker.runs.empty()) return;
  this->RecordSilence(worker, time.now);
  this->DropLostRuns(worker, true, time);
  this->ForgetIncarnation(worker, time);
  worker.lease_expires_at = {};
  this->unsynced_workers.erase(worker.record.worker);
  worker.replaced = true;
  this->roster_is_stale =
      std::exchange(worker.in_roster, false) || this->roster_is_stale;
}

bool PoolPlanner::MayOutlastLease(const RunState& run,
                                  base::Instant now) const {
  if (run.listed) return false;
  const base::Duration longest_lease =
      this->OnSlowestClock(this->options.max_worker_lease);
  if (IsAcknowledged(run)) {
    return !this->HasExpired(run.start_confirmed_at + longest_lease, now);
  }
  return this->IsKnownToLive(*run.worker, now) &&
         now < run.start_requested_at + kMaxCallDelay + longest_lease;
}

void PoolPlanner::DropLostRuns(WorkerState& worker, bool restarted,
                               const PlannerTime& time) {
  std::vector<RunState*> lost;
  for (RunState* run : worker.runs) {
    if (restarted || !this->MayOutlastLease(*run, time.now))
      lost.push_back(run);
  }
  if (lost.empty()) return;
  ++this->totals.workers_lost;
  this->totals.runs_given_up += lost.size();
  const base::Instant silent_at =
      worker.silence ? worker.silence->since : time.now;
  this->log.Add(time.now, "runs lost",
                "worker={} runs={} unproven_jobs={} was_silent={} silent_ms={} "
                "unexplained_silences={} reason=\"{}\"",
                worker.record.worker.value, lost.size(),
                CountUnprovenJobs(worker), worker.silence.has_value(),
                base::ToMilliseconds(time.now - silent_at),
                this->FindUnexplainedSilences(worker, silent_at).workers,
                restarted ? "another worker incarnation answers at its address"
                          : "worker lease expired");
  for (RunState* run : lost) {
    this->log.Add(time.now, "run given up",
                  "task={} run={} worker={} phase={} percent={} "
                  "last_answer_ms={} run_ms={} acknowledged={} listed={} "
                  "survived_ms={} on_trial={}",
                  ToString(run->task), run->run_number,
                  worker.record.worker.value, static_cast<int>(run->phase),
                  run->last_progress.percent,
                  base::ToMilliseconds(time.now - worker.last_answer_at),
                  base::ToMilliseconds(silent_at - run->start_requested_at),
                  IsAcknowledged(*run), run->listed,
                  base::ToMilliseconds(run->survived), run->on_trial);
    // The lease of a worker that was never silent ran out because this planner
    // was late.
    if (restarted || worker.silence) this->RecordCrash(*run, restarted, time);
    this->HandleAbsentRun(*run, time.now, time);
  }
}

void PoolPlanner::CheckWorkers(const PlannerTime& time) {
  if (time.now < this->next_worker_check) return;
  this->next_worker_check = time.now + kWorkerCheckPeriod;
  this->NoteSettledIncarnations(time.now);
  this->StopRunsBeforeShutdown(time);
  this->DropExpiredWorkers(time);
  this->BlameQueues(time.now);
  this->CheckTrials(time);
}

bool PoolPlanner::HasExpired(base::Instant lease_end, base::Instant now) const {
  return std::min(now, this->leadership_confirmed_at.value_or(now)) > lease_end;
}

void PoolPlanner::DropExpiredWorkers(const PlannerTime& time) {
  // By index: entries may be removed meanwhile.
  for (size_t i = 0; i < this->workers_by_index.size(); ++i) {
    if (this->workers_by_index[i] == nullptr) continue;
    WorkerState& worker = *this->workers_by_index[i];
    if (!this->HasExpired(worker.lease_expires_at, time.now)) continue;
    if (!worker.runs.empty()) this->DropLostRuns(worker, false, time);
    const bool removable =
        !worker.listed && !worker.sync_in_flight && worker.runs.empty() &&
        time.now > worker.last_answer_at + this->options.worker_lease &&
        worker.gang_reservations.empty() &&
        worker.reserved_for_tickets == platform::Resources{};
    if (!removable) continue;
    const base::WorkerId id = worker.record.worker;
    this->log.Add(time.now, "worker removed", "worker={}", id.value);
    this->roster_is_stale = this->roster_is_stale || worker.in_roster;
    this->RemoveWorker(worker);
    this->settled_incarnations.erase(id);
    this->workers.erase(id);
  }
}

void PoolPlanner::RemoveWorker(WorkerState& worker) {
  this->incarnations_of_removed =
      std::max(this->incarnations_of_removed, worker.former_incarnations + 1);
  this->workers_by_index[worker.index] = nullptr;
  std::erase(this->sync_queue, &worker);
  std::erase(this->workers_with_unstored_ends, &worker);
  for (auto& [id, job] : this->open) {
    for (const auto& step : job->steps) {
      step->advice.tickets.erase(worker.record.worker);
    }
  }
}

void PoolPlanner::NoteSettledIncarnations(base::Instant now) {
  for (const auto& [id, worker] : this->workers) {
    if (worker->settled || !worker->synced || worker->started_at_ms == 0)
      continue;
    if (now <= worker->inherited_lease_until) continue;
    worker->settled = true;
    this->settled_incarnations[id] = worker->started_at_ms;
    if (!this->settled_write_at)
      this->settled_write_at = now + kSettledWriteDelay;
  }
  if (!this->settled_write_at || now < *this->settled_write_at) return;
  this->settled_write_at.reset();
  this->roster_is_stale = true;
}

base::Instant PoolPlanner::EndOfInheritedLease(base::Duration lease) const {
  return this->term_started_at + this->OnSlowestClock(lease) +
         kSupersededPlannerGrace;
}

base::Instant PoolPlanner::InheritedRunsExpireAt(
    const base::WorkerId& id) const {
  const auto settled = this->settled_incarnations.find(id);
  const auto worker = this->workers.find(id);
  // The store may show that it has started again since.
  const bool has_usual_lease =
      settled != this->settled_incarnations.end() &&
      (worker == this->workers.end() ||
       worker->second->record.started_at_ms == settled->second);
  return this->EndOfInheritedLease(has_usual_lease
                                       ? this->options.worker_lease
                                       : this->options.max_worker_lease);
}

void PoolPlanner::DropUnlistedUnsyncedWorkers(base::Instant now) {
  if (this->unsynced_workers.empty()) return;
  // A worker that is not listed by now has no runs that the next planner would
  // have to wait for.
  const size_t size_before = this->unsynced_workers.size();
  std::erase_if(this->unsynced_workers, [&](const base::WorkerId& id) {
    if (this->workers.contains(id)) return false;
    if (!this->HasExpired(this->InheritedRunsExpireAt(id), now)) return false;
    this->settled_incarnations.erase(id);
    return true;
  });
  if (this->unsynced_workers.size() < size_before) this->roster_is_stale = true;
}

bool PoolPlanner::CanStartInheritedJobs(base::Instant now) const {
  if (this->unsynced_workers.empty()) return true;
  const base::Instant usual_end =
      this->EndOfInheritedLease(this->options.worker_lease);
  if (!this->HasExpired(usual_end, now)) return false;
  // These runs have ended, but a worker that lives may list only later that
  // they have succeeded.
  const bool may_hold =
      !this->HasExpired(usual_end + kMaxHoldForLivingWorker, now);
  return std::none_of(
      this->unsynced_workers.begin(), this->unsynced_workers.end(),
      [&](const base::WorkerId& id) {
        if (!this->HasExpired(this->InheritedRunsExpireAt(id), now))
          return true;
        const auto found = this->workers.find(id);
        if (found == this->workers.end()) return false;
        const WorkerState& worker = *found->second;
        const bool lists_more =
            worker.ends_truncated &&
            now < worker.last_answer_at + this->options.worker_lease;
        return lists_more || (may_hold && this->IsKnownToLive(worker, now));
      });
}

void PoolPlanner::LogEndOfEarlierTerms(base::Instant now) {
  if (this->end_of_earlier_terms_logged || !this->CanStartInheritedJobs(now))
    return;
  this->end_of_earlier_terms_logged = true;
  std::string unsynced;
  for (const base::WorkerId& id : this->unsynced_workers) {
    if (unsynced.size() > kMaxLoggedIdsLength) break;
    const auto found = this->workers.find(id);
    const bool listed = found != this->workers.end() && found->second->listed;
    unsynced += (unsynced.empty() ? "" : ",") + id.value;
    unsynced += listed ? "" : "(unlisted)";
  }
  this->log.Add(now, "jobs of earlier terms may start",
                "fence={} after_ms={} unsynced={} workers=\"{}\"",
                this->options.fence,
                base::ToMilliseconds(now - this->term_started_at),
                this->unsynced_workers.size(), unsynced);
}

bool PoolPlanner::IsKnownToLive(const WorkerState& worker,
                                base::Instant now) const {
  return worker.listed && this->workers_confirmed_at &&
         now - *this->workers_confirmed_at < this->options.max_capacity_age;
}

}  // namespace agatepass::pool
