#include "fakes/pool_worker.h"

#include <algorithm>

namespace agatepass::fakes {

namespace {

/** Rate of the worker's clock relative to virtual time. All other clocks follow
 * virtual time (rate 1). */
constexpr double kClockRate = 0.985;

/** Longest lease that it grants, whatever is asked for. */
constexpr base::Duration kMaxLease = std::chrono::seconds(10);

/** Maximum number of ends in one answer. */
constexpr size_t kMaxListedEnds = 500;

}  // namespace

int64_t PoolWorker::ClockMs(base::Instant now) const {
  return static_cast<int64_t>(
      static_cast<double>(base::ToMilliseconds(now - this->born_at)) *
      kClockRate);
}

void PoolWorker::ExtendLease(int64_t until_ms, base::Instant now) {
  const int64_t longest = this->ClockMs(now) + base::ToMilliseconds(kMaxLease);
  this->lease_until_ms =
      std::max(this->lease_until_ms, std::min(until_ms, longest));
}

bool PoolWorker::IsFenced(pool::Fence fence) {
  if (fence < this->highest_fence) return true;
  this->highest_fence = fence;
  return false;
}

pool::StartStopReply PoolWorker::Start(const pool::StartRequest& request,
                                       base::Instant now) {
  this->Advance(now);
  pool::StartStopReply reply{.worker_clock_ms = this->ClockMs(now)};
  if (this->IsFenced(request.fence)) {
    reply.result = pool::WorkerCallResult::kFenced;
    return reply;
  }
  if (request.lease_until_ms <= this->ClockMs(now)) {
    reply.result = pool::WorkerCallResult::kDeadlinePassed;
    return reply;
  }
  this->ExtendLease(request.lease_until_ms, now);
  reply.result = pool::WorkerCallResult::kDone;
  if (const auto run = this->runs.find(request.task); run != this->runs.end()) {
    if (run->second.number != request.run) {
      reply.result = pool::WorkerCallResult::kStaleRun;
    }
    return reply;
  }
  if (request.run <= this->highest_stale_run[request.task]) {
    reply.result = pool::WorkerCallResult::kStaleRun;
    return reply;
  }
  const RunBehaviour behaviour =
      this->callbacks.decide_run_behaviour(request.task, request.run);
  this->runs[request.task] = {request.run, behaviour, now + behaviour.duration};
  this->callbacks.on_start(*this, request);
  return reply;
}

pool::StartStopReply PoolWorker::Stop(const pool::StopRequest& request,
                                      base::Instant now) {
  this->Advance(now);
  pool::StartStopReply reply{.worker_clock_ms = this->ClockMs(now)};
  if (this->IsFenced(request.fence)) {
    reply.result = pool::WorkerCallResult::kFenced;
    return reply;
  }
  reply.result = pool::WorkerCallResult::kDone;
  pool::RunNumber& highest_stale = this->highest_stale_run[request.task];
  const auto run = this->runs.find(request.task);
  if (run != this->runs.end() && run->second.number == request.run) {
    if (!run->second.stops_at) run->second.stops_at = now + this->stop_duration;
  }
  highest_stale = std::max(highest_stale, request.run);
  return reply;
}

pool::SyncReply PoolWorker::Sync(const pool::SyncRequest& request,
                                 base::Instant now) {
  this->Advance(now);
  pool::SyncReply reply{.worker_clock_ms = this->ClockMs(now),
                        .started_at_ms = this->record.started_at_ms};
  if (this->IsFenced(request.fence)) {
    reply.result = pool::WorkerCallResult::kFenced;
    return reply;
  }
  reply.result = pool::WorkerCallResult::kDone;
  if (request.lease_until_ms) this->ExtendLease(*request.lease_until_ms, now);
  this->DropAcknowledgedEnds(request.acknowledged_up_to);
  for (const auto& [task, run] : this->runs) {
    reply.running.push_back({.task = task,
                             .run = run.number,
                             .percent = ProgressPercent(run, now)});
  }
  for (const UnacknowledgedEnd& listed : this->unacknowledged_ends) {
    if (reply.ended.size() == kMaxListedEnds) break;
    reply.ended.push_back(listed.report);
  }
  reply.ends_truncated = reply.ended.size() == kMaxListedEnds;
  return reply;
}

int PoolWorker::ProgressPercent(const Run& run, base::Instant now) {
  constexpr int kComplete = 100;
  if (run.behaviour.duration.count() == 0 || run.behaviour.lasts) {
    return kComplete;
  }
  const base::Duration remaining =
      std::max(run.ends_at - now, base::Duration(0));
  return kComplete -
         static_cast<int>(kComplete * remaining / run.behaviour.duration);
}

void PoolWorker::DropAcknowledgedEnds(uint64_t up_to) {
  std::erase_if(
      this->unacknowledged_ends, [&](const UnacknowledgedEnd& listed) {
        if (listed.report.sequence_number > up_to) return false;
        if (!listed.lease_expired)
          this->callbacks.on_end_acknowledged(listed.report, listed.ended_at);
        return true;
      });
}

void PoolWorker::Advance(base::Instant now) {
  std::vector<std::pair<pool::TaskName, pool::RunEnd>> due_ends;
  const bool lease_expired = this->ClockMs(now) > this->lease_until_ms;
  if (this->runs_stall) {
    for (auto& [task, run] : this->runs) run.ends_at += now - this->advanced_at;
  }
  this->advanced_at = now;
  for (const auto& [task, run] : this->runs) {
    if (lease_expired) {
      due_ends.emplace_back(task, pool::RunEnd::kLeaseExpired);
    } else if (run.stops_at && now >= *run.stops_at) {
      due_ends.emplace_back(task, pool::RunEnd::kStopped);
    } else if (now >= run.ends_at && !run.stops_at) {
      pool::RunEnd end = pool::RunEnd::kSucceeded;
      if (run.behaviour.fails) end = pool::RunEnd::kFailed;
      if (!this->callbacks.is_gang_complete(task, run.number)) {
        end = pool::RunEnd::kGangIncomplete;
      }
      due_ends.emplace_back(task, end);
    }
  }
  for (const auto& [task, end] : due_ends) {
    if (this->IsRunning(task)) this->End(task, end);
  }
  for (UnacknowledgedEnd& listed : this->unacknowledged_ends)
    listed.lease_expired = listed.lease_expired || lease_expired;
}

void PoolWorker::End(const pool::TaskName& task, pool::RunEnd end) {
  const pool::RunNumber number = this->runs[task].number;
  this->runs.erase(task);
  pool::RunNumber& highest_stale = this->highest_stale_run[task];
  highest_stale = std::max(highest_stale, number);
  this->unacknowledged_ends.push_back(
      {{++this->last_sequence_number, task, number, end, ""},
       this->advanced_at});
  this->callbacks.on_end(*this, task, number, end);
}

void PoolWorker::EndGangMember(const pool::TaskName& task, pool::RunNumber run,
                               pool::RunEnd end) {
  const auto found = this->runs.find(task);
  if (found != this->runs.end() && found->second.number == run) {
    this->End(task, end);
  }
}

std::map<pool::TaskName, pool::RunNumber> PoolWorker::ShutDown(
    base::Instant now, int64_t started_at_ms) {
  this->Advance(now);
  this->DropAcknowledgedEnds(this->last_sequence_number);
  auto lost_runs = this->GetRuns();
  this->Crash(started_at_ms);
  return lost_runs;
}

void PoolWorker::Crash(int64_t started_at_ms) {
  this->record.started_at_ms = started_at_ms;
  this->born_at = this->advanced_at;
  this->has_answered = false;
  this->former_highest_fence =
      std::max(this->former_highest_fence, this->highest_fence);
  this->highest_fence = 0;
  this->lease_until_ms = 0;
  this->last_sequence_number = 0;
  this->runs.clear();
  for (const auto& [task, run] : this->highest_stale_run) {
    pool::RunNumber& former = this->former_stale_run[task];
    former = std::max(former, run);
  }
  this->highest_stale_run.clear();
  this->unacknowledged_ends.clear();
}

bool PoolWorker::WasRefusedBefore(const pool::StartRequest& request) const {
  if (this->has_answered) return false;
  if (request.fence < this->former_highest_fence) return true;
  const auto former = this->former_stale_run.find(request.task);
  return former != this->former_stale_run.end() &&
         request.run <= former->second;
}

bool PoolWorker::IsRunning(const pool::TaskName& task) const {
  return this->runs.contains(task);
}

const std::map<pool::TaskName, pool::RunNumber> PoolWorker::GetRuns() const {
  std::map<pool::TaskName, pool::RunNumber> result;
  for (const auto& [task, run] : this->runs) result[task] = run.number;
  return result;
}

platform::Resources PoolWorker::UsedResources() const {
  platform::Resources used;
  for (const auto& [task, run] : this->runs) used += run.behaviour.need;
  return used;
}

}  // namespace agatepass::fakes
