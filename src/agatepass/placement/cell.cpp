#include "agatepass/placement/cell.h"

#include <algorithm>

namespace agatepass::placement {
namespace {

using platform::Resources;

/** Returns the larger of each amount. */
Resources Larger(const Resources& left, const Resources& right) {
  return {.millicores = std::max(left.millicores, right.millicores),
          .memory_mib = std::max(left.memory_mib, right.memory_mib),
          .accelerators = std::max(left.accelerators, right.accelerators)};
}

/** Whether any amount of `after` is above that of `before`. */
bool AnyGrew(const Resources& before, const Resources& after) {
  return !after.FitsIn(before);
}

}  // namespace

Resources Occupant::Charge() const { return Larger(this->granted, this->used); }

bool Occupant::IsPreemptable() const {
  return this->removal != Removal::kNever &&
         this->priority <= Priority::kOrdinary && !this->being_removed;
}

Resources Worker::Room() const {
  return this->view.total - this->charged - this->promised;
}

Resources Worker::RoomAfterPreemption() const {
  Resources room = this->Room();
  for (const Occupant& occupant : this->occupants) {
    if (occupant.IsPreemptable()) room += occupant.Charge();
  }
  return room;
}

uint32_t Cell::NumberOf(std::map<std::string, uint32_t>& numbers,
                        const std::string& text) {
  const auto next = static_cast<uint32_t>(numbers.size());
  return numbers.try_emplace(text, next).first->second;
}

void Cell::CountShape(const Worker& worker, int change) {
  this->state_counts[static_cast<size_t>(worker.view.state)] += change;
  if (worker.view.state == WorkerState::kLeaving) return;
  const WorkerShape shape{.label = worker.reserved_label,
                          .millicores = worker.view.total.millicores,
                          .memory_mib = worker.view.total.memory_mib,
                          .accelerators = worker.view.total.accelerators};
  uint32_t& count = this->shapes[shape];
  count += change;
  if (count == 0) this->shapes.erase(shape);
}

void Cell::UpsertWorker(const WorkerView& view) {
  WorkerSlot slot = 0;
  if (const auto found = this->slot_of.find(view.worker);
      found != this->slot_of.end()) {
    slot = found->second;
    this->CountShape(this->workers[slot], -1);
    this->sum -= this->workers[slot].view.total;
    for (const Occupant& occupant : this->workers[slot].occupants) {
      this->CountInstance(this->workers[slot], occupant, -1);
    }
  } else {
    if (this->unused.empty()) {
      this->unused.push_back(static_cast<WorkerSlot>(this->workers.size()));
      this->workers.emplace_back();
      this->gained.push_back(false);
    }
    slot = this->unused.back();
    this->unused.pop_back();
    this->slot_of.emplace(view.worker, slot);
  }
  Worker& worker = this->workers[slot];
  worker.view = view;
  worker.present = true;
  worker.rack = this->NumberOf(this->racks, view.rack.value);
  worker.data_centre =
      this->NumberOf(this->data_centres, view.data_centre.value);
  worker.reserved_label = this->label_table.NumberOf(view.label);
  for (const Occupant& occupant : worker.occupants) {
    this->CountInstance(worker, occupant, 1);
  }
  this->sum += view.total;
  this->CountShape(worker, 1);
  this->Refresh(slot);
  this->NoteGain(slot);
}

bool Cell::RemoveWorker(const base::WorkerId& id) {
  const auto found = this->slot_of.find(id);
  if (found == this->slot_of.end()) return false;
  const WorkerSlot slot = found->second;
  this->CountShape(this->workers[slot], -1);
  this->sum -= this->workers[slot].view.total;
  this->free.Remove(slot);
  this->preemptable.Remove(slot);
  for (const Occupant& occupant : this->workers[slot].occupants) {
    this->CountInstance(this->workers[slot], occupant, -1);
  }
  this->workers[slot] = Worker{};
  this->slot_of.erase(found);
  this->unused.push_back(slot);
  return true;
}

void Cell::SetState(WorkerSlot slot, WorkerState state) {
  WorkerView view = this->workers[slot].view;
  if (view.state == state) return;
  view.state = state;
  this->UpsertWorker(view);
}

void Cell::SetHeld(WorkerSlot slot, bool held) {
  if (this->workers[slot].held == held) return;
  this->workers[slot].held = held;
  this->Refresh(slot);
  if (!held) this->NoteGain(slot);
}

void Cell::SetSeparations(std::span<const SeparationRule> rules) {
  this->label_table.SetRules(rules);
  for (WorkerSlot slot = 0; slot < this->workers.size(); ++slot) {
    if (!this->workers[slot].present) continue;
    this->workers[slot].promised_labels = 0;
    this->Recount(this->workers[slot]);
    this->Refresh(slot);
    this->NoteGain(slot);
  }
}

void Cell::Recount(Worker& worker) {
  worker.present_labels = worker.promised_labels;
  for (const Occupant& occupant : worker.occupants) {
    worker.present_labels |= this->label_table.bit(occupant.label);
  }
}

void Cell::CountInstance(const Worker& worker, const Occupant& occupant,
                         int change) {
  if (occupant.kind != WorkloadKind::kService) return;
  const auto count = [&](auto& counts, uint32_t place) {
    const std::pair key(occupant.workload, place);
    if ((counts[key] += change) == 0) counts.erase(key);
  };
  count(this->in_rack, worker.rack);
  count(this->in_centre, worker.data_centre);
}

uint32_t Cell::InstancesInRack(uint32_t workload, uint32_t rack) const {
  const auto found = this->in_rack.find({workload, rack});
  return found == this->in_rack.end() ? 0 : found->second;
}

uint32_t Cell::InstancesInDataCentre(uint32_t workload, uint32_t centre) const {
  const auto found = this->in_centre.find({workload, centre});
  return found == this->in_centre.end() ? 0 : found->second;
}

bool Cell::Charge(WorkerSlot slot, const Occupant& occupant) {
  const Worker& worker = this->workers[slot];
  const Resources room = worker.view.total - worker.charged;
  const Resources ungranted = worker.view.total - worker.granted;
  if (!occupant.granted.FitsIn(room) || !occupant.granted.FitsIn(ungranted)) {
    return false;
  }
  this->Adopt(slot, occupant);
  return true;
}

void Cell::Adopt(WorkerSlot slot, const Occupant& occupant) {
  Worker& worker = this->workers[slot];
  worker.occupants.push_back(occupant);
  this->CountInstance(worker, occupant, 1);
  worker.granted += occupant.granted;
  worker.charged += occupant.Charge();
  worker.present_labels |= this->label_table.bit(occupant.label);
  this->Refresh(slot);
}

bool Cell::Release(WorkerSlot slot, const base::TaskId& task) {
  if (!this->Retract(slot, task)) return false;
  this->NoteGain(slot);
  return true;
}

bool Cell::Retract(WorkerSlot slot, const base::TaskId& task) {
  Worker& worker = this->workers[slot];
  const auto found = std::ranges::find(worker.occupants, task, &Occupant::task);
  if (found == worker.occupants.end()) return false;
  worker.granted -= found->granted;
  worker.charged -= found->Charge();
  this->CountInstance(worker, *found, -1);
  worker.occupants.erase(found);
  this->Recount(worker);
  this->Refresh(slot);
  return true;
}

void Cell::Promise(WorkerSlot slot, const PlacementNeed& need) {
  Worker& worker = this->workers[slot];
  worker.promised += need.room;
  worker.promised_labels |= this->label_table.bit(need.label);
  worker.present_labels |= worker.promised_labels;
  this->Refresh(slot);
}

void Cell::EndPromise(WorkerSlot slot, const PlacementNeed& need) {
  Worker& worker = this->workers[slot];
  worker.promised -= need.room;
  if (worker.promised == Resources{}) worker.promised_labels = 0;
  this->Recount(worker);
  this->Refresh(slot);
  this->NoteGain(slot);
}

void Cell::SetUsed(WorkerSlot slot, const base::TaskId& task,
                   const Resources& used) {
  Occupant* occupant = this->FindOccupant(slot, task);
  if (occupant == nullptr || occupant->used == used) return;
  Worker& worker = this->workers[slot];
  const Resources before = worker.charged;
  worker.charged -= occupant->Charge();
  occupant->used = used;
  worker.charged += occupant->Charge();
  if (worker.charged == before) return;
  this->Refresh(slot);
  if (AnyGrew(worker.charged, before)) this->NoteGain(slot);
}

Occupant* Cell::FindOccupant(WorkerSlot slot, const base::TaskId& task) {
  auto& occupants = this->workers[slot].occupants;
  const auto found = std::ranges::find(occupants, task, &Occupant::task);
  return found == occupants.end() ? nullptr : &*found;
}

void Cell::Refresh(WorkerSlot slot) {
  const Worker& worker = this->workers[slot];
  if (!worker.present || worker.view.state != WorkerState::kLive) {
    this->free.Remove(slot);
    this->preemptable.Remove(slot);
    return;
  }
  // Use above the grants takes room, and so do grants that are not used: the
  // room is what neither has taken.
  const Resources room = worker.Room();
  PoolKey key{.reserved_label = worker.reserved_label,
              .present_labels = worker.present_labels,
              .accelerator_level = AcceleratorLevel(room.accelerators),
              .held = worker.held};
  this->free.Put(slot, key, room);
  const Resources later = worker.RoomAfterPreemption();
  key.accelerator_level = AcceleratorLevel(later.accelerators);
  key.present_labels = 0;
  this->preemptable.Put(slot, key, later);
}

std::optional<WorkerSlot> Cell::Find(const base::WorkerId& worker) const {
  const auto found = this->slot_of.find(worker);
  if (found == this->slot_of.end()) return std::nullopt;
  return found->second;
}

bool Cell::AdmitsReserved(const PoolKey& key, const PlacementNeed& need) const {
  return (key.reserved_label == 0 || key.reserved_label == need.label) &&
         (this->label_table.bit(key.reserved_label) &
          this->label_table.conflicts(need.label)) == 0;
}

bool Cell::Admits(const PoolKey& key, const PlacementNeed& need) const {
  return this->AdmitsReserved(key, need) && (!key.held || need.may_use_held) &&
         (key.present_labels & this->label_table.conflicts(need.label)) == 0;
}

void Cell::NoteGain(WorkerSlot slot) {
  if (this->gained[slot]) return;
  this->gained[slot] = true;
  this->gains.push_back(slot);
}

std::vector<WorkerSlot> Cell::TakeGains() {
  for (const WorkerSlot slot : this->gains) this->gained[slot] = false;
  return std::exchange(this->gains, {});
}

}  // namespace agatepass::placement
