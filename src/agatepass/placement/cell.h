/** \file
 * The workers that this planner places on, what runs on each, and the room that
 * is left.
 */
#ifndef AGATEPASS_PLACEMENT_CELL_H_
#define AGATEPASS_PLACEMENT_CELL_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/placement/explanation.h"
#include "agatepass/placement/labels.h"
#include "agatepass/placement/room_index.h"
#include "agatepass/placement/task.h"
#include "agatepass/platform/resources.h"

namespace agatepass::placement {

enum class WorkerState : uint8_t {
  kLive,
  /** Going away: no new work. */
  kLeaving,
  /** Failed too often: no new work until its probation ends. */
  kOnProbation,
  /** This entry host has no owner lease on it. */
  kUnowned,
};

/** A worker as the caller knows it. */
struct WorkerView {
  base::WorkerId worker;
  base::RackId rack;
  base::DataCentreId data_centre;
  /** Separation label that the worker is reserved for; empty for none. */
  std::string label;
  platform::Resources total;
  WorkerState state = WorkerState::kLive;
};

/** How a running task may be taken off its worker. */
enum class Removal : uint8_t { kNever, kCheckpoint, kStop };

/** A task on a worker. */
struct Occupant {
  base::TaskId task;
  uint32_t workload = 0;
  LabelNumber label = 0;
  WorkloadKind kind = WorkloadKind::kBatch;
  Priority priority = Priority::kOrdinary;
  Removal removal = Removal::kNever;
  /** Whether a command to take it off is under way. */
  bool being_removed = false;
  bool throttled = false;
  platform::Resources granted;
  /** Latest use reported. */
  platform::Resources used;
  base::Instant since;
  /** When it should have ended, by the estimate of its run time. */
  std::optional<base::Instant> expected_end;

  /** Room that it takes: what it was granted, or uses if that is more. */
  platform::Resources Charge() const;

  /** Whether more important work may take its room. */
  bool IsPreemptable() const;
};

/** A worker with what runs on it. */
struct Worker {
  WorkerView view;
  uint32_t rack = 0;
  uint32_t data_centre = 0;
  LabelNumber reserved_label = 0;
  bool present = false;
  /** Whether its room is held for a gang. */
  bool held = false;
  std::vector<Occupant> occupants;
  platform::Resources granted;
  platform::Resources charged;
  /** Room set aside for tasks that wait for others to leave. */
  platform::Resources promised;
  uint64_t promised_labels = 0;
  uint64_t present_labels = 0;

  /** Room for new work; an amount may be below zero. */
  platform::Resources Room() const;

  /** Room if every preemptable task left. */
  platform::Resources RoomAfterPreemption() const;
};

/** What a task needs of a worker. */
struct PlacementNeed {
  platform::Resources room;
  LabelNumber label = 0;
  /** Whether room held for a gang may be used. */
  bool may_use_held = false;
};

/** All workers, with the indexes over their room.
 *
 * The grants on a worker that Charge makes never add up to more than it has;
 * Adopt alone may exceed it, for what already runs there.
 */
class Cell {
 public:
  /** Adds a worker or updates it; its tasks stay. */
  void UpsertWorker(const WorkerView& view);

  /** Forgets a worker with its tasks. \return whether it was known. */
  bool RemoveWorker(const base::WorkerId& worker);

  /** Changes only the state. */
  void SetState(WorkerSlot slot, WorkerState state);

  /** Sets aside the worker's room for a gang, or ends that. */
  void SetHeld(WorkerSlot slot, bool held);

  /** Puts rules of separation in force. */
  void SetSeparations(std::span<const SeparationRule> rules);

  /** Charges a task, unless its grant does not fit. \return whether it did. */
  bool Charge(WorkerSlot slot, const Occupant& occupant);

  /** Charges a task that runs there already, whatever room there is. */
  void Adopt(WorkerSlot slot, const Occupant& occupant);

  /** Takes a task off. \return whether it was there. */
  bool Release(WorkerSlot slot, const base::TaskId& task);

  /** Undoes a Charge of the same decision, which is no gain of room. */
  bool Retract(WorkerSlot slot, const base::TaskId& task);

  /** Sets aside room for a task that waits for others to leave. */
  void Promise(WorkerSlot slot, const PlacementNeed& need);

  /** Ends what Promise began. */
  void EndPromise(WorkerSlot slot, const PlacementNeed& need);

