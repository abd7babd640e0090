/** \file
 * Claims on idempotency keys in the store: which job a caller's key stands for.
 */
#ifndef AGATEPASS_JOBS_KEY_CLAIMS_H_
#define AGATEPASS_JOBS_KEY_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/jobs/effects.h"
#include "agatepass/jobs/journal.h"
#include "agatepass/jobs/retry_delay.h"

namespace agatepass::jobs {

/** Returns the store key that holds the claim on `key` of `team`. */
std::string ClaimKey(const base::TeamId& team, std::string_view key);

/** The end of a claim. */
struct KeyClaimResult {
  /** The job that claimed. */
  base::JobId job;
  /** The job that holds the key: the same one if the claim was won. */
  base::JobId holder;
};

/** Claims and frees idempotency keys, a few at a time, until they are settled.
 *
 * A claim is one value, written once, that holds the job's id. Because a job is
 * journalled before it claims, a claim that is found always stands for a
 * journalled job.
 *
 * \code
 * claims.Claim(job, team, "order-17");
 * claims.Poll(now, calls);
 * if (auto result = claims.OnReply(call_id, reply, now)) { ... }
 * \endcode
 */
class KeyClaims {
 public:
  KeyClaims(base::Duration first_retry, base::Duration longest_retry,
            uint64_t seed, CallNumbers& numbers);

  /** Claims a key for a job that is journalled. */
  void Claim(const base::JobId& job, const base::TeamId& team,
             std::string_view key);

  /** Frees a key, if `job` holds it. */
  void Free(const base::JobId& job, const base::TeamId& team,
            std::string_view key);

  /** Appends the calls that are due to `calls`. */
  void Poll(base::Instant now, std::vector<NumberedStoreCall>& calls);

  /** Whether the call is one of these. */
  bool Owns(uint64_t call_id) const { return this->calls.contains(call_id); }

  /** Takes a reply. \return the end of a claim, if it has ended. */
  std::optional<KeyClaimResult> OnReply(uint64_t call_id,
                                        const platform::StoreReply& reply,
                                        base::Instant now);

  /** When Poll has something to do next. */
  std::optional<base::Instant> NextWake() const;

  /** Whether nothing is left to do. */
  bool idle() const { return this->queue.empty() && this->calls.empty(); }

 private:
  struct Item {
    base::JobId job;
    std::string key;
    bool free = false;
    /** Of a key to free: its revision, once read. */
    platform::Revision revision = 0;
  };

  void Retry(Item item, base::Instant now);

  CallNumbers& numbers;
  RetryDelay delay;
  std::deque<Item> queue;
  std::map<uint64_t, Item> calls;
  std::optional<base::Instant> retry_at;
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_KEY_CLAIMS_H_
