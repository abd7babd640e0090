/** \file
 * Growing delays between retries, with jitter that a seed determines.
 */
#ifndef AGATEPASS_JOBS_RETRY_DELAY_H_
#define AGATEPASS_JOBS_RETRY_DELAY_H_

#include <algorithm>
#include <cstdint>

#include "agatepass/base/time.h"

namespace agatepass::jobs {

/** Doubles a delay up to a limit; half of each delay is jitter, so that hosts
 * which failed together do not retry together.
 *
 * \code
 * RetryDelay delay(std::chrono::milliseconds(100), std::chrono::seconds(5), 7);
 * retry_at = now + delay.Next();
 * \endcode
 */
class RetryDelay {
 public:
  RetryDelay(base::Duration first, base::Duration longest, uint64_t seed)
      : first(first), longest(longest), current(first), state(seed) {}

  /** Returns the next delay. */
  base::Duration Next() {
    const base::Duration whole = this->current;
    this->current = std::min(this->longest, this->current * 2);
    const base::Duration half = whole / 2;
    if (half.count() == 0) return whole;
    return half + base::Duration(static_cast<int64_t>(
                      this->Draw() % static_cast<uint64_t>(half.count())));
  }

  /** Starts over after a success. */
  void Reset() { this->current = this->first; }

 private:
  /** One step of the SplitMix64 generator. */
  uint64_t Draw() {
    this->state += 0x9E3779B97F4A7C15U;
    uint64_t mixed = this->state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
    return mixed ^ (mixed >> 31U);
  }

  base::Duration first;
  base::Duration longest;
  base::Duration current;
  uint64_t state;
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_RETRY_DELAY_H_
