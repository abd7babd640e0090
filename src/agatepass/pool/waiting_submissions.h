/** \file
 * Submissions that wait in the planner while the store does not answer.
 * Deterministic: time comes in as a parameter.
 *
 * Handles outages of the store that are shorter than the time that callers
 * leave: a caller that is rejected instead retries at once and uses up its
 * tries before the store is back. Nothing that waits is written or started, so
 * that it can still be rejected as not run.
 */
#ifndef AGATEPASS_POOL_WAITING_SUBMISSIONS_H_
#define AGATEPASS_POOL_WAITING_SUBMISSIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** A call that submits a job. */
struct SubmitCall {
  CallId call = 0;
  /** When its host stops waiting for the answer. */
  base::Instant given_up_at;
};

/** A job that waits, with the calls that submitted it, the first one first. */
struct WaitingSubmission {
  Job job;
  /** Priority of its queue; 0 is the highest. */
  uint32_t priority = 0;
  std::vector<SubmitCall> calls;
  /** When it began to wait. */
  base::Instant since;
  /** Memory that it takes, estimated. */
  size_t bytes = 0;
};

/** Keeps submissions in the order of their queues' priority, then of the time
 * at which the last of their callers gives up. Bounded in calls and bytes.
 *
 * \code
 * if (!waiting.Fits(bytes)) return Reject(job);
 * waiting.Add({.job = job, .calls = {call}, .bytes = bytes});
 * for (auto& late : waiting.TakeExpired(now).dropped) Reject(late.job);
 * while (auto next = waiting.TakeFirst()) Accept(next->job);
 * \endcode
 */
class WaitingSubmissions {
 public:
  /** Bound the calls and the memory that they take: about three seconds of the
   * highest rate of submissions that hosts are made for. */
  static constexpr size_t kMaxCalls = 2000;
  static constexpr size_t kMaxBytes = size_t{16} * 1024 * 1024;

  /** Part of a caller's time that is left for the commit once the store is
   * back, and for the answer's way to the host. */
  static constexpr base::Duration kAnswerMargin =
      std::chrono::milliseconds(200);

  /** Minimum time for which a call waits: the store is probed at this interval,
   * so that its return cannot be noticed earlier. */
  static constexpr base::Duration kMinWait = std::chrono::milliseconds(100);

  /** Whether a call leaves enough time to wait. */
  static bool LeavesTime(const SubmitCall& call, base::Instant now) {
    return call.given_up_at - now >= kAnswerMargin + kMinWait;
  }

  /** Whether there is room for a job with this number of calls. */
  bool Fits(size_t job_bytes, size_t job_calls) const {
    return this->call_count + job_calls <= kMaxCalls &&
           this->bytes + job_bytes <= kMaxBytes;
  }

  bool Contains(const base::JobId& id) const { return this->jobs.contains(id); }

  /** Adds a job that is not contained, with at least one call. */
  void Add(WaitingSubmission submission);

  /** Adds a call to a job that is contained.
   * \return whether there was room for the call. */
  bool Join(const base::JobId& id, const SubmitCall& call);

  /** What cannot wait any longer. */
  struct Expired {
    /** Jobs of which no call can wait longer. */
    std::vector<WaitingSubmission> dropped;
    /** Calls of jobs that wait on for another call. */
    std::vector<CallId> left_early;
  };

  /** Removes the calls of which only kAnswerMargin is left. */
  Expired TakeExpired(base::Instant now);

  /** Removes the first job in the order; std::nullopt if none waits. */
  std::optional<WaitingSubmission> TakeFirst();

  /** Removes a job; std::nullopt if it does not wait. */
  std::optional<WaitingSubmission> Take(const base::JobId& id);

  bool empty() const { return this->jobs.empty(); }
  /** Number of jobs, calls and estimated bytes that wait. */
  size_t size() const { return this->jobs.size(); }
  size_t calls() const { return this->call_count; }
  size_t held_bytes() const { return this->bytes; }

 private:
  using OrderKey = std::tuple<uint32_t, base::Instant, base::JobId>;

  /** Returns the position of a job in the order. */
  static OrderKey KeyOf(const WaitingSubmission& submission);

  std::map<base::JobId, WaitingSubmission> jobs;
  std::set<OrderKey> order;
  size_t call_count = 0;
  size_t bytes = 0;
  /** No call expires before this time. */
  base::Instant next_expiry = base::Instant::max();
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_WAITING_SUBMISSIONS_H_
