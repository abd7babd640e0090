#include "agatepass/base/loop_lag_meter.h"

#include <algorithm>

namespace agatepass::base {

namespace {

/** Time between two probes. */
constexpr Duration kProbePeriod = std::chrono::milliseconds(25);

/** Part of the estimate that is left after a probe without any lag. */
constexpr double kRemainder = 0.9;

}  // namespace

void LagEstimate::OnProbe(Duration lag) {
  const auto decayed =
      std::chrono::duration_cast<Duration>(this->estimate * kRemainder);
  this->estimate = std::max(lag, decayed);
}

LoopLagMeter::LoopLagMeter(EventLoop& loop, EventPriority priority)
    : loop(loop) {
  this->probe = std::make_unique<LoopEvent>(loop, -1, 0, [this] {
    if (!this->probe_due_at) return;
    this->estimate.OnProbe(this->loop.Now() - *this->probe_due_at);
    this->probe_due_at.reset();
  });
  this->probe->SetPriority(priority);
  this->timer = loop.Every(
      kProbePeriod, [this] { this->Probe(); }, EventPriority::kControl);
}

void LoopLagMeter::Probe() {
  if (this->probe_due_at) return;
  this->probe_due_at = this->loop.Now();
  this->probe->Arm(Duration(0));
}

Duration LoopLagMeter::lag() const {
  if (!this->probe_due_at) return this->estimate.value();
  return std::max(this->estimate.value(),
                  this->loop.Now() - *this->probe_due_at);
}

}  // namespace agatepass::base
