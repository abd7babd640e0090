#include "agatepass/placement/tests/random_history.h"

#include "fmt/format.h"

namespace agatepass::placement {
namespace {

constexpr int kWorkers = 6;

/** Returns the entry that `value` picks. */
template <typename Map>
auto Pick(Map& map, uint8_t value) {
  auto entry = map.begin();
  std::advance(entry, value % map.size());
  return entry;
}

Policy MakePolicy(uint8_t value) {
  Policy policy = value % 3 == 0   ? OrdinaryPolicy()
                  : value % 3 == 1 ? PeakPolicy()
                                   : MaintenancePolicy();
  policy.revision = value;
  policy.margins.samples = 3;
  policy.separations = {{.first = "estate", .second = "counter"}};
  policy.teams[base::TeamId("team0")].quota = {
      .millicores = 8000, .memory_mib = 16384, .accelerators = 4};
  return policy;
}

}  // namespace

RandomHistory::RandomHistory(uint64_t seed) : planner(seed) {
  this->planner.SetPolicy(MakePolicy(0));
  for (int i = 0; i < kWorkers; ++i) {
    WorkerView view = MakeWorker("w" + std::to_string(i));
    view.rack = base::RackId("r" + std::to_string(i / 2));
    if (i == 0) view.total.accelerators = 4;
    this->workers[view.worker.value] = view;
    this->planner.UpsertWorker(view);
  }
}

void RandomHistory::Run(const std::vector<Step>& steps) {
  for (const auto [action, value] : steps) {
    this->now += std::chrono::milliseconds(100 + 20 * value);
    switch (action % 10) {
      case 0:
      case 1:
      case 2:
        this->Submit(value);
        break;
      case 3:
        this->SubmitGang(value);
        break;
      case 4:
      case 5:
        this->EndOne(value, value % 7 != 0);
        break;
      case 6:
        this->ReportUse(value);
        break;
      case 7:
        this->CancelOne(value);
        break;
      case 8:
        this->ChangeWorker(value);
        break;
      default:
        this->ChangePolicy(value);
    }
    this->Decide();
  }
}

void RandomHistory::Enqueue(const TaskRequest& request) {
  if (this->planner.Enqueue(request, this->now).ok()) {
    this->waiting[request.task.value] = request;
  }
}

void RandomHistory::Submit(uint8_t value) {
  TaskRequest request = MakeTask("t" + std::to_string(this->next_task++));
  request.job = base::JobId("j" + std::to_string(this->next_task / 3));
  request.team = base::TeamId("team" + std::to_string(value % 3));
  request.workload = base::WorkloadId("load" + std::to_string(value % 4));
  request.priority = static_cast<Priority>(value % 4);
  request.kind = value % 5 == 0 ? WorkloadKind::kService : WorkloadKind::kBatch;
  request.declared = {.millicores = 250 + 250 * (value % 8),
                      .memory_mib = 512 + 512 * (value % 5),
                      .accelerators = value % 11 == 0 ? 1 : 0};
  request.idempotent = value % 2 == 0;
  request.checkpointable = value % 3 == 0;
  if (value % 13 == 1) request.label = "estate";
  if (value % 13 == 2) request.label = "counter";
  this->Enqueue(request);
}

void RandomHistory::SubmitGang(uint8_t value) {
  const std::string job = "gang" + std::to_string(this->next_task);
  for (uint32_t i = 0; i < 2U + value % 5; ++i) {
    TaskRequest request = MakeTask("t" + std::to_string(this->next_task++));
    request.job = base::JobId(job);
    request.team = base::TeamId("team1");
    request.kind = WorkloadKind::kGang;
    request.gang_size = 2U + value % 5;
    request.declared = {.millicores = 1000 + 250 * (value % 4),
                        .memory_mib = 1024};
    this->Enqueue(request);
  }
}

void RandomHistory::EndOne(uint8_t value, bool succeeded) {
  if (this->running.empty()) return;
  const auto [id, task] = *Pick(this->running, value);
  this->running.erase(id);
  const platform::Resources used{
      .millicores = task.request.declared.millicores / 2,
      .memory_mib = task.request.declared.memory_mib / 2};
  this->planner.OnEnded(base::TaskId(id), succeeded, used,
                        std::chrono::seconds(value), this->now);
}

void RandomHistory::ReportUse(uint8_t value) {
  if (this->running.empty()) return;
  const auto& [id, task] = *Pick(this->running, value);
  this->planner.OnUsage(
      task.worker, base::TaskId(id),
      {.millicores = task.granted.millicores * (value % 30) / 10,
       .memory_mib = task.granted.memory_mib * (value % 20) / 10});
}

void RandomHistory::CancelOne(uint8_t value) {
  if (this->waiting.empty()) return;
  const auto [id, request] = *Pick(this->waiting, value);
  std::vector<base::TaskId> removed;
  if (value % 2 == 0) {
    removed = this->planner.CancelJob(request.job).removed;
  } else if (this->planner.Cancel(request.task) ==
             CancelResult::kRemovedFromQueue) {
    removed.push_back(request.task);
  }
  for (const base::TaskId& task : removed) {
    this->cancelled.insert(task.value);
    this->waiting.erase(task.value);
  }
}

void RandomHistory::ChangeWorker(uint8_t value) {
  auto& [name, view] = *Pick(this->workers, value);
  view.state = value % 3 == 0 ? WorkerState::kLeaving : WorkerState::kLive;
  this->planner.UpsertWorker(view);
}

void RandomHistory::ChangePolicy(uint8_t value) {
  this->planner.SetPolicy(MakePolicy(value));
}

void RandomHistory::Decide() {
  const std::vector<Decision> batch = this->planner.Decide(this->now, 50);
  for (const Decision& decision : batch) this->Carry(decision);
  this->Check(batch);
}

void RandomHistory::Carry(const Decision& decision) {
  const std::string& id = decision.task.value;
  this->decisions += fmt::format("{} {} {}\n", DecisionKindName(decision.kind),
                                 id, decision.worker.value);
  if (!this->planner.Explain(decision.task, this->now) &&
      decision.kind != DecisionKind::kThrottle) {
    this->Fail("no explanation of " + id);
  }
  if (decision.kind == DecisionKind::kPlace) {
    if (this->cancelled.contains(id)) this->Fail("started cancelled " + id);
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end()) {
      this->Fail("started twice or never asked for: " + id);
      return;
    }
    this->running[id] = {.request = found->second,
                         .worker = decision.worker,
                         .granted = decision.granted};
    this->waiting.erase(found);
    this->planner.OnStarted(decision.task, decision.worker, this->now);
  } else if (decision.kind == DecisionKind::kCheckpoint ||
             decision.kind == DecisionKind::kStop) {
    const auto found = this->running.find(id);
    if (found == this->running.end()) return;
    const TaskRequest request = found->second.request;
    const bool allowed = decision.kind == DecisionKind::kStop
                             ? request.idempotent
                             : request.checkpointable;
    if (!allowed) this->Fail("took off what may not be: " + id);
    this->running.erase(found);
    this->waiting[id] = request;
    this->planner.OnPreempted(decision.task, this->now);
  } else if (decision.kind == DecisionKind::kRefuse) {
    this->waiting.erase(id);
  }
}

