/** \file
 * What one entry host may use of each upstream now, so that the sum over all
 * entry hosts never exceeds an upstream's slots.
 */
#ifndef AGATEPASS_RELAY_SHARE_HOLDER_H_
#define AGATEPASS_RELAY_SHARE_HOLDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/relay/share_view.h"
#include "agatepass/relay/upstream.h"

namespace agatepass::relay {

/** Times on which the safety of shares rests. */
struct ShareTimes {
  /** A host that has had no contact for this long falls back to one slot. */
  base::Duration lease = std::chrono::seconds(3);
  /** The longest that a request runs on an upstream. */
  base::Duration longest_run = std::chrono::seconds(10);
  /** Room for clocks of different speed. */
  base::Duration margin = std::chrono::seconds(1);

  /** After a member has departed, its slots are idle once this has passed. */
  base::Duration hand_over() const {
    return this->lease + this->longest_run + this->margin;
  }
};

/** What an entry host tells its peers in each heartbeat. */
struct ShareReport {
  base::HostId host;
  /** The newest view that the host keeps to, with its requests in flight within
   * it. */
  uint64_t kept_view = 0;
  /** The newest view that the host knows to be settled. */
  uint64_t settled_view = 0;
};

/** The shares of one entry host; plain state, fed by the node.
 *
 * A host shrinks at once and grows late: it uses the least that any view gives
 * it, from the last settled view to the newest that it knows. A view is settled
 * once all its members have reported that they keep to just it and, if members
 * have departed, the hand-over time has passed since. Without contact for a
 * lease, or after a missed view, a host uses one slot of each upstream, which
 * stays reserved for it until it is known to have ended.
 *
 * \code
 * ShareHolder holder(self, times);
 * holder.OnView(view, now);
 * int limit = holder.SlotsOf(upstream, 8, now);
 * \endcode
 */
class ShareHolder {
 public:
  ShareHolder(const base::HostId& self, const ShareTimes& times)
      : self(self), times(times) {}

  /** Learns a view from the store or a peer; older ones are ignored. */
  void OnView(const ShareView& view, base::Instant now);

  /** The store, or a majority of the members of the newest view, has confirmed
   * at the time `asked_at` or later that the newest view is this one.
   *
   * \param asked_at when the question was sent, not when the answer came.
   */
  void OnContact(uint64_t view_number, base::Instant asked_at);

  /** Learns a peer's report. */
  void OnReport(const ShareReport& report, base::Instant now);

  /** Tells whether the requests in flight are within the newest view, so that
   * this host may report that it keeps to it. */
  void OnInFlight(bool within_newest, base::Instant now);

  /** What this host reports. */
  ShareReport Report() const;

  /** Slots of `upstream` that may be in use now. */
  int SlotsOf(const base::UpstreamId& upstream, int slots,
              base::Instant now) const;

  /** Slots under the newest view alone, for OnInFlight. */
  int TargetOf(const base::UpstreamId& upstream, int slots) const;

  /** The limits for all `upstreams`, as the relay takes them. */
  std::vector<UpstreamShare> SharesOf(
      std::span<const base::UpstreamId> upstreams, int slots, int connections,
      base::Instant now) const;

  /** Whether the lease is renewed. */
  bool renewed(base::Instant now) const {
    return this->lapses_at && now < *this->lapses_at;
  }

  /** Number of the newest view known; 0 before the first. */
  uint64_t newest_view() const {
    return this->views.empty() ? 0 : this->views.back().number;
  }

  /** Settles what has become due. */
  void OnTick(base::Instant now);

 private:
  bool AllKeepTo(const ShareView& view) const;
  bool NeedsHandOver() const;
  void Settle();

  base::HostId self;
  ShareTimes times;
  // From the last settled view, if `has_settled`, to the newest.
  std::vector<ShareView> views;
  bool has_settled = false;
  // Since the last settled view.
  bool missed_view = false;
  std::map<base::HostId, uint64_t> kept_by;
  uint64_t kept_view = 0;
  std::optional<base::Instant> settles_at;
  std::optional<base::Instant> lapses_at;
};

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_SHARE_HOLDER_H_
