#include "fakes/pool_worker.h"

#include <algorithm>

namespace agatepass::fakes {

namespace {

/** The worker's clock runs this much slower than everybody else's. */
constexpr double kClockRate = 0.985;

/** Time that a stop takes. */
constexpr base::Duration kStopTime = std::chrono::milliseconds(300);

}  // namespace

int64_t PoolWorker::ClockMs(base::Instant now) const {
  return static_cast<int64_t>(
      static_cast<double>(base::ToMilliseconds(now.time_since_epoch())) *
      kClockRate);
}

bool PoolWorker::IsFenced(pool::Fence fence) {
  if (fence < this->highest_fence) return true;
  this->highest_fence = fence;
  return false;
}

pool::StartStopReply PoolWorker::Start(const pool::StartRequest& order,
                                       base::Instant now) {
  this->Advance(now);
  pool::StartStopReply reply{.worker_clock_ms = this->ClockMs(now)};
  if (this->IsFenced(order.fence)) {
    reply.result = pool::WorkerCallResult::kFenced;
    return reply;
  }
  if (order.lease_until_ms <= this->ClockMs(now)) {
    reply.result = pool::WorkerCallResult::kDeadlinePassed;
    return reply;
  }
  this->lease_until_ms = std::max(this->lease_until_ms, order.lease_until_ms);
  reply.result = pool::WorkerCallResult::kDone;
  if (const auto run = this->runs.find(order.task); run != this->runs.end()) {
    if (run->second.number != order.run) {
      reply.result = pool::WorkerCallResult::kStaleRun;
    }
    return reply;
  }
  if (order.run <= this->highest_closed_run[order.task]) {
    reply.result = pool::WorkerCallResult::kStaleRun;
    return reply;
  }
  const RunPlan plan = this->observer.plan_run(order.task, order.run);
  this->runs[order.task] = {order.run, plan, now + plan.duration};
  this->observer.on_start(*this, order);
  return reply;
}

pool::StartStopReply PoolWorker::Stop(const pool::StopRequest& order,
                                      base::Instant now) {
  this->Advance(now);
  pool::StartStopReply reply{.worker_clock_ms = this->ClockMs(now)};
  if (this->IsFenced(order.fence)) {
    reply.result = pool::WorkerCallResult::kFenced;
    return reply;
  }
  reply.result = pool::WorkerCallResult::kDone;
  pool::RunNumber& bar = this->highest_closed_run[order.task];
  const auto run = this->runs.find(order.task);
  if (run != this->runs.end() && run->second.number == order.run) {
    if (!run->second.stops_at) run->second.stops_at = now + kStopTime;
  }
  bar = std::max(bar, order.run);
  return reply;
}

pool::SyncReply PoolWorker::Sync(const pool::SyncRequest& order,
                                 base::Instant now) {
  this->Advance(now);
  pool::SyncReply reply{.worker_clock_ms = this->ClockMs(now),
                        .started_at_ms = this->record.started_at_ms};
  if (this->IsFenced(order.fence)) {
    reply.result = pool::WorkerCallResult::kFenced;
    return reply;
  }
  reply.result = pool::WorkerCallResult::kDone;
  if (order.lease_until_ms) {
    this->lease_until_ms =
        std::max(this->lease_until_ms, *order.lease_until_ms);
  }
  this->DropAcknowledgedEnds(order.acknowledged_up_to);
  for (const auto& [task, run] : this->runs) {
    reply.running.push_back(
        {.task = task, .run = run.number, .percent = PercentOf(run, now)});
  }
  for (const ListedEnd& entry : this->ended)
    reply.ended.push_back(entry.report);
  return reply;
}

int PoolWorker::PercentOf(const Run& run, base::Instant now) {
  constexpr int kWhole = 100;
  if (run.plan.duration.count() == 0) return kWhole;
  const base::Duration left = std::max(run.ends_at - now, base::Duration(0));
  return kWhole - static_cast<int>(kWhole * left / run.plan.duration);
}

void PoolWorker::DropAcknowledgedEnds(uint64_t up_to) {
  std::erase_if(this->ended, [&](const ListedEnd& entry) {
    if (entry.report.sequence_number > up_to) return false;
    if (!entry.lease_expired)
      this->observer.on_end_acknowledged(entry.report, entry.ended_at);
    return true;
  });
}

void PoolWorker::Advance(base::Instant now) {
  std::vector<std::pair<pool::TaskName, pool::RunEnd>> due;
  const bool lapsed = this->ClockMs(now) > this->lease_until_ms;
  if (this->runs_stall) {
    for (auto& [task, run] : this->runs) run.ends_at += now - this->advanced_at;
  }
  this->advanced_at = now;
  for (const auto& [task, run] : this->runs) {
    if (lapsed) {
      due.emplace_back(task, pool::RunEnd::kLeaseExpired);
    } else if (run.stops_at && now >= *run.stops_at) {
      due.emplace_back(task, pool::RunEnd::kStopped);
    } else if (now >= run.ends_at && !run.stops_at) {
      pool::RunEnd end = pool::RunEnd::kSucceeded;
      if (run.plan.fails) end = pool::RunEnd::kFailed;
      if (!this->observer.is_gang_complete(task, run.number)) {
        end = pool::RunEnd::kGangIncomplete;
      }
      due.emplace_back(task, end);
    }
  }
  for (const auto& [task, end] : due) {
    if (this->IsRunning(task)) this->End(task, end);
  }
  for (ListedEnd& entry : this->ended)
    entry.lease_expired = entry.lease_expired || lapsed;
}

void PoolWorker::End(const pool::TaskName& task, pool::RunEnd end) {
  const pool::RunNumber number = this->runs[task].number;
  this->runs.erase(task);
  pool::RunNumber& bar = this->highest_closed_run[task];
  bar = std::max(bar, number);
  this->ended.push_back(
      {{++this->last_end, task, number, end, ""}, this->advanced_at});
  this->observer.on_end(*this, task, number, end);
}

void PoolWorker::EndGangMember(const pool::TaskName& task, pool::RunNumber run,
                               pool::RunEnd end) {
  const auto found = this->runs.find(task);
  if (found != this->runs.end() && found->second.number == run) {
    this->End(task, end);
  }
}

void PoolWorker::Crash(int64_t born_ms) {
  this->record.started_at_ms = born_ms;
  this->highest_fence = 0;
  this->lease_until_ms = 0;
  this->last_end = 0;
  this->runs.clear();
  this->highest_closed_run.clear();
  this->ended.clear();
}

bool PoolWorker::IsRunning(const pool::TaskName& task) const {
  return this->runs.contains(task);
}

const std::map<pool::TaskName, pool::RunNumber> PoolWorker::Running() const {
  std::map<pool::TaskName, pool::RunNumber> result;
  for (const auto& [task, run] : this->runs) result[task] = run.number;
  return result;
}

platform::Resources PoolWorker::UsedResources() const {
  platform::Resources used;
  for (const auto& [task, run] : this->runs) used += run.plan.need;
  return used;
}

}  // namespace agatepass::fakes