void RandomHistory::CheckWorker(const std::string& worker) {
  platform::Resources granted;
  bool estate = false;
  bool counter = false;
  for (const auto& [id, task] : this->running) {
    if (task.worker.value != worker) continue;
    granted += task.granted;
    estate = estate || task.request.label == "estate";
    counter = counter || task.request.label == "counter";
  }
  if (!granted.FitsIn(this->workers[worker].total)) {
    this->Fail("over-committed " + worker);
  }
  if (estate && counter) this->Fail("estate and counter share " + worker);
}

void RandomHistory::Check(const std::vector<Decision>& batch) {
  for (const auto& [name, view] : this->workers) this->CheckWorker(name);
  platform::Resources quota_used;
  for (const auto& [id, task] : this->running) {
    if (task.request.team.value == "team0") quota_used += task.granted;
  }
  if (!quota_used.FitsIn(*MakePolicy(0).teams[base::TeamId("team0")].quota)) {
    this->Fail("above quota");
  }
  std::map<std::string, uint32_t> gangs;
  for (const Decision& decision : OfKind(batch, DecisionKind::kPlace)) {
    if (const auto found = this->running.find(decision.task.value);
        found != this->running.end() &&
        found->second.request.kind == WorkloadKind::kGang) {
      ++gangs[found->second.request.job.value];
    }
  }
  for (const auto& [job, count] : gangs) {
    for (const auto& [id, request] : this->waiting) {
      if (request.job.value == job) this->Fail("partial gang " + job);
    }
  }
}

size_t RandomHistory::Drain() {
  constexpr int kRounds = 400;
  this->planner.SetPolicy(MakePolicy(0));
  for (auto& [name, view] : this->workers) {
    view.state = WorkerState::kLive;
    this->planner.UpsertWorker(view);
  }
  for (int round = 0; round < kRounds && !this->waiting.empty(); ++round) {
    this->now += std::chrono::minutes(1);
    while (!this->running.empty()) this->EndOne(1, true);
    this->Decide();
  }
  // A gang that lost a task to a cancellation waits for it for good.
  std::set<std::string> incomplete;
  for (const auto& [id, request] : this->waiting) {
    const auto why = this->planner.Explain(request.task, this->now);
    if (why && why->cause == WaitCause::kGangIncomplete) incomplete.insert(id);
  }
  return this->waiting.size() - incomplete.size();
}

}  // namespace agatepass::placement
