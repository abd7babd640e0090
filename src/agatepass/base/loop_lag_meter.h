/** \file
 * Measures how late an event loop runs the events of one priority, because more
 * are due than the processor can handle.
 */
#ifndef AGATEPASS_BASE_LOOP_LAG_METER_H_
#define AGATEPASS_BASE_LOOP_LAG_METER_H_

#include <memory>
#include <optional>

#include "agatepass/base/event_loop.h"
#include "agatepass/base/time.h"

namespace agatepass::base {

/** Estimates the present lag from probes: rises with each late one, and falls
 * by a share with each that is less late. */
class LagEstimate {
 public:
  /** Records that a probe waited for `lag`. */
  void OnProbe(Duration lag);

  /** The present estimate. */
  Duration value() const { return this->estimate; }

 private:
  Duration estimate{0};
};

/** Probes one loop all the time. The time limits of calls should allow for the
 * lag: an answer may have arrived and wait to be handled.
 *
 * \code
 * LoopLagMeter meter(loop);
 * client.Send(endpoint, request, timeout + meter.lag(), callback);
 * \endcode
 */
class LoopLagMeter {
 public:
  /** \param priority priority of the events whose lag is measured. */
  explicit LoopLagMeter(EventLoop& loop,
                        EventPriority priority = EventPriority::kBulk);

  /** How long an event that is due now is likely to wait. */
  Duration lag() const;

 private:
  void Probe();

  EventLoop& loop;
  LagEstimate estimate;
  /** When the probe that has not run yet was due. */
  std::optional<Instant> probe_due_at;
  std::unique_ptr<LoopEvent> probe;
  std::unique_ptr<LoopEvent> timer;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_LOOP_LAG_METER_H_
