#include <algorithm>
#include <tuple>
#include <utility>

#include "agatepass/placement/planner.h"

namespace agatepass::placement {
namespace {

using platform::Resources;

// Workers compared before the best pre-emption found so far is taken.
constexpr size_t kPreemptionCandidates = 16;
// Workers looked at while none of them would do.
constexpr size_t kPreemptionVisits = 256;

/** Order in which tasks make way: least important, then those that lose the
 * least work. */
bool LeavesBefore(const Occupant* left, const Occupant* right) {
  const auto order = [](const Occupant& occupant) {
    return std::tuple(occupant.priority,
                      occupant.removal != Removal::kCheckpoint,
                      -occupant.since.time_since_epoch().count());
  };
  return std::tuple(order(*left), left->task) <
         std::tuple(order(*right), right->task);
}

}  // namespace

std::vector<base::TaskId> Planner::ChooseVictims(
    WorkerSlot slot, const TaskRecord& task, const PlacementNeed& need) const {
  const Worker& worker = this->workers.worker(slot);
  const uint64_t conflicts = this->workers.labels().conflicts(need.label);
  if ((worker.present_labels & conflicts) != 0) return {};
  std::vector<const Occupant*> candidates;
  for (const Occupant& occupant : worker.occupants) {
    if (occupant.IsPreemptable() && occupant.priority < task.request.priority) {
      candidates.push_back(&occupant);
    }
  }
  std::ranges::sort(candidates, LeavesBefore);
  Resources room = worker.Room();
  std::vector<const Occupant*> chosen;
  for (const Occupant* occupant : candidates) {
    if (need.room.FitsIn(room)) break;
    room += occupant->Charge();
    chosen.push_back(occupant);
  }
  if (!need.room.FitsIn(room)) return {};
  // The last ones may have made the first ones unnecessary.
  std::vector<base::TaskId> victims;
  for (const Occupant* occupant : chosen) {
    if (need.room.FitsIn(room - occupant->Charge())) {
      room -= occupant->Charge();
    } else {
      victims.push_back(occupant->task);
    }
  }
  return victims;
}

bool Planner::TryPreempt(TaskRecord& task, const PlacementNeed& need,
                         base::Instant now, std::vector<Decision>& decisions) {
  std::vector<base::TaskId> victims;
  WorkerSlot chosen = 0;
  size_t visits = 0;
  size_t suitable = 0;
  this->workers.VisitPreemptable(
      need, kPreemptionVisits, [&](WorkerSlot slot, const Resources&) {
        auto found = this->ChooseVictims(slot, task, need);
        if (!found.empty()) {
          ++suitable;
          if (victims.empty() || found.size() < victims.size()) {
            victims = std::move(found);
            chosen = slot;
          }
        }
        return ++visits < kPreemptionVisits && suitable < kPreemptionCandidates;
      });
  if (victims.empty()) return false;
  Explanation why = this->Describe(task, need, now);
  why.kind = DecisionKind::kDelay;
  why.reason = base::ResultCode::kNoRoomNow;
  why.cause = WaitCause::kPreemption;
  why.worker = this->workers.worker(chosen).view.worker;
  why.preempted = victims;
  decisions.push_back({.kind = DecisionKind::kDelay,
                       .task = task.request.task,
                       .worker = why.worker,
                       .reason = why.reason,
                       .explanation = this->log.Add(std::move(why))});
  for (const base::TaskId& victim : victims) {
    this->AskToLeave(chosen, victim, false, now, decisions);
  }
  this->queue.Remove(task);
  task.stage = TaskStage::kAwaitingRoom;
  this->ChargeTeam(task.team, need.room);
  this->workers.Promise(chosen, need);
  this->awaited.push_back({.task = &task,
                           .worker = this->workers.worker(chosen).view.worker,
                           .need = need,
                           .since = now,
                           .victims = std::move(victims)});
  return true;
}

void Planner::AskToLeave(WorkerSlot slot, const base::TaskId& victim, bool stop,
                         base::Instant now, std::vector<Decision>& decisions) {
  Occupant* occupant = this->workers.FindOccupant(slot, victim);
  const TaskRecord* record = this->FindRecord(victim);
  if (occupant == nullptr || record == nullptr) return;
  occupant->being_removed = true;
  const bool checkpoint = occupant->removal == Removal::kCheckpoint && !stop;
  this->workers.Refresh(slot);
  Explanation why = this->Describe(*record, {.room = record->granted}, now);
  why.kind = checkpoint ? DecisionKind::kCheckpoint : DecisionKind::kStop;
  why.worker = record->worker;
  decisions.push_back({.kind = why.kind,
                       .task = victim,
                       .worker = why.worker,
                       .explanation = this->log.Add(std::move(why))});
}

void Planner::EndAwaited(const Awaited& entry) {
  if (const auto slot = this->workers.Find(entry.worker)) {
    this->workers.EndPromise(*slot, entry.need);
  }
  this->ReleaseTeam(entry.task->team, entry.need.room);
}

void Planner::DropAwaited(const TaskRecord& task) {
  const auto found = std::ranges::find(this->awaited, &task, &Awaited::task);
  if (found == this->awaited.end()) return;
  this->EndAwaited(*found);
  this->awaited.erase(found);
}

void Planner::ServeAwaited(base::Instant now,
                           std::vector<Decision>& decisions) {
  std::vector<Awaited> rest;
  for (Awaited& entry : std::exchange(this->awaited, {})) {
    const auto slot = this->workers.Find(entry.worker);
    const bool usable =
        slot && this->workers.worker(*slot).view.state == WorkerState::kLive &&
        now - entry.since < this->rules.limits.preemption_timeout;
    if (!usable) {
      this->EndAwaited(entry);
      this->Requeue(*entry.task);
      continue;
    }
    Choice choice{.slot = *slot};
    const Occupant occupant = this->OccupantOf(*entry.task, entry.need, now);
    bool charged = this->workers.Charge(choice.slot, occupant);
    if (!charged) {
      // Other work may have ended elsewhere in the meantime.
      if (auto other = this->Choose(*entry.task, entry.need)) {
        choice = std::move(*other);
        charged = this->workers.Charge(choice.slot, occupant);
      }
    }
    if (charged) {
      this->EndAwaited(entry);
      this->Place(*entry.task, entry.need, std::move(choice), now, decisions);
      continue;
    }
    if (!entry.escalated &&
        now - entry.since >= this->rules.limits.checkpoint_grace) {
      entry.escalated = true;
      for (const base::TaskId& victim : entry.victims) {
        const TaskRecord* record = this->FindRecord(victim);
        if (record == nullptr || !record->request.idempotent) continue;
        this->AskToLeave(*slot, victim, true, now, decisions);
      }
    }
    rest.push_back(std::move(entry));
  }
  this->awaited.insert(this->awaited.end(),
                       std::make_move_iterator(rest.begin()),
                       std::make_move_iterator(rest.end()));
}

}  // namespace agatepass::placement
