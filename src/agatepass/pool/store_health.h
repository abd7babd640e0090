/** \file
 * Availability of the store for commits, judged by the outcomes of the latest
 * ones.
 *
 * Handles outages: once several commits in a row have failed, new jobs wait in
 * the planner instead of adding to those whose outcome is unknown, and commits
 * at a fixed interval probe whether the store is available again.
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

  /** Part of the length of an outage so far that a caller waits: the end of an
   * outage is not known, and a caller misses it by no more than this. */
  static constexpr int kRetryDelayDivisor = 4;

  /** Time within which the order of two commits says nothing: they may overtake
   * each other on the way. */
  static constexpr base::Duration kReorderTime = std::chrono::milliseconds(50);

  /** Records that the store answered a commit, whatever the result.
   * \param sent_at when the commit was sent. */
  void OnAnswer(base::Instant sent_at) {
    this->consecutive_failures = 0;
    this->latest_answered = std::max(this->latest_answered, sent_at);
  }

  /** Records that a commit was not sent or not answered. It says nothing if one
   * that was sent later has been answered: commits of an outage time out after
   * its end.
   * \param sent_at when the commit was sent.
   * \return whether it counts as a failure. */
  bool OnFailure(base::Instant sent_at, base::Instant now) {
    if (sent_at + kReorderTime < this->latest_answered) return false;
    if (this->consecutive_failures == 0) this->failing_since = now;
    ++this->consecutive_failures;
    return true;
  }

  /** Whether the latest commit whose outcome is known was answered. */
  bool IsAnswering() const { return this->consecutive_failures == 0; }

  /** Whether the store is down: new jobs could not be stored. */
  bool IsDown() const { return this->consecutive_failures >= kOutageFailures; }

  /** Whether commits have been failing for a while, perhaps only from this
   * host. A store that only loses some answers still answers other commits in
   * between. */
  bool IsFailing(base::Instant now) const {
    return this->consecutive_failures >= kMinFailuresWhileFailing &&
           now - this->failing_since >= kMinFailingTime;
  }

  /** Returns how long commits have been failing. */
  base::Duration FailingTime(base::Instant now) const {
    return this->IsAnswering() ? base::Duration(0) : now - this->failing_since;
  }

  /** Returns the time after which a caller may retry: short while the outage is
   * young. */
  base::Duration RetryAfter(base::Instant now) const {
    return std::clamp<base::Duration>(
        this->FailingTime(now) / kRetryDelayDivisor, kMinRetryDelay,
        kMaxRetryDelay);
  }

 private:
  /** When the latest of the answered commits was sent. */
  base::Instant latest_answered;
  uint32_t consecutive_failures = 0;
  base::Instant failing_since;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_STORE_HEALTH_H_
