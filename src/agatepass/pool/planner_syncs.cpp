// Syncs with workers: when they are sent, and what the answers tell of runs.
#include <algorithm>
#include <utility>
#include <vector>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/worker_fence.h"

namespace agatepass::pool {

namespace {

/** Lag of the inputs from which ends are gathered. */
constexpr base::Duration kMinLagToGather = std::chrono::milliseconds(20);

/** Longest time for which a late planner leaves a worker without a sync: short
 * beside its lease. */
constexpr base::Duration kMaxGatheringTime = std::chrono::milliseconds(300);

constexpr int kCompletePercent = 100;

}  // namespace

void PoolPlanner::QueueSync(WorkerState& worker) {
  if (std::exchange(worker.in_sync_queue, true)) return;
  this->sync_queue.push_back(&worker);
}

base::Duration PoolPlanner::SyncWait(const WorkerState& worker) const {
  return worker.runs.empty() ? this->options.idle_sync_wait
                             : this->options.sync_wait;
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
      worker->sync_due_at =
          time.now + (long_poll ? this->SyncWait(*worker) : base::Duration(0));
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
                      .fence = worker.fence,
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
    request.max_wait = this->SyncWait(worker);
  }
  if (request.lease_until_ms) this->RecordLease(worker, time.now);
  this->effects.push_back(std::move(request));
}

void PoolPlanner::HandleFailedSync(WorkerState& worker,
                                   const SyncRequest& request,
                                   WorkerCallResult result,
                                   const PlannerTime& time) {
  if (worker.WasForFormerIncarnation(request.fence)) {
    worker.next_sync = time.now;
    return;
  }
  if (result == WorkerCallResult::kOtherIncarnation) {
    this->EndIncarnation(worker, time);
  } else if (result != WorkerCallResult::kNotTried) {
    this->RecordUnansweredCall(worker, time);
  }
  worker.next_sync = time.now + this->options.sync_retry_delay;
}

void PoolPlanner::OnSync(const SyncRequest& request, const SyncReply& reply,
                         const PlannerTime& time) {
  if (reply.result == WorkerCallResult::kFenced)
    this->HandleFenced(request.worker, request.fence, time);
  if (this->superseded) return;
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
  if (worker.WasForFormerIncarnation(request.fence)) {
    // Whichever incarnation answers: the current one is asked again, under its
    // own fence.
    this->HandleFormerIncarnation(worker, reply, time);
    return;
  }
  if (reply.started_at_ms != worker.started_at_ms) {
    if (worker.started_at_ms != 0) {
      // It has carried out a call that was meant for its former incarnation,
      // and may get more of them until it has seen its own fence.
      this->ForgetIncarnation(worker, time);
      worker.started_at_ms = reply.started_at_ms;
      return;
    }
    worker.started_at_ms = reply.started_at_ms;
  } else {
    worker.last_acknowledged_end =
        std::max(worker.last_acknowledged_end, request.acknowledged_up_to);
    worker.silence.reset();
  }
  this->RecordAnswer(worker, reply.worker_clock_ms, time.now);
  worker.may_have_restarted = false;
  if (!std::exchange(worker.synced, true)) {
    this->BoundInheritedLease(worker, time.now);
    this->log.Add(time.now, "worker synced",
                  "worker={} running={} ended={} started_at_ms={} wall_ms={} "
                  "clock_ms={} fence={} former_incarnations={} "
                  "settled={} lease_expires_ms={} former_entry={}",
                  request.worker.value, reply.running.size(),
                  reply.ended.size(), reply.started_at_ms, time.wall_ms,
                  reply.worker_clock_ms, request.fence,
                  worker.former_incarnations, worker.settled,
                  base::ToMilliseconds(worker.lease_expires_at - time.now),
                  worker.HasFormerRecord());
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
  // A late planner gathers ends: one answer with several costs little more.
  if (this->input_lag >= kMinLagToGather) {
    worker.next_sync += std::min(this->input_lag, kMaxGatheringTime);
  }
  if (!worker.unstored_ends.empty()) {
    worker.next_sync += this->IsAboutToShutDown(worker, time.now)
                            ? this->options.syncs_before_shutdown_delay
                            : this->options.sync_retry_delay;
  }
  this->scheduling_needed = true;
}

void PoolPlanner::BoundInheritedLease(WorkerState& worker, base::Instant now) {
  // The fence of this sync ends renewals by earlier planners and by calls that
  // were meant for a former incarnation. Such a call names a time on the former
  // clock. If that lies ahead of the current one, the lease is the longest that
  // a worker grants.
  const auto settled = this->settled_incarnations.find(worker.record.worker);
  worker.settled = worker.started_at_ms != 0 &&
                   settled != this->settled_incarnations.end() &&
                   settled->second == worker.started_at_ms;
  const base::Duration lease = worker.settled ? this->options.worker_lease
                                              : this->options.max_worker_lease;
  worker.inherited_lease_until = now + this->OnSlowestClock(lease);
  worker.lease_expires_at = worker.inherited_lease_until;
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
    if (!run->confirmed_clock_ms)
      run->confirmed_clock_ms = reply.worker_clock_ms;
    run->worker_restarted = false;
    run->listed = true;
    if (run->step != nullptr) run->step->job->MarkBegun();
    this->RecordBegun(*run);
    this->CheckProgress(*run, report.percent, time);
    if (run->step != nullptr && !report.checkpoint.empty()) {
      run->step->tasks[report.task.index].checkpoint = report.checkpoint;
    }
  }
}

