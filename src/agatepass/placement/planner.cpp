#include "agatepass/placement/planner.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace agatepass::placement {
namespace {

using base::ResultCode;
using platform::Resources;

// Explanations of past decisions that are kept.
constexpr size_t kExplanationsKept = 16384;

/** Returns the largest of the shares of each resource. */
double DominantShare(const Resources& used, const Resources& total) {
  const auto share = [](int64_t part, int64_t whole) {
    return whole <= 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  return std::max({share(used.millicores, total.millicores),
                   share(used.memory_mib, total.memory_mib),
                   share(used.accelerators, total.accelerators)});
}

/** Returns what is malformed in a request, empty if nothing is. */
std::string FindFault(const TaskRequest& request) {
  if (request.task.empty()) return "a task needs an id";
  if (request.job.empty()) {
    return fmt::format("task \"{}\" needs a job id", request.task.value);
  }
  if (!request.declared.IsValid()) {
    return fmt::format("task \"{}\" declares an amount below zero",
                       request.task.value);
  }
  if (request.kind == WorkloadKind::kGang && request.gang_size == 0) {
    return fmt::format("gang \"{}\" needs a size above zero",
                       request.job.value);
  }
  return {};
}

}  // namespace

Planner::Planner(uint64_t seed) : failures(seed), log(kExplanationsKept) {}

void Planner::SetPolicy(Policy policy) {
  this->rules = std::move(policy);
  this->workers.SetSeparations(this->rules.separations);
  this->queue.SetAgeingStep(this->rules.limits.ageing_step);
  for (uint32_t number = 0; number < this->teams.size(); ++number) {
    Team& team = this->teams[number];
    const auto found = this->rules.teams.find(team.id);
    const bool known = found != this->rules.teams.end();
    team.weight = known ? found->second.weight : 1.0;
    team.quota = known ? found->second.quota : std::nullopt;
    this->UpdateShare(number);
  }
  this->queue.WakeAll();
  this->recheck = true;
}

void Planner::UpsertWorker(const WorkerView& view) {
  WorkerView merged = view;
  if (const auto slot = this->workers.Find(view.worker);
      slot && view.state == WorkerState::kLive &&
      this->workers.worker(*slot).view.state == WorkerState::kOnProbation) {
    // Only the end of its probation makes the worker live again.
    merged.state = WorkerState::kOnProbation;
  }
  this->workers.UpsertWorker(merged);
}

void Planner::RemoveWorker(const base::WorkerId& worker) {
  if (const auto slot = this->workers.Find(worker);
      slot && this->hold && this->workers.worker(*slot).held) {
    std::erase(this->hold->slots, *slot);
  }
  this->workers.RemoveWorker(worker);
  this->failures.Forget(worker);
  this->hot.erase(worker);
}

Planner::Team& Planner::TeamOf(const base::TeamId& id, uint32_t number) {
  if (number >= this->teams.size()) {
    Team team{.id = id};
    if (const auto found = this->rules.teams.find(id);
        found != this->rules.teams.end()) {
      team.weight = found->second.weight;
      team.quota = found->second.quota;
    }
    this->teams.push_back(std::move(team));
  }
  return this->teams[number];
}

void Planner::UpdateShare(uint32_t number) {
  const Team& team = this->teams[number];
  this->queue.SetShare(
      number, DominantShare(team.granted, this->share_base) / team.weight);
}

void Planner::ChargeTeam(uint32_t team, const Resources& granted) {
  this->teams[team].granted += granted;
  this->UpdateShare(team);
}

void Planner::ReleaseTeam(uint32_t team, const Resources& granted) {
  this->teams[team].granted -= granted;
  this->UpdateShare(team);
  this->queue.WakeQuota(team);
}

Resources Planner::TeamUse(const base::TeamId& team) const {
  const auto found = std::ranges::find(
      this->teams, team, [](const Team& row) -> const auto& { return row.id; });
  return found == this->teams.end() ? Resources{} : found->granted;
}

TaskRecord* Planner::FindRecord(const base::TaskId& task) const {
  const auto found = this->tasks.find(task);
  return found == this->tasks.end() ? nullptr : found->second.get();
}

TaskRecord& Planner::AddRecord(const TaskRequest& request, base::Instant now) {
  auto& record = this->tasks[request.task];
  record = std::make_unique<TaskRecord>();
  record->request = request;
  record->team = this->team_numbers.NumberOf(request.team.value);
  this->TeamOf(request.team, record->team);
  record->workload = this->workload_numbers.NumberOf(request.workload.value);
  record->label = this->workers.labels().NumberOf(request.label);
  record->enqueued = now;
  auto& job = this->jobs[request.job];
  if (!job) job = std::make_unique<JobRecord>(JobRecord{.job = request.job});
  record->job = job.get();
  record->previous_of_job = job->last;
  (job->last == nullptr ? job->first : job->last->next_of_job) = record.get();
  job->last = record.get();
  ++job->tasks;
  return *record;
}

void Planner::DropRecord(TaskRecord& task) {
  JobRecord& job = *task.job;
  (task.previous_of_job == nullptr ? job.first
                                   : task.previous_of_job->next_of_job) =
      task.next_of_job;
  (task.next_of_job == nullptr ? job.last : task.next_of_job->previous_of_job) =
      task.previous_of_job;
  if (--job.tasks == 0) {
    const base::JobId id = job.job;
    this->jobs.erase(id);
  }
  const base::TaskId id = task.request.task;
  this->tasks.erase(id);
}

absl::Status Planner::Refuse(const TaskRequest& request, ResultCode reason,
                             WaitCause cause, base::Instant now) {
  TaskRecord record;
  record.request = request;
  record.team = this->team_numbers.NumberOf(request.team.value);
  this->TeamOf(request.team, record.team);
  record.label = this->workers.labels().NumberOf(request.label);
  record.enqueued = now;
  const PlacementNeed need{.room = request.declared, .label = record.label};
  Explanation why = this->Describe(record, need, now);
  why.kind = DecisionKind::kRefuse;
  why.reason = reason;
  why.cause = cause;
  why.granted = {};
  if (cause == WaitCause::kNeverFits) this->DescribeObstacles(need, why);
  const std::string text = Render(why);
  this->log.Add(std::move(why));
  return base::ErrorStatus(reason, text);
}

absl::Status Planner::CheckRunnable(const TaskRequest& request,
                                    base::Instant now) {
  if (this->failures.FailedWorkers(request.job) >=
      this->rules.limits.job_failures) {
    return this->Refuse(request, ResultCode::kRefusedByRule,
                        WaitCause::kJobFailsEverywhere, now);
  }
  const LabelNumber label = this->workers.labels().NumberOf(request.label);
  if (this->workers.size() > 0 &&
      !this->workers.CouldEverFit({.room = request.declared, .label = label})) {
    return this->Refuse(request, ResultCode::kCanNeverRun,
                        WaitCause::kNeverFits, now);
  }
  const Team& team = this->TeamOf(
      request.team, this->team_numbers.NumberOf(request.team.value));
  Resources whole = request.declared;
  if (request.kind == WorkloadKind::kGang) {
    whole = {.millicores = whole.millicores * request.gang_size,
             .memory_mib = whole.memory_mib * request.gang_size,
             .accelerators = whole.accelerators * request.gang_size};
  }
  if (team.quota && !whole.FitsIn(*team.quota)) {
    return this->Refuse(request, ResultCode::kQuotaExceeded, WaitCause::kQuota,
                        now);
  }
  return absl::OkStatus();
}

absl::Status Planner::Enqueue(const TaskRequest& request, base::Instant now) {
  if (const std::string fault = FindFault(request); !fault.empty()) {
    return base::ErrorStatus(ResultCode::kInvalidRequest, fault);
  }
  if (this->tasks.contains(request.task)) return absl::OkStatus();
  if (absl::Status status = this->CheckRunnable(request, now); !status.ok()) {
    return status;
  }
  this->queue.Push(this->AddRecord(request, now));
  return absl::OkStatus();
}

CancelResult Planner::Cancel(const base::TaskId& task) {
  TaskRecord* record = this->FindRecord(task);
  if (record == nullptr) return CancelResult::kUnknownTask;
  if (record->stage == TaskStage::kAwaitingRoom) this->DropAwaited(*record);
  if (record->stage == TaskStage::kQueued) {
    this->queue.Remove(*record);
  } else if (record->stage != TaskStage::kAwaitingRoom) {
    return CancelResult::kAlreadyPlaced;
  }
  if (this->hold && this->hold->job == record->request.job) {
    this->ReleaseHold();
  }
  this->DropRecord(*record);
  return CancelResult::kRemovedFromQueue;
}

JobCancellation Planner::CancelJob(const base::JobId& job) {
  JobCancellation cancellation;
  const auto found = this->jobs.find(job);
  if (found == this->jobs.end()) return cancellation;
  TaskRecord* task = found->second->first;
  while (task != nullptr) {
    // The record, and after the last one the job, is gone after Cancel.
    TaskRecord* next = task->next_of_job;
    const base::TaskId id = task->request.task;
    auto& list = this->Cancel(id) == CancelResult::kRemovedFromQueue
                     ? cancellation.removed
                     : cancellation.already_placed;
    list.push_back(id);
    task = next;
  }
  return cancellation;
}

void Planner::RefuseJob(const base::JobId& job, base::Instant now,
                        std::vector<Decision>& decisions) {
  const auto found = this->jobs.find(job);
  if (found == this->jobs.end()) return;
  TaskRecord* task = found->second->first;
  while (task != nullptr) {
    TaskRecord* next = task->next_of_job;
    if (task->stage == TaskStage::kQueued) {
      Explanation why = this->ExplainWaiting(*task, now);
      why.kind = DecisionKind::kRefuse;
      why.reason = ResultCode::kRefusedByRule;
      why.cause = WaitCause::kJobFailsEverywhere;
      why.failed_workers = this->failures.FailedWorkers(job);
      decisions.push_back({.kind = DecisionKind::kRefuse,
                           .task = task->request.task,
                           .reason = why.reason,
                           .explanation = this->log.Add(std::move(why))});
      this->Cancel(task->request.task);
    }
    task = next;
  }
}

void Planner::RecheckQueue(base::Instant now,
                           std::vector<Decision>& decisions) {
  std::vector<base::TaskId> refused;
  this->queue.VisitLines([&](const Line& line) {
    const Team& team = this->teams[line.key.team];
    if (!team.quota || line.head->request.declared.FitsIn(*team.quota)) return;
    for (const TaskRecord* task = line.head; task != nullptr;
         task = task->next) {
      refused.push_back(task->request.task);
    }
  });
  for (const base::TaskId& task : refused) {
    const TaskRequest request = this->FindRecord(task)->request;
    this->Cancel(task);
    (void)this->Refuse(request, ResultCode::kQuotaExceeded, WaitCause::kQuota,
                       now);
    decisions.push_back({.kind = DecisionKind::kRefuse,
                         .task = task,
                         .reason = ResultCode::kQuotaExceeded,
                         .explanation = this->log.Find(task)->id});
  }
}

}  // namespace agatepass::placement
