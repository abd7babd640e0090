/** \file
 * How the entry hosts of a data centre divide each upstream's slots and
 * connections among them, from the host list alone.
 */
#ifndef AGATEPASS_NODE_UPSTREAM_SHARES_H_
#define AGATEPASS_NODE_UPSTREAM_SHARES_H_

#include <map>
#include <span>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/host_list.h"
#include "agatepass/relay/upstream.h"

namespace agatepass::node {

/** Divides the upstreams of one data centre among its listed entry hosts.
 *
 * All hosts that see the same list get shares that add up to the limits. A
 * share that shrinks does so at once; one that grows does so only after
 * `growth_delay`, when others have seen the change and their requests ended.
 * Upstreams of other data centres get no share.
 *
 * \code
 * relay.SetShares(shares.Divide(hosts, rules, now));
 * \endcode
 */
class UpstreamShares {
 public:
  UpstreamShares(const base::HostId& self,
                 const base::DataCentreId& data_centre,
                 base::Duration growth_delay)
      : self(self), data_centre(data_centre), growth_delay(growth_delay) {}

  /** Returns what this host may use of each upstream. */
  std::vector<relay::UpstreamShare> Divide(
      std::span<const platform::HostRecord> hosts,
      std::span<const relay::ServiceRule> rules, base::Instant now);

 private:
  struct Held {
    relay::UpstreamShare share;
    relay::UpstreamShare target;
    base::Instant target_since;
  };

  void Settle(Held& held, const relay::UpstreamShare& target,
              base::Instant now) const;

  base::HostId self;
  base::DataCentreId data_centre;
  base::Duration growth_delay;
  std::map<base::UpstreamId, Held> by_upstream;
};

}  // namespace agatepass::node

#endif  // AGATEPASS_NODE_UPSTREAM_SHARES_H_
