/** \file
 * Tasks that wait, in the order in which they are to be tried.
 *
 * Tasks that differ in nothing that matters to placement stand in one line.
 * Lines are tried by priority, then by the team with the smallest weighted
 * share of the cell, then by the time at which the head becomes late. A line
 * whose head cannot be placed is parked until the cause is gone, so that a long
 * queue costs nothing while nothing can change.
 */
#ifndef AGATEPASS_PLACEMENT_TASK_QUEUE_H_
#define AGATEPASS_PLACEMENT_TASK_QUEUE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "agatepass/base/time.h"
#include "agatepass/placement/cell.h"
#include "agatepass/placement/explanation.h"
#include "agatepass/placement/task_record.h"

namespace agatepass::placement {

/** What the tasks of one line have in common. */
struct LineKey {
  uint32_t team = 0;
  uint32_t workload = 0;
  LabelNumber label = 0;
  Priority priority = Priority::kOrdinary;
  WorkloadKind kind = WorkloadKind::kBatch;
  bool idempotent = false;
  bool checkpointable = false;
  int64_t millicores = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;
  int64_t run_time_microseconds = 0;
  /** Of gangs only. */
  std::string job;

  bool operator==(const LineKey&) const = default;

  template <typename Hasher>
  friend Hasher AbslHashValue(Hasher hasher, const LineKey& key) {
    return Hasher::combine(
        std::move(hasher), key.team, key.workload, key.label, key.priority,
        key.kind, key.idempotent, key.checkpointable, key.millicores,
        key.memory_mib, key.accelerators, key.run_time_microseconds, key.job);
  }
};

/** Tasks in the order of their arrival. */
struct Line {
  LineKey key;
  uint64_t number = 0;
  TaskRecord* head = nullptr;
  TaskRecord* tail = nullptr;
  uint32_t size = 0;
  /** Priority after ageing. */
  Priority effective = Priority::kOrdinary;
  /** When the head becomes late; orders the lines of a team. */
  base::Instant due;
  base::Instant next_ageing;
  /** kNothing: to be tried. Otherwise parked for this cause. */
  WaitCause parked = WaitCause::kNothing;
  /** The cause last given in a decision. */
  WaitCause announced = WaitCause::kNothing;
};

/** Tasks with equal keys need the same of a worker at any time, whoever's they
 * are: where one finds no room, no other does. */
struct NeedKey {
  uint32_t workload = 0;
  LabelNumber label = 0;
  WorkloadKind kind = WorkloadKind::kBatch;
  bool urgent = false;
  bool checkpointable = false;
  int64_t millicores = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;
  int64_t run_time_microseconds = 0;

  bool operator==(const NeedKey&) const = default;

  template <typename Hasher>
  friend Hasher AbslHashValue(Hasher hasher, const NeedKey& key) {
    return Hasher::combine(std::move(hasher), key.workload, key.label, key.kind,
                           key.urgent, key.checkpointable, key.millicores,
                           key.memory_mib, key.accelerators,
                           key.run_time_microseconds);
  }
};

/** Returns the key of what the tasks of a line need. */
NeedKey NeedKeyOf(const LineKey& line);

/** The waiting tasks of all teams.
 *
 * \code
 * queue.Push(record);
 * while (Line* line = queue.Front()) {
 *   if (!TryPlace(*line->head)) queue.Park(*line, WaitCause::kRoom);
 * }
 * \endcode
 */
class TaskQueue {
 public:
  /** Adds a task to its line. */
  void Push(TaskRecord& task);

  /** Takes a task out, wherever it stands. */
  void Remove(TaskRecord& task);

  /** Returns the line to try next, or null. */
  Line* Front() const;

  /** Sets a line aside until it is woken. */
  void Park(Line& line, WaitCause cause);

  /** Puts a parked line back among those to try. */
  void Wake(Line& line);

  /** Wakes all parked lines. */
  void WakeAll();

  /** Wakes the lines of `team` that wait for its quota. */
  void WakeQuota(uint32_t team);

