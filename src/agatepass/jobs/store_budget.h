/** \file
 * The budget of store calls of one entry host: so many a second, urgent ones
 * first.
 */
#ifndef AGATEPASS_JOBS_STORE_BUDGET_H_
#define AGATEPASS_JOBS_STORE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/jobs/effects.h"
#include "agatepass/jobs/retry_delay.h"
#include "agatepass/platform/store.h"

namespace agatepass::jobs {

/** Settings of a StoreBudget. */
struct StoreBudgetOptions {
  /** Calls a second in the long run; a waiting watch counts as one when it is
   * sent. */
  double calls_per_second = 60;
  /** Calls that may leave at once after a quiet time. */
  double burst = 60;
  /** Part of the burst that only urgent calls may use. */
  double urgent_reserve = 10;
  /** Calls that wait at most; the newest of the least urgent ones gives way. */
  size_t queue_limit = 2000;
  base::Duration first_pause = std::chrono::milliseconds(100);
  base::Duration longest_pause = std::chrono::seconds(2);
};

/** Holds store calls back until the budget allows them.
 *
 * After a call without an answer, all but urgent calls pause for a growing time
 * with jitter, so that a store that comes back is not met by a stampede.
 *
 * \code
 * auto dropped = budget.Add(call);
 * for (NumberedStoreCall& call : budget.TakeDue(now)) { client.Call(...); }
 * \endcode
 */
class StoreBudget {
 public:
  StoreBudget(const StoreBudgetOptions& options, uint64_t seed);

  /** Queues a call.
   * \return a call that gave way to it, or itself, if the queue is full; it is
   * to be answered as kNotSent.
   */
  std::optional<NumberedStoreCall> Add(NumberedStoreCall call);

  /** Returns the calls that may be sent now, the most urgent ones first. */
  std::vector<NumberedStoreCall> TakeDue(base::Instant now);

  /** Takes note of how a call ended. */
  void OnOutcome(platform::Outcome outcome, base::Instant now);

  /** When TakeDue has something to return next; nothing if no call waits. */
  std::optional<base::Instant> NextWake(base::Instant now) const;

  /** How many calls wait. */
  size_t waiting() const;

 private:
  static constexpr size_t kClasses = 3;

  void Refill(base::Instant now);

  StoreBudgetOptions options;
  RetryDelay delay;
  double tokens;
  std::optional<base::Instant> refilled;
  base::Instant paused_until;
  /** One queue for each platform::CallClass. */
  std::array<std::deque<NumberedStoreCall>, kClasses> queues;
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_STORE_BUDGET_H_
