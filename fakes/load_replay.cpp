#include "fakes/load_replay.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <variant>

#include "fmt/format.h"

namespace agatepass::fakes {

namespace {

using std::chrono::milliseconds;

constexpr int64_t kUnixMsAtBegin = 1'700'000'000'000;
/** One way between the planner and a worker, and to the store and back. */
constexpr base::Duration kWorkerLatency = milliseconds(2);
constexpr base::Duration kStoreLatency = milliseconds(4);
/** Time for which the planner gathers events before it advances. */
constexpr base::Duration kBatchingDelay = milliseconds(3);
constexpr base::Duration kTickPeriod = milliseconds(25);
/** Time before the first jobs, in which the planner learns of its workers. */
constexpr base::Duration kLeadTime = std::chrono::seconds(2);
/** Longest time after the pattern for which open jobs are waited for. */
constexpr base::Duration kMaxTail = std::chrono::seconds(60);
/** Spread of task counts, run times, sizes and estimates, as the sigma of a
 * logarithmic normal distribution. */
constexpr double kSpread = 0.5;
constexpr double kMillicoresPerCore = 1000;
constexpr int kFullPercent = 100;

base::Duration Scale(base::Duration duration, double factor) {
  return std::chrono::duration_cast<base::Duration>(duration * factor);
}

int64_t SecondIndex(base::Duration at) {
  return std::chrono::duration_cast<std::chrono::seconds>(at).count();
}

}  // namespace

LoadReplay::LoadReplay(LoadPattern load)
    : pattern(std::move(load)),
      random(this->pattern.seed),
      planner({.fence = 1}, this->log, this->Time()) {
  pool::QueueTable table{.version = 1};
  for (const LoadKind& kind : this->pattern.kinds) {
    table.queues.push_back({.name = kind.queue,
                            .prefix = "/" + kind.queue,
                            .policy = kind.policy});
  }
  this->planner.SetQueues(table, this->Time());
  std::vector<pool::StoredJob> inherited;
  pool::WorkerRoster roster;
  for (size_t i = 0; i < this->pattern.inherited_jobs; ++i) {
    inherited.push_back({.job = this->MakeJob(this->pattern.kinds[0])});
    inherited.back().job.accepted_ms = this->Time().wall_ms;
    roster.workers = {base::WorkerId("gone")};
  }
  this->planner.Load(inherited, roster, this->Time());
  for (size_t i = 0; i < this->pattern.workers; ++i) {
    const base::WorkerId id(fmt::format("w{:05}", i));
    Worker& worker = this->workers[id];
    worker.record = {.worker = id,
                     .service = this->pattern.kinds[0].policy.service,
                     .total = this->pattern.worker_resources,
                     .started_at_ms = 1};
    this->planner.OnWorker(worker.record, this->Time());
  }
}

pool::PlannerTime LoadReplay::Time() const {
  return {this->now,
          kUnixMsAtBegin + base::ToMilliseconds(this->now - this->begin)};
}

base::Duration LoadReplay::Elapsed() const {
  return this->now - this->begin - kLeadTime;
}

void LoadReplay::At(base::Instant at, std::function<void()> action) {
  this->events.push(
      {std::max(at, this->now), this->next_event++, std::move(action)});
}

void LoadReplay::Tell(base::Instant at, std::function<void()> input) {
  this->At(at, [this, at, input = std::move(input)] {
    if (this->now < this->planner_busy_until) {
      this->Tell(this->planner_busy_until, input);
      return;
    }
    base::Duration& lag = this->lag_by_second[SecondIndex(this->Elapsed())];
    lag = std::max(lag, this->now - at);
    input();
    this->Charge(1);
    if (!std::exchange(this->advance_planned, true)) {
      this->Tell(this->now + kBatchingDelay, [this] { this->Advance(); });
    }
  });
}

void LoadReplay::Charge(uint64_t messages) {
  const uint64_t examined = this->planner.counts().workers_examined;
  const base::Duration cost =
      this->pattern.cost.per_message * static_cast<int64_t>(messages) +
      Scale(std::chrono::seconds(1),
            static_cast<double>(examined - this->examined_before) /
                this->pattern.cost.examined_per_second);
  this->examined_before = examined;
  this->planner_busy_until =
      std::max(this->planner_busy_until, this->now) + cost;
}

void LoadReplay::Advance() {
  this->advance_planned = false;
  const std::vector<pool::Effect> effects = this->planner.Advance(this->Time());
  this->Charge(effects.size());
  for (const pool::Effect& effect : effects) {
    std::visit([this](const auto& value) { this->Execute(value); }, effect);
  }
}

void LoadReplay::Run() {
  for (const LoadKind& kind : this->pattern.kinds) {
    this->At(this->begin + kLeadTime,
             [this, &kind] { this->SubmitJobs(kind); });
  }
  const base::Instant last = this->begin + kLeadTime + this->pattern.length;
  for (base::Instant tick = this->begin; tick < last + kMaxTail;
       tick += kTickPeriod) {
    this->Tell(tick, [this] { this->RecordUse(); });
  }
  while (!this->events.empty()) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    if (this->now > last && this->planner.open_jobs() == 0) break;
    event.action();
    this->log.Take(this->now);
  }
}

