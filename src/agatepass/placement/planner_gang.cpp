#include <algorithm>
#include <utility>

#include "agatepass/placement/planner.h"

namespace agatepass::placement {
namespace {

using platform::Resources;

// Time after which held room is expected to be free if nothing tells.
constexpr base::Duration kUnknownRunTime = std::chrono::minutes(10);

/** Returns how many tasks of `need` go into `room`. */
int64_t CountFitting(const Resources& need, const Resources& room) {
  if (!room.IsValid()) return 0;
  int64_t count = INT32_MAX;
  const auto limit = [&](int64_t part, int64_t whole) {
    if (part > 0) count = std::min(count, whole / part);
  };
  limit(need.millicores, room.millicores);
  limit(need.memory_mib, room.memory_mib);
  limit(need.accelerators, room.accelerators);
  return count;
}

/** Returns the worker's room once all that ends has ended. */
Resources EventualRoom(const Worker& worker) {
  Resources room = worker.view.total;
  for (const Occupant& occupant : worker.occupants) {
    if (occupant.kind == WorkloadKind::kService) room -= occupant.Charge();
  }
  return room;
}

/** Returns the worker's room if what was back-filled leaves. */
Resources RoomWithoutBackfill(const Worker& worker, Priority priority) {
  Resources room = worker.Room();
  for (const Occupant& occupant : worker.occupants) {
    if (occupant.removal == Removal::kCheckpoint &&
        occupant.priority <= priority) {
      room += occupant.Charge();
    }
  }
  return room;
}

}  // namespace

void Planner::TryGang(Line& line, base::Instant now,
                      std::vector<Decision>& decisions) {
  TaskRecord& head = *line.head;
  JobRecord& job = *head.job;
  const PlacementNeed need = this->NeedOf(head, now);
  if (!job.assembled && job.tasks < head.request.gang_size) {
    this->Delay(line, WaitCause::kGangIncomplete, need, now, decisions);
    return;
  }
  if (const WaitCause cause = this->HeldBack(head, need, line.size);
      cause != WaitCause::kNothing) {
    this->Delay(line, cause, need, now, decisions);
    return;
  }
  auto places = this->FitGang(line, need, now);
  if (!places) {
    this->HoldForGang(line, need, now);
    this->ClearBackfill(line, need, now, decisions);
    this->Delay(line, WaitCause::kRoom, need, now, decisions);
    return;
  }
  job.assembled = true;
  if (this->hold && this->hold->job == job.job) this->ReleaseHold();
  for (GangPlace& place : *places) {
    this->Place(*place.task, need, std::move(place.choice), now, decisions);
  }
}

std::optional<std::vector<Planner::GangPlace>> Planner::FitGang(
    const Line& line, const PlacementNeed& need, base::Instant now) {
  std::vector<GangPlace> places;
  for (TaskRecord* task = line.head; task != nullptr; task = task->next) {
    auto choice = this->Choose(*task, need);
    if (!choice || !this->workers.Charge(choice->slot,
                                         this->OccupantOf(*task, need, now))) {
      for (const GangPlace& place : places) {
        this->workers.Retract(place.choice.slot, place.task->request.task);
      }
      return std::nullopt;
    }
    places.push_back({.task = task, .choice = std::move(*choice)});
  }
  return places;
}

bool Planner::HoldSuffices(const Line& line, const PlacementNeed& need) const {
  int64_t fitting = 0;
  for (const WorkerSlot slot : this->hold->slots) {
    const Worker& worker = this->workers.worker(slot);
    if (worker.view.state != WorkerState::kLive) continue;
    fitting += CountFitting(need.room, EventualRoom(worker));
  }
  return fitting >= line.size;
}

void Planner::HoldForGang(const Line& line, const PlacementNeed& need,
                          base::Instant now) {
  const base::JobId& job = line.head->request.job;
  if (this->hold) {
    // One gang is served at a time, so that two never wait for each other.
    const bool mine = this->hold->job == job;
    if (mine && this->HoldSuffices(line, need)) return;
    if (!mine && this->hold->priority >= line.key.priority) return;
    this->ReleaseHold();
  }
  std::vector<std::pair<int64_t, WorkerSlot>> candidates;
  for (WorkerSlot slot = 0; slot < this->workers.slots(); ++slot) {
    const Worker& worker = this->workers.worker(slot);
    if (!worker.present) continue;
    const Obstacle obstacle = this->workers.ObstacleOn(slot, need);
    if (obstacle >= Obstacle::kLabel) continue;
    // Most room now first: it is free the soonest.
    candidates.emplace_back(-worker.Room().millicores, slot);
  }
  std::ranges::sort(candidates);
  this->hold =
      GangHold{.job = job, .priority = line.key.priority, .expected = now};
  int64_t fitting = 0;
  for (const auto& [room, slot] : candidates) {
    if (fitting >= line.size) break;
    const Worker& worker = this->workers.worker(slot);
    const int64_t count = CountFitting(need.room, EventualRoom(worker));
    if (count == 0) continue;
    fitting += count;
    this->hold->slots.push_back(slot);
    this->workers.SetHeld(slot, true);
    for (const Occupant& occupant : worker.occupants) {
      if (occupant.kind == WorkloadKind::kService) continue;
      this->hold->expected =
          std::max(this->hold->expected,
                   occupant.expected_end.value_or(now + kUnknownRunTime));
    }
  }
  if (fitting < line.size) this->ReleaseHold();
}

void Planner::ReleaseHold() {
  if (!this->hold) return;
  for (const WorkerSlot slot : this->hold->slots) {
    this->workers.SetHeld(slot, false);
  }
  this->hold.reset();
}

void Planner::ClearBackfill(const Line& line, const PlacementNeed& need,
                            base::Instant now,
                            std::vector<Decision>& decisions) {
  if (!this->hold || this->hold->job != line.head->request.job) return;
  int64_t fitting = 0;
  for (const WorkerSlot slot : this->hold->slots) {
    fitting += CountFitting(
        need.room,
        RoomWithoutBackfill(this->workers.worker(slot), line.key.priority));
  }
  if (fitting < line.size) return;
  this->hold->closing = true;
  for (const WorkerSlot slot : this->hold->slots) {
    std::vector<base::TaskId> leaving;
    for (const Occupant& occupant : this->workers.worker(slot).occupants) {
      if (occupant.removal == Removal::kCheckpoint &&
          occupant.priority <= line.key.priority && !occupant.being_removed) {
        leaving.push_back(occupant.task);
      }
    }
    for (const base::TaskId& task : leaving) {
      this->AskToLeave(slot, task, false, now, decisions);
    }
  }
}

}  // namespace agatepass::placement
