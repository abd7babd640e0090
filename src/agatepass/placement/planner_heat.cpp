#include <algorithm>

#include "agatepass/placement/planner.h"

namespace agatepass::placement {
namespace {

using platform::Resources;

/** Whether `used` is above `share` of `total` in processors or memory. */
bool IsAbove(const Resources& used, const Resources& total, double share) {
  return static_cast<double>(used.millicores) >
             share * static_cast<double>(total.millicores) ||
         static_cast<double>(used.memory_mib) >
             share * static_cast<double>(total.memory_mib);
}

/** How far a measure goes; the milder ones are tried first. */
enum class Measure : uint8_t { kThrottle, kCheckpoint, kStop };

bool CanApply(const Occupant& occupant, Measure measure) {
  if (occupant.being_removed || occupant.kind != WorkloadKind::kBatch) {
    return false;
  }
  switch (measure) {
    case Measure::kThrottle:
      return !occupant.throttled;
    case Measure::kCheckpoint:
      return occupant.removal == Removal::kCheckpoint;
    case Measure::kStop:
      return occupant.removal == Removal::kStop;
  }
  return false;
}

}  // namespace

bool Planner::IsHot(WorkerSlot slot) const {
  const Worker& worker = this->workers.worker(slot);
  Resources used;
  bool over_grant = false;
  for (const Occupant& occupant : worker.occupants) {
    used += occupant.used;
    over_grant = over_grant || !occupant.used.FitsIn(occupant.granted);
  }
  return over_grant &&
         IsAbove(used, worker.view.total, this->rules.limits.hot_share);
}

void Planner::CoolHotWorkers(base::Instant now,
                             std::vector<Decision>& decisions) {
  for (auto& [worker, last] : this->hot) {
    const auto slot = this->workers.Find(worker);
    if (!slot || (last != base::Instant::min() &&
                  now - last < this->rules.limits.hot_step)) {
      continue;
    }
    if (!this->IsHot(*slot)) continue;
    last = now;
    this->CoolWorker(*slot, now, decisions);
  }
}

void Planner::CoolWorker(WorkerSlot slot, base::Instant now,
                         std::vector<Decision>& decisions) {
  for (const Measure measure :
       {Measure::kThrottle, Measure::kCheckpoint, Measure::kStop}) {
    const Occupant* chosen = nullptr;
    for (const Occupant& occupant : this->workers.worker(slot).occupants) {
      if (!CanApply(occupant, measure)) continue;
      if (chosen == nullptr || occupant.priority < chosen->priority) {
        chosen = &occupant;
      }
    }
    if (chosen == nullptr) continue;
    const base::TaskId task = chosen->task;
    if (measure != Measure::kThrottle) {
      this->AskToLeave(slot, task, measure == Measure::kStop, now, decisions);
      return;
    }
    this->workers.FindOccupant(slot, task)->throttled = true;
    decisions.push_back({.kind = DecisionKind::kThrottle,
                         .task = task,
                         .worker = this->workers.worker(slot).view.worker});
    return;
  }
}

}  // namespace agatepass::placement