void LoadReplay::RecordUse() {
  const auto [used, total] = this->planner.GetProcessorUsage();
  this->use_by_second[SecondIndex(this->Elapsed())].push_back(
      static_cast<double>(used) / static_cast<double>(total));
}

double LoadReplay::MeanUse(base::Duration from, base::Duration until) const {
  double sum = 0;
  size_t samples = 0;
  for (const auto& [second, uses] : this->use_by_second) {
    if (second < SecondIndex(from) || second >= SecondIndex(until)) continue;
    for (const double use : uses) sum += use;
    samples += uses.size();
  }
  return samples > 0 ? sum / static_cast<double>(samples) : 0;
}

double LoadReplay::RateFactor(const LoadKind& kind, base::Duration at) const {
  double factor = 1;
  for (const LoadBurst& burst : this->pattern.bursts) {
    if (burst.queue == kind.queue && at >= burst.from && at < burst.until) {
      factor *= burst.factor;
    }
  }
  return factor;
}

void LoadReplay::SubmitJobs(const LoadKind& kind) {
  if (this->Elapsed() >= this->pattern.length) return;
  pool::Job job = this->MakeJob(kind);
  this->Tell(this->now, [this, job] {
    const pool::CallId call = this->next_call++;
    this->calls[call] = job.id;
    this->planner.Submit(call, job, this->Time());
  });
  const double rate =
      kind.jobs_per_second * this->RateFactor(kind, this->Elapsed());
  const double gap = std::exponential_distribution<double>(rate)(this->random);
  this->At(this->now + Scale(std::chrono::seconds(1), gap),
           [this, &kind] { this->SubmitJobs(kind); });
}

pool::Job LoadReplay::MakeJob(const LoadKind& kind) {
  std::lognormal_distribution<double> spread(-kSpread * kSpread / 2, kSpread);
  const auto count = static_cast<uint32_t>(
      std::max(1.0, std::round(kind.mean_tasks * spread(this->random))));
  const auto draw_need = [&](int64_t mean, int64_t capacity) {
    return std::clamp<int64_t>(
        static_cast<int64_t>(static_cast<double>(mean) * spread(this->random)),
        1, capacity / 2);
  };
  const platform::Resources& capacity = this->pattern.worker_resources;
  const platform::Resources need{
      .millicores = draw_need(kind.mean_millicores, capacity.millicores),
      .memory_mib = draw_need(kind.mean_memory_mib, capacity.memory_mib)};
  pool::Job job{.id = base::JobId(fmt::format("{:08}", this->next_job++)),
                .queue = kind.queue};
  JobRecord record{.kind = &kind, .submitted_at = this->Elapsed()};
  const base::Duration usual = Scale(kind.mean_run_time, spread(this->random));
  for (uint32_t i = 0; i < count; ++i) {
    record.run_times.push_back(usual);
    record.work += base::ToSeconds(usual) *
                   static_cast<double>(need.millicores) / kMillicoresPerCore;
  }
  job.steps.push_back({.count = count,
                       .need = need,
                       .estimate = Scale(usual, spread(this->random)),
                       .gang = kind.gang});
  record.objective = Scale(usual, kind.policy.stretch) + kind.policy.slack;
  record.left = kind.gang ? 1 : count;
  LoadSecond& second = this->SecondOf(record);
  ++second.submitted;
  second.work += record.work;
  this->jobs[job.id] = std::move(record);
  return job;
}

