#include "fakes/pool_cell.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace agatepass::fakes {

namespace {

/** Unix time at virtual time 0. */
constexpr int64_t kUnixMsAtTimeZero = 1'700'000'000'000;
constexpr base::Duration kOneWayLatency = std::chrono::milliseconds(5);
constexpr base::Duration kTickInterval = std::chrono::milliseconds(20);
constexpr base::Duration kRequestTimeout = std::chrono::milliseconds(900);
/** Time until a sync to an unreachable worker fails. */
constexpr base::Duration kUnreachableSyncDelay = std::chrono::milliseconds(800);
/** Period at which workers report about themselves. */
constexpr base::Duration kReportPeriod = std::chrono::milliseconds(1500);
/** How long starts may count on a capacity that has shrunk: the time of a
 * report and the time that the planner has to act on it. */
constexpr base::Duration kCapacityGrace =
    kReportPeriod + std::chrono::milliseconds(3000);
constexpr base::Duration kCommitTimeout = std::chrono::milliseconds(1500);
constexpr int64_t kWorkerMillicores = 8000;
constexpr int64_t kWorkerMemoryMib = 16384;

}  // namespace

pool::Job MakePoolJob(const std::string& id, uint32_t tasks, int64_t millicores,
                      base::Duration estimate) {
  pool::Job job;
  job.id = base::JobId(id);
  job.queue = "letters";
  job.payload = "payload of " + id;
  job.steps.push_back({.count = tasks,
                       .need = {.millicores = millicores, .memory_mib = 100},
                       .estimate = estimate});
  return job;
}

pool::QueueTable MakePoolQueues() {
  return {.version = 1,
          .queues = {{.name = "letters",
                      .host = "h",
                      .prefix = "/letters/",
                      .policy = {.service = base::ServiceId("desk"),
                                 .priority = 1,
                                 .attempts = 3,
                                 .stretch = 4,
                                 .slack = std::chrono::seconds(30)}}}};
}

PoolCell::PoolCell(uint64_t seed, size_t worker_count) : random(seed) {
  this->queues = MakePoolQueues();
  for (size_t i = 0; i < worker_count; ++i) {
    const std::string id = fmt::format("w{}", i);
    this->workers.push_back(std::make_unique<PoolWorker>(
        pool::WorkerRecord{.worker = base::WorkerId(id),
                           .endpoint = {"10.0.0.1", 1},
                           .service = base::ServiceId("desk"),
                           .total = {.millicores = kWorkerMillicores,
                                     .memory_mib = kWorkerMemoryMib},
                           .started_at_ms = 1},
        PoolWorker::Callbacks{
            .decide_run_behaviour =
                [this](const auto& task, auto run) {
                  return this->DecideRunBehaviour(task, run);
                },
            .is_gang_complete =
                [this](const auto& task, auto run) {
                  return this->IsGangComplete(task, run);
                },
            .on_start =
                [this](const auto& worker, const auto& request) {
                  this->OnRunStarted(worker, request);
                },
            .on_end =
                [this](const auto& worker, const auto& task, auto run,
                       auto end) { this->OnRunEnded(worker, task, run, end); },
            .on_end_acknowledged =
                [this](const auto& report, auto ended_at) {
                  this->OnEndAcknowledged(report, ended_at);
                }}));
  }
  this->StartPlanner();
}

PoolCell::~PoolCell() = default;

int64_t PoolCell::GetWallMs() const {
  return kUnixMsAtTimeZero +
         base::ToMilliseconds(this->current_time.time_since_epoch());
}

pool::PlannerTime PoolCell::GetPlannerTime() const {
  return {
      this->current_time,
      this->GetWallMs() + base::ToMilliseconds(this->faults.wall_clock_error)};
}

void PoolCell::Schedule(base::Duration delay, std::function<void()> action) {
  this->scheduled.emplace(this->current_time + delay, std::move(action));
}

bool PoolCell::DrawTrue(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) <
         probability;
}

pool::PoolPlanner* PoolCell::planner() {
  if (this->planners.empty()) return nullptr;
  PlannerProcess& last = *this->planners.back();
  return last.alive && last.believes_it_leads ? last.planner.get() : nullptr;
}

