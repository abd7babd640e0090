#include "agatepass/placement/task_queue.h"

#include <algorithm>

namespace agatepass::placement {
namespace {

// Wait after which a task without a deadline counts as late.
constexpr base::Duration kPatience = std::chrono::hours(1);

/** Returns the time at which a task has to start, at the latest. */
base::Instant DueTime(const TaskRecord& task) {
  const base::Instant patient = task.enqueued + kPatience;
  if (!task.request.deadline) return patient;
  return std::min(patient,
                  *task.request.deadline - task.request.expected_run_time);
}

/** Ageing goes up to here: urgent stays with what was declared urgent. */
constexpr Priority kHighestAged = Priority::kInteractive;

}  // namespace

LineKey KeyOf(const TaskRecord& task) {
  const TaskRequest& request = task.request;
  return {.team = task.team,
          .workload = task.workload,
          .label = task.label,
          .priority = request.priority,
          .kind = request.kind,
          .idempotent = request.idempotent,
          .checkpointable = request.checkpointable,
          .millicores = request.declared.millicores,
          .memory_mib = request.declared.memory_mib,
          .accelerators = request.declared.accelerators,
          .run_time_microseconds = request.expected_run_time.count(),
          .job = request.kind == WorkloadKind::kGang ? request.job.value : ""};
}

TaskQueue::TeamLines& TaskQueue::TeamOf(uint32_t team) {
  if (team >= this->teams.size()) this->teams.resize(team + 1);
  return this->teams[team];
}

void TaskQueue::Insert(Line& line, TaskRecord& task) {
  TaskRecord* after = line.tail;
  if (after != nullptr && task.enqueued < after->enqueued) {
    // A task that comes back goes before those that arrived after it.
    TaskRecord* before = line.head;
    while (before->enqueued <= task.enqueued) before = before->next;
    after = before->previous;
  }
  task.previous = after;
  task.next = after == nullptr ? line.head : after->next;
  (task.next == nullptr ? line.tail : task.next->previous) = &task;
  (after == nullptr ? line.head : after->next) = &task;
  task.line = &line;
  ++line.size;
}

void TaskQueue::Push(TaskRecord& task) {
  auto& line = this->by_key[KeyOf(task)];
  const bool is_new = line == nullptr;
  if (is_new) {
    line = std::make_unique<Line>();
    line->key = KeyOf(task);
    line->number = this->next_number++;
    this->by_number.emplace(line->number, line.get());
  }
  const TaskRecord* head = line->head;
  this->Insert(*line, task);
  ++this->tasks;
  if (is_new) {
    this->OnNewHead(*line);
    this->Activate(*line);
  } else if (line->head != head) {
    this->Deactivate(*line);
    this->OnNewHead(*line);
    if (line->parked == WaitCause::kNothing) this->Activate(*line);
  }
  if (line->parked == WaitCause::kGangIncomplete) this->Wake(*line);
}

void TaskQueue::Remove(TaskRecord& task) {
  Line& line = *task.line;
  const bool was_head = line.head == &task;
  if (was_head) this->Deactivate(line);
  (task.previous == nullptr ? line.head : task.previous->next) = task.next;
  (task.next == nullptr ? line.tail : task.next->previous) = task.previous;
  task.next = task.previous = nullptr;
  task.line = nullptr;
  --line.size;
  --this->tasks;
  if (line.size == 0) {
    // The room that the line was woken for may serve the next one.
    if (line.parked == WaitCause::kNothing) this->WakeNext(line.need);
    this->Unpark(line);
    this->ageing.erase({line.next_ageing, line.number});
    this->by_number.erase(line.number);
    const LineKey key = line.key;
    this->by_key.erase(key);
  } else if (was_head) {
    this->OnNewHead(line);
    if (line.parked == WaitCause::kNothing) this->Activate(line);
  }
}

void TaskQueue::OnNewHead(Line& line) {
  line.due = DueTime(*line.head);
  line.effective = line.key.priority;
  this->ScheduleAgeing(line);
}

void TaskQueue::ScheduleAgeing(Line& line) {
  this->ageing.erase({line.next_ageing, line.number});
  if (line.effective >= kHighestAged) return;
  const int steps = static_cast<int>(line.effective) -
                    static_cast<int>(line.key.priority) + 1;
  line.next_ageing = line.head->enqueued + steps * this->ageing_step;
  this->ageing.insert({line.next_ageing, line.number});
}

void TaskQueue::Age(base::Instant now) {
  while (!this->ageing.empty() && this->ageing.begin()->first <= now) {
    Line& line = *this->by_number.at(this->ageing.begin()->second);
    const bool active = line.parked == WaitCause::kNothing;
    if (active) this->Deactivate(line);
    this->ageing.erase(this->ageing.begin());
    line.effective =
        static_cast<Priority>(static_cast<uint8_t>(line.effective) + 1);
    this->ScheduleAgeing(line);
    if (active) this->Activate(line);
  }
}

void TaskQueue::Activate(Line& line) {
  TeamLines& team = this->TeamOf(line.key.team);
  const auto level = static_cast<size_t>(line.effective);
  if (team.ready[level].empty()) {
    this->order[level].insert({team.share, line.key.team});
  }
  team.ready[level].insert({{line.due, line.number}, &line});
}

void TaskQueue::Deactivate(Line& line) {
  TeamLines& team = this->TeamOf(line.key.team);
  const auto level = static_cast<size_t>(line.effective);
  if (team.ready[level].erase({line.due, line.number}) == 0) return;
  if (team.ready[level].empty()) {
    this->order[level].erase({team.share, line.key.team});
  }
}

Line* TaskQueue::Front() const {
  for (size_t level = kPriorityCount; level-- > 0;) {
    if (this->order[level].empty()) continue;
    const uint32_t team = this->order[level].begin()->second;
    return this->teams[team].ready[level].begin()->second;
  }
  return nullptr;
}

void TaskQueue::SetShare(uint32_t team, double share) {
  TeamLines& lines = this->TeamOf(team);
  if (lines.share == share) return;
  for (size_t level = 0; level < kPriorityCount; ++level) {
    if (lines.ready[level].empty()) continue;
    this->order[level].erase({lines.share, team});
    this->order[level].insert({share, team});
  }
  lines.share = share;
}

void TaskQueue::JoinGroup(Line& line) {
  const auto [found, is_new] =
      this->group_of.try_emplace(line.need, this->groups.size());
  if (is_new) this->groups.push_back({.need = line.need});
  this->groups[found->second].lines.push_back(&line);
}

void TaskQueue::LeaveGroup(Line& line) {
  const size_t index = this->group_of.at(line.need);
  NeedGroup& group = this->groups[index];
  std::erase(group.lines, &line);
  if (!group.lines.empty()) return;
  this->group_of.erase(line.need);
  if (index + 1 < this->groups.size()) {
    group = std::move(this->groups.back());
    this->group_of[group.need] = index;
  }
  this->groups.pop_back();
}

void TaskQueue::Park(Line& line, WaitCause cause, const PlacementNeed& need) {
  this->Deactivate(line);
  line.parked = cause;
  line.need = need;
  if (cause == WaitCause::kQuota) {
    this->over_quota[line.key.team].insert(line.number);
  } else if (cause == WaitCause::kRoom &&
             line.key.kind == WorkloadKind::kGang) {
    this->waiting_gangs.insert(line.number);
  } else if (cause == WaitCause::kRoom) {
    this->JoinGroup(line);
  }
}

void TaskQueue::Unpark(Line& line) {
  if (line.parked == WaitCause::kQuota) {
    this->over_quota[line.key.team].erase(line.number);
  } else if (line.parked == WaitCause::kRoom) {
    if (this->waiting_gangs.erase(line.number) == 0) this->LeaveGroup(line);
  }
  line.parked = WaitCause::kNothing;
}

void TaskQueue::Wake(Line& line) {
  if (line.parked == WaitCause::kNothing) return;
  this->Unpark(line);
  this->Activate(line);
}

void TaskQueue::WakeAll() {
  for (const auto& [number, line] : this->by_number) this->Wake(*line);
}

void TaskQueue::WakeQuota(uint32_t team) {
  const auto found = this->over_quota.find(team);
  if (found == this->over_quota.end()) return;
  const std::set<uint64_t> numbers = std::exchange(found->second, {});
  for (const uint64_t number : numbers) this->Wake(*this->by_number.at(number));
}

bool TaskQueue::HasBetterClaim(const Line& left, const Line& right) const {
  const auto claim = [this](const Line& line) {
    return std::tuple(kPriorityCount - static_cast<size_t>(line.effective),
                      this->teams[line.key.team].share, line.due, line.number);
  };
  return claim(left) < claim(right);
}

void TaskQueue::WakeBest(NeedGroup& group) {
  Line* best = *std::ranges::min_element(
      group.lines, [this](const Line* left, const Line* right) {
        return this->HasBetterClaim(*left, *right);
      });
  this->Wake(*best);
}

void TaskQueue::WakeRoom(std::span<const platform::Resources> rooms) {
  if (rooms.empty()) return;
  // Waking may drop the group and move the last one into its place.
  for (size_t i = this->groups.size(); i-- > 0;) {
    const PlacementNeed& need = this->groups[i].need;
    const bool fits = std::ranges::any_of(
        rooms, [&](const auto& room) { return need.room.FitsIn(room); });
    if (fits) this->WakeBest(this->groups[i]);
  }
  const std::set<uint64_t> gangs = std::exchange(this->waiting_gangs, {});
  for (const uint64_t number : gangs) {
    Line& line = *this->by_number.at(number);
    line.parked = WaitCause::kNothing;
    this->Activate(line);
  }
}

void TaskQueue::WakeNext(const PlacementNeed& need) {
  if (const auto found = this->group_of.find(need);
      found != this->group_of.end()) {
    this->WakeBest(this->groups[found->second]);
  }
}

}  // namespace agatepass::placement
