/** \file
 * Whether the planner is gone, as far as one host can tell before the planner's
 * lease lapses. It has no clock and no socket.
 *
 * Answers a planner that is killed, frozen or cut off: its office can be taken
 * at once, as its fence keeps it from doing harm if it still works. A host that
 * is cut off itself must not take it, so other hosts have to answer meanwhile.
 */
#ifndef AGATEPASS_POOL_PLANNER_FAILURE_DETECTOR_H_
#define AGATEPASS_POOL_PLANNER_FAILURE_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"

namespace agatepass::pool {

/** One host's contact with the planner.
 *
 * \code
 * PlannerContact contact;
 * contact.OnFailure(true, now);              // Nobody listens there.
 * contact.BeginCheck(5, now);                // Five other hosts are asked.
 * contact.OnHostAnswer(host, now);           // ... three of them answer:
 * if (contact.IsLost()) TakeItsOffice();
 * \endcode
 */
class PlannerFailureDetector {
 public:
  /** Calls without an answer in a row that make the planner suspect; a refused
   * connection does at once. */
  static constexpr uint32_t kSuspectAfterFailures = 2;

  /** Time between two checks of a planner that stays suspect. */
  static constexpr base::Duration kPeerCheckPeriod =
      std::chrono::milliseconds(300);

  /** The planner answered, or another one is in office. */
  void OnAnswer() { *this = PlannerFailureDetector(); }

  /** A call to the planner got no answer.
   * \param refused whether nobody listens at its address. */
  void OnFailure(bool refused) {
    this->unanswered_calls += refused ? kSuspectAfterFailures : 1;
  }

  /** Whether other hosts have to be asked now. */
  bool ShouldCheckPeers(base::Instant now) const {
    if (this->unanswered_calls < kSuspectAfterFailures || this->IsLost())
      return false;
    return !this->last_peer_check ||
           now >= *this->last_peer_check + kPeerCheckPeriod;
  }

  /** Other hosts, so many, are being asked. */
  void BeginPeerCheck(size_t hosts, base::Instant now) {
    this->last_peer_check = now;
    this->peers_asked = hosts;
    this->peers_answered.clear();
  }

  /** Another host answered. */
  void OnPeerAnswer(const base::Endpoint& host) {
    if (this->last_peer_check) this->peers_answered.insert(host);
  }

  /** Whether the planner is silent while most hosts that were asked answer. */
  bool IsLost() const {
    return this->unanswered_calls >= kSuspectAfterFailures &&
           this->peers_asked > 0 &&
           2 * this->peers_answered.size() > this->peers_asked;
  }

 private:
  uint32_t unanswered_calls = 0;
  std::optional<base::Instant> last_peer_check;
  size_t peers_asked = 0;
  std::set<base::Endpoint> peers_answered;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_PLANNER_FAILURE_DETECTOR_H_