void PoolCell::StartPlanner() {
  auto planner = std::make_unique<PlannerProcess>(
      PlannerProcess{.evidence = pool::LeadershipEvidence(this->current_time)});
  planner->fence = ++this->last_fence;
  this->leader_fence = planner->fence;
  planner->planner = std::make_unique<pool::PoolPlanner>(
      pool::PlannerOptions{.fence = planner->fence}, this->log,
      this->GetPlannerTime());
  planner->planner->SetQueues(this->queues, this->GetPlannerTime());
  std::vector<pool::StoredJob> jobs;
  for (const auto& [key, entry] : this->store) {
    if (!key.starts_with(pool::kJobPrefix)) continue;
    const base::JobId id(std::string_view(key).substr(
        std::string_view(pool::kJobPrefix).size()));
    pool::StoredJob job{.job = *pool::DecodeJobRecord(id, entry.value)};
    const auto progress = this->store.find(pool::ProgressKey(job.job.id));
    if (progress != this->store.end()) {
      job.progress = *pool::DecodeProgress(progress->second.value);
      job.progress_revision = progress->second.revision;
    }
    jobs.push_back(std::move(job));
  }
  pool::WorkerRoster roster;
  if (const auto stored = this->store.find(pool::kWorkerRosterKey);
      stored != this->store.end()) {
    roster = pool::DecodeWorkerRoster(stored->second.value);
    roster.revision = stored->second.revision;
  }
  planner->planner->Load(jobs, roster, this->GetPlannerTime());
  for (const auto& worker : this->workers) {
    if (this->unlisted_workers.contains(worker->record.worker)) continue;
    planner->planner->OnWorker(this->GetReportedRecord(*worker),
                               this->GetPlannerTime());
  }
  this->planners.push_back(std::move(planner));
}

void PoolCell::KillPlanners(base::Duration gap) {
  for (const auto& planner : this->planners) planner->alive = false;
  this->Schedule(gap, [this] { this->StartPlanner(); });
}

void PoolCell::ReplacePlanner() { this->StartPlanner(); }

void PoolCell::CrashAndRestartWorker(size_t index) {
  PoolWorker& worker = *this->workers[index];
  const auto lost_runs = worker.GetRuns();
  this->lost_run_count += static_cast<int>(lost_runs.size());
  worker.Crash(this->GetWallMs());
  this->restarting_workers.insert(worker.record.worker);
  this->Schedule(this->restart_duration,
                 [this, index, id = worker.record.worker] {
                   this->restarting_workers.erase(id);
                   this->ReportWorker(index);
                 });
  this->EndLostRuns(worker, lost_runs);
}

void PoolCell::EndLostRuns(
    const PoolWorker& worker,
    const std::map<pool::TaskName, pool::RunNumber>& lost_runs) {
  // No lease has expired; kLeaseExpired is one of the ends that make the other
  // members end.
  for (const auto& [task, run] : lost_runs) {
    this->OnRunEnded(worker, task, run, pool::RunEnd::kLeaseExpired);
  }
  // Sync requests that wait at the worker get no answer.
  std::vector<OpenSync> pending = std::exchange(this->open_syncs, {});
  for (const OpenSync& sync : pending) {
    if (sync.request.worker != worker.record.worker) {
      this->open_syncs.push_back(sync);
      continue;
    }
    this->Schedule(kOneWayLatency, [this, sync] {
      if (!sync.planner->alive) return;
      sync.planner->planner->OnSync(sync.request, {}, this->GetPlannerTime());
    });
    if (this->faults.late_sync_share > 0 &&
        this->DrawTrue(this->faults.late_sync_share)) {
      this->ExecuteSyncLate(sync.request);
    }
  }
}

pool::WorkerRecord PoolCell::GetReportedRecord(const PoolWorker& worker) const {
  pool::WorkerRecord record = worker.record;
  if (const auto since = this->draining_since.find(record.worker);
      since != this->draining_since.end()) {
    const auto reports = (this->current_time - since->second) / kReportPeriod;
    record.remaining =
        std::max(record.remaining - reports * kReportPeriod, base::Duration(0));
  }
  return record;
}

void PoolCell::SetCapacity(size_t index, const platform::Resources& total) {
  PoolWorker& worker = *this->workers[index];
  this->former_capacities.emplace(
      worker.record.worker,
      std::make_pair(this->current_time + kCapacityGrace, worker.record.total));
  worker.record.total = total;
  this->Schedule(kReportPeriod, [this, index] { this->ReportWorker(index); });
}

void PoolCell::ReportWorker(size_t index) {
  if (this->unlisted_workers.contains(this->workers[index]->record.worker))
    return;
  if (this->faults.reports_lost) {
    this->Schedule(kTickInterval, [this, index] { this->ReportWorker(index); });
  } else if (pool::PoolPlanner* planner = this->planner()) {
    planner->OnWorker(this->GetReportedRecord(*this->workers[index]),
                      this->GetPlannerTime());
  }
}

