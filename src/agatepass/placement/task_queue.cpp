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

NeedKey NeedKeyOf(const LineKey& line) {
  return {.workload = line.workload,
          .label = line.label,
          .kind = line.kind,
          .urgent = line.priority == Priority::kUrgent,
          .checkpointable = line.checkpointable,
          .millicores = line.millicores,
          .memory_mib = line.memory_mib,
          .accelerators = line.accelerators,
          .run_time_microseconds = line.run_time_microseconds};
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
  if (line->head != head) {
    if (!is_new) this->Detach(*line);
    this->OnNewHead(*line);
    this->Attach(*line);
  }
  if (line->parked == WaitCause::kGangIncomplete) this->Wake(*line);
}

void TaskQueue::Remove(TaskRecord& task) {
  Line& line = *task.line;
  const bool was_head = line.head == &task;
  if (was_head) this->Detach(line);
  (task.previous == nullptr ? line.head : task.previous->next) = task.next;
  (task.next == nullptr ? line.tail : task.next->previous) = task.previous;
  task.next = task.previous = nullptr;
  task.line = nullptr;
  --line.size;
  --this->tasks;
  if (line.size == 0) {
    // The room that the line was woken for may serve the next one.
    const bool was_woken = line.parked == WaitCause::kNothing;
    const NeedKey need = NeedKeyOf(line.key);
    this->ageing.erase({line.next_ageing, line.number});
    this->by_number.erase(line.number);
    const LineKey key = line.key;
    this->by_key.erase(key);
    if (was_woken) this->WakeNext(need);
  } else if (was_head) {
    this->OnNewHead(line);
    this->Attach(line);
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
    this->Detach(line);
    this->ageing.erase(this->ageing.begin());
    line.effective =
        static_cast<Priority>(static_cast<uint8_t>(line.effective) + 1);
    this->ScheduleAgeing(line);
    this->Attach(line);
  }
}

void TaskQueue::Attach(Line& line) {
  switch (line.parked) {
    case WaitCause::kNothing:
      this->Activate(line);
      break;
    case WaitCause::kQuota:
      this->over_quota[line.key.team].insert(line.number);
      break;
    case WaitCause::kRoom:
      if (line.key.kind == WorkloadKind::kGang) {
        this->waiting_gangs.insert(line.number);
      } else {
        this->JoinGroup(line);
      }
      break;
    default:
      break;
  }
}

void TaskQueue::Detach(Line& line) {
  switch (line.parked) {
    case WaitCause::kNothing:
      this->Deactivate(line);
      break;
    case WaitCause::kQuota:
      this->over_quota[line.key.team].erase(line.number);
      break;
    case WaitCause::kRoom:
      if (line.key.kind == WorkloadKind::kGang) {
        this->waiting_gangs.erase(line.number);
      } else {
        this->LeaveGroup(line);
      }
      break;
    default:
      break;
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
  for (const auto& [group, level] : lines.groups) {
    group->order[level].erase({lines.share, team});
    group->order[level].insert({share, team});
  }
  lines.share = share;
}

void TaskQueue::JoinGroup(Line& line) {
  auto& group = this->groups[NeedKeyOf(line.key)];
  if (!group) group = std::make_unique<NeedGroup>();
  const auto level = static_cast<size_t>(line.effective);
  OrderedLines& lines = group->lines[level][line.key.team];
  if (lines.empty()) {
    TeamLines& team = this->TeamOf(line.key.team);
    group->order[level].insert({team.share, line.key.team});
    team.groups.insert({group.get(), level});
  }
  lines[{line.due, line.number}] = &line;
  ++group->size;
}

void TaskQueue::LeaveGroup(Line& line) {
  const auto found = this->groups.find(NeedKeyOf(line.key));
  NeedGroup& group = *found->second;
  const auto level = static_cast<size_t>(line.effective);
  const auto lines = group.lines[level].find(line.key.team);
  lines->second.erase({line.due, line.number});
  if (lines->second.empty()) {
    TeamLines& team = this->TeamOf(line.key.team);
    group.order[level].erase({team.share, line.key.team});
    team.groups.erase({&group, level});
    group.lines[level].erase(lines);
  }
  if (--group.size == 0) this->groups.erase(found);
}

void TaskQueue::Park(Line& line, WaitCause cause) {
  this->Detach(line);
  line.parked = cause;
  this->Attach(line);
}

void TaskQueue::Wake(Line& line) { this->Park(line, WaitCause::kNothing); }

void TaskQueue::WakeAll() {
  for (const auto& [number, line] : this->by_number) this->Wake(*line);
}

void TaskQueue::WakeQuota(uint32_t team) {
  const auto found = this->over_quota.find(team);
  if (found == this->over_quota.end()) return;
  const std::set<uint64_t> numbers = found->second;
  for (const uint64_t number : numbers) this->Wake(*this->by_number.at(number));
}

Line* TaskQueue::BestOf(const NeedGroup& group) {
  for (size_t level = kPriorityCount; level-- > 0;) {
    if (group.order[level].empty()) continue;
    const uint32_t team = group.order[level].begin()->second;
    return group.lines[level].at(team).begin()->second;
  }
  return nullptr;
}

void TaskQueue::WakeGangs() {
  const std::set<uint64_t> gangs = this->waiting_gangs;
  for (const uint64_t number : gangs) this->Wake(*this->by_number.at(number));
}

void TaskQueue::WakeNext(const NeedKey& need) {
  if (const auto found = this->groups.find(need); found != this->groups.end()) {
    this->Wake(*BestOf(*found->second));
  }
}

}  // namespace agatepass::placement
