#include <algorithm>
#include <utility>

#include "agatepass/placement/cell.h"

namespace agatepass::placement {
namespace {

using platform::Resources;

/** Returns which amount of `need` is above that of `room`. */
Obstacle ShortResource(const Resources& need, const Resources& room) {
  if (need.accelerators > room.accelerators) return Obstacle::kAccelerators;
  if (need.memory_mib > room.memory_mib) return Obstacle::kMemory;
  if (need.millicores > room.millicores) return Obstacle::kProcessors;
  return Obstacle::kNone;
}

/** Counts workers by obstacle. */
class ObstacleCounts {
 public:
  void Add(Obstacle obstacle, uint32_t workers) {
    this->counts[static_cast<size_t>(obstacle)] += workers;
  }

  /** Returns the obstacles that rule out some worker. */
  std::vector<RuledOut> List() const {
    std::vector<RuledOut> list;
    for (size_t i = 1; i < kObstacleCount; ++i) {
      if (this->counts[i] == 0) continue;
      list.push_back(
          {.obstacle = static_cast<Obstacle>(i), .workers = this->counts[i]});
    }
    return list;
  }

 private:
  std::array<uint32_t, kObstacleCount> counts{};
};

}  // namespace

std::vector<RuledOut> Cell::CountRuledOut(const PlacementNeed& need) const {
  ObstacleCounts counts;
  const auto in_state = [&](WorkerState state) {
    return this->state_counts[static_cast<size_t>(state)];
  };
  counts.Add(Obstacle::kLeaving, in_state(WorkerState::kLeaving));
  counts.Add(Obstacle::kProbation, in_state(WorkerState::kOnProbation));
  counts.Add(Obstacle::kUnowned, in_state(WorkerState::kUnowned));
  const uint32_t level = AcceleratorLevel(need.room.accelerators);
  this->free.CountPools(
      need.room, [&](const PoolKey& key, uint32_t members, uint32_t below) {
        if (!this->AdmitsReserved(key, need)) {
          counts.Add(Obstacle::kLabel, members);
        } else if (key.accelerator_level < level) {
          counts.Add(Obstacle::kAccelerators, members);
        } else if (key.held && !need.may_use_held) {
          counts.Add(Obstacle::kHeldForGang, members);
        } else if (!this->Admits(key, need)) {
          counts.Add(Obstacle::kSeparation, members);
        } else {
          counts.Add(Obstacle::kProcessors, below);
        }
      });
  return counts.List();
}

Obstacle Cell::ObstacleOn(WorkerSlot slot, const PlacementNeed& need) const {
  const Worker& worker = this->workers[slot];
  switch (worker.view.state) {
    case WorkerState::kLeaving:
      return Obstacle::kLeaving;
    case WorkerState::kOnProbation:
      return Obstacle::kProbation;
    case WorkerState::kUnowned:
      return Obstacle::kUnowned;
    case WorkerState::kLive:
      break;
  }
  const PoolKey key{.reserved_label = worker.reserved_label,
                    .present_labels = worker.present_labels,
                    .held = worker.held};
  if (!this->AdmitsReserved(key, need)) return Obstacle::kLabel;
  if (const Obstacle missing = ShortResource(need.room, worker.Room());
      missing != Obstacle::kNone) {
    return missing;
  }
  if (key.held && !need.may_use_held) return Obstacle::kHeldForGang;
  return this->Admits(key, need) ? Obstacle::kNone : Obstacle::kSeparation;
}

bool Cell::CouldEverFit(const PlacementNeed& need) const {
  return std::ranges::any_of(this->shapes, [&](const auto& entry) {
    const WorkerShape& shape = entry.first;
    const Resources total{.millicores = shape.millicores,
                          .memory_mib = shape.memory_mib,
                          .accelerators = shape.accelerators};
    return need.room.FitsIn(total) &&
           this->AdmitsReserved({.reserved_label = shape.label}, need);
  });
}

const Worker* Cell::Largest(LabelNumber label) const {
  const auto size = [](const Worker& worker) {
    return std::tuple(worker.view.total.millicores,
                      worker.view.total.memory_mib,
                      worker.view.total.accelerators);
  };
  const Worker* largest = nullptr;
  for (const Worker& worker : this->workers) {
    if (!worker.present || worker.view.state == WorkerState::kLeaving) continue;
    const PoolKey key{.reserved_label = worker.reserved_label};
    if (!this->AdmitsReserved(key, {.label = label})) continue;
    if (largest == nullptr || size(worker) > size(*largest) ||
        (size(worker) == size(*largest) &&
         worker.view.worker < largest->view.worker)) {
      largest = &worker;
    }
  }
  return largest;
}

}  // namespace agatepass::placement
