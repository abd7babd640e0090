// Workers: their records, leases, lists and lives.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

/** Calls without an answer in a row after which a worker gets no new work. */
constexpr uint32_t kSilentCalls = 1;

/** Prefix of labels that name a rack; other labels name the kind. */
constexpr char kRackPrefix = 'r';

/** An entry that vanishes within this time of the worker's last answer did not
 * lapse for want of heartbeats: the store waits longer for those. */
constexpr base::Duration kAnsweredLately = std::chrono::seconds(3);

/** Whether a worker that was leaving is gone: its entry was removed while it
 * still answered, and nobody listens at its address since. */
bool HasLeft(const WorkerState& worker, const ReviewOrder& order,
             WorkerVerdict verdict) {
  return worker.record.draining && !worker.listed &&
         verdict == WorkerVerdict::kNotSent &&
         order.sent_at > worker.unlisted_at &&
         worker.unlisted_at - worker.last_answer < kAnsweredLately;
}

/** Returns the label that names the rack: "r", digits, "-", digits. */
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
  if (!slot) {
    slot = std::make_unique<WorkerState>();
    slot->next_review = time.now;
    slot->last_answer = time.now;
  } else if (slot->life_ms != 0 && record.born_ms != 0 &&
             slot->life_ms != record.born_ms) {
    // Its lists tell what is left; orders may have reached the new life.
    this->ForgetLife(*slot, time);
  }
  if (record.draining && !slot->record.draining) {
    this->log.Add(time.now, "worker draining", "worker={} remaining_ms={}",
                  record.worker.value, base::ToMilliseconds(record.remaining));
  }
  slot->record = record;
  slot->rack = RackOf(record);
  slot->listed = true;
  this->decide = true;
}

void PoolPlanner::OnWorkerUnlisted(const base::WorkerId& id,
                                   const PlannerTime& time) {
  const auto found = this->workers.find(id);
  if (found == this->workers.end()) return;
  found->second->listed = false;
  found->second->unlisted_at = time.now;
  this->log.Add(time.now, "worker unlisted", "worker={} runs={}", id.value,
                found->second->runs.size());
}

std::optional<int64_t> PoolPlanner::LeaseOnWorkerClock(
    const WorkerState& worker, base::Instant now) const {
  if (!worker.clock_ms) return std::nullopt;
  return *worker.clock_ms + base::ToMilliseconds(now - worker.clock_at) +
         base::ToMilliseconds(this->options.worker_lease);
}

void PoolPlanner::NoteClock(WorkerState& worker, int64_t clock_ms,
                            base::Instant now) {
  worker.clock_ms = clock_ms;
  worker.clock_at = now;
  worker.last_answer = now;
  worker.silent_calls = 0;
}

void PoolPlanner::SendReviews(const PlannerTime& time) {
  for (auto& [id, worker] : this->workers) {
    if (!worker->review_in_flight && time.now >= worker->next_review) {
      // Ends that are listed already would make the worker answer at once.
      const bool waits = worker->reviewed && worker->unstored.empty() &&
                         worker->silent_calls == 0;
      worker->review_in_flight = true;
      worker->quick_review_wanted = worker->quick_review_wanted && waits;
      this->SendReview(*worker, waits, time);
    }
    if (worker->quick_review_wanted && !worker->quick_review_in_flight) {
      worker->quick_review_wanted = false;
      worker->quick_review_in_flight = true;
      this->SendReview(*worker, false, time);
    }
  }
}

void PoolPlanner::SendReview(WorkerState& worker, bool waits,
                             const PlannerTime& time) {
  ReviewOrder order{.worker = worker.record.worker,
                    .endpoint = worker.record.endpoint,
                    .fence = this->options.fence,
                    .sent_at = time.now};
  // After a failed call another life may answer, whose ends are unread.
  if (worker.silent_calls == 0) order.forget_up_to = worker.stored_ends;
  // A worker that does not answer gets no longer lease, so that the time by
  // which its runs must have ended comes.
  if (worker.silent_calls == 0) {
    order.lease_until_ms = this->LeaseOnWorkerClock(worker, time.now);
  }
  if (waits) {
    order.wait = worker.runs.empty() ? this->options.idle_review_wait
                                     : this->options.review_wait;
  }
  if (order.lease_until_ms) this->NoteLease(worker, time.now);
  this->effects.push_back(std::move(order));
}

void PoolPlanner::NoteLease(WorkerState& worker, base::Instant now) {
  // The worker may read the order late and its clock may be slow.
  const base::Duration longest = std::chrono::duration_cast<base::Duration>(
      (this->options.worker_lease + (now - worker.clock_at)) /
      this->options.slowest_clock);
  worker.lapses_at = std::max(worker.lapses_at, now + longest);
}

void PoolPlanner::SendStops(const PlannerTime& time) {
  for (const RunKey& key : this->stopping) {
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) continue;
    RunState& run = *found->second;
    if (run.stop_in_flight || run.stopped_at || time.now < run.next_stop) {
      continue;
    }
    run.stop_in_flight = true;
    this->effects.push_back(StopOrder{.worker = run.worker->record.worker,
                                      .endpoint = run.worker->record.endpoint,
                                      .task = run.task,
                                      .run = run.run,
                                      .fence = this->options.fence});
  }
}

