/** \file
 * Rendezvous hashing: which of several hosts should hold an item, agreed on
 * without messages by all that see the same hosts.
 */
#ifndef AGATEPASS_MEMBERSHIP_RENDEZVOUS_H_
#define AGATEPASS_MEMBERSHIP_RENDEZVOUS_H_

#include <span>
#include <string_view>
#include <vector>

#include "agatepass/base/identifier.h"

namespace agatepass::membership {

/** Returns the host in `hosts` with the highest hash for `item`; an empty id
 * if there are none. A host that leaves moves only the items that it held.
 *
 * \code
 * base::HostId owner = ChooseByRendezvous("uus-a-w17", live_hosts);
 * \endcode
 */
base::HostId ChooseByRendezvous(std::string_view item,
                                std::span<const base::HostId> hosts);

/** Returns, for each of `items`, the host that should hold it. Every host gets
 * its even share, and some one more, so that few items are spread evenly too.
 * All that see the same items and hosts get the same result.
 */
std::vector<base::HostId> SpreadByRendezvous(
    std::span<const std::string_view> items,
    std::span<const base::HostId> hosts);

}  // namespace agatepass::membership

#endif  // AGATEPASS_MEMBERSHIP_RENDEZVOUS_H_