LoadSecond& LoadReplay::SecondOf(const JobRecord& job) {
  return this->seconds_by_queue[job.kind->queue][SecondIndex(job.submitted_at)];
}

LoadReplay::Worker& LoadReplay::FindWorker(const base::WorkerId& id) {
  return this->workers.at(id);
}

void LoadReplay::Execute(const pool::StartRequest& request) {
  this->At(this->planner_busy_until + kWorkerLatency, [this, request] {
    this->StartRun(this->FindWorker(request.worker), request.task, request.run);
    this->Tell(this->now + kWorkerLatency, [this, request] {
      this->planner.OnStart(request.task, request.run,
                            {.result = pool::WorkerCallResult::kDone},
                            this->Time());
    });
  });
}

void LoadReplay::StartRun(Worker& worker, const pool::TaskName& task,
                          pool::RunNumber run) {
  JobRecord& job = this->jobs.at(task.job);
  worker.running[task] = {.number = run, .run_time = job.run_times[task.index]};
  if (!job.kind->gang) {
    this->BeginWork(worker, task);
    return;
  }
  job.present[task] = worker.record.worker;
  if (job.present.size() < job.run_times.size()) return;
  for (const auto& [member, place] : job.present) {
    this->BeginWork(this->FindWorker(place), member);
  }
}

void LoadReplay::BeginWork(Worker& worker, const pool::TaskName& task) {
  Running& run = worker.running.at(task);
  run.work_began = this->now;
  this->At(this->now + run.run_time,
           [this, &worker, task, number = run.number] {
             this->EndRun(worker, task, number, pool::RunEnd::kSucceeded);
           });
}

void LoadReplay::EndRun(Worker& worker, const pool::TaskName& task,
                        pool::RunNumber run, pool::RunEnd end) {
  const auto found = worker.running.find(task);
  if (found == worker.running.end() || found->second.number != run) {
    return;
  }
  worker.running.erase(found);
  JobRecord& job = this->jobs.at(task.job);
  job.present.erase(task);
  worker.ended.push_back({.sequence_number = ++worker.last_end,
                          .task = task,
                          .run = run,
                          .end = end});
  if (end == pool::RunEnd::kSucceeded && job.left > 0 && --job.left == 0 &&
      this->Elapsed() - job.submitted_at <= job.objective) {
    LoadSecond& second = this->SecondOf(job);
    ++second.in_time;
    second.work_in_time += job.work;
  }
  if (worker.waiting_sync) {
    const pool::SyncRequest request = *worker.waiting_sync;
    worker.waiting_sync.reset();
    this->AnswerSync(worker, request);
  }
}

void LoadReplay::Execute(const pool::StopRequest& request) {
  this->At(this->planner_busy_until + kWorkerLatency, [this, request] {
    this->EndRun(this->FindWorker(request.worker), request.task, request.run,
                 pool::RunEnd::kStopped);
    this->Tell(this->now + kWorkerLatency, [this, request] {
      this->planner.OnStop(request, {.result = pool::WorkerCallResult::kDone},
                           this->Time());
    });
  });
}

void LoadReplay::Execute(const pool::SyncRequest& request) {
  this->At(this->planner_busy_until + kWorkerLatency, [this, request] {
    Worker& worker = this->FindWorker(request.worker);
    std::erase_if(worker.ended, [&request](const pool::ReportedEnd& end) {
      return end.sequence_number <= request.acknowledged_up_to;
    });
    if (request.max_wait.count() == 0 || !worker.ended.empty()) {
      this->AnswerSync(worker, request);
      return;
    }
    worker.waiting_sync = request;
    const uint64_t number = ++worker.sync_number;
    this->At(this->now + request.max_wait, [this, &worker, number] {
      if (!worker.waiting_sync || worker.sync_number != number) return;
      const pool::SyncRequest waiting = *worker.waiting_sync;
      worker.waiting_sync.reset();
      this->AnswerSync(worker, waiting);
    });
  });
}

