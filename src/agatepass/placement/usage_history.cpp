#include "agatepass/placement/usage_history.h"

#include <algorithm>
#include <cmath>

namespace agatepass::placement {
namespace {

// Ended tasks after which percentiles are worked out anew.
constexpr uint32_t kRecalculationStep = 8;
constexpr uint32_t kRunTimeSamples = 5;
constexpr double kLongRunPercentile = 0.9;

/** Returns `amount` times `factor`, rounded up but for the factor's own
 * imprecision. */
int64_t Scale(int64_t amount, double factor) {
  constexpr double kImprecision = 1e-6;
  return static_cast<int64_t>(
      std::ceil(static_cast<double>(amount) * factor - kImprecision));
}

}  // namespace

int64_t UsageHistory::Percentile(const std::array<int64_t, kWindow>& values,
                                 uint32_t count, double percentile) {
  std::array<int64_t, kWindow> copy = values;
  const auto rank = static_cast<uint32_t>(
      std::ceil(std::clamp(percentile, 0.0, 1.0) * count));
  const uint32_t index = rank == 0 ? 0 : rank - 1;
  std::nth_element(copy.begin(), copy.begin() + index, copy.begin() + count);
  return copy[index];
}

void UsageHistory::Record(uint32_t workload, const platform::Resources& used,
                          base::Duration run_time) {
  if (workload >= this->workloads.size()) this->workloads.resize(workload + 1);
  Samples& samples = this->workloads[workload];
  const uint32_t index = samples.recorded % kWindow;
  samples.millicores[index] = used.millicores;
  samples.memory_mib[index] = used.memory_mib;
  samples.run_time[index] = run_time.count();
  ++samples.recorded;
}

std::optional<platform::Resources> UsageHistory::Grant(
    uint32_t workload, const platform::Resources& declared,
    const Margins& margins) const {
  if (workload >= this->workloads.size()) return std::nullopt;
  const Samples& samples = this->workloads[workload];
  if (samples.recorded == 0 || samples.recorded < margins.samples) {
    return std::nullopt;
  }
  if (samples.percentile != margins.percentile ||
      samples.recorded >= samples.calculated_at + kRecalculationStep) {
    const uint32_t count = std::min(samples.recorded, kWindow);
    samples.percentile = margins.percentile;
    samples.calculated_at = samples.recorded;
    samples.at_percentile = {
        .millicores = Percentile(samples.millicores, count, margins.percentile),
        .memory_mib =
            Percentile(samples.memory_mib, count, margins.percentile)};
  }
  return platform::Resources{
      .millicores = Scale(samples.at_percentile.millicores, margins.factor),
      .memory_mib = Scale(samples.at_percentile.memory_mib, margins.factor),
      .accelerators = declared.accelerators};
}

std::optional<base::Duration> UsageHistory::LongRunTime(
    uint32_t workload) const {
  if (workload >= this->workloads.size()) return std::nullopt;
  const Samples& samples = this->workloads[workload];
  if (samples.recorded < kRunTimeSamples) return std::nullopt;
  const uint32_t count = std::min(samples.recorded, kWindow);
  return base::Duration(
      Percentile(samples.run_time, count, kLongRunPercentile));
}

}  // namespace agatepass::placement