void PoolPlanner::HandleMissingRuns(WorkerState& worker, base::Instant sent_at,
                                    const SyncReply& reply,
                                    const PlannerTime& time) {
  // Few run on one worker.
  const auto is_reported = [&reply](const RunState& run) {
    return std::any_of(reply.running.begin(), reply.running.end(),
                       [&run](const ReportedRun& report) {
                         return report.run == run.run_number &&
                                report.task == run.task;
                       });
  };
  std::vector<RunState*> missing;
  for (RunState* run : worker.runs) {
    if (is_reported(*run)) continue;
    const bool stopped =
        run->stop_confirmed_at && *run->stop_confirmed_at < sent_at;
    const bool vanished =
        run->phase == RunPhase::kRunning && run->start_confirmed_at < sent_at;
    // The worker refuses its start from now on.
    const bool was_for_former = worker.WasForFormerIncarnation(run->fence);
    if (stopped || vanished || was_for_former) missing.push_back(run);
  }
  for (RunState* run : missing) {
    this->log.Add(time.now, "run absent from worker",
                  "task={} run={} worker={} phase={} worker_restarted={} "
                  "survived_ms={}",
                  ToString(run->task), run->run_number,
                  worker.record.worker.value, static_cast<int>(run->phase),
                  run->worker_restarted, base::ToMilliseconds(run->survived));
    if (run->worker_restarted) this->RecordCrash(*run, true, time);
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
                                      .fence = worker.fence});
}

void PoolPlanner::HandleUntrackedRun(WorkerState& worker,
                                     const ReportedRun& report,
                                     const PlannerTime& time) {
  StepState* step = this->FindReportedStep(report.task, time);
  const Step* definition = this->FindDefinition(report.task);
  const bool needed = step != nullptr && step->job->IsOpen() &&
                      step->job->inherited &&
                      !step->tasks[report.task.index].succeeded &&
                      step->tasks[report.task.index].current_run == nullptr;
  // A run of an unknown job may use any resources: all of the worker counts as
  // used until the run has ended.
  const platform::Resources taken =
      definition == nullptr ? worker.record.total : TakenResources(*definition);
  RunState& run = this->AddRun(report.task, report.run, worker,
                               needed ? step : nullptr, taken);
  run.phase = RunPhase::kRunning;
  run.start_requested_at = time.now;
  run.start_confirmed_at = time.now;
  run.listed = true;
  run.fence = worker.fence;
  run.confirmed_clock_ms = worker.clock_ms;
  run.last_progress = {report.percent, time.now};
  run.first_progress = run.last_progress;
  worker.lease_expires_at =
      std::max(worker.lease_expires_at, worker.inherited_lease_until);
  this->log.Add(time.now,
                needed ? "run of earlier term continued" : "run not needed",
                "task={} run={} worker={} percent={}", ToString(report.task),
                report.run, worker.record.worker.value, report.percent);
  if (!needed) {
    this->RequestStop(run, time.now);
    return;
  }
  run.expected_end = time.now + step->definition->estimate *
                                    (kCompletePercent - report.percent) /
                                    kCompletePercent;
  const bool on_trial =
      step->definition->gang
          ? this->HasTrials(*step, time.now)
          : this->NeedsTrial(*step, step->tasks[report.task.index], time.now);
  if (on_trial) this->MarkOnTrial(run);
  if (!report.checkpoint.empty())
    step->tasks[report.task.index].checkpoint = report.checkpoint;
  step->job->MarkBegun();
  this->RecordBegun(run);
}

}  // namespace agatepass::pool
