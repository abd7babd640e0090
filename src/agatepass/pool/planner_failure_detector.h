/** \file
 * Detects on one host that the planner has failed, before the planner's lease
 * expires. Deterministic: time comes in as a parameter.
 *
 * Handles a planner whose process was killed or frozen, or whose network is
 * cut off. It can be replaced immediately: should it still run, its outdated
 * fence makes workers reject its requests. A host that is itself cut off from
 * the network must not replace the planner; so the planner counts as lost only
 * while most of the peers answer this host.
 */
#ifndef AGATEPASS_POOL_PLANNER_FAILURE_DETECTOR_H_
#define AGATEPASS_POOL_PLANNER_FAILURE_DETECTOR_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Failure detector of one host for the current planner.
 *
 * \code
 * PlannerFailureDetector detector;
 * detector.OnFailure(true, now);       // Connection refused.
 * detector.BeginPeerCheck(5, now);     // Five peers are called.
 * detector.OnPeerAnswer(host);         // Once three answered:
 * if (detector.IsLost()) ReplacePlanner();
 * \endcode
 */
class PlannerFailureDetector {
 public:
  /** Consecutive unanswered calls after which the planner is suspected; a
   * refused connection suffices by itself. */
  static constexpr uint32_t kSuspectAfterFailures = 2;

  /** Interval between peer checks while the planner remains suspected. */
  static constexpr base::Duration kPeerCheckPeriod =
      std::chrono::milliseconds(300);

  /** Time from the beginning of a planner's term in which unanswered calls do
   * not count: it loads, and all hosts call it at the same time. */
  static constexpr base::Duration kLoadingTime = std::chrono::seconds(1);

  /** Longest such time. It doubles with each term that begins within
   * kShortTerm of the one before: planners that are replaced one after the
   * other are not down but late, and each takeover makes them later. */
  static constexpr base::Duration kMaxLoadingTime = std::chrono::seconds(16);
  static constexpr base::Duration kShortTerm = std::chrono::seconds(20);

  /** Resets the state, as another host is planner now.
   * \param now current time. */
  void OnPlannerChanged(base::Instant now) {
    this->OnAnswer();
    const bool is_short =
        this->term_began && now < *this->term_began + kShortTerm;
    this->loading_time = is_short
                             ? std::min(2 * this->loading_time, kMaxLoadingTime)
                             : kLoadingTime;
    this->term_began = now;
    this->silence_counts_from = now + this->loading_time;
  }

  /** Resets the suspicion: the planner answered. */
  void OnAnswer() {
    this->unanswered_calls = 0;
    this->last_peer_check.reset();
    this->peers_asked = 0;
    this->peers_answered.clear();
  }

  /** Sets whether this host is a standby. Only standbys suspect a planner that
   * is silent: it may be slow, and many hosts that replace it together with its
   * successors would leave no planner time to work. */
  void SetStandby(bool standby) { this->is_standby = standby; }

  /** Records a call to the planner that got no answer.
   * \param refused whether the connection was refused, as no process listens
   *     at the planner's address.
   * \param now current time. */
  void OnFailure(bool refused, base::Instant now) {
    if (refused) {
      this->unanswered_calls += kSuspectAfterFailures;
    } else if (this->is_standby && now >= this->silence_counts_from) {
      ++this->unanswered_calls;
    }
  }

  /** Whether the peers have to be called now to confirm the suspicion.
   * \param now current time. */
  bool ShouldCheckPeers(base::Instant now) const {
    if (this->unanswered_calls < kSuspectAfterFailures || this->IsLost())
      return false;
    return !this->last_peer_check ||
           now >= *this->last_peer_check + kPeerCheckPeriod;
  }

  /** Begins a peer check; answers to an earlier one are discarded.
   * \param peer_count number of peers that are called.
   * \param now current time. */
  void BeginPeerCheck(size_t peer_count, base::Instant now) {
    this->last_peer_check = now;
    this->peers_asked = peer_count;
    this->peers_answered.clear();
  }

  /** Records that a peer answered; ignored before the first peer check.
   * \param peer address of the peer. */
  void OnPeerAnswer(const base::Endpoint& peer) {
    if (this->last_peer_check) this->peers_answered.insert(peer);
  }

  /** Whether the planner is unresponsive while more than half of the called
   * peers answer. */
  bool IsLost() const {
    return this->unanswered_calls >= kSuspectAfterFailures &&
           this->peers_asked > 0 &&
           2 * this->peers_answered.size() > this->peers_asked;
  }

 private:
  bool is_standby = false;
  /** When the planner's term was learned of. */
  std::optional<base::Instant> term_began;
  base::Duration loading_time = kLoadingTime;
  base::Instant silence_counts_from;
  uint32_t unanswered_calls = 0;
  std::optional<base::Instant> last_peer_check;
  size_t peers_asked = 0;
  std::set<base::Endpoint> peers_answered;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_PLANNER_FAILURE_DETECTOR_H_
