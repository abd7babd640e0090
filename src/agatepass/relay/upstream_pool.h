/** \file
 * The upstreams of one service: their shares, what is outstanding at each, and
 * their health.
 */
#ifndef AGATEPASS_RELAY_UPSTREAM_POOL_H_
#define AGATEPASS_RELAY_UPSTREAM_POOL_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/platform/host_list.h"
#include "agatepass/relay/admission.h"
#include "agatepass/relay/upstream.h"
#include "agatepass/relay/upstream_health.h"

namespace agatepass::relay {

/** One upstream. */
struct Upstream {
  base::UpstreamId id;
  base::Endpoint endpoint;
  Distance distance = Distance::kSameDataCentre;
  std::string label;
  /** Requests that this entry host may have there. */
  int share = 0;
  int outstanding = 0;
  /** Named by the newest host list. */
  bool listed = true;
  /** Listed and not leaving: it may get new requests. */
  bool taking_requests = true;
  /** It has itself said that it is leaving. */
  bool leaving_notice = false;
  UpstreamHealth health;
  /** Times until which requests without an answer may still run there. */
  std::multiset<base::Instant> lingering;

  /** Slots in use: requests in flight and those that may still run. */
  int used() const {
    return this->outstanding + static_cast<int>(this->lingering.size());
  }
};

/** What a request demands of its upstream. */
struct UpstreamDemand {
  std::string_view label;
  /** Whether upstreams of another region may take it. */
  bool other_regions = false;
  /** Upstreams where it has failed. */
  const std::vector<base::UpstreamId>* failed = nullptr;
};

/** The upstreams of one service. */
class UpstreamPool {
 public:
  UpstreamPool(const ServiceRule& rule, const Place& place)
      : rule(rule), place(place) {}

  /** Takes new rules. */
  void SetRule(const ServiceRule& new_rule);

  /** Takes the rows of this service; upstreams that are no longer listed or
   * are leaving get no new request, and are forgotten when nothing is
   * outstanding there. */
  void SetUpstreams(std::span<const platform::HostRecord> hosts);

  /** Takes what may be used of each upstream; those not named get nothing. */
  void SetShares(std::span<const UpstreamShare> shares);

  /** Draws an upstream for a request and counts it there; nothing if none has
   * room. */
  Upstream* Take(const UpstreamDemand& demand, std::mt19937_64& random);

  /** Counts a request out again. `lingers_until` is set if it may still run
   * there. */
  void Release(const base::UpstreamId& id,
               std::optional<base::Instant> lingers_until);

  /** Frees the slots of requests that can no longer be running. */
  void ExpireLingering(base::Instant now);

  /** Ejected upstreams that are due a probe; marks them as being probed. */
  std::vector<const Upstream*> TakeProbes(base::Instant now);

  /** Notes that an upstream has said it is leaving. */
  void NoteLeaving(const base::UpstreamId& id);

  /** The upstream called `id`; null if it has been forgotten. */
  Upstream* Find(const base::UpstreamId& id);

  /** What this entry host may use now, for estimates. */
  ServiceCapacity Capacity() const;

  /** Whether any upstream with `label` takes requests at all. */
  bool Serves(std::string_view label, bool other_regions) const;

  const ServiceRule& service_rule() const { return this->rule; }
  const std::map<base::UpstreamId, Upstream>& all() const {
    return this->upstreams;
  }

 private:
  std::string LabelOf(const platform::HostRecord& host) const;
  bool Fits(const Upstream& upstream, const UpstreamDemand& demand) const;
  base::Duration TypicalLatency() const;
  base::Duration LikelyTime() const;
  bool FewLeft() const;
  void Forget();

  ServiceRule rule;
  Place place;
  bool has_shares = false;
  std::map<base::UpstreamId, int> shares;
  std::map<base::UpstreamId, Upstream> upstreams;
};

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_UPSTREAM_POOL_H_
