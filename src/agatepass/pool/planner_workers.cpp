// Workers: records, leases, reported runs and incarnations.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

/** Consecutive unanswered calls at which a worker is logged as unresponsive. It
 * is quarantined after each unanswered call. */
constexpr uint32_t kUnansweredCallsToLog = 1;

/** Period at which workers that are about to shut down, or whose leases have
 * expired, are looked for. */
constexpr base::Duration kWorkerCheckPeriod = std::chrono::milliseconds(25);

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
    this->workers_by_index.push_back(slot.get());
    slot->next_sync = time.now;
    this->QueueSync(*slot);
    slot->last_answer_at = time.now;
    slot->lease_expires_at = this->inherited_runs_expire_at;
  } else if (const int64_t known_start = slot->started_at_ms != 0
                                             ? slot->started_at_ms
                                             : slot->record.started_at_ms;
             known_start != 0 && record.started_at_ms != 0 &&
             known_start != record.started_at_ms) {
    // Its runs are kept until the next sync shows which are left: requests may
    // have reached the new incarnation.
    this->ForgetIncarnation(*slot, time);
    slot->leaves_at.reset();
  }
  if (record.draining && !slot->record.draining) {
    this->log.Add(time.now, "worker draining", "worker={} remaining_ms={}",
                  record.worker.value, base::ToMilliseconds(record.remaining));
  }
  slot->record = record;
  slot->rack = RackOf(record);
  slot->listed = true;
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
}

void PoolPlanner::QueueSync(WorkerState& worker) {
  if (std::exchange(worker.in_sync_queue, true)) return;
  this->sync_queue.push_back(&worker);
}

void PoolPlanner::SendSyncs(const PlannerTime& time) {
  std::vector<WorkerState*> queued;
  queued.swap(this->sync_queue);
  for (WorkerState* worker : queued) {
    worker->in_sync_queue = false;
    if (!worker->sync_in_flight && time.now >= worker->next_sync) {
      // No long poll while ends are not stored: the worker lists them already
      // and would answer immediately.
      const bool long_poll = worker->synced && worker->unstored_ends.empty() &&
                             worker->unanswered_calls == 0;
      worker->sync_in_flight = true;
      worker->quick_sync_wanted = worker->quick_sync_wanted && long_poll;
      this->SendSync(*worker, long_poll, time);
    }
    if (worker->quick_sync_wanted && !worker->quick_sync_in_flight) {
      worker->quick_sync_wanted = false;
      worker->quick_sync_in_flight = true;
      this->SendSync(*worker, false, time);
    }
    if (!worker->sync_in_flight || worker->quick_sync_wanted) {
      this->QueueSync(*worker);
    }
  }
}

void PoolPlanner::SendSync(WorkerState& worker, bool long_poll,
                           const PlannerTime& time) {
  SyncRequest request{.worker = worker.record.worker,
                      .endpoint = worker.record.endpoint,
                      .fence = this->options.fence,
                      .sent_at = time.now};
  // Another incarnation may answer, whose ends have not been read. An
  // acknowledgement that was answered is not repeated, as a sync that a restart
  // cuts off may be carried out by the next incarnation.
  if (!worker.may_have_restarted &&
      worker.last_stored_end > worker.last_acknowledged_end) {
    request.acknowledged_up_to = worker.last_stored_end;
  }
  // The lease of a worker that does not answer is not renewed, so that it
  // expires and its runs provably end; nor is any lease while this planner may
  // be superseded.
  if (worker.unanswered_calls == 0 && !this->unconfirmed_since) {
    request.lease_until_ms = this->LeaseOnWorkerClock(worker, time.now);
  }
  if (long_poll) {
    request.max_wait = worker.runs.empty() ? this->options.idle_sync_wait
                                           : this->options.sync_wait;
  }
  if (request.lease_until_ms) this->RecordLease(worker, time.now);
  this->effects.push_back(std::move(request));
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
                                        .fence = this->options.fence});
  }
}

