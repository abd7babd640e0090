// Room that moves between entry hosts: one whose work waits asks the peer with
// the most room for a worker. The worker's own lease decides who holds it, so a
// request that was late or lost costs time, never an overload.
#include <optional>
#include <utility>

#include "agatepass/node/entry_host.h"
#include "fmt/format.h"

namespace agatepass::node {

using base::HostId;
using base::Instant;
using base::WallTime;
using base::WorkerId;

namespace {

constexpr base::Duration kRoomRequestPeriod = std::chrono::milliseconds(500);

}  // namespace

std::optional<HostId> EntryHost::RoomiestPeer() const {
  std::optional<HostId> best;
  int64_t most = 0;
  for (const HostId& peer : this->liveness.LocalPeers()) {
    const auto entry = this->liveness.members().find(peer);
    if (entry == this->liveness.members().end()) continue;
    const peers::RoomSummary& room = entry->second.room;
    if (room.queued_tasks > 0 || room.free.millicores <= most) continue;
    best = peer;
    most = room.free.millicores;
  }
  return best;
}

void EntryHost::AskForRoom(Instant now, Effects& effects) {
  if (this->planner.waiting() == 0 || this->draining) return;
  if (now < this->next_room_request) return;
  const std::optional<HostId> peer = this->RoomiestPeer();
  if (!peer) return;
  this->next_room_request = now + kRoomRequestPeriod;
  peers::Reserve request;
  request.reservation = fmt::format("{}/room", this->options.self.host.value);
  effects.peer_sends.push_back({*peer, std::move(request)});
}

std::optional<WorkerId> EntryHost::EmptiestWorker(
    const platform::Resources& need) const {
  std::optional<WorkerId> best;
  int64_t most = -1;
  for (const auto& [worker, total] : this->held) {
    const auto slot = this->planner.cell().Find(worker);
    if (!slot) continue;
    const platform::Resources room = this->planner.cell().worker(*slot).Room();
    if (!need.FitsIn(room) || room.millicores <= most) continue;
    best = worker;
    most = room.millicores;
  }
  return best;
}

void EntryHost::LendWorker(const HostId& to, const peers::Reserve& request,
                           Instant now, WallTime wall, Effects& effects) {
  // Own work goes first, and the last worker is never lent.
  if (this->planner.waiting() > 0 || this->held.size() < 2) return;
  platform::Resources need{1, 1, 0};
  for (const peers::TaskRequest& task : request.tasks) need += task.declared;
  const std::optional<WorkerId> worker = this->EmptiestWorker(need);
  if (!worker) return;
  const platform::Epoch epoch = this->ownership.epoch(*worker).value_or(0);
  membership::OwnershipEffects lent = this->ownership.Lend(*worker, now);
  this->TakeOwnershipEffects(lent, now, wall, effects);
  effects.peer_sends.push_back({to, peers::Handover{{{*worker, epoch}}}});
  effects.events.push_back({timeline::EventKind::kHandedOver, worker->value, "",
                            base::ResultCode::kOk,
                            fmt::format("lent to {}", to.value)});
}

void EntryHost::BorrowWorkers(const peers::Handover& handover, Instant now,
                              WallTime wall, Effects& effects) {
  for (const peers::WorkerGrant& grant : handover.workers) {
    membership::OwnershipEffects claim =
        this->ownership.Borrow(grant.worker, now);
    this->TakeOwnershipEffects(claim, now, wall, effects);
  }
}

}  // namespace agatepass::node
