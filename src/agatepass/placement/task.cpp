#include "agatepass/placement/task.h"

#include <array>

namespace agatepass::placement {
namespace {

constexpr std::array<std::string_view, 3> kKindNames = {"service", "batch",
                                                        "gang"};
constexpr std::array<std::string_view, kPriorityCount> kPriorityNames = {
    "bulk", "ordinary", "interactive", "urgent"};

/** Returns the enumerator whose name in `names` is `name`. */
template <typename Enum, size_t count>
std::optional<Enum> FindName(const std::array<std::string_view, count>& names,
                             std::string_view name) {
  for (size_t i = 0; i < count; ++i) {
    if (names[i] == name) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

}  // namespace

std::string_view WorkloadKindName(WorkloadKind kind) {
  return kKindNames[static_cast<size_t>(kind)];
}

std::string_view PriorityName(Priority priority) {
  return kPriorityNames[static_cast<size_t>(priority)];
}

std::optional<WorkloadKind> ParseWorkloadKind(std::string_view name) {
  return FindName<WorkloadKind>(kKindNames, name);
}

std::optional<Priority> ParsePriority(std::string_view name) {
  return FindName<Priority>(kPriorityNames, name);
}

}  // namespace agatepass::placement
