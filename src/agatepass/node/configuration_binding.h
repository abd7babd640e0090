/** \file
 * The operators' configuration in the terms of placement and relay.
 */
#ifndef AGATEPASS_NODE_CONFIGURATION_BINDING_H_
#define AGATEPASS_NODE_CONFIGURATION_BINDING_H_

#include <cstdint>
#include <vector>

#include "agatepass/config/configuration.h"
#include "agatepass/placement/policy.h"
#include "agatepass/platform/store.h"
#include "agatepass/relay/upstream.h"

namespace agatepass::node {

/** Marks numbers of store calls that belong to the configuration. */
inline constexpr uint64_t kConfigCallBit = uint64_t{1} << 63U;

/** Returns the policy of the preset in force. */
placement::Policy MakePolicy(const config::Configuration& configuration,
                             platform::Revision revision);

/** Returns the rules of all services. */
std::vector<relay::ServiceRule> MakeServiceRules(
    const config::Configuration& configuration);

}  // namespace agatepass::node

#endif  // AGATEPASS_NODE_CONFIGURATION_BINDING_H_