void LoadReplay::AnswerSync(Worker& worker, const pool::SyncRequest& request) {
  pool::SyncReply reply{
      .result = pool::WorkerCallResult::kDone,
      .worker_clock_ms = base::ToMilliseconds(this->now.time_since_epoch()),
      .started_at_ms = 1,
      .ended = worker.ended};
  for (const auto& [task, run] : worker.running) {
    const base::Duration worked =
        run.work_began ? this->now - *run.work_began : base::Duration(0);
    reply.running.push_back(
        {.task = task,
         .run = run.number,
         .percent = static_cast<int>(worked * kFullPercent / run.run_time)});
  }
  this->Tell(this->now + kWorkerLatency, [this, request, reply] {
    this->planner.OnSync(request, reply, this->Time());
  });
}

void LoadReplay::Execute(const pool::StoreCommit& commit) {
  this->Tell(this->planner_busy_until + kStoreLatency,
             [this, id = commit.id, written = ++this->revision] {
               this->planner.OnCommit(
                   id,
                   {.outcome = platform::Outcome::kDone, .revision = written},
                   this->Time());
             });
}

void LoadReplay::Execute(const pool::AdviceQuery& query) {
  const auto position = std::upper_bound(
      this->waiting_queries.begin(), this->waiting_queries.end(), query,
      [](const pool::AdviceQuery& left, const pool::AdviceQuery& right) {
        return left.priority < right.priority;
      });
  this->waiting_queries.insert(position, query);
  this->SendAdviceQueries();
}

void LoadReplay::SendAdviceQueries() {
  while (this->queries_in_flight < this->pattern.advice_hosts &&
         !this->waiting_queries.empty()) {
    const pool::AdviceQuery query = std::move(this->waiting_queries.front());
    this->waiting_queries.erase(this->waiting_queries.begin());
    ++this->queries_in_flight;
    this->Tell(this->planner_busy_until + query.expected_duration,
               [this, query] {
                 --this->queries_in_flight;
                 const LoadKind& kind = *this->jobs.at(query.job).kind;
                 pool::AdviceReply reply{.answered = true};
                 for (const base::WorkerId& worker : query.workers) {
                   // Which workers are allowed depends on the job alone.
                   const size_t hash =
                       std::hash<std::string>()(query.job.value + worker.value);
                   const double drawn =
                       static_cast<double>(hash) /
                       static_cast<double>(std::numeric_limits<size_t>::max());
                   if (drawn < kind.allowed_share) {
                     reply.tickets.push_back({worker, "ticket"});
                   }
                 }
                 this->planner.OnAdvice(query.job, query.occurrence, query.step,
                                        reply, this->Time());
                 this->SendAdviceQueries();
               });
  }
}

void LoadReplay::Execute(const pool::CallerAnswer& answer) {
  const auto call = this->calls.find(answer.call);
  if (call == this->calls.end()) return;
  if (answer.code != base::ResultCode::kAccepted) {
    ++this->SecondOf(this->jobs.at(call->second)).rejected;
  }
  this->calls.erase(call);
}

double LoadReplay::Served(const std::string& queue, base::Duration from,
                          base::Duration until) const {
  const auto found = this->seconds_by_queue.find(queue);
  if (found == this->seconds_by_queue.end()) return 0;
  double work = 0;
  double in_time = 0;
  for (const auto& [second, load] : found->second) {
    if (second < SecondIndex(from) || second >= SecondIndex(until)) continue;
    work += load.work;
    in_time += load.work_in_time;
  }
  return work > 0 ? in_time / work : 0;
}

base::Duration LoadReplay::LongestLag(base::Duration from,
                                      base::Duration until) const {
  base::Duration longest{0};
  for (const auto& [second, lag] : this->lag_by_second) {
    if (second < SecondIndex(from) || second >= SecondIndex(until)) continue;
    longest = std::max(longest, lag);
  }
  return longest;
}

}  // namespace agatepass::fakes
