/** \file
 * Time as the decision code sees it: values that are passed in, never read from
 * a clock.
 */
#ifndef AGATEPASS_BASE_TIME_H_
#define AGATEPASS_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace agatepass::base {

/** A span of time in microseconds. */
using Duration = std::chrono::microseconds;

/** Tag of the process's own monotonic clock; its epoch has no meaning outside
 * the process. */
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;

  /** Reads the clock. Only event loops and programs call this; decisions get
   * the time as a value. */
  static time_point now() noexcept;
};

/** A point on the monotonic clock of one process.
 *
 * \code
 * Instant lapse = now + std::chrono::seconds(3);
 * if (now >= lapse) { ... }
 * \endcode
 */
using Instant = MonotonicClock::time_point;

/** Microseconds since the Unix epoch, for records that people read. */
struct WallTime {
  int64_t microseconds = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const WallTime&) const = default;
};

/** Reads the wall clock. */
WallTime ReadWallClock();

/** Returns `duration` in whole milliseconds, rounded towards zero. */
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/** Returns `duration` in seconds. */
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_TIME_H_