void PoolCell::ReportDraining(size_t index, base::Duration remaining) {
  PoolWorker& worker = *this->workers[index];
  worker.record.draining = true;
  worker.record.remaining = remaining;
  this->draining_since[worker.record.worker] = this->current_time;
  if (pool::PoolPlanner* planner = this->planner()) {
    planner->OnWorker(worker.record, this->GetPlannerTime());
  }
}

void PoolCell::DrainWorker(size_t index, base::Duration remaining) {
  this->ReportDraining(index, remaining);
  this->Schedule(remaining, [this, index] {
    PoolWorker& worker = *this->workers[index];
    this->shut_down_workers.insert(worker.record.worker);
    this->EndLostRuns(worker,
                      worker.ShutDown(this->current_time, this->GetWallMs()));
    this->UnlistWorker(index);
  });
}

void PoolCell::UnlistWorker(size_t index) {
  const base::WorkerId& id = this->workers[index]->record.worker;
  this->unlisted_workers.insert(id);
  if (pool::PoolPlanner* planner = this->planner()) {
    planner->OnWorkerUnlisted(id, this->GetPlannerTime());
  }
}

void PoolCell::RelistWorker(size_t index) {
  this->unlisted_workers.erase(this->workers[index]->record.worker);
  this->ReportWorker(index);
}

void PoolCell::Submit(pool::Job job, base::Duration patience) {
  this->submitted.try_emplace(job.id, job);
  if (pool::PoolPlanner* planner = this->planner()) {
    const pool::CallId call = this->next_call++;
    this->submit_calls[call] = job.id;
    planner->Submit(call, std::move(job), this->GetPlannerTime(), patience);
  }
}

void PoolCell::Cancel(const base::JobId& job) {
  if (pool::PoolPlanner* planner = this->planner()) {
    planner->Cancel(this->next_call++, job, this->GetPlannerTime());
  }
}

void PoolCell::RunFor(base::Duration duration) {
  const base::Instant end = this->current_time + duration;
  base::Instant next_tick = this->current_time;
  while (this->current_time < end) {
    base::Instant next = std::min(next_tick, end);
    if (!this->scheduled.empty()) {
      next = std::min(next, this->scheduled.begin()->first);
    }
    this->current_time = std::max(this->current_time, next);
    while (!this->scheduled.empty() &&
           this->scheduled.begin()->first <= this->current_time) {
      const auto action = std::move(this->scheduled.begin()->second);
      this->scheduled.erase(this->scheduled.begin());
      action();
    }
    if (this->current_time >= next_tick)
      next_tick = this->current_time + kTickInterval;
    for (const auto& worker : this->workers)
      worker->Advance(this->current_time);
    this->AnswerDueSyncs();
    for (size_t i = 0; i < this->planners.size(); ++i) {
      this->AdvancePlanner(*this->planners[i]);
    }
  }
  this->log_lines += this->log.Take(this->current_time);
}

std::string PoolCell::TakeLog() {
  this->log_lines += this->log.Take(this->current_time);
  return std::exchange(this->log_lines, "");
}

void PoolCell::AdvancePlanner(PlannerProcess& planner) {
  if (!planner.alive || !planner.believes_it_leads) return;
  planner.planner->SetInputLag(
      std::max(base::Duration(0), planner.busy_until - this->current_time));
  this->RecordWork(planner);
  this->ConfirmLeadership(planner);
  if (!this->faults.reports_lost) {
    planner.planner->SetWorkersConfirmedAt(this->current_time);
  }
  for (const pool::Effect& effect :
       planner.planner->Advance(this->GetPlannerTime())) {
    this->Execute(planner, effect);
  }
}

