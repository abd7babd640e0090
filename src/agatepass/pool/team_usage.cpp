#include "agatepass/pool/team_usage.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Returns how many tasks fit of one resource: all without a limit. */
uint32_t CountFits(int64_t cap, int64_t taken, int64_t need, uint32_t tasks) {
  if (cap == 0 || need <= 0) return tasks;
  const int64_t room = std::max<int64_t>(cap - taken, 0);
  return static_cast<uint32_t>(std::min<int64_t>(tasks, room / need));
}

uint32_t CountFits(const platform::Resources& cap,
                   const platform::Resources& taken,
                   const platform::Resources& need, uint32_t tasks) {
  return std::min(
      {CountFits(cap.millicores, taken.millicores, need.millicores, tasks),
       CountFits(cap.memory_mib, taken.memory_mib, need.memory_mib, tasks),
       CountFits(cap.accelerators, taken.accelerators, need.accelerators,
                 tasks)});
}

}  // namespace

void TeamUsage::SetTeams(std::span<const Team> teams) {
  for (const Team& team : teams) this->entries[team.id].cap = team.cap;
}

void TeamUsage::Add(const TeamCharge& charge) {
  if (charge.unattributed) {
    this->unattributed += charge.amount;
  } else if (!charge.team.empty()) {
    this->entries[charge.team].in_use += charge.amount;
  }
}

void TeamUsage::Remove(const TeamCharge& charge) {
  if (charge.unattributed) {
    this->unattributed -= charge.amount;
  } else if (!charge.team.empty()) {
    this->entries[charge.team].in_use -= charge.amount;
  }
}

void TeamUsage::SetUnknownRuns(
    const std::map<base::TeamId, platform::Resources>& bounds) {
  for (auto& [team, entry] : this->entries) entry.unknown = {};
  for (const auto& [team, bound] : bounds) {
    this->entries[team].unknown = bound;
  }
}

void TeamUsage::HoldBack(const base::TeamId& team, const TaskName& holder,
                         const platform::Resources& amount) {
  if (!team.empty()) {
    this->entries[team].held_back.emplace_back(holder, amount);
  }
}

void TeamUsage::ReleaseHeldBack() {
  for (auto& [team, entry] : this->entries) entry.held_back.clear();
}

uint32_t TeamUsage::CountRoom(const RoomRequest& request) const {
  const Entry* entry = this->Find(request.team);
  if (entry == nullptr) return request.tasks;
  platform::Resources taken =
      entry->in_use + entry->unknown + this->unattributed;
  for (const auto& [holder, amount] : entry->held_back) {
    if (holder == request.holder) break;
    taken += amount;
  }
  return CountFits(entry->cap, taken, request.need, request.tasks);
}

bool TeamUsage::FitsCap(const base::TeamId& team,
                        const platform::Resources& need, uint32_t tasks) const {
  const Entry* entry = this->Find(team);
  return entry == nullptr || CountFits(entry->cap, {}, need, tasks) == tasks;
}

const TeamUsage::Entry* TeamUsage::Find(const base::TeamId& team) const {
  const auto found = this->entries.find(team);
  return found == this->entries.end() ? nullptr : &found->second;
}

}  // namespace agatepass::pool