void PoolPlanner::OnStop(const StopRequest& request,
                         const StartStopReply& reply, const PlannerTime& time) {
  if (reply.result == WorkerCallResult::kFenced) {
    this->EndLeadership("a worker has seen a higher fence");
    return;
  }
  RunState* run = this->FindRun(request.task, request.run);
  // The stop of a duplicate says nothing about the run on the other worker.
  if (run == nullptr || run->worker->record.worker != request.worker) return;
  run->stop_in_flight = false;
  if (std::exchange(run->stop_outdated, false)) {
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

void PoolPlanner::HandleFailedSync(WorkerState& worker,
                                   const SyncRequest& request,
                                   WorkerCallResult result,
                                   const PlannerTime& time) {
  if (result == WorkerCallResult::kOtherIncarnation &&
      !worker.MayConcernFormerIncarnation(request.sent_at)) {
    this->EndIncarnation(worker, time);
  } else {
    this->RecordUnansweredCall(worker, time);
  }
  worker.next_sync = time.now + this->options.sync_retry_delay;
}

void PoolPlanner::OnSync(const SyncRequest& request, const SyncReply& reply,
                         const PlannerTime& time) {
  if (reply.result == WorkerCallResult::kFenced) {
    this->EndLeadership("a worker has seen a higher fence");
    return;
  }
  const auto found = this->workers.find(request.worker);
  if (found == this->workers.end()) return;
  WorkerState& worker = *found->second;
  const bool quick =
      request.max_wait.count() == 0 && worker.quick_sync_in_flight;
  (quick ? worker.quick_sync_in_flight : worker.sync_in_flight) = false;
  this->QueueSync(worker);
  if (reply.result != WorkerCallResult::kDone) {
    this->HandleFailedSync(worker, request, reply.result, time);
    return;
  }
  const bool may_be_former =
      worker.MayConcernFormerIncarnation(request.sent_at);
  if (reply.started_at_ms != worker.started_at_ms) {
    if (may_be_former) {
      this->HandleFormerIncarnation(worker, reply, time);
      return;
    }
    if (worker.started_at_ms != 0) this->ForgetIncarnation(worker, time);
    worker.started_at_ms = reply.started_at_ms;
  } else if (!may_be_former) {
    worker.last_acknowledged_end =
        std::max(worker.last_acknowledged_end, request.acknowledged_up_to);
  }
  this->RecordAnswer(worker, reply.worker_clock_ms, time.now);
  worker.may_have_restarted = false;
  if (!std::exchange(worker.synced, true)) {
    // The fence of this sync ends renewals by earlier planners.
    worker.lease_expires_at =
        std::min(worker.lease_expires_at,
                 time.now + this->OnSlowestClock(this->options.worker_lease));
    this->log.Add(time.now, "worker synced", "worker={} running={} ended={}",
                  request.worker.value, reply.running.size(),
                  reply.ended.size());
  }
  for (const ReportedEnd& report : reply.ended) {
    if (report.sequence_number > worker.last_handled_end)
      this->HandleEnd(worker, report, time);
  }
  if (!worker.unstored_ends.empty()) {
    // Ends that change nothing need no commit before they are acknowledged.
    this->AcknowledgeStoredEnds(worker, time);
    if (worker.unstored_ends.empty())
      std::erase(this->workers_with_unstored_ends, &worker);
  }
  this->HandleReportedRuns(worker, reply, time);
  worker.ends_truncated = reply.ends_truncated;
  if (!worker.ends_truncated) {
    this->HandleMissingRuns(worker, request.sent_at, reply, time);
    this->unsynced_workers.erase(request.worker);
  }
  worker.next_sync = time.now;
  if (!worker.unstored_ends.empty()) {
    worker.next_sync += this->IsAboutToShutDown(worker, time.now)
                            ? this->options.syncs_before_shutdown_delay
                            : this->options.sync_retry_delay;
  }
  this->scheduling_needed = true;
}

void PoolPlanner::HandleFormerIncarnation(WorkerState& worker,
                                          const SyncReply& reply,
                                          const PlannerTime& time) {
  this->log.Add(time.now, "late answer of another worker incarnation",
                "worker={} started_at_ms={} ended={}",
                worker.record.worker.value, reply.started_at_ms,
                reply.ended.size());
  for (const ReportedEnd& report : reply.ended) {
    this->ApplyEnd(worker, report, time);
  }
  worker.next_sync = time.now;
  this->scheduling_needed = true;
}

void PoolPlanner::HandleReportedRuns(WorkerState& worker,
                                     const SyncReply& reply,
                                     const PlannerTime& time) {
  for (const ReportedRun& report : reply.running) {
    RunState* run = this->FindRun(report.task, report.run);
    if (run == nullptr) {
      this->HandleUntrackedRun(worker, report, time);
      continue;
    }
    if (run->worker != &worker) {
      this->StopDuplicateRun(worker, report, time);
      continue;
    }
    if (run->phase == RunPhase::kStartRequested) {
      run->phase = RunPhase::kRunning;
      run->start_confirmed_at = time.now;
    }
    this->CheckProgress(*run, report.percent, time);
    if (run->step != nullptr && !report.checkpoint.empty()) {
      run->step->tasks[report.task.index].checkpoint = report.checkpoint;
    }
  }
}

void PoolPlanner::HandleMissingRuns(WorkerState& worker, base::Instant sent_at,
                                    const SyncReply& reply,
                                    const PlannerTime& time) {
  std::set<RunKey> reported;
  for (const ReportedRun& report : reply.running) {
    reported.emplace(report.task, report.run);
  }
  std::vector<RunState*> missing;
  for (RunState* run : worker.runs) {
    if (reported.contains({run->task, run->run_number})) continue;
    const bool stopped =
        run->stop_confirmed_at && *run->stop_confirmed_at < sent_at;
    const bool vanished =
        run->phase == RunPhase::kRunning && run->start_confirmed_at < sent_at;
    if (stopped || vanished) missing.push_back(run);
  }
  for (RunState* run : missing) {
    this->log.Add(time.now, "run absent from worker",
                  "task={} run={} worker={} phase={}", ToString(run->task),
                  run->run_number, worker.record.worker.value,
                  static_cast<int>(run->phase));
    this->HandleAbsentRun(*run, time.now, time);
  }
}

void PoolPlanner::StopDuplicateRun(WorkerState& worker,
                                   const ReportedRun& report,
                                   const PlannerTime& time) {
  this->log.Add(time.now, "run reported by two workers",
                "task={} run={} worker={}", ToString(report.task), report.run,
                worker.record.worker.value);
  // The run's resources are not counted as used, so nothing may start beside
  // it.
  worker.quarantined_until = time.now + this->options.quarantine_time;
  this->effects.push_back(StopRequest{.worker = worker.record.worker,
                                      .endpoint = worker.record.endpoint,
                                      .task = report.task,
                                      .run = report.run,
                                      .fence = this->options.fence});
}

void PoolPlanner::HandleUntrackedRun(WorkerState& worker,
                                     const ReportedRun& report,
                                     const PlannerTime& time) {
  StepState* step = this->FindStep(report.task);
  const bool needed = step != nullptr && step->job->IsOpen() &&
                      step->job->inherited &&
                      !step->tasks[report.task.index].succeeded &&
                      step->tasks[report.task.index].current_run == nullptr;
  // A run of an unknown job may use any resources: all of the worker counts as
  // used until the run has ended.
  const platform::Resources need =
      step == nullptr ? worker.record.total : step->definition->need;
  RunState& run = this->AddRun(report.task, report.run, worker,
                               needed ? step : nullptr, need);
  run.phase = RunPhase::kRunning;
  run.start_requested_at = time.now;
  run.start_confirmed_at = time.now;
  run.last_progress = {report.percent, time.now};
  // Whoever started it granted no longer lease.
  worker.lease_expires_at =
      std::max(worker.lease_expires_at,
               time.now + this->OnSlowestClock(this->options.worker_lease));
  this->log.Add(time.now,
                needed ? "run of earlier term continued" : "run not needed",
                "task={} run={} worker={} percent={}", ToString(report.task),
                report.run, worker.record.worker.value, report.percent);
  if (!needed) {
    this->RequestStop(run, time.now);
    return;
  }
  run.expected_end = time.now + step->definition->estimate;
  if (!report.checkpoint.empty())
    step->tasks[report.task.index].checkpoint = report.checkpoint;
  if (step->job->phase == JobPhase::kQueued) {
    step->job->phase = JobPhase::kRunning;
  }
}

void PoolPlanner::RecordUnansweredCall(WorkerState& worker,
                                       const PlannerTime& time) {
  ++worker.unanswered_calls;
  worker.may_have_restarted = true;
  worker.quarantined_until = time.now + this->options.quarantine_time;
  if (worker.unanswered_calls == kUnansweredCallsToLog) {
    this->log.Add(time.now, "worker unresponsive",
                  "worker={} last_answer_ms={}", worker.record.worker.value,
                  base::ToMilliseconds(time.now - worker.last_answer_at));
  }
}

void PoolPlanner::ForgetIncarnation(WorkerState& worker,
                                    const PlannerTime& time) {
  this->log.Add(time.now, "worker incarnation changed", "worker={} runs={}",
                worker.record.worker.value, worker.runs.size());
  worker.synced = false;
  worker.may_have_restarted = true;
  worker.incarnation_changed_at = time.now;
  worker.last_stored_end = 0;
  worker.last_handled_end = 0;
  worker.last_acknowledged_end = 0;
  worker.ends_truncated = false;
  worker.unstored_ends.clear();
  worker.clock_ms.reset();
  worker.started_at_ms = 0;
  worker.next_sync = time.now;
  for (RunState* run : worker.runs) {
    // The new incarnation may still get the start, and has seen no stop.
    if (run->stop_in_flight) run->stop_outdated = true;
    if (run->stop_confirmed_at && run->start_confirmed_at == base::Instant()) {
      run->stop_confirmed_at.reset();
      run->next_stop = time.now;
    }
  }
}

void PoolPlanner::EndIncarnation(WorkerState& worker, const PlannerTime& time) {
  this->DropLostRuns(worker,
                     "another worker incarnation answers at its address", time);
  this->ForgetIncarnation(worker, time);
  worker.lease_expires_at = {};
  this->unsynced_workers.erase(worker.record.worker);
}

void PoolPlanner::DropLostRuns(WorkerState& worker, std::string_view reason,
                               const PlannerTime& time) {
  if (worker.runs.empty()) return;
  ++this->totals.workers_lost;
  this->totals.runs_given_up += worker.runs.size();
  this->log.Add(time.now, "runs lost", "worker={} runs={} reason=\"{}\"",
                worker.record.worker.value, worker.runs.size(), reason);
  const std::vector<RunState*> lost = worker.runs;
  for (RunState* run : lost) {
    this->log.Add(time.now, "run given up",
                  "task={} run={} worker={} phase={} percent={} "
                  "last_answer_ms={}",
                  ToString(run->task), run->run_number,
                  worker.record.worker.value, static_cast<int>(run->phase),
                  run->last_progress.percent,
                  base::ToMilliseconds(time.now - worker.last_answer_at));
    this->HandleAbsentRun(*run, time.now, time);
  }
}

void PoolPlanner::CheckWorkers(const PlannerTime& time) {
  if (time.now < this->next_worker_check) return;
  this->next_worker_check = time.now + kWorkerCheckPeriod;
  this->StopRunsBeforeShutdown(time);
  this->DropExpiredWorkers(time);
}

bool PoolPlanner::HasExpired(base::Instant lease_end, base::Instant now) const {
  return std::min(now, this->leadership_confirmed_at.value_or(now)) > lease_end;
}

void PoolPlanner::DropExpiredWorkers(const PlannerTime& time) {
  for (auto entry = this->workers.begin(); entry != this->workers.end();) {
    WorkerState& worker = *entry->second;
    if (!this->HasExpired(worker.lease_expires_at, time.now)) {
      ++entry;
      continue;
    }
    if (!worker.runs.empty())
      this->DropLostRuns(worker, "worker lease expired", time);
    const bool removable =
        !worker.listed && !worker.sync_in_flight &&
        time.now > worker.last_answer_at + this->options.worker_lease &&
        worker.gang_reservations.empty() &&
        worker.reserved_for_tickets == platform::Resources{};
    if (removable) {
      this->log.Add(time.now, "worker removed", "worker={}",
                    entry->first.value);
      this->roster_is_stale = this->roster_is_stale || worker.in_roster;
      this->RemoveWorker(worker);
      entry = this->workers.erase(entry);
    } else {
      ++entry;
    }
  }
}

void PoolPlanner::RemoveWorker(WorkerState& worker) {
  this->workers_by_index[worker.index] = nullptr;
  std::erase(this->sync_queue, &worker);
  std::erase(this->workers_with_unstored_ends, &worker);
  for (auto& [id, job] : this->open) {
    for (const auto& step : job->steps) {
      step->advice.tickets.erase(worker.record.worker);
    }
  }
}

void PoolPlanner::DropUnlistedUnsyncedWorkers(base::Instant now) {
  if (this->unsynced_workers.empty() ||
      !this->HasExpired(this->inherited_runs_expire_at, now)) {
    return;
  }
  // A worker that is not listed by now has no runs that the next planner would
  // have to wait for.
  const size_t size_before = this->unsynced_workers.size();
  std::erase_if(this->unsynced_workers, [this](const base::WorkerId& id) {
    return !this->workers.contains(id);
  });
  if (this->unsynced_workers.size() < size_before) this->roster_is_stale = true;
}

bool PoolPlanner::CanStartInheritedJobs(base::Instant now) const {
  if (this->unsynced_workers.empty()) return true;
  if (!this->HasExpired(this->inherited_runs_expire_at, now)) return false;
  // A worker that answers may list the ends of these runs only later.
  return std::none_of(this->unsynced_workers.begin(),
                      this->unsynced_workers.end(),
                      [&](const base::WorkerId& id) {
                        const auto worker = this->workers.find(id);
                        return worker != this->workers.end() &&
                               worker->second->ends_truncated &&
                               now < worker->second->last_answer_at +
                                         this->options.worker_lease;
                      });
}

}  // namespace agatepass::pool
