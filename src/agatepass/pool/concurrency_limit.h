/** \file
 * Limits how many calls of one kind are in flight, by how late their answers
 * are handled.
 *
 * What is sent beyond what the way there and back, or this process, can handle
 * only waits: behind it wait the calls that finish work and keep leases.
 */
#ifndef AGATEPASS_POOL_CONCURRENCY_LIMIT_H_
#define AGATEPASS_POOL_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Whose calls a limit counts. */
enum class Lane : uint8_t {
  /** Calls for urgent work, which need no place that other calls hold. */
  kUrgent,
  /** All others: they need one of the places that urgent calls leave. */
  kOther,
};

/** Bounds of one limit. */
struct ConcurrencyBounds {
  double min = 8;
  double initial = 16;
  double max = 2048;
  /** Delay from which an answer counts as late. */
  base::Duration max_delay = std::chrono::milliseconds(100);
};

/** Adaptive limit: falls by a share while most answers are late, and grows
 * while they are in time and it is in use; fast until the first fall.
 *
 * Urgent calls are limited by the number of urgent ones, others by the number
 * of all.
 *
 * \code
 * ConcurrencyLimit limit;
 * if (limit.HasRoom(lane)) { Send(call); limit.OnSent(lane); }
 * limit.OnDone(lane, delay, now);  // For each answer, also a missing one.
 * \endcode
 */
class ConcurrencyLimit {
 public:
  ConcurrencyLimit() : ConcurrencyLimit(ConcurrencyBounds{}) {}
  explicit ConcurrencyLimit(const ConcurrencyBounds& bounds)
      : bounds(bounds),
        allowed(bounds.initial),
        fast_growth_until(bounds.max) {}

  /** Whether another call may be sent. */
  bool HasRoom(Lane lane) const {
    const size_t counted =
        lane == Lane::kUrgent ? this->InFlight(lane) : this->in_flight();
    return static_cast<double>(counted) < this->allowed;
  }

  /** Records that a call is sent. */
  void OnSent(Lane lane) { ++this->sent[static_cast<size_t>(lane)]; }

  /** Records that a call has ended.
   * \param delay how late it ended: by that much less it would have been in
   *     time.
   * \param now current time. */
  void OnDone(Lane lane, base::Duration delay, base::Instant now) {
    const bool in_use =
        2 * static_cast<double>(this->in_flight()) >= this->allowed;
    this->OnForgotten(lane);
    ++this->answers;
    if (delay > this->bounds.max_delay) ++this->late_answers;
    if (in_use && delay <= this->bounds.max_delay) this->Grow();
    if (now < this->period_end || this->answers < kMinAnswers) return;
    // A minority of silent receivers says nothing of the others.
    if (2 * this->late_answers > this->answers) this->Shrink();
    this->period_end = now + kPeriod;
    this->answers = 0;
    this->late_answers = 0;
  }

  /** Records that a call does not count any more, whose answer will tell
   * nothing of delays. */
  void OnForgotten(Lane lane) {
    size_t& count = this->sent[static_cast<size_t>(lane)];
    if (count > 0) --count;
  }

  /** Calls in flight now. */
  size_t in_flight() const {
    return this->InFlight(Lane::kUrgent) + this->InFlight(Lane::kOther);
  }

  /** Calls of one lane in flight now. */
  size_t InFlight(Lane lane) const {
    return this->sent[static_cast<size_t>(lane)];
  }

  /** Calls that may be in flight now. */
  double limit() const { return this->allowed; }

 private:
  /** Time over which answers are counted before the limit falls. */
  static constexpr base::Duration kPeriod = std::chrono::milliseconds(100);

  /** Answers of which the majority counts. */
  static constexpr size_t kMinAnswers = 8;

  /** Part of the limit that is left after a fall. */
  static constexpr double kRemainder = 0.7;

  void Grow() {
    const double step =
        this->allowed < this->fast_growth_until ? 1 : 1 / this->allowed;
    this->allowed = std::min(this->bounds.max, this->allowed + step);
  }

  void Shrink() {
    this->allowed = std::max(this->bounds.min, this->allowed * kRemainder);
    this->fast_growth_until = this->allowed;
  }

  ConcurrencyBounds bounds;
  double allowed;
  /** Up to this limit each answer in time allows one call more. */
  double fast_growth_until;
  std::array<size_t, 2> sent{};
  base::Instant period_end;
  size_t answers = 0;
  size_t late_answers = 0;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CONCURRENCY_LIMIT_H_
