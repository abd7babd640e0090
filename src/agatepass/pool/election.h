/** \file
 * Leader election for a pool: the planner is the host that holds a leased key
 * in the store. The election is deterministic: time comes in as a parameter,
 * and the owner of the election makes the store calls.
 */
#ifndef AGATEPASS_POOL_ELECTION_H_
#define AGATEPASS_POOL_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/store.h"
#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** Value of the planner's key in the store. */
struct PlannerEntry {
  base::HostId host;
  /** Address at which its peers reach it. */
  base::Endpoint endpoint;
  /** Distinguishes successive processes on one host. */
  std::string incarnation;

  bool operator==(const PlannerEntry&) const = default;
};

/** Returns the text of the entry that is stored under the planner's key:
 * host, endpoint and incarnation, separated by spaces. */
std::string EncodePlannerEntry(const PlannerEntry& entry);

/** Parses a stored entry.
 * \return the entry; std::nullopt if the text is malformed. */
std::optional<PlannerEntry> DecodePlannerEntry(std::string_view text);

/** Store call that the election needs next. */
enum class ElectionStep : uint8_t {
  kNothing,
  /** Grant a lease of `lease_time`. */
  kGrantLease,
  /** Create the planner's key under the lease, provided that it does not
   * exist. */
  kCreateKey,
  /** Overwrite the planner's key under the lease, provided that it is still
   * the key of the planner that was lost. */
  kReplaceKey,
  /** Read the planner's key, to find out whether an unanswered write of it
   * took effect. */
  kReadKey,
  /** Remove the key left behind by an earlier process of this host, provided
   * that it is unchanged. */
  kRemoveKey,
  kRenewLease,
  /** Revoke the lease, which also removes the key. */
  kRevokeLease,
};

/** Identity of this host and timing of the election. */
struct ElectionOptions {
  PlannerEntry self;
  /** Time after which a lease that is not renewed expires. */
  base::Duration lease_time = std::chrono::milliseconds(1300);
  /** Interval between renewals of the lease. */
  base::Duration renew_period = std::chrono::milliseconds(300);
  /** Time without a planner before this host becomes a candidate; it differs
   * between hosts so that they do not all try at the same time. */
  base::Duration candidacy_delay = std::chrono::milliseconds(0);
  /** Delay before the next step after one that failed. */
  base::Duration retry_delay = std::chrono::milliseconds(150);
};

/** State machine of one host in the election. The owner makes the store call
 * that Next() returns and reports its result to the matching On... method.
 *
 * \code
 * Election election(options);
 * election.OnPlannerObserved(std::nullopt, 0, now);
 * switch (election.Next(now)) { case ElectionStep::kGrantLease: ... }
 * \endcode
 */
class Election {
 public:
  explicit Election(ElectionOptions options) : options(std::move(options)) {}

  /** Records the content of the planner's key, as read from the store or
   * reported by a peer. A revision older than the latest known one is ignored.
   * \param planner content of the key; std::nullopt if the key does not exist.
   * \param revision revision of the key's latest change; 0 if there is none.
   * \param now current time. */
  void OnPlannerObserved(std::optional<PlannerEntry> planner,
                         platform::Revision revision, base::Instant now);

  /** Records that the planner whose key has this revision is down or cannot
   * reach the store, so that it may be replaced before its lease expires.
   * \param revision revision of the lost planner's key; any other than the
   *     latest known one is ignored.
   * \param now current time.
   * \return whether this call recorded the planner as lost. */
  bool OnPlannerLost(platform::Revision revision, base::Instant now);

  /** Records that the planner works, which cancels OnPlannerLost. */
  void OnPlannerReachable() { this->lost_since.reset(); }

  /** Sets the time without a planner before this host becomes a candidate. */
  void SetCandidacyDelay(base::Duration delay) {
    this->options.candidacy_delay = delay;
  }

  /** Steps down in favour of a better host.
   * \param until time before which this host does not become a candidate. */
  void YieldLeadership(base::Instant until) {
    this->candidacy_blocked_until = until;
    this->StepDown();
  }