void PoolPlanner::OnStop(const TaskName& task, RunNumber number,
                         const OrderReply& reply, const PlannerTime& time) {
  if (reply.verdict == WorkerVerdict::kFenced) {
    this->LeaveOffice("a worker has seen a higher fence");
    return;
  }
  RunState* run = this->FindRun(task, number);
  if (run == nullptr) return;
  run->stop_in_flight = false;
  switch (reply.verdict) {
    case WorkerVerdict::kDone:
    case WorkerVerdict::kOldRun:
      run->stopped_at = time.now;
      // Only the lists tell whether it ran.
      run->worker->quick_review_wanted = true;
      break;
    case WorkerVerdict::kOtherLife:
      this->EndLife(*run->worker, time);
      break;
    default:
      run->next_stop = time.now + this->options.stop_retry;
      break;
  }
}

void PoolPlanner::FailReview(WorkerState& worker, const ReviewOrder& order,
                             WorkerVerdict verdict, const PlannerTime& time) {
  if (verdict == WorkerVerdict::kOtherLife) {
    this->EndLife(worker, time);
  } else {
    this->NoteSilence(worker, time);
    if (HasLeft(worker, order, verdict)) {
      this->LoseRuns(worker, "it drained and left", time);
      worker.lapses_at = {};
    }
  }
  worker.next_review = time.now + this->options.review_retry;
}

void PoolPlanner::OnReview(const ReviewOrder& order, const ReviewReply& reply,
                           const PlannerTime& time) {
  if (reply.verdict == WorkerVerdict::kFenced) {
    this->LeaveOffice("a worker has seen a higher fence");
    return;
  }
  const auto found = this->workers.find(order.worker);
  if (found == this->workers.end()) return;
  WorkerState& worker = *found->second;
  const bool quick = order.wait.count() == 0 && worker.quick_review_in_flight;
  (quick ? worker.quick_review_in_flight : worker.review_in_flight) = false;
  if (reply.verdict != WorkerVerdict::kDone) {
    this->FailReview(worker, order, reply.verdict, time);
    return;
  }
  if (worker.life_ms != 0 && reply.born_ms != worker.life_ms) {
    this->ForgetLife(worker, time);
  }
  worker.life_ms = reply.born_ms;
  this->NoteClock(worker, reply.worker_clock_ms, time.now);
  if (!std::exchange(worker.reviewed, true)) {
    this->log.Add(time.now, "worker reviewed", "worker={} running={} ended={}",
                  order.worker.value, reply.running.size(), reply.ended.size());
  }
  for (const EndedRow& row : reply.ended) {
    if (row.number > worker.handled_ends) this->HandleEnd(worker, row, time);
  }
  this->HandleRunningRows(worker, reply, time);
  this->HandleMissingRuns(worker, order.sent_at, reply, time);
  this->unread.erase(order.worker);
  worker.next_review = worker.unstored.empty()
                           ? time.now
                           : time.now + this->options.review_retry;
  this->decide = true;
}

void PoolPlanner::HandleRunningRows(WorkerState& worker,
                                    const ReviewReply& reply,
                                    const PlannerTime& time) {
  for (const RunningRow& row : reply.running) {
    RunState* run = this->FindRun(row.task, row.run);
    if (run == nullptr) {
      this->AdoptRow(worker, row, time);
      continue;
    }
    if (run->worker != &worker) {
      this->StopDuplicate(worker, row, time);
      continue;
    }
    if (run->phase == RunPhase::kOrdered) {
      run->phase = RunPhase::kRunning;
      run->confirmed_at = time.now;
    }
    this->JudgeProgress(*run, row.percent, time);
    if (run->step != nullptr && !row.saved.empty()) {
      run->step->tasks[row.task.index].saved = row.saved;
    }
  }
}

void PoolPlanner::HandleMissingRuns(WorkerState& worker, base::Instant sent_at,
                                    const ReviewReply& reply,
                                    const PlannerTime& time) {
  std::set<RunKey> present;
  for (const RunningRow& row : reply.running) {
    present.emplace(row.task, row.run);
  }
  std::vector<RunState*> missing;
  for (RunState* run : worker.runs) {
    if (present.contains({run->task, run->run})) continue;
    const bool stopped = run->stopped_at && *run->stopped_at < sent_at;
    const bool vanished =
        run->phase == RunPhase::kRunning && run->confirmed_at < sent_at;
    if (stopped || vanished) missing.push_back(run);
  }
  for (RunState* run : missing) {
    this->log.Add(time.now, "run settled as absent",
                  "task={} run={} worker={} phase={}", ToString(run->task),
                  run->run, worker.record.worker.value,
                  static_cast<int>(run->phase));
    this->RunDidNotStart(*run, time.now, time);
  }
}

