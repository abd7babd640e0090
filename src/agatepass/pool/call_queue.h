/** \file
 * Calls of other hosts that the planner has received and not handled yet.
 * Deterministic: time comes in as a parameter.
 */
#ifndef AGATEPASS_POOL_CALL_QUEUE_H_
#define AGATEPASS_POOL_CALL_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Keeps calls in the order of their arrival. A call that cannot be handled in
 * time is to be rejected when it arrives, and one that its host has given up is
 * not to be handled: its host has sent it again.
 *
 * \code
 * if (queue.MustReject(patience, now)) return Reject(call);
 * queue.Add(call, bytes, patience, now);
 * while (const auto taken = queue.Take(now)) {
 *   if (!taken->given_up) Handle(taken->call);
 * }
 * \endcode
 */
template <typename Call>
class CallQueue {
 public:
  /** Age of the oldest call from which further ones are rejected. */
  static constexpr base::Duration kMaxWait = std::chrono::milliseconds(150);
  /** Bound the memory that calls take. */
  static constexpr size_t kMaxCalls = 4000;
  static constexpr size_t kMaxBytes = size_t{16} * 1024 * 1024;

  /** Whether a call that arrives now is to be rejected, as it would be handled
   * too late.
   * \param patience time for which its host waits for the answer. */
  bool MustReject(base::Duration patience, base::Instant now) const {
    return this->IsFull() ||
           this->OldestAge(now) > std::min(kMaxWait, patience / 2);
  }

  /** Whether the calls that wait take all the memory that they may. */
  bool IsFull() const {
    return this->calls.size() >= kMaxCalls || this->bytes >= kMaxBytes;
  }

  /** Records that a call was rejected. */
  void OnRejected() { ++this->rejected_count; }

  /** \param call_bytes bytes that the call takes. */
  void Add(Call call, size_t call_bytes, base::Duration patience,
           base::Instant now) {
    this->calls.push_back({std::move(call), call_bytes, now, now + patience});
    this->bytes += call_bytes;
  }

  /** A call that was taken out. */
  struct Taken {
    Call call;
    /** Whether its host does not wait for the answer any more. */
    bool given_up = false;
    /** Time for which its host still waits for the answer. */
    base::Duration patience_left{0};
  };

  /** Takes out the oldest call; std::nullopt if none waits. */
  std::optional<Taken> Take(base::Instant now) {
    if (this->calls.empty()) return std::nullopt;
    Entry& oldest = this->calls.front();
    Taken taken{std::move(oldest.call), now >= oldest.given_up_at,
                std::max(oldest.given_up_at - now, base::Duration(0))};
    this->bytes -= oldest.bytes;
    this->calls.pop_front();
    if (taken.given_up) ++this->given_up_count;
    return taken;
  }

  size_t size() const { return this->calls.size(); }
  /** How long the oldest call has waited; zero if none waits. */
  base::Duration OldestAge(base::Instant now) const {
    if (this->calls.empty()) return base::Duration(0);
    return now - this->calls.front().arrived_at;
  }
  /** Calls so far that were rejected, and that their hosts had given up. */
  uint64_t rejected() const { return this->rejected_count; }
  uint64_t given_up() const { return this->given_up_count; }

 private:
  struct Entry {
    Call call;
    size_t bytes = 0;
    base::Instant arrived_at;
    base::Instant given_up_at;
  };

  std::deque<Entry> calls;
  size_t bytes = 0;
  uint64_t rejected_count = 0;
  uint64_t given_up_count = 0;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CALL_QUEUE_H_
