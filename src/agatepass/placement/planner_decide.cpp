#include <algorithm>
#include <utility>

#include "agatepass/placement/planner.h"
#include "agatepass/placement/worker_choice.h"

namespace agatepass::placement {
namespace {

using base::ResultCode;
using platform::Resources;

// Gains of room that are compared one by one; more are taken together.
constexpr size_t kRoomsCompared = 32;

/** Returns the result code that goes with a cause of waiting. */
ResultCode ReasonOf(WaitCause cause) {
  switch (cause) {
    case WaitCause::kQuota:
      return ResultCode::kQuotaExceeded;
    case WaitCause::kPreset:
      return ResultCode::kRefusedByRule;
    default:
      return ResultCode::kNoRoomNow;
  }
}

/** Returns how a task may be taken off its worker. */
Removal RemovalOf(const TaskRequest& request) {
  if (request.kind != WorkloadKind::kBatch) return Removal::kNever;
  if (request.checkpointable) return Removal::kCheckpoint;
  return request.idempotent ? Removal::kStop : Removal::kNever;
}

}  // namespace

std::vector<Decision> Planner::Decide(base::Instant now, size_t limit) {
  std::vector<Decision> decisions;
  this->decided_at = now;
  this->RefreshShares();
  this->queue.Age(now);
  this->EndProbations(now);
  if (std::exchange(this->recheck, false)) this->RecheckQueue(now, decisions);
  for (const base::JobId& job : std::exchange(this->blamed, {})) {
    this->RefuseJob(job, now, decisions);
  }
  this->ServeAwaited(now, decisions);
  this->CoolHotWorkers(now, decisions);
  this->WakeForRoom();
  while (decisions.size() < limit) {
    Line* line = this->queue.Front();
    if (line == nullptr) break;
    this->TryLine(*line, now, decisions);
  }
  return decisions;
}

void Planner::RefreshShares() {
  if (this->share_base == this->workers.total()) return;
  this->share_base = this->workers.total();
  for (uint32_t team = 0; team < this->teams.size(); ++team) {
    this->UpdateShare(team);
  }
}

void Planner::WakeForRoom() {
  std::vector<Resources> rooms;
  for (const WorkerSlot slot : this->workers.TakeGains()) {
    const Worker& worker = this->workers.worker(slot);
    if (!worker.present || worker.view.state != WorkerState::kLive) continue;
    const Resources room = worker.Room();
    if (rooms.size() < kRoomsCompared) {
      rooms.push_back(room);
      continue;
    }
    Resources& merged = rooms.back();
    merged = {.millicores = std::max(merged.millicores, room.millicores),
              .memory_mib = std::max(merged.memory_mib, room.memory_mib),
              .accelerators = std::max(merged.accelerators, room.accelerators)};
  }
  const base::Instant now = this->decided_at;
  this->queue.WakeRoom(rooms, [&](const Line& line) {
    return this->NeedOf(*line.head, now).room;
  });
}

std::optional<base::Duration> Planner::RunTimeOf(const TaskRecord& task) const {
  if (const auto learnt = this->history.LongRunTime(task.workload)) {
    return learnt;
  }
  if (task.request.expected_run_time > base::Duration::zero()) {
    return task.request.expected_run_time;
  }
  return std::nullopt;
}

PlacementNeed Planner::NeedOf(const TaskRecord& task, base::Instant now) const {
  const TaskRequest& request = task.request;
  PlacementNeed need{.room = request.declared, .label = task.label};
  if (request.kind == WorkloadKind::kBatch &&
      request.priority < Priority::kUrgent &&
      this->rules.pack_on_observed_use) {
    if (const auto learnt = this->history.Grant(task.workload, request.declared,
                                                this->rules.margins)) {
      const PlacementNeed observed{.room = *learnt, .label = task.label};
      if (this->workers.CouldEverFit(observed)) need = observed;
    }
  }
  if (!this->hold) return need;
  if (request.priority == Priority::kUrgent ||
      (request.kind == WorkloadKind::kGang && request.job == this->hold->job)) {
    need.may_use_held = true;
  } else if (request.kind == WorkloadKind::kBatch) {
    const auto run_time = this->RunTimeOf(task);
    need.may_use_held = (run_time && now + *run_time <= this->hold->expected) ||
                        (request.checkpointable && !this->hold->closing);
  }
  return need;
}

WaitCause Planner::HeldBack(const TaskRecord& task, const PlacementNeed& need,
                            uint32_t count) const {
  if (task.request.priority < this->rules.lowest_started) {
    return WaitCause::kPreset;
  }
  const Team& team = this->teams[task.team];
  if (!team.quota) return WaitCause::kNothing;
  Resources after = team.granted;
  after.millicores += need.room.millicores * count;
  after.memory_mib += need.room.memory_mib * count;
  after.accelerators += need.room.accelerators * count;
  return after.FitsIn(*team.quota) ? WaitCause::kNothing : WaitCause::kQuota;
}

std::optional<Planner::Choice> Planner::Choose(
    const TaskRecord& task, const PlacementNeed& need) const {
  const PackingScore packing{.weights = this->rules.weights};
  const auto found = task.request.kind == WorkloadKind::kService
                         ? ChooseWorker(this->workers, need,
                                        SpreadScore{.packing = packing,
                                                    .cell = this->workers,
                                                    .workload = task.workload})
                         : ChooseWorker(this->workers, need, packing);
  if (!found) return std::nullopt;
  Choice choice{.slot = found->slot};
  for (size_t i = 0; i < found->shown; ++i) {
    const auto& [score, slot] = found->best[i];
    choice.scores.push_back(
        {.worker = this->workers.worker(slot).view.worker, .score = score});
  }
  return choice;
}

Occupant Planner::OccupantOf(const TaskRecord& task, const PlacementNeed& need,
                             base::Instant now) const {
  Occupant occupant{.task = task.request.task,
                    .workload = task.workload,
                    .label = task.label,
                    .kind = task.request.kind,
                    .priority = task.request.priority,
                    .removal = RemovalOf(task.request),
                    .granted = need.room,
                    .since = now};
  if (const auto run_time = this->RunTimeOf(task)) {
    occupant.expected_end = now + *run_time;
  }
  return occupant;
}

void Planner::Place(TaskRecord& task, const PlacementNeed& need, Choice choice,
                    base::Instant now, std::vector<Decision>& decisions) {
  Explanation why = this->Describe(task, need, now);
  why.kind = DecisionKind::kPlace;
  why.worker = this->workers.worker(choice.slot).view.worker;
  why.scores = std::move(choice.scores);
  why.ruled_out = this->workers.CountRuledOut(need);
  if (task.line != nullptr) this->queue.Remove(task);
  task.stage = TaskStage::kStarting;
  task.worker = why.worker;
  task.granted = need.room;
  task.placed = now;
  this->ChargeTeam(task.team, need.room);
  decisions.push_back({.kind = DecisionKind::kPlace,
                       .task = task.request.task,
                       .worker = task.worker,
                       .granted = need.room,
                       .explanation = this->log.Add(std::move(why))});
}

void Planner::TryLine(Line& line, base::Instant now,
                      std::vector<Decision>& decisions) {
  if (line.key.kind == WorkloadKind::kGang) {
    this->TryGang(line, now, decisions);
    return;
  }
  TaskRecord& task = *line.head;
  const PlacementNeed need = this->NeedOf(task, now);
  const NeedKey key = NeedKeyOf(line.key);
  if (const WaitCause cause = this->HeldBack(task, need, 1);
      cause != WaitCause::kNothing) {
    this->Delay(line, cause, need, now, decisions);
    return;
  }
  if (auto choice = this->Choose(task, need);
      choice &&
      this->workers.Charge(choice->slot, this->OccupantOf(task, need, now))) {
    this->Place(task, need, std::move(*choice), now, decisions);
    this->queue.WakeNext(key);
    return;
  }
  if (task.request.priority >= this->rules.lowest_preempting &&
      this->TryPreempt(task, need, now, decisions)) {
    return;
  }
  this->Delay(line, WaitCause::kRoom, need, now, decisions);
}

void Planner::Delay(Line& line, WaitCause cause, const PlacementNeed& need,
                    base::Instant now, std::vector<Decision>& decisions) {
  this->queue.Park(line, cause);
  // The room that woke this line is still there for others with that need.
  if (cause != WaitCause::kRoom) this->queue.WakeNext(NeedKeyOf(line.key));
  if (std::exchange(line.announced, cause) == cause) return;
  Explanation why = this->Describe(*line.head, need, now);
  why.kind = DecisionKind::kDelay;
  why.reason = ReasonOf(cause);
  why.cause = cause;
  why.ruled_out = this->workers.CountRuledOut(need);
  decisions.push_back({.kind = DecisionKind::kDelay,
                       .task = line.head->request.task,
                       .reason = why.reason,
                       .explanation = this->log.Add(std::move(why))});
}

}  // namespace agatepass::placement
