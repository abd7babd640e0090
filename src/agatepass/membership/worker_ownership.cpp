#include "agatepass/membership/worker_ownership.h"

#include <algorithm>
#include <utility>

#include "agatepass/membership/rendezvous.h"

namespace agatepass::membership {

using base::HostId;
using base::Instant;
using base::WorkerId;
using platform::Outcome;
using platform::WorkerReply;
using platform::WorkerVerb;

WorkerOwnership::WorkerOwnership(const HostId& self,
                                 const OwnershipOptions& options)
    : self(self), options(options) {}

void WorkerOwnership::SetWorkers(
    std::span<const platform::HostRecord> workers) {
  for (auto& [id, worker] : this->by_id) worker.listed = false;
  for (const platform::HostRecord& record : workers) {
    if (record.role != platform::HostRole::kWorker) continue;
    this->by_id[WorkerId(record.name)].listed = true;
  }
  this->Spread();
}

void WorkerOwnership::SetLiveHosts(std::span<const HostId> hosts) {
  if (std::equal(hosts.begin(), hosts.end(), this->live.begin(),
                 this->live.end())) {
    return;
  }
  this->live.assign(hosts.begin(), hosts.end());
  this->Spread();
}

void WorkerOwnership::SetDeadHosts(std::span<const HostId> hosts) {
  this->dead.assign(hosts.begin(), hosts.end());
}

void WorkerOwnership::Spread() {
  std::vector<std::string_view> items;
  for (const auto& [id, worker] : this->by_id) {
    if (worker.listed) items.push_back(id.value);
  }
  const std::vector<HostId> owners = SpreadByRendezvous(items, this->live);
  size_t next = 0;
  for (auto& [id, worker] : this->by_id) {
    worker.wanted = worker.listed && owners[next++] == this->self;
  }
}

OwnershipEffects WorkerOwnership::OnTick(Instant now) {
  OwnershipEffects effects;
  for (auto& [id, worker] : this->by_id) {
    if (worker.state == State::kHeld) {
      this->TickHeld(id, worker, now, &effects);
    } else if (worker.state == State::kFree) {
      this->TickFree(id, worker, now, &effects);
    }
  }
  return effects;
}

void WorkerOwnership::TickFree(const WorkerId& id, Worker& worker, Instant now,
                               OwnershipEffects* effects) {
  if (!worker.wanted || this->draining || now < worker.next_call) return;
  this->Send(id, worker, WorkerVerb::kClaim, now, effects);
}

void WorkerOwnership::TickHeld(const WorkerId& id, Worker& worker, Instant now,
                               OwnershipEffects* effects) {
  if (now >= worker.lapses) {
    this->Lose(id, worker, effects);
    return;
  }
  if (worker.wanted) {
    worker.unwanted_since.reset();
  } else if (!worker.unwanted_since) {
    worker.unwanted_since = now;
  } else if (now - *worker.unwanted_since >= this->options.hand_over_delay) {
    this->Send(id, worker, WorkerVerb::kRelease, now, effects);
    this->Lose(id, worker, effects);
    return;
  }
  if (now >= worker.next_call) {
    this->Send(id, worker, WorkerVerb::kRenew, now, effects);
  }
}

void WorkerOwnership::Send(const WorkerId& id, Worker& worker, WorkerVerb verb,
                           Instant now, OwnershipEffects* effects) {
  OwnershipCall call;
  call.call = this->next_number++;
  call.command.verb = verb;
  call.command.worker = id;
  call.command.holder = this->self;
  call.command.epoch = worker.epoch;
  call.command.lease = this->options.lease;
  call.command.timeout = this->options.call_timeout;
  Pending entry{id, verb, now, {}};
  if (verb == WorkerVerb::kClaim) {
    const bool holder_is_dead =
        std::find(this->dead.begin(), this->dead.end(), worker.other_holder) !=
        this->dead.end();
    if (holder_is_dead) call.command.from = worker.other_holder;
    worker.state = State::kClaiming;
    worker.next_call = now + this->options.claim_retry;
  } else if (verb == WorkerVerb::kRenew) {
    call.command.tasks = worker.acknowledged;
    entry.acknowledged = std::exchange(worker.acknowledged, {});
    worker.next_call = now + this->options.renew_period;
    worker.renewed = now;
  }
  this->pending.emplace(call.call, std::move(entry));
  effects->calls.push_back(std::move(call));
}

void WorkerOwnership::Lose(const WorkerId& id, Worker& worker,
                           OwnershipEffects* effects) {
  effects->lost.push_back({id, worker.epoch});
  worker.state = State::kFree;
  worker.unwanted_since.reset();
  worker.acknowledged.clear();
}

OwnershipEffects WorkerOwnership::OnReply(uint64_t call,
                                          const WorkerReply& reply,
                                          Instant now) {
  OwnershipEffects effects;
  const auto entry = this->pending.find(call);
  if (entry == this->pending.end()) return effects;
  const Pending sent = std::move(entry->second);
  this->pending.erase(entry);
  if (sent.verb == WorkerVerb::kClaim) {
    this->TakeClaim(sent, reply, now, &effects);
  } else if (sent.verb == WorkerVerb::kRenew) {
    this->TakeRenewal(sent, reply, now, &effects);
  }
  return effects;
}

void WorkerOwnership::TakeClaim(const Pending& sent, const WorkerReply& reply,
                                Instant now, OwnershipEffects* effects) {
  Worker& worker = this->by_id[sent.worker];
  if (worker.state != State::kClaiming) return;
  worker.state = State::kFree;
  if (reply.outcome == Outcome::kRefused) worker.other_holder = reply.holder;
  if (reply.outcome != Outcome::kDone) return;
  const Instant lapses = sent.sent + this->options.lease;
  // A late grant may have lapsed already; the next claim gets a new epoch.
  if (now >= lapses || this->draining) return;
  worker.state = State::kHeld;
  worker.epoch = reply.epoch;
  worker.lapses = lapses;
  worker.next_call = sent.sent + this->options.renew_period;
  effects->gained.push_back({sent.worker, reply.epoch, reply.total, sent.sent,
                             reply.memory_age, reply.tasks});
}

void WorkerOwnership::TakeRenewal(const Pending& sent, const WorkerReply& reply,
                                  Instant now, OwnershipEffects* effects) {
  Worker& worker = this->by_id[sent.worker];
  if (worker.state != State::kHeld) return;
  if (reply.outcome == Outcome::kRefused) {
    worker.other_holder = reply.holder;
    this->Lose(sent.worker, worker, effects);
    return;
  }
  if (reply.outcome != Outcome::kDone) {
    worker.acknowledged.insert(worker.acknowledged.end(),
                               sent.acknowledged.begin(),
                               sent.acknowledged.end());
    worker.next_call = std::min(worker.next_call, now);
    return;
  }
  worker.lapses = std::max(worker.lapses, sent.sent + this->options.lease);
  effects->reports.push_back(
      {sent.worker, sent.sent, reply.memory_age, reply.tasks});
}

OwnershipEffects WorkerOwnership::OnStaleEpoch(const WorkerId& worker,
                                               platform::Epoch epoch) {
  OwnershipEffects effects;
  const auto entry = this->by_id.find(worker);
  if (entry == this->by_id.end()) return effects;
  if (entry->second.state == State::kHeld && entry->second.epoch == epoch) {
    this->Lose(worker, entry->second, &effects);
  }
  return effects;
}

OwnershipEffects WorkerOwnership::Reclaim(const WorkerId& worker, Instant now) {
  OwnershipEffects effects;
  const auto entry = this->by_id.find(worker);
  if (entry == this->by_id.end()) return effects;
  if (entry->second.state != State::kHeld || this->draining) return effects;
  this->Send(worker, entry->second, WorkerVerb::kClaim, now, &effects);
  return effects;
}

OwnershipEffects WorkerOwnership::Lend(const WorkerId& worker, Instant now) {
  OwnershipEffects effects;
  const auto entry = this->by_id.find(worker);
  if (entry == this->by_id.end()) return effects;
  if (entry->second.state != State::kHeld) return effects;
  this->Send(worker, entry->second, WorkerVerb::kRelease, now, &effects);
  this->Lose(worker, entry->second, &effects);
  // The borrower claims first.
  entry->second.next_call = now + this->options.hand_over_delay;
  return effects;
}

OwnershipEffects WorkerOwnership::Borrow(const WorkerId& worker, Instant now) {
  OwnershipEffects effects;
  const auto entry = this->by_id.find(worker);
  if (entry == this->by_id.end() || this->draining) return effects;
  if (entry->second.state != State::kFree) return effects;
  this->Send(worker, entry->second, WorkerVerb::kClaim, now, &effects);
  return effects;
}

void WorkerOwnership::RenewSoon(base::Duration least_age, Instant now) {
  for (auto& [id, worker] : this->by_id) {
    if (worker.state != State::kHeld) continue;
    const Instant soonest = worker.renewed + least_age;
    worker.next_call = std::min(worker.next_call, std::max(soonest, now));
  }
}

void WorkerOwnership::Acknowledge(const WorkerId& worker,
                                  const base::TaskId& task) {
  const auto entry = this->by_id.find(worker);
  if (entry == this->by_id.end()) return;
  if (entry->second.state != State::kHeld) return;
  entry->second.acknowledged.push_back(task);
}

OwnershipEffects WorkerOwnership::Drain(Instant now) {
  OwnershipEffects effects;
  this->draining = true;
  for (auto& [id, worker] : this->by_id) {
    if (worker.state != State::kHeld) continue;
    this->Send(id, worker, WorkerVerb::kRelease, now, &effects);
    this->Lose(id, worker, &effects);
  }
  return effects;
}

std::optional<platform::Epoch> WorkerOwnership::epoch(
    const WorkerId& worker) const {
  const auto entry = this->by_id.find(worker);
  if (entry == this->by_id.end()) return std::nullopt;
  if (entry->second.state != State::kHeld) return std::nullopt;
  return entry->second.epoch;
}

size_t WorkerOwnership::held() const {
  return std::count_if(
      this->by_id.begin(), this->by_id.end(),
      [](const auto& entry) { return entry.second.state == State::kHeld; });
}

std::vector<WorkerId> WorkerOwnership::workers() const {
  std::vector<WorkerId> result;
  for (const auto& [id, worker] : this->by_id) {
    if (worker.listed) result.push_back(id);
  }
  return result;
}

}  // namespace agatepass::membership
