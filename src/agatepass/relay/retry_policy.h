/** \file
 * When a request that got no answer may be sent once more.
 */
#ifndef AGATEPASS_RELAY_RETRY_POLICY_H_
#define AGATEPASS_RELAY_RETRY_POLICY_H_

#include "agatepass/base/result_code.h"
#include "agatepass/base/time.h"

namespace agatepass::relay {

/** How one attempt at an upstream ended. */
enum class AttemptEnd : uint8_t {
  /** A whole answer arrived. */
  kAnswered,
  /** Nothing of the request left this process, or the upstream said that it did
   * not run it. */
  kNotRun,
  /** It may have run, and there is no whole answer. */
  kUnknown,
};

/** Retries as a share of the successes, so that an outage is not multiplied. */
class RetryBudget {
 public:
  /** \param share retries earned by each success. */
  explicit RetryBudget(double share) : share(share) {}

  /** Takes a new share; what was earned stays. */
  void SetShare(double new_share) { this->share = new_share; }

  /** Earns a part of a retry. */
  void OnSuccess();

  /** Spends one retry; false if there is none. */
  bool TrySpend();

 private:
  double share;
  double earned = kInitialRetries;

  static constexpr double kInitialRetries = 3;
  static constexpr double kMostRetries = 50;
};

/** What is known of a request when an attempt has failed. */
struct FailedAttempt {
  AttemptEnd end = AttemptEnd::kUnknown;
  bool idempotent = false;
  int attempts = 0;
  base::Instant deadline;
};

/** Whether the request may go to another upstream. Spends from `budget` only
 * if it may.
 *
 * \param needed time that a further attempt is expected to take.
 */
bool MayRetry(const FailedAttempt& attempt, base::Instant now,
              base::Duration needed, RetryBudget* budget);

/** The result of a request that is not tried again: unknown if any attempt may
 * have run. */
base::ResultCode FinalCode(AttemptEnd last, bool any_may_have_run);

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_RETRY_POLICY_H_
