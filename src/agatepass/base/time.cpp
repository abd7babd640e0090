#include "agatepass/base/time.h"

namespace agatepass::base {

MonotonicClock::time_point MonotonicClock::now() noexcept {
  const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<Duration>(since_epoch));
}

WallTime ReadWallClock() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return WallTime{std::chrono::duration_cast<Duration>(since_epoch).count()};
}

}  // namespace agatepass::base
