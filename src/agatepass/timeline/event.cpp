#include "agatepass/timeline/event.h"

#include <algorithm>
#include <array>

namespace agatepass::timeline {

namespace {

// In the order of EventKind.
constexpr std::array<std::string_view, kEventKindCount> kNames = {
    "accepted",      "journalled",     "refused",      "decided",
    "delayed",       "reserved",       "released",     "started",
    "ended",         "acknowledged",   "cancelled",    "in doubt",
    "settled",       "requested",      "retried",      "answered",
    "lease granted", "lease lost",     "handed over",  "adopted",
    "peer seen",     "peer suspected", "peer lost",    "config applied",
    "preset used",   "fault seen",     "host started", "host stopping"};
static_assert(!kNames.back().empty());

}  // namespace

std::string_view EventKindName(EventKind kind) {
  const auto index = static_cast<size_t>(kind);
  return index < kNames.size() ? kNames[index] : "unknown";
}

std::optional<EventKind> ParseEventKind(std::string_view name) {
  const auto* found = std::find(kNames.begin(), kNames.end(), name);
  if (found == kNames.end()) return std::nullopt;
  return static_cast<EventKind>(found - kNames.begin());
}

}  // namespace agatepass::timeline
