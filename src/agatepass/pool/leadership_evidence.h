/** \file
 * Evidence on the planner's host that no other planner has been elected.
 * Deterministic: time comes in as a parameter.
 *
 * Handles a planner that is cut off from the store while it still reaches
 * workers. The next planner takes the runs on workers that it cannot reach for
 * ended once their leases must have expired, counted from the beginning of its
 * term; a lease that is renewed after that lets a task run twice. So a planner
 * may renew leases and start tasks only while its evidence is fresh.
 *
 * What becomes of the runs:
 * - Store silent for this host only, or for all, and the other hosts answer:
 *   they go on, however long it lasts. A host that was elected says so, which
 *   ends the term.
 * - Store silent, and some other host silent as well (split network, or a host
 *   died during an outage): leases are not renewed. Runs lapse only if that
 *   outlasts the workers' leases; a shorter split costs no run. A refused
 *   connection counts as silence: a split network may refuse them as well.
 * - No other host is known, after some time in touch with the store in which
 *   others would have called: there is none that could be elected, runs go on.
 * A host that this planner never heard of is not asked; should only such hosts
 * reach the store, the evidence is wrong.
 */
#ifndef AGATEPASS_POOL_LEADERSHIP_EVIDENCE_H_
#define AGATEPASS_POOL_LEADERSHIP_EVIDENCE_H_

#include <map>
#include <optional>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Evidence of one leadership term.
 *
 * The time of each piece of evidence is when the call was sent, as the state
 * that an answer shows may be as old as that.
 *
 * \code
 * LeadershipEvidence evidence(key_write_sent_at);
 * if (evidence.ShouldReadKey(now)) ReadPlannerKey();
 * for (const auto& host : evidence.TakeHostsToAsk(now)) SendHello(host);
 * planner.SetLeadershipConfirmedAt(evidence.ConfirmedAt(now));
 * \endcode
 */
class LeadershipEvidence {
 public:
  /** Age from which on evidence no longer allows to renew leases. */
  static constexpr base::Duration kMaxAge = std::chrono::milliseconds(1900);

  /** Time without an answered commit after which the planner's key is read,
   * and period of these reads. */
  static constexpr base::Duration kReadKeyPeriod =
      std::chrono::milliseconds(500);

  /** Age of the store's latest confirmation from which on the other hosts are
   * asked, and the period of doing so. */
  static constexpr base::Duration kAskHostsAfter =
      std::chrono::milliseconds(1000);
  static constexpr base::Duration kAskHostsPeriod =
      std::chrono::milliseconds(500);

  /** Time before the store's latest confirmation since which a host must have
   * been silent to be left out, as it is gone. */
  static constexpr base::Duration kMaxHostAge = std::chrono::seconds(30);

  /** Time in touch with the store after which a planner that no host has called
   * is the only host: hosts call it each second. */
  static constexpr base::Duration kHostsCallWithin = std::chrono::seconds(3);

  /** \param confirmed_at when the write of the planner's key was sent. */
  explicit LeadershipEvidence(base::Instant confirmed_at)
      : began_at(confirmed_at),
        store_confirmed_at(confirmed_at),
        key_read_at(confirmed_at) {}

  /** Records that the store showed the planner's key to be this term's.
   * \param sent_at when that call was sent. */
  void OnStoreConfirmation(base::Instant sent_at);

  /** Records that another host exists: it called this one, or is known from
   * before the term.
   * \param host address of the host.
   * \param now current time. */
  void OnHostSeen(const base::Endpoint& host, base::Instant now);

  /** Records that a host answered, and knows no newer planner.
   * \param host address of the host.
   * \param sent_at when it was asked. */
  void OnHostAnswer(const base::Endpoint& host, base::Instant sent_at);

  /** Whether the planner's key has to be read now. If so, the next read is due
   * after a period. */
  bool ShouldReadKey(base::Instant now);

  /** Returns the hosts to ask now. If there are any, they are due again after a
   * period. */
  std::vector<base::Endpoint> TakeHostsToAsk(base::Instant now);

  /** Returns a time at which no other planner had begun its term.
   * \param now current time. */
  base::Instant ConfirmedAt(base::Instant now) const;

  /** When the call was sent by which the store last confirmed the term. */
  base::Instant store_confirmed() const { return this->store_confirmed_at; }

  /** Number of other hosts that could have been elected. */
  size_t host_count() const { return this->hosts.size(); }

  /** Number of these that answered no call sent after `since`. */
  size_t CountSilentHosts(base::Instant since) const;

 private:
  struct Host {
    /** When it was last known to exist. */
    base::Instant seen_at;
    /** When the latest call was sent that it answered: it was not the planner
     * then. */
    base::Instant answered_at;
  };

  base::Instant began_at;
  base::Instant store_confirmed_at;
  base::Instant key_read_at;
  std::optional<base::Instant> hosts_asked_at;
  std::map<base::Endpoint, Host> hosts;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_LEADERSHIP_EVIDENCE_H_
