#include "agatepass/timeline/merge.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace agatepass::timeline {

namespace {

auto OrderOf(const Event& event) {
  return std::tie(event.time, event.host.value, event.sequence);
}

}  // namespace

bool Timeline::incomplete() const {
  return std::any_of(
      this->hosts.begin(), this->hosts.end(), [](const HostCoverage& host) {
        return !host.fault.empty() || host.dropped > 0 || host.omitted > 0;
      });
}

Timeline MergeTimeline(std::vector<HostEvents> hosts) {
  Timeline line;
  for (HostEvents& host : hosts) {
    line.hosts.push_back({.host = host.host,
                          .recorded = host.recorded,
                          .dropped = host.dropped,
                          .omitted = host.omitted,
                          .oldest = host.oldest,
                          .fault = std::move(host.fault)});
    std::move(host.events.begin(), host.events.end(),
              std::back_inserter(line.events));
  }
  std::sort(line.events.begin(), line.events.end(),
            [](const Event& left, const Event& right) {
              return OrderOf(left) < OrderOf(right);
            });
  const auto repeated = std::unique(line.events.begin(), line.events.end(),
                                    [](const Event& left, const Event& right) {
                                      return OrderOf(left) == OrderOf(right);
                                    });
  line.events.erase(repeated, line.events.end());
  std::sort(line.hosts.begin(), line.hosts.end(),
            [](const HostCoverage& left, const HostCoverage& right) {
              return left.host.value < right.host.value;
            });
  return line;
}

}  // namespace agatepass::timeline
