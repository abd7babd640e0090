/** \file
 * Whether the store takes commits, from how the latest ones ended.
 *
 * Answers outages: once several commits in a row were not taken, new jobs are
 * rejected at once instead of adding to those whose fate is unknown, and one
 * commit at a time finds out when the store is back.
 */
#ifndef AGATEPASS_POOL_STORE_HEALTH_H_
#define AGATEPASS_POOL_STORE_HEALTH_H_

#include <algorithm>
#include <cstdint>

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Follows the outcomes of commits. */
class StoreHealth {
 public:
  /** Failures in a row that make an outage; single answers get lost while the
   * store is well. */
  static constexpr uint32_t kOutageFailures = 3;

  /** Failures in a row after which another host may do better. */
  static constexpr uint32_t kMinFailuresWhileFailing = 2;
  static constexpr base::Duration kMinFailingTime =
      std::chrono::milliseconds(350);

  static constexpr base::Duration kMinRetryDelay = std::chrono::seconds(1);
  static constexpr base::Duration kMaxRetryDelay = std::chrono::seconds(4);

  /** The store answered a commit, whatever it said. */
  void OnAnswer() { this->consecutive_failures = 0; }

  /** The store did not take a commit, or did not answer. */
  void OnFailure(base::Instant now) {
    if (this->consecutive_failures == 0) this->failing_since = now;
    ++this->consecutive_failures;
  }

  /** Whether new jobs would not be stored. */
  bool IsDown() const { return this->consecutive_failures >= kOutageFailures; }

  /** Whether commits have failed for a while, perhaps only from this host. A
   * store that loses some answers takes others meanwhile. */
  bool IsFailing(base::Instant now) const {
    return this->consecutive_failures >= kMinFailuresWhileFailing &&
           now - this->failing_since >= kMinFailingTime;
  }

  /** When a caller may come back: an outage is taken to last as long again as
   * it has lasted. */
  base::Duration RetryAfter(base::Instant now) const {
    if (this->consecutive_failures == 0) return kMinRetryDelay;
    return std::clamp<base::Duration>(now - this->failing_since, kMinRetryDelay,
                                      kMaxRetryDelay);
  }

 private:
  uint32_t consecutive_failures = 0;
  base::Instant failing_since;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_STORE_HEALTH_H_
