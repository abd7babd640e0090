/** \file
 * Which workers this entry host may place on: owner leases that the workers
 * grant, renew and fence by epoch.
 */
#ifndef AGATEPASS_MEMBERSHIP_WORKER_OWNERSHIP_H_
#define AGATEPASS_MEMBERSHIP_WORKER_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/host_list.h"
#include "agatepass/platform/worker.h"

namespace agatepass::membership {

/** Intervals of owner leases. */
struct OwnershipOptions {
  base::Duration lease = std::chrono::milliseconds(4500);
  base::Duration renew_period = std::chrono::milliseconds(1500);
  base::Duration claim_retry = std::chrono::milliseconds(500);
  /** Time for which another host must be the better owner before a worker is
   * handed over, so that two hosts with different views do not pass it back
   * and forth. */
  base::Duration hand_over_delay = std::chrono::seconds(3);
  base::Duration call_timeout = std::chrono::seconds(1);
};

/** A command to be sent; the reply comes back through OnReply with its number.
 */
struct OwnershipCall {
  uint64_t call = 0;
  platform::WorkerCall command;
};

/** A worker that is now held, with everything that it runs. */
struct WorkerGained {
  base::WorkerId worker;
  platform::Epoch epoch = 0;
  platform::Resources total;
  /** When the claim was sent. */
  base::Instant asked;
  /** How long the worker remembers what it was given. */
  base::Duration memory_age{0};
  std::vector<platform::TaskReport> tasks;
};

/** A worker that may no longer be placed on. */
struct WorkerLost {
  base::WorkerId worker;
  platform::Epoch epoch = 0;
};

/** A fresh report of a worker that is held. */
struct WorkerReported {
  base::WorkerId worker;
  /** When the renewal was sent: what started since may be missing. */
  base::Instant asked;
  /** How long the worker remembers what it was given. */
  base::Duration memory_age{0};
  std::vector<platform::TaskReport> tasks;
};

/** What one input led to, in order of kind. */
struct OwnershipEffects {
  std::vector<OwnershipCall> calls;
  std::vector<WorkerLost> lost;
  std::vector<WorkerGained> gained;
  std::vector<WorkerReported> reports;
};

/** The owner leases of one entry host. The worker decides who holds it; what is
 * kept here is a cautious copy: a lease counts as lost from the moment at which
 * the worker might have let it lapse.
 *
 * \code
 * WorkerOwnership ownership(self, {});
 * ownership.SetWorkers(host_list);
 * OwnershipEffects effects = ownership.OnTick(now);
 * \endcode
 */
class WorkerOwnership {
 public:
  WorkerOwnership(const base::HostId& self, const OwnershipOptions& options);

  /** Takes the workers of the own data centre; the others are left alone. */
  void SetWorkers(std::span<const platform::HostRecord> workers);

  /** Takes the entry hosts of the data centre that should share its workers. */
  void SetLiveHosts(std::span<const base::HostId> hosts);

  /** Takes the entry hosts that are known to be dead or to have left. */
  void SetDeadHosts(std::span<const base::HostId> hosts);

  /** Claims, renews and hands over what is due at `now`. */
  OwnershipEffects OnTick(base::Instant now);

  /** Takes the reply to a call; a reply to an unknown call is dropped. */
  OwnershipEffects OnReply(uint64_t call, const platform::WorkerReply& reply,
                           base::Instant now);

  /** Takes the refusal of a command sent by others for this worker's epoch. */
  OwnershipEffects OnStaleEpoch(const base::WorkerId& worker,
                                platform::Epoch epoch);

  /** Renews every held worker with the next OnTick, to learn soon what ended.
   * \param least_age renewals younger than this are left as they are. */
  void RenewSoon(base::Duration least_age, base::Instant now);

  /** Lets the worker forget `task` with the next renewal. */
  void Acknowledge(const base::WorkerId& worker, const base::TaskId& task);

  /** Claims a held worker anew: its answer proves what it runs, and a start
   * that is still on its way is refused by the raised epoch. Comes back as
   * gained. Does nothing for a worker that is not held. */
  OwnershipEffects Reclaim(const base::WorkerId& worker, base::Instant now);

  /** Gives a held worker up to a host that has asked for it. */
  OwnershipEffects Lend(const base::WorkerId& worker, base::Instant now);

  /** Claims a worker that its owner has lent; it goes back as soon as it has
   * been unwanted for the hand-over delay. */
  OwnershipEffects Borrow(const base::WorkerId& worker, base::Instant now);

  /** Gives every worker up; none is claimed again. */
  OwnershipEffects Drain(base::Instant now);

  /** The epoch held on `worker`, or nothing if it may not be placed on. */
  std::optional<platform::Epoch> epoch(const base::WorkerId& worker) const;

  /** Workers held at present. */
  size_t held() const;

  /** Workers of the data centre that are known and not leaving the list. */
  std::vector<base::WorkerId> workers() const;

 private:
  enum class State : uint8_t { kFree, kClaiming, kHeld };

  struct Worker {
    State state = State::kFree;
    bool listed = true;
    /** Whether this host should hold it, among those that live. */
    bool wanted = false;
    platform::Epoch epoch = 0;
    /** Holder that the worker named in its last refusal. */
    base::HostId other_holder;
    /** When the lease may lapse at the worker, counted from the sending. */
    base::Instant lapses;
    base::Instant next_call;
    base::Instant renewed;
    /** Since when another host is the better owner. */
    std::optional<base::Instant> unwanted_since;
    std::vector<base::TaskId> acknowledged;
  };

  struct Pending {
    base::WorkerId worker;
    platform::WorkerVerb verb = platform::WorkerVerb::kRenew;
    base::Instant sent;
    std::vector<base::TaskId> acknowledged;
  };

  void Spread();
  void TickFree(const base::WorkerId& id, Worker& worker, base::Instant now,
                OwnershipEffects* effects);
  void TickHeld(const base::WorkerId& id, Worker& worker, base::Instant now,
                OwnershipEffects* effects);
  void Send(const base::WorkerId& id, Worker& worker, platform::WorkerVerb verb,
            base::Instant now, OwnershipEffects* effects);
  void Lose(const base::WorkerId& id, Worker& worker,
            OwnershipEffects* effects);
  void TakeClaim(const Pending& pending, const platform::WorkerReply& reply,
                 base::Instant now, OwnershipEffects* effects);
  void TakeRenewal(const Pending& pending, const platform::WorkerReply& reply,
                   base::Instant now, OwnershipEffects* effects);

  base::HostId self;
  OwnershipOptions options;
  std::map<base::WorkerId, Worker> by_id;
  std::vector<base::HostId> live;
  std::vector<base::HostId> dead;
  std::map<uint64_t, Pending> pending;
  uint64_t next_number = 1;
  bool draining = false;
};

}  // namespace agatepass::membership

#endif  // AGATEPASS_MEMBERSHIP_WORKER_OWNERSHIP_H_
