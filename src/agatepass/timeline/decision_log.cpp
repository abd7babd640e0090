#include "agatepass/timeline/decision_log.h"

namespace agatepass::timeline {

std::string DecisionLog::Take(base::Instant now) {
  if (this->dropped > 0) {
    this->Begin(now, "log lines dropped");
    fmt::format_to(std::back_inserter(this->lines), "count={}\n",
                   std::exchange(this->dropped, 0));
  }
  return std::exchange(this->lines, std::string());
}

void DecisionLog::Begin(base::Instant now, std::string_view event) {
  fmt::format_to(
      std::back_inserter(this->lines), "mono_ms={} host={} event=\"{}\" ",
      base::ToMilliseconds(now.time_since_epoch()), this->host, event);
}

}  // namespace agatepass::timeline