void PoolPlanner::StopDuplicate(WorkerState& worker, const RunningRow& row,
                                const PlannerTime& time) {
  this->log.Add(time.now, "run listed by two workers",
                "task={} run={} worker={}", ToString(row.task), row.run,
                worker.record.worker.value);
  // Its room is not accounted for: nothing starts beside it meanwhile.
  worker.shunned_until = time.now + this->options.shun_time;
  this->effects.push_back(StopOrder{.worker = worker.record.worker,
                                    .endpoint = worker.record.endpoint,
                                    .task = row.task,
                                    .run = row.run,
                                    .fence = this->options.fence});
}

void PoolPlanner::AdoptRow(WorkerState& worker, const RunningRow& row,
                           const PlannerTime& time) {
  StepState* step = this->FindStep(row.task);
  const bool wanted = step != nullptr && step->job->IsOpen() &&
                      step->job->inherited &&
                      !step->tasks[row.task.index].succeeded &&
                      step->tasks[row.task.index].active == nullptr;
  // A run of a job whose definition is gone may take any room: nothing starts
  // beside it until it has ended.
  const platform::Resources need =
      step == nullptr ? worker.record.total : step->definition->need;
  RunState& run =
      this->AddRun(row.task, row.run, worker, wanted ? step : nullptr, need);
  run.phase = RunPhase::kRunning;
  run.ordered_at = time.now;
  run.confirmed_at = time.now;
  run.mark = {row.percent, time.now};
  this->log.Add(time.now, wanted ? "run adopted" : "run not wanted",
                "task={} run={} worker={} percent={}", ToString(row.task),
                row.run, worker.record.worker.value, row.percent);
  if (!wanted) {
    this->RequestStop(run, time.now);
    return;
  }
  run.expected_end = time.now + step->definition->estimate;
  if (!row.saved.empty()) step->tasks[row.task.index].saved = row.saved;
  if (step->job->phase == JobPhase::kQueued) {
    step->job->phase = JobPhase::kRunning;
  }
}

void PoolPlanner::NoteSilence(WorkerState& worker, const PlannerTime& time) {
  ++worker.silent_calls;
  worker.shunned_until = time.now + this->options.shun_time;
  if (worker.silent_calls == kSilentCalls) {
    this->log.Add(time.now, "worker silent", "worker={} last_answer_ms={}",
                  worker.record.worker.value,
                  base::ToMilliseconds(time.now - worker.last_answer));
  }
}

void PoolPlanner::ForgetLife(WorkerState& worker, const PlannerTime& time) {
  this->log.Add(time.now, "worker in another life", "worker={} runs={}",
                worker.record.worker.value, worker.runs.size());
  worker.reviewed = false;
  worker.stored_ends = 0;
  worker.handled_ends = 0;
  worker.unstored.clear();
  worker.clock_ms.reset();
  worker.life_ms = 0;
  worker.next_review = time.now;
}

void PoolPlanner::EndLife(WorkerState& worker, const PlannerTime& time) {
  this->LoseRuns(worker, "another worker answers at its address", time);
  this->ForgetLife(worker, time);
  worker.lapses_at = {};
  this->unread.erase(worker.record.worker);
}

void PoolPlanner::LoseRuns(WorkerState& worker, std::string_view reason,
                           const PlannerTime& time) {
  if (worker.runs.empty()) return;
  ++this->totals.workers_lost;
  this->log.Add(time.now, "runs lost", "worker={} runs={} reason=\"{}\"",
                worker.record.worker.value, worker.runs.size(), reason);
  const std::vector<RunState*> lost = worker.runs;
  for (RunState* run : lost) this->RunDidNotStart(*run, time.now, time);
}

void PoolPlanner::DropLapsedWorkers(const PlannerTime& time) {
  for (auto entry = this->workers.begin(); entry != this->workers.end();) {
    WorkerState& worker = *entry->second;
    // Not even the latest lease that may have been granted can still hold.
    const bool lapsed =
        time.now > worker.lapses_at &&
        time.now > worker.last_answer + this->options.worker_lease;
    if (!lapsed) {
      ++entry;
      continue;
    }
    if (!worker.runs.empty()) this->LoseRuns(worker, "its lease lapsed", time);
    const bool kept_for = this->IsHeld(worker);
    const bool forget = !worker.listed && !worker.review_in_flight &&
                        !kept_for && worker.reserved == platform::Resources{};
    if (forget) {
      this->log.Add(time.now, "worker forgotten", "worker={}",
                    entry->first.value);
      this->note_is_stale = this->note_is_stale || worker.noted;
      entry = this->workers.erase(entry);
    } else {
      ++entry;
    }
  }
}

void PoolPlanner::DropSafeInherited(base::Instant now) {
  if (this->unread.empty() || now < this->inherited_safe_at) return;
  // A worker that is not listed now has nothing left that a successor would
  // have to wait for.
  const size_t before = this->unread.size();
  std::erase_if(this->unread, [this](const base::WorkerId& id) {
    return !this->workers.contains(id);
  });
  if (this->unread.size() < before) this->note_is_stale = true;
}

bool PoolPlanner::MayStartInherited(base::Instant now) const {
  if (now >= this->inherited_safe_at) return true;
  return this->unread.empty();
}

}  // namespace agatepass::pool