  /** Returns the store call to make now. Only one call is outstanding at a
   * time: until its result is reported this returns kNothing. */
  ElectionStep Next(base::Instant now);

  /** Reports the result of kGrantLease.
   * \param outcome outcome of the call.
   * \param granted_lease id of the lease, if it was granted.
   * \param now current time. */
  void OnGrantLeaseResult(platform::Outcome outcome, uint64_t granted_lease,
                          base::Instant now);
  /** Reports the result of kCreateKey or kReplaceKey.
   * \param outcome outcome of the call.
   * \param revision revision of the written key, which becomes the fence.
   * \param now current time. */
  void OnKeyWriteResult(platform::Outcome outcome, platform::Revision revision,
                        base::Instant now);
  /** Reports the result of kReadKey.
   * \param outcome outcome of the call.
   * \param planner content of the key; std::nullopt if it does not exist.
   * \param revision revision of the key's latest change.
   * \param now current time. */
  void OnKeyRead(platform::Outcome outcome, std::optional<PlannerEntry> planner,
                 platform::Revision revision, base::Instant now);
  /** Reports the result of kRemoveKey, whether the key was removed or not. */
  void OnRemoveKeyResult(platform::Outcome outcome, base::Instant now);
  /** Reports the result of kRenewLease; a refused renewal ends the term. */
  void OnRenewLeaseResult(platform::Outcome outcome, base::Instant now);
  /** Reports that the call for kRevokeLease has ended, with any outcome. */
  void OnLeaseRevoked();

  /** Ends this host's leadership; the next step revokes the lease. */
  void StepDown();

  /** Never becomes a candidate again, as the process is stopping. */
  void DisableCandidacy() { this->candidacy_disabled = true; }

  /** Whether this host is the planner. */
  bool is_leader() const { return this->fence != 0; }

  /** Latest known revision of the planner's key. */
  platform::Revision planner_revision() const {
    return this->observed_revision;
  }

  /** Fence of this host's current term, which is the revision of the key that
   * this host wrote; 0 if it is not the planner. */
  Fence term() const { return this->fence; }

  /** Id of the lease held by this host; 0 for none. */
  uint64_t lease_id() const { return this->lease; }

  /** The planner as last observed, possibly this host. */
  const std::optional<PlannerEntry>& planner() const {
    return this->observed_planner;
  }

  const PlannerEntry& self() const { return this->options.self; }
  base::Duration lease_time() const { return this->options.lease_time; }

 private:
  /** Whether the observed planner is an earlier process of this host. */
  bool IsOwnEarlierIncarnation() const {
    return this->observed_planner &&
           this->observed_planner->host == this->options.self.host &&
           this->observed_planner->incarnation !=
               this->options.self.incarnation;
  }
  void BecomeLeader(platform::Revision revision, base::Instant now);

  ElectionOptions options;
  std::optional<PlannerEntry> observed_planner;
  platform::Revision observed_revision = 0;
  /** Start of the candidacy delay: the key was found missing, or its creation
   * was refused, at this time. */
  std::optional<base::Instant> no_planner_since;
  /** Time since which the observed planner is known to be lost. */
  std::optional<base::Instant> lost_since;
  /** Time before which this host does not become a candidate. */
  base::Instant candidacy_blocked_until;
  /** Whether the latest write of the key replaces that of a lost planner. */
  bool replacing_key = false;
  /** Whether the result of the latest step is outstanding. */
  bool awaiting_answer = false;
  bool candidacy_disabled = false;
  /** Whether a write of the key was left unanswered and has to be checked. */
  bool key_write_outcome_unknown = false;
  /** Whether the lease has to be revoked. */
  bool lease_revocation_pending = false;
  /** Revision of the key written by this host; 0 if it is not the planner. */
  Fence fence = 0;
  uint64_t lease = 0;
  base::Instant next_step_at;
  base::Instant next_renewal_at;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_ELECTION_H_
