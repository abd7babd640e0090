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
  if (fence < this->highest) return true;
  this->highest = fence;
  return false;
}

pool::OrderReply PoolWorker::Start(const pool::StartOrder& order,
                                   base::Instant now) {
  this->Advance(now);
  pool::OrderReply reply{.worker_clock_ms = this->ClockMs(now)};
  if (this->IsFenced(order.fence)) {
    reply.verdict = pool::WorkerVerdict::kFenced;
    return reply;
  }
  if (order.lease_until_ms <= this->ClockMs(now)) {
    reply.verdict = pool::WorkerVerdict::kTooLate;
    return reply;
  }
  this->lease_until_ms = std::max(this->lease_until_ms, order.lease_until_ms);
  reply.verdict = pool::WorkerVerdict::kDone;
  if (const auto run = this->runs.find(order.task); run != this->runs.end()) {
    if (run->second.number != order.run) {
      reply.verdict = pool::WorkerVerdict::kOldRun;
    }
    return reply;
  }
  if (order.run <= this->barred[order.task]) {
    reply.verdict = pool::WorkerVerdict::kOldRun;
    return reply;
  }
  const RunPlan plan = this->observer.plan(order.task, order.run);
  this->runs[order.task] = {order.run, plan, now + plan.time};
  this->observer.on_start(*this, order);
  return reply;
}

pool::OrderReply PoolWorker::Stop(const pool::StopOrder& order,
                                  base::Instant now) {
  this->Advance(now);
  pool::OrderReply reply{.worker_clock_ms = this->ClockMs(now)};
  if (this->IsFenced(order.fence)) {
    reply.verdict = pool::WorkerVerdict::kFenced;
    return reply;
  }
  reply.verdict = pool::WorkerVerdict::kDone;
  pool::RunNumber& bar = this->barred[order.task];
  const auto run = this->runs.find(order.task);
  if (run != this->runs.end() && run->second.number == order.run) {
    if (!run->second.stops) run->second.stops = now + kStopTime;
  }
  bar = std::max(bar, order.run);
  return reply;
}

pool::ReviewReply PoolWorker::Review(const pool::ReviewOrder& order,
                                     base::Instant now) {
  this->Advance(now);
  pool::ReviewReply reply{.worker_clock_ms = this->ClockMs(now),
                          .born_ms = this->record.born_ms};
  if (this->IsFenced(order.fence)) {
    reply.verdict = pool::WorkerVerdict::kFenced;
    return reply;
  }
  reply.verdict = pool::WorkerVerdict::kDone;
  if (order.lease_until_ms) {
    this->lease_until_ms =
        std::max(this->lease_until_ms, *order.lease_until_ms);
  }
  this->Forget(order.forget_up_to);
  for (const auto& [task, run] : this->runs) {
    reply.running.push_back(
        {.task = task, .run = run.number, .percent = PercentOf(run, now)});
  }
  for (const Ended& entry : this->ended) reply.ended.push_back(entry.row);
  return reply;
}

int PoolWorker::PercentOf(const Run& run, base::Instant now) {
  constexpr int kWhole = 100;
  if (run.plan.time.count() == 0) return kWhole;
  const base::Duration left = std::max(run.ends - now, base::Duration(0));
  return kWhole - static_cast<int>(kWhole * left / run.plan.time);
}

void PoolWorker::Forget(uint64_t up_to) {
  std::erase_if(this->ended, [&](const Ended& entry) {
    if (entry.row.number > up_to) return false;
    if (!entry.lapsed) this->observer.on_noted(entry.row, entry.at);
    return true;
  });
}

void PoolWorker::Advance(base::Instant now) {
  std::vector<std::pair<pool::TaskName, pool::RunEnd>> due;
  const bool lapsed = this->ClockMs(now) > this->lease_until_ms;
  if (this->hangs) {
    for (auto& [task, run] : this->runs) run.ends += now - this->latest;
  }
  this->latest = now;
  for (const auto& [task, run] : this->runs) {
    if (lapsed) {
      due.emplace_back(task, pool::RunEnd::kLapsed);
    } else if (run.stops && now >= *run.stops) {
      due.emplace_back(task, pool::RunEnd::kStopped);
    } else if (now >= run.ends && !run.stops) {
      pool::RunEnd end = pool::RunEnd::kSucceeded;
      if (run.plan.fails) end = pool::RunEnd::kFailed;
      if (!this->observer.whole(task, run.number)) {
        end = pool::RunEnd::kGangIncomplete;
      }
      due.emplace_back(task, end);
    }
  }
  for (const auto& [task, end] : due) {
    if (this->IsRunning(task)) this->End(task, end);
  }
  for (Ended& entry : this->ended) entry.lapsed = entry.lapsed || lapsed;
}

void PoolWorker::End(const pool::TaskName& task, pool::RunEnd end) {
  const pool::RunNumber number = this->runs[task].number;
  this->runs.erase(task);
  pool::RunNumber& bar = this->barred[task];
  bar = std::max(bar, number);
  this->ended.push_back(
      {{++this->last_end, task, number, end, ""}, this->latest});
  this->observer.on_end(*this, task, number, end);
}

void PoolWorker::EndMember(const pool::TaskName& task, pool::RunNumber run,
                           pool::RunEnd end) {
  const auto found = this->runs.find(task);
  if (found != this->runs.end() && found->second.number == run) {
    this->End(task, end);
  }
}

void PoolWorker::Crash(int64_t born_ms) {
  this->record.born_ms = born_ms;
  this->highest = 0;
  this->lease_until_ms = 0;
  this->last_end = 0;
  this->runs.clear();
  this->barred.clear();
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

platform::Resources PoolWorker::Used() const {
  platform::Resources used;
  for (const auto& [task, run] : this->runs) used += run.plan.need;
  return used;
}

}  // namespace agatepass::fakes