  /** Records reported use. */
  void SetUsed(WorkerSlot slot, const base::TaskId& task,
               const platform::Resources& used);

  /** Returns the occupant for changes of its flags, or null. */
  Occupant* FindOccupant(WorkerSlot slot, const base::TaskId& task);

  /** Brings the indexes up to date after a change of flags. */
  void Refresh(WorkerSlot slot);

  std::optional<WorkerSlot> Find(const base::WorkerId& worker) const;
  const Worker& worker(WorkerSlot slot) const { return this->workers[slot]; }
  /** Number of slots; some may not be present. */
  size_t slots() const { return this->workers.size(); }
  /** Number of workers known. */
  size_t size() const { return this->slot_of.size(); }
  /** Sum of what live and leaving workers have. */
  const platform::Resources& total() const { return this->sum; }

  /** Visits up to `per_class` workers of each class of room that can take
   * `need` now. */
  template <typename Visitor>
  void VisitFitting(const PlacementNeed& need, size_t per_class,
                    Visitor&& visit) const {
    this->free.Visit(
        need.room, per_class,
        [&](const PoolKey& key) { return this->Admits(key, need); }, visit);
  }

  /** As VisitFitting, with the room that pre-emption could make. */
  template <typename Visitor>
  void VisitPreemptable(const PlacementNeed& need, size_t per_class,
                        Visitor&& visit) const {
    this->preemptable.Visit(
        need.room, per_class,
        [&](const PoolKey& key) { return this->AdmitsReserved(key, need); },
        visit);
  }

  /** Counts, from the index alone, the workers that are ruled out. */
  std::vector<RuledOut> CountRuledOut(const PlacementNeed& need) const;

  /** Looks at every worker and returns its obstacle; for explanations only. */
  Obstacle ObstacleOn(WorkerSlot slot, const PlacementNeed& need) const;

  /** Whether some worker that is not leaving has as much in all. */
  bool CouldEverFit(const PlacementNeed& need) const;

  /** Returns the largest worker by processors, then memory, that may take the
   * label. */
  const Worker* Largest(LabelNumber label) const;

  /** Instances of a service in a rack. */
  uint32_t InstancesInRack(uint32_t workload, uint32_t rack) const;

  /** Instances of a service in a data centre. */
  uint32_t InstancesInDataCentre(uint32_t workload, uint32_t centre) const;

  /** Workers whose room grew since the last call, without repeats. */
  std::vector<WorkerSlot> TakeGains();

  Labels& labels() { return this->label_table; }
  const Labels& labels() const { return this->label_table; }

 private:
  bool Admits(const PoolKey& key, const PlacementNeed& need) const;
  bool AdmitsReserved(const PoolKey& key, const PlacementNeed& need) const;
  uint32_t NumberOf(std::map<std::string, uint32_t>& numbers,
                    const std::string& text);
  void Recount(Worker& worker);
  void NoteGain(WorkerSlot slot);
  void CountInstance(const Worker& worker, const Occupant& occupant,
                     int change);
  void CountShape(const Worker& worker, int change);

  /** What a worker has in all, for CouldEverFit. */
  struct WorkerShape {
    LabelNumber label = 0;
    int64_t millicores = 0;
    int64_t memory_mib = 0;
    int64_t accelerators = 0;

    bool operator<(const WorkerShape& other) const {
      return std::tie(this->label, this->millicores, this->memory_mib,
                      this->accelerators) <
             std::tie(other.label, other.millicores, other.memory_mib,
                      other.accelerators);
    }
  };

  std::vector<Worker> workers;
  std::vector<WorkerSlot> unused;
  absl::flat_hash_map<base::WorkerId, WorkerSlot> slot_of;
  std::map<std::string, uint32_t> racks;
  std::map<std::string, uint32_t> data_centres;
  std::map<WorkerShape, uint32_t> shapes;
  std::array<uint32_t, 4> state_counts{};
  /** Instances by workload, and by rack or data centre. */
  absl::flat_hash_map<std::pair<uint32_t, uint32_t>, uint32_t> in_rack;
  absl::flat_hash_map<std::pair<uint32_t, uint32_t>, uint32_t> in_centre;
  Labels label_table;
  RoomIndex free;
  RoomIndex preemptable;
  platform::Resources sum;
  std::vector<WorkerSlot> gains;
  std::vector<bool> gained;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_CELL_H_
