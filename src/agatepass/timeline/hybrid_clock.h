/** \file
 * A hybrid logical clock: wall time that never runs backwards and that orders a
 * message's receipt after its sending.
 */
#ifndef AGATEPASS_TIMELINE_HYBRID_CLOCK_H_
#define AGATEPASS_TIMELINE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>

#include "agatepass/base/time.h"

namespace agatepass::timeline {

/** A point in hybrid logical time; comparable between hosts. */
struct HybridTime {
  /** Microseconds since the Unix epoch, at least the wall time when taken. */
  int64_t wall_microseconds = 0;
  /** Orders events that share the microsecond. */
  uint32_t counter = 0;

  // clang-tidy mistakes the 0 of rewritten comparisons for a null pointer.
  auto operator<=>(const HybridTime&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/** Hands out rising hybrid times. The wall time is passed in, never read.
 *
 * \code
 * HybridClock clock;
 * message.time = clock.Tick(wall_now);             // on sending
 * clock.Observe(message.time, wall_now);           // on receipt
 * \endcode
 */
class HybridClock {
 public:
  /** Greatest lead of a received time over the local wall clock that is
   * followed. */
  static constexpr base::Duration kMaxLead = std::chrono::minutes(5);

  /** Returns a time above all earlier ones of this clock. */
  HybridTime Tick(base::WallTime now);

  /** Moves the clock past `received`, the time that a message carries.
   *
   * A time that leads the wall clock by more than kMaxLead is ignored and
   * counted: one host with a wrong clock must not drag the others along.
   * \return the time of the receipt.
   */
  HybridTime Observe(HybridTime received, base::WallTime now);

  /** Received times that were ignored because of their lead. */
  uint64_t ignored() const { return this->ignored_count; }

 private:
  HybridTime last;
  uint64_t ignored_count = 0;
};

}  // namespace agatepass::timeline

#endif  // AGATEPASS_TIMELINE_HYBRID_CLOCK_H_
