/** \file
 * How the slots of an upstream are divided among the entry hosts of its data
 * centre, by a numbered view of them.
 */
#ifndef AGATEPASS_RELAY_SHARE_VIEW_H_
#define AGATEPASS_RELAY_SHARE_VIEW_H_

#include <cstdint>
#include <span>
#include <vector>

#include "agatepass/base/identifier.h"

namespace agatepass::relay {

/** A former member that may still run. */
struct DepartedHost {
  base::HostId host;
  /** Number of the view that it departed with; a host may come and go again. */
  uint64_t since = 0;

  bool operator==(const DepartedHost&) const = default;
};

/** The entry hosts that have shares. One value for each data centre, changed
 * by compare-and-swap on its number. */
struct ShareView {
  uint64_t number = 0;
  /** Sorted; each entry is one run of one entry host's process. */
  std::vector<base::HostId> members;
  /** Members of earlier views that are not yet known to have ended; one slot of
   * each upstream stays reserved for each of them. */
  std::vector<DepartedHost> departed;

  bool operator==(const ShareView&) const = default;
};

/** Returns the slots of `upstream` that `host` has under `view`.
 *
 * The sum over all hosts is at most `slots`. Hosts that have departed get one
 * each; the members divide the rest evenly, and the remainder goes to other
 * members at each upstream.
 */
int SlotsUnder(const ShareView& view, const base::HostId& host,
               const base::UpstreamId& upstream, int slots);

/** Returns the view that follows `current`: members that are not in `live`
 * depart, new ones of `live` join, and `ended` are forgotten. It is
 * `current` itself if nothing changes, or if `live` is not a majority of the
 * members that have not ended: the others might then still renew each other.
 *
 * \param ended hosts whose processes are known to run no more.
 */
ShareView NextView(const ShareView& current, std::span<const base::HostId> live,
                   std::span<const base::HostId> ended);

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_SHARE_VIEW_H_