void PoolCell::Execute(PlannerProcess& planner, const pool::Effect& effect) {
  if (const auto* start = std::get_if<pool::StartRequest>(&effect)) {
    this->ExecuteStart(planner, *start);
  } else if (const auto* stop = std::get_if<pool::StopRequest>(&effect)) {
    this->ExecuteStop(planner, *stop);
  } else if (const auto* sync = std::get_if<pool::SyncRequest>(&effect)) {
    this->ExecuteSync(planner, *sync);
  } else if (const auto* commit = std::get_if<pool::StoreCommit>(&effect)) {
    this->ExecuteCommit(planner, *commit);
  } else if (const auto* answer = std::get_if<pool::CallerAnswer>(&effect)) {
    if (const auto call = this->submit_calls.find(answer->call);
        call != this->submit_calls.end()) {
      this->answers[call->second].push_back(answer->code);
    }
  } else if (const auto* check = std::get_if<pool::StoreCheck>(&effect)) {
    planner.planner->OnStoreCheck(
        check->call, this->store.contains(pool::JobKey(check->job)));
  } else if (const auto* query = std::get_if<pool::AdviceQuery>(&effect)) {
    this->ExecuteAdvice(planner, *query);
  } else if (std::get_if<pool::LeadershipLost>(&effect) != nullptr) {
    planner.believes_it_leads = false;
  }
}

void PoolCell::ExecuteStart(PlannerProcess& planner,
                            const pool::StartRequest& request) {
  const auto deliver = [this, &planner, task = request.task,
                        run = request.run](const pool::StartStopReply& reply) {
    this->HandleInTurn(planner, [this, &planner, task, run, reply] {
      planner.planner->OnStart(task, run, reply, this->GetPlannerTime());
    });
  };
  if (this->DrawTrue(this->faults.late_start_share)) {
    const auto delay = std::chrono::milliseconds(
        std::uniform_int_distribution<int>(2000, 12000)(this->random));
    // Whichever incarnation the worker has by then.
    this->Schedule(delay, [this, request] {
      PoolWorker* worker = this->FindRunningWorker(request.worker);
      if (worker != nullptr && !worker->WasRefusedBefore(request)) {
        worker->Start(request, this->current_time);
      }
    });
    this->Schedule(kRequestTimeout, [deliver] { deliver({}); });
    return;
  }
  this->Schedule(kOneWayLatency, [this, &planner, request, deliver] {
    if (PoolWorker* worker =
            this->FindReachableWorker(planner, request.worker)) {
      const pool::StartStopReply reply =
          worker->Start(request, this->current_time);
      this->Schedule(kOneWayLatency, [deliver, reply] { deliver(reply); });
    } else {
      this->Schedule(kRequestTimeout, [deliver] { deliver({}); });
    }
  });
}

void PoolCell::ExecuteStop(PlannerProcess& planner,
                           const pool::StopRequest& request) {
  const auto deliver = [this, &planner,
                        request](const pool::StartStopReply& reply) {
    this->HandleInTurn(planner, [this, &planner, request, reply] {
      planner.planner->OnStop(request, reply, this->GetPlannerTime());
    });
  };
  this->Schedule(kOneWayLatency, [this, &planner, request, deliver] {
    if (PoolWorker* worker =
            this->FindReachableWorker(planner, request.worker)) {
      const pool::StartStopReply reply =
          worker->Stop(request, this->current_time);
      this->Schedule(kOneWayLatency, [deliver, reply] { deliver(reply); });
    } else {
      this->Schedule(kRequestTimeout, [deliver] { deliver({}); });
    }
  });
}

void PoolCell::ExecuteSync(PlannerProcess& planner,
                           const pool::SyncRequest& request) {
  this->Schedule(kOneWayLatency, [this, &planner, request] {
    this->open_syncs.push_back(
        {&planner, request, this->current_time + request.max_wait});
  });
}

void PoolCell::ExecuteSyncLate(const pool::SyncRequest& request) {
  const auto delay = std::chrono::milliseconds(
      std::uniform_int_distribution<int>(50, 3000)(this->random));
  this->Schedule(delay, [this, request] {
    if (PoolWorker* worker = this->FindRunningWorker(request.worker)) {
      worker->Sync(request, this->current_time);
    }
  });
}

void PoolCell::AnswerDueSyncs() {
  std::vector<OpenSync> pending = std::exchange(this->open_syncs, {});
  for (const OpenSync& sync : pending) {
    PoolWorker* worker =
        this->FindReachableWorker(*sync.planner, sync.request.worker);
    if (worker == nullptr || worker->HasUnacknowledgedEnds() ||
        this->current_time >= sync.answer_by) {
      this->AnswerSync(sync);
    } else {
      this->open_syncs.push_back(sync);
    }
  }
}

