#include "agatepass/placement/decision.h"

#include <array>
#include <cstddef>

namespace agatepass::placement {

std::string_view DecisionKindName(DecisionKind kind) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "place", "checkpoint", "stop", "throttle", "delay", "refuse"};
  return kNames[static_cast<size_t>(kind)];
}

}  // namespace agatepass::placement
