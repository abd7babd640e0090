/** \file
 * A team: whose API keys are accepted, and what its jobs may use.
 */
#ifndef AGATEPASS_POOL_TEAM_H_
#define AGATEPASS_POOL_TEAM_H_

#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/platform/resources.h"

namespace agatepass::pool {

/** A team as the operators' configuration describes it. */
struct Team {
  base::TeamId id;
  /** Keys that authenticate the team's calls. Secret: they must not be logged.
   */
  std::vector<std::string> api_keys;
  /** Jobs a second that the team is entitled to while all capacity is in use.
   */
  double weight = 0;
  /** What the team's runs may ask for together; 0 of a resource is no limit. */
  platform::Resources cap;

  bool operator==(const Team&) const = default;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_TEAM_H_