void PoolCell::AnswerSync(const OpenSync& sync) {
  PlannerProcess& planner = *sync.planner;
  const auto deliver = [this, &planner,
                        request = sync.request](const pool::SyncReply& reply) {
    this->HandleInTurn(planner, [this, &planner, request, reply] {
      planner.planner->OnSync(request, reply, this->GetPlannerTime());
    });
  };
  if (PoolWorker* worker =
          this->FindReachableWorker(planner, sync.request.worker)) {
    const pool::SyncReply reply =
        worker->Sync(sync.request, this->current_time);
    worker->has_answered = true;
    this->Schedule(kOneWayLatency, [deliver, reply] { deliver(reply); });
  } else {
    this->Schedule(kUnreachableSyncDelay, [deliver] {
      deliver({.result = pool::WorkerCallResult::kNotSent});
    });
  }
}

pool::CommitReply PoolCell::ApplyCommit(pool::Fence fence,
                                        const pool::StoreCommit& commit) {
  if (this->leader_fence != fence) {
    return {.outcome = platform::Outcome::kRefused, .lost_leadership = true};
  }
  pool::CommitReply reply{.outcome = platform::Outcome::kDone};
  for (const pool::StoreWrite& write : commit.writes) {
    if (!write.expected) continue;
    const auto entry = this->store.find(write.key);
    const platform::Revision current_revision =
        entry == this->store.end() ? 0 : entry->second.revision;
    reply.current.push_back({write.key, current_revision});
    if (current_revision != *write.expected) {
      reply.outcome = platform::Outcome::kRefused;
    }
  }
  if (reply.outcome != platform::Outcome::kDone) return reply;
  reply.revision = ++this->store_revision;
  for (const pool::StoreWrite& write : commit.writes) {
    if (write.value) {
      this->store[write.key] = {*write.value, this->store_revision};
    } else {
      this->store.erase(write.key);
    }
  }
  return reply;
}

void PoolCell::ExecuteCommit(PlannerProcess& planner,
                             const pool::StoreCommit& commit) {
  const auto deliver = [this, &planner,
                        id = commit.id](const pool::CommitReply& reply) {
    if (!planner.alive) return;
    planner.planner->OnCommit(id, reply, this->GetPlannerTime());
  };
  if (this->faults.commits_not_sent) {
    this->Schedule(kOneWayLatency, [deliver] {
      deliver({.outcome = platform::Outcome::kNotSent});
    });
    return;
  }
  if (this->faults.commits_unanswered || this->FindCutOff(planner).store) {
    this->Schedule(kCommitTimeout, [deliver] {
      deliver({.outcome = platform::Outcome::kUnknown});
    });
    return;
  }
  const bool reply_lost = this->DrawTrue(this->faults.lost_commit_reply_share);
  // A commit without an answer may be applied at once or seconds later.
  const base::Duration delay = reply_lost && this->DrawTrue(0.5)
                                   ? base::Duration(std::chrono::seconds(3))
                                   : kOneWayLatency;
  this->Schedule(
      delay + this->faults.commit_duration,
      [this, fence = planner.fence, commit, deliver, reply_lost] {
        const pool::CommitReply reply = this->ApplyCommit(fence, commit);
        if (!reply_lost)
          this->Schedule(kOneWayLatency, [deliver, reply] { deliver(reply); });
      });
  if (reply_lost) {
    this->Schedule(kCommitTimeout, [deliver] {
      deliver({.outcome = platform::Outcome::kUnknown});
    });
  }
}

std::vector<base::ResultCode> PoolCell::Answers(const base::JobId& job) const {
  const auto found = this->answers.find(job);
  return found == this->answers.end() ? std::vector<base::ResultCode>()
                                      : found->second;
}

std::string PoolCell::StoredValue(const std::string& key) const {
  const auto found = this->store.find(key);
  return found == this->store.end() ? "" : found->second.value;
}

bool PoolCell::IsStored(const base::JobId& job) const {
  return this->store.contains(pool::JobKey(job));
}

pool::JobPhase PoolCell::StoredPhase(const base::JobId& job) const {
  const auto found = this->store.find(pool::ProgressKey(job));
  if (found == this->store.end()) return pool::JobPhase::kQueued;
  return pool::DecodeProgress(found->second.value)->phase;
}

std::vector<base::JobId> PoolCell::UnfinishedJobs() const {
  std::vector<base::JobId> unfinished;
  for (const auto& [id, job] : this->submitted) {
    if (this->IsStored(id) && !pool::IsFinal(this->StoredPhase(id))) {
      unfinished.push_back(id);
    }
  }
  return unfinished;
}

int PoolCell::CountStarts(const pool::TaskName& task) const {
  const auto found = this->start_counts.find(task);
  return found == this->start_counts.end() ? 0 : found->second;
}

}  // namespace agatepass::fakes