  /** Wakes, for each need that fits one of `rooms`, the line with the best
   * claim; and all gangs.
   * \param room_needed returns what the head of a line needs now.
   */
  template <typename RoomNeeded>
  void WakeRoom(std::span<const platform::Resources> rooms,
                RoomNeeded&& room_needed);

  /** Wakes the next line that needs the same as one that was placed. */
  void WakeNext(const NeedKey& need);

  /** Sets the weighted share of the cell that a team has. */
  void SetShare(uint32_t team, double share);

  /** Raises the priority of lines whose head has waited for long. */
  void Age(base::Instant now);

  /** Wait after which a line counts as one priority higher. */
  void SetAgeingStep(base::Duration step) { this->ageing_step = step; }

  /** Calls `visit` with each line, in order of first arrival. */
  template <typename Visitor>
  void VisitLines(Visitor&& visit) const {
    for (const auto& [number, line] : this->by_number) visit(*line);
  }

  /** Tasks waiting. */
  size_t size() const { return this->tasks; }
  /** Lines that the tasks stand in. */
  size_t lines() const { return this->by_number.size(); }

 private:
  /** Lines by due time and number. */
  using OrderedLines = std::map<std::pair<base::Instant, uint64_t>, Line*>;

  /** Parked lines whose heads need the same, by priority and team. */
  struct NeedGroup {
    std::array<absl::flat_hash_map<uint32_t, OrderedLines>, kPriorityCount>
        lines;
    /** The teams of `lines`, by share. */
    std::array<std::set<std::pair<double, uint32_t>>, kPriorityCount> order;
    size_t size = 0;
  };

  struct TeamLines {
    double share = 0;
    /** Lines to try. */
    std::array<OrderedLines, kPriorityCount> ready;
    /** Where lines of the team are parked, by group and priority. */
    absl::flat_hash_set<std::pair<NeedGroup*, size_t>> groups;
  };

  void Attach(Line& line);
  void Detach(Line& line);
  void Activate(Line& line);
  void Deactivate(Line& line);
  void JoinGroup(Line& line);
  void LeaveGroup(Line& line);
  void OnNewHead(Line& line);
  void ScheduleAgeing(Line& line);
  void Insert(Line& line, TaskRecord& task);
  static Line* BestOf(const NeedGroup& group);
  void WakeGangs();
  TeamLines& TeamOf(uint32_t team);

  absl::flat_hash_map<LineKey, std::unique_ptr<Line>> by_key;
  std::map<uint64_t, Line*> by_number;
  std::vector<TeamLines> teams;
  /** Teams with lines to try, by share. */
  std::array<std::set<std::pair<double, uint32_t>>, kPriorityCount> order;
  std::set<std::pair<base::Instant, uint64_t>> ageing;
  absl::flat_hash_map<NeedKey, std::unique_ptr<NeedGroup>> groups;
  std::map<uint32_t, std::set<uint64_t>> over_quota;
  std::set<uint64_t> waiting_gangs;
  base::Duration ageing_step = std::chrono::minutes(10);
  uint64_t next_number = 1;
  size_t tasks = 0;
};

template <typename RoomNeeded>
void TaskQueue::WakeRoom(std::span<const platform::Resources> rooms,
                         RoomNeeded&& room_needed) {
  if (rooms.empty()) return;
  std::vector<Line*> woken;
  for (const auto& [key, group] : this->groups) {
    Line* best = BestOf(*group);
    const platform::Resources need = room_needed(*best);
    const bool fits = std::ranges::any_of(
        rooms, [&](const auto& room) { return need.FitsIn(room); });
    if (fits) woken.push_back(best);
  }
  // The order of waking has no effect on the order of trying.
  for (Line* line : woken) this->Wake(*line);
  this->WakeGangs();
}

/** Returns the key of the line that `task` belongs in. */
LineKey KeyOf(const TaskRecord& task);

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_TASK_QUEUE_H_
