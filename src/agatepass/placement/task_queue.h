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

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
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
  /** kRoom: what the head needed. */
  PlacementNeed need;
};

/** The waiting tasks of all teams.
 *
 * \code
 * queue.Push(record);
 * while (Line* line = queue.Front()) {
 *   if (!TryPlace(*line->head)) queue.Park(*line, WaitCause::kRoom, need);
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
  void Park(Line& line, WaitCause cause, const PlacementNeed& need);

  /** Puts a parked line back among those to try. */
  void Wake(Line& line);

  /** Wakes all parked lines. */
  void WakeAll();

  /** Wakes the lines of `team` that wait for its quota. */
  void WakeQuota(uint32_t team);

  /** Wakes, for each need that fits one of `rooms`, the line with the best
   * claim; and all gangs. */
  void WakeRoom(std::span<const platform::Resources> rooms);

  /** After a task with `need` was placed: wakes the next line with that need.
   */
  void WakeNext(const PlacementNeed& need);

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
  struct TeamLines {
    double share = 0;
    /** Lines to try, by due time and number. */
    std::array<std::map<std::pair<base::Instant, uint64_t>, Line*>,
               kPriorityCount>
        ready;
  };

  /** Parked lines whose heads need the same. */
  struct NeedGroup {
    PlacementNeed need;
    std::vector<Line*> lines;
  };

  void Activate(Line& line);
  void Deactivate(Line& line);
  void Unpark(Line& line);
  void OnNewHead(Line& line);
  void ScheduleAgeing(Line& line);
  void Insert(Line& line, TaskRecord& task);
  void WakeBest(NeedGroup& group);
  void JoinGroup(Line& line);
  void LeaveGroup(Line& line);
  bool HasBetterClaim(const Line& left, const Line& right) const;
  TeamLines& TeamOf(uint32_t team);

  absl::flat_hash_map<LineKey, std::unique_ptr<Line>> by_key;
  std::map<uint64_t, Line*> by_number;
  std::vector<TeamLines> teams;
  /** Teams with lines to try, by share. */
  std::array<std::set<std::pair<double, uint32_t>>, kPriorityCount> order;
  std::set<std::pair<base::Instant, uint64_t>> ageing;
  std::vector<NeedGroup> groups;
  absl::flat_hash_map<PlacementNeed, size_t> group_of;
  std::map<uint32_t, std::set<uint64_t>> over_quota;
  std::set<uint64_t> waiting_gangs;
  base::Duration ageing_step = std::chrono::minutes(10);
  uint64_t next_number = 1;
  size_t tasks = 0;
};

/** Returns the key of the line that `task` belongs in. */
LineKey KeyOf(const TaskRecord& task);

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_TASK_QUEUE_H_
