#include "agatepass/timeline/hybrid_clock.h"

namespace agatepass::timeline {

HybridTime HybridClock::Tick(base::WallTime now) {
  if (now.microseconds > this->last.wall_microseconds) {
    this->last = HybridTime{.wall_microseconds = now.microseconds};
  } else {
    ++this->last.counter;
  }
  return this->last;
}

HybridTime HybridClock::Observe(HybridTime received, base::WallTime now) {
  if (received.wall_microseconds > now.microseconds + kMaxLead.count()) {
    ++this->ignored_count;
  } else if (received > this->last) {
    this->last = received;
  }
  return this->Tick(now);
}

}  // namespace agatepass::timeline
