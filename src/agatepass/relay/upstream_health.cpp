#include "agatepass/relay/upstream_health.h"

#include <algorithm>

namespace agatepass::relay {

namespace {

constexpr int kFailuresToEject = 3;
constexpr base::Duration kFirstEjection = std::chrono::seconds(1);
constexpr base::Duration kLongestEjection = std::chrono::seconds(16);
// Each answer moves the average by 1/8 of the difference.
constexpr int kAverageDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr double kLeastWeight = 0.1;

}  // namespace

void UpstreamHealth::OnAnswer(base::Duration latency) {
  this->failures_in_a_row = 0;
  this->ejections_in_a_row = 0;
  if (this->average.count() == 0) {
    this->average = latency;
  } else {
    const base::Duration difference = latency - this->average;
    this->average += difference / kAverageDivisor;
    this->deviation +=
        (std::chrono::abs(difference) - this->deviation) / kDeviationDivisor;
  }
}

void UpstreamHealth::OnFailure(base::Instant now) {
  ++this->failures_in_a_row;
  if (this->failures_in_a_row >= kFailuresToEject && !this->is_ejected) {
    this->Eject(now);
  }
}

void UpstreamHealth::OnProbe(bool answered, base::Instant now) {
  this->probing = false;
  if (!this->is_ejected) return;
  if (!answered) {
    this->Eject(now);
    return;
  }
  this->is_ejected = false;
  // One more failure ejects it again.
  this->failures_in_a_row = kFailuresToEject - 1;
}

bool UpstreamHealth::ProbeDue(base::Instant now) const {
  return this->is_ejected && !this->probing && now >= this->probe_at;
}

double UpstreamHealth::Weight(base::Duration typical) const {
  if (this->average.count() == 0 || typical.count() == 0) return 1;
  const double ratio = static_cast<double>(typical.count()) /
                       static_cast<double>(this->average.count());
  return std::clamp(ratio, kLeastWeight, 1.0);
}

void UpstreamHealth::Eject(base::Instant now) {
  this->is_ejected = true;
  base::Duration time = kFirstEjection;
  for (int i = 0; i < this->ejections_in_a_row && time < kLongestEjection; ++i)
    time *= 2;
  this->probe_at = now + time;
  ++this->ejections_in_a_row;
}

}  // namespace agatepass::relay
