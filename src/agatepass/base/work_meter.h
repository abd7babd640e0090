/** \file
 * Measures what an event loop spends its time on, and for how long it waits.
 */
#ifndef AGATEPASS_BASE_WORK_METER_H_
#define AGATEPASS_BASE_WORK_METER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "agatepass/base/time.h"

namespace agatepass::base {

/** Kinds of a loop's work. */
enum class WorkKind : uint8_t {
  /** Waiting while nothing is due. */
  kWaiting,
  /** Reading answers from sockets. */
  kReading,
  /** Decoding and handling answers of workers. */
  kWorkerAnswers,
  /** The same for answers of the advice service. */
  kAdvice,
  /** The same for answers of the store. */
  kStore,
  /** Calls of peers and callers. */
  kCalls,
  /** Decisions on all that has changed. */
  kDeciding,
  /** Encoding and sending requests. */
  kSending,
  /** Writing the log. */
  kLogging,
  /** All else, such as the event library's own work. */
  kOther,
};

/** Number of values of WorkKind. */
inline constexpr size_t kWorkKinds = static_cast<size_t>(WorkKind::kOther) + 1;

/** Returns the name of a kind of work, for logs. */
constexpr std::string_view WorkKindName(WorkKind kind) {
  constexpr std::array<std::string_view, kWorkKinds> kNames = {
      "waiting", "reading",  "workers", "advice",  "store",
      "calls",   "deciding", "sending", "logging", "other"};
  return kNames[static_cast<size_t>(kind)];
}

/** Sums up the time by kind of work, so that all kinds together give the time
 * that has passed. Deterministic: time comes in as a parameter.
 *
 * \code
 * {
 *   WorkScope scope(meter, WorkKind::kSending, clock);
 *   Send();
 * }
 * \endcode
 */
class WorkMeter {
 public:
  /** Records that the loop waits from now on. */
  void OnWait(Instant now) { this->Switch(WorkKind::kWaiting, now); }

  /** Records that the loop handles an event, which ends its waiting. */
  void OnEvent(Instant now) {
    if (this->current == WorkKind::kWaiting) {
      this->Switch(WorkKind::kOther, now);
    }
  }

  /** Counts the time from now on as `kind`.
   * \return the kind before. */
  WorkKind Switch(WorkKind kind, Instant now) {
    if (this->since.time_since_epoch().count() != 0) {
      this->times[static_cast<size_t>(this->current)] += now - this->since;
    }
    this->since = now;
    const WorkKind before = this->current;
    this->current = kind;
    return before;
  }

  /** Time spent on a kind of work so far. */
  Duration Total(WorkKind kind) const {
    return this->times[static_cast<size_t>(kind)];
  }

 private:
  std::array<Duration, kWorkKinds> times{};
  WorkKind current = WorkKind::kOther;
  Instant since;
};

/** Counts the time of a block as one kind of work; blocks may be nested. */
class WorkScope {
 public:
  WorkScope(WorkMeter& meter, WorkKind kind) : meter(meter) {
    const Instant now = MonotonicClock::now();
    meter.OnEvent(now);
    this->before = meter.Switch(kind, now);
  }
  ~WorkScope() { this->meter.Switch(this->before, MonotonicClock::now()); }
  WorkScope(const WorkScope&) = delete;
  WorkScope& operator=(const WorkScope&) = delete;

 private:
  WorkMeter& meter;
  WorkKind before = WorkKind::kOther;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_WORK_METER_H_
