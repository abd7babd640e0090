/** \file
 * Availability of the store for commits, judged by the outcomes of the latest
 * ones.
 *
 * Handles outages: once several commits in a row have failed, new jobs are
 * rejected immediately instead of adding to those whose outcome is unknown, and
 * one commit at a time probes whether the store is available again.
 */
#ifndef AGATEPASS_POOL_STORE_HEALTH_H_
#define AGATEPASS_POOL_STORE_HEALTH_H_

#include <algorithm>
#include <cstdint>

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Tracks the outcomes of commits. */
class StoreHealth {
 public:
  /** Consecutive failures from which on the store counts as down; single
   * answers are lost even while the store is healthy. */
  static constexpr uint32_t kOutageFailures = 3;

  /** Consecutive failures, and the time since the first of them, after which
   * another host may reach the store better. */
  static constexpr uint32_t kMinFailuresWhileFailing = 2;
  static constexpr base::Duration kMinFailingTime =
      std::chrono::milliseconds(350);

  /** Bounds of the delay that RetryAfter returns. */
  static constexpr base::Duration kMinRetryDelay = std::chrono::seconds(1);
  static constexpr base::Duration kMaxRetryDelay = std::chrono::seconds(4);

  /** Records that the store answered a commit, whatever the result. */
  void OnAnswer() { this->consecutive_failures = 0; }

  /** Records that a commit was not sent or not answered. */
  void OnFailure(base::Instant now) {
    if (this->consecutive_failures == 0) this->failing_since = now;
    ++this->consecutive_failures;
  }

  /** Whether the store is down: new jobs could not be stored. */
  bool IsDown() const { return this->consecutive_failures >= kOutageFailures; }

  /** Whether commits have been failing for a while, perhaps only from this
   * host. A store that only loses some answers still answers other commits in
   * between. */
  bool IsFailing(base::Instant now) const {
    return this->consecutive_failures >= kMinFailuresWhileFailing &&
           now - this->failing_since >= kMinFailingTime;
  }

  /** Returns the time after which a caller may retry: an outage is expected to
   * last as long again as it has lasted so far. */
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
