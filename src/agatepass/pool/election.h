/** \file
 * Who plans the pool: the holder of a leased key in the store. It has no clock
 * and no socket.
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

/** The planner's entry in the store. */
struct PlannerEntry {
  base::HostId host;
  /** Where its peers reach it. */
  base::Endpoint endpoint;
  /** Tells two processes on one host apart. */
  std::string incarnation;

  bool operator==(const PlannerEntry&) const = default;
};

/** Renders the entry as the store keeps it. */
std::string EncodePlannerEntry(const PlannerEntry& entry);

/** Reads an entry; nothing if it is malformed. */
std::optional<PlannerEntry> DecodePlannerEntry(std::string_view text);

/** What the election asks of the store. */
enum class ElectionStep : uint8_t {
  kNothing,
  /** Grant a lease of `lease_time`. */
  kGrantLease,
  /** Create the planner's key under the lease, if it does not exist. */
  kCreateKey,
  /** Write the planner's key under the lease, if it is still that of the
   * planner that was lost. */
  kReplaceKey,
  /** Read the planner's key, to see whether an unanswered create was done. */
  kReadKey,
  /** Remove the key that an earlier process of this host has left, if it is
   * still there. */
  kRemoveKey,
  kRenewLease,
  /** End the lease; the key goes with it. */
  kRevokeLease,
};

/** Times of the election. */
struct ElectionOptions {
  PlannerEntry self;
  base::Duration lease_time = std::chrono::milliseconds(1300);
  base::Duration renew_period = std::chrono::milliseconds(300);
  /** Wait of this host before it stands, so that not all stand at once. */
  base::Duration candidacy_delay = std::chrono::milliseconds(0);
  /** Wait after a step that failed. */
  base::Duration retry_delay = std::chrono::milliseconds(150);
};

/** One host's view of the election.
 *
 * \code
 * Election election(options);
 * election.OnPlannerSeen(std::nullopt, now);
 * switch (election.Next(now)) { case ElectionStep::kGrantLease: ... }
 * \endcode
 */
class Election {
 public:
  explicit Election(ElectionOptions options) : options(std::move(options)) {}

  /** The store was seen to hold this planner, or none.
   * \param revision revision of the key's latest change; 0 for none. */
  void OnPlannerObserved(std::optional<PlannerEntry> planner,
                         platform::Revision revision, base::Instant now);

  /** The planner whose key has this revision is gone, or does not reach the
   * store: its office may be taken before its lease lapses. */
  /** \return whether this is news. */
  bool OnPlannerLost(platform::Revision revision, base::Instant now);

  /** The planner works after all. */
  void OnPlannerReachable() { this->lost_since.reset(); }

  /** How long this host waits before it stands. */
  void SetCandidacyDelay(base::Duration delay) {
    this->options.candidacy_delay = delay;
  }

  /** Leaves office to a better host, and does not stand again before `until`.
   */
  void YieldLeadership(base::Instant until) {
    this->candidacy_blocked_until = until;
    this->StepDown();
  }

  /** Returns the step to take now; each one is returned once until its answer
   * has come. */
  ElectionStep Next(base::Instant now);

  void OnLeaseGranted(platform::Outcome outcome, uint64_t granted_lease,
                      base::Instant now);
  void OnKeyCreated(platform::Outcome outcome, platform::Revision revision,
                    base::Instant now);
  /** \param planner what the key holds, nothing if it does not exist.
   * \param revision revision of the key's latest change. */
  void OnKeyRead(platform::Outcome outcome, std::optional<PlannerEntry> planner,
                 platform::Revision revision, base::Instant now);
  void OnKeyRemoved(platform::Outcome outcome, base::Instant now);
  void OnLeaseRenewed(platform::Outcome outcome, base::Instant now);
  void OnLeaseRevoked();

  /** Leaves office; the lease is ended as the next step. */
  void StepDown();

  /** Does not stand any more, as the process stops. */
  void DisableCandidacy() { this->candidacy_disabled = true; }

  /** Whether this host holds the office. */
  bool is_leader() const { return this->fence != 0; }

  /** Revision of the planner's key as last seen. */
  platform::Revision planner_revision() const {
    return this->observed_revision;
  }

  /** Fence of the present term; 0 out of office. */
  Fence term() const { return this->fence; }

  uint64_t lease_id() const { return this->lease; }

  /** The planner as last seen, possibly this host. */
  const std::optional<PlannerEntry>& planner() const {
    return this->observed_planner;
  }

  const PlannerEntry& self() const { return this->options.self; }
  base::Duration lease_time() const { return this->options.lease_time; }

 private:
  /** Whether the planner seen is an earlier process of this host. */
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
  /** Since when no planner is seen. */
  std::optional<base::Instant> no_planner_since;
  /** Since when the planner seen is known to be lost. */
  std::optional<base::Instant> lost_since;
  /** Until then this host leaves the office to others. */
  base::Instant candidacy_blocked_until;
  /** Whether the write under way replaces a lost planner's key. */
  bool replacing_key = false;
  bool awaiting_answer = false;
  bool candidacy_disabled = false;
  bool create_outcome_unknown = false;
  bool lease_revocation_pending = false;
  Fence fence = 0;
  uint64_t lease = 0;
  base::Instant next_step_at;
  base::Instant next_renewal_at;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_ELECTION_H_
