#include "agatepass/placement/usage_history.h"

#include <algorithm>
#include <cmath>

namespace agatepass::placement {
namespace {

// Ended tasks after which percentiles are worked out anew.
constexpr uint32_t kRecalculationStep = 8;
constexpr uint32_t kRunTimeSamples = 5;
constexpr double kLongRunPercentile = 0.9;

constexpr double kMiddlePercentile = 0.5;
// Rounding of products that would otherwise add a unit.
constexpr double kImprecision = 1e-6;

}  // namespace

UsageHistory::Spread UsageHistory::SpreadOf(const Window& values,
                                            uint32_t count, double percentile) {
  Window copy = values;
  std::sort(copy.begin(), copy.begin() + count);
  const auto at = [&](double part) {
    const auto rank = static_cast<uint32_t>(std::ceil(part * count));
    return copy[std::clamp(rank, 1U, count) - 1];
  };
  return {.middle = at(kMiddlePercentile), .high = at(percentile)};
}

void UsageHistory::ResourceUse::Record(uint32_t index, int64_t declared,
                                       int64_t used) {
  this->amounts[index] = static_cast<double>(used);
  this->ratios[index] =
      declared <= 0 ? 0
                    : static_cast<double>(used) / static_cast<double>(declared);
}

void UsageHistory::ResourceUse::Recalculate(uint32_t count, double percentile) {
  this->amount = SpreadOf(this->amounts, count, percentile);
  this->ratio = SpreadOf(this->ratios, count, percentile);
}

int64_t UsageHistory::ResourceUse::Grant(int64_t declared,
                                         double factor) const {
  // What spreads less tells more: the amount where declarations say little, the
  // ratio where they are wrong by a constant factor.
  const bool by_ratio = declared > 0 && this->ratio.middle > 0 &&
                        this->ratio.high * this->amount.middle <
                            this->amount.high * this->ratio.middle;
  const Spread& spread = by_ratio ? this->ratio : this->amount;
  const double unit = by_ratio ? static_cast<double>(declared) : 1.0;
  // The margin covers what is uncertain: nothing, if all tasks use the same.
  const double estimate =
      spread.middle + factor * (spread.high - spread.middle);
  return static_cast<int64_t>(std::ceil(estimate * unit - kImprecision));
}

void UsageHistory::Record(uint32_t workload,
                          const platform::Resources& declared,
                          const platform::Resources& used,
                          base::Duration run_time) {
  if (workload >= this->workloads.size()) this->workloads.resize(workload + 1);
  Samples& samples = this->workloads[workload];
  const uint32_t index = samples.recorded++ % kWindow;
  samples.millicores.Record(index, declared.millicores, used.millicores);
  samples.memory_mib.Record(index, declared.memory_mib, used.memory_mib);
  samples.run_time[index] = static_cast<double>(run_time.count());
  if (samples.recorded < kRunTimeSamples ||
      samples.recorded % kRecalculationStep != 0) {
    return;
  }
  samples.long_run_time =
      SpreadOf(samples.run_time, std::min(samples.recorded, kWindow),
               kLongRunPercentile)
          .high;
}

std::optional<platform::Resources> UsageHistory::Grant(
    uint32_t workload, const platform::Resources& declared,
    const Margins& margins) {
  if (workload >= this->workloads.size()) return std::nullopt;
  Samples& samples = this->workloads[workload];
  if (samples.recorded == 0 || samples.recorded < margins.samples) {
    return std::nullopt;
  }
  if (samples.percentile != margins.percentile ||
      samples.recorded >= samples.calculated_at + kRecalculationStep) {
    const uint32_t count = std::min(samples.recorded, kWindow);
    samples.percentile = margins.percentile;
    samples.calculated_at = samples.recorded;
    samples.millicores.Recalculate(count, margins.percentile);
    samples.memory_mib.Recalculate(count, margins.percentile);
  }
  return platform::Resources{.millicores = samples.millicores.Grant(
                                 declared.millicores, margins.factor),
                             .memory_mib = samples.memory_mib.Grant(
                                 declared.memory_mib, margins.factor),
                             .accelerators = declared.accelerators};
}

std::optional<base::Duration> UsageHistory::LongRunTime(
    uint32_t workload) const {
  if (workload >= this->workloads.size() ||
      this->workloads[workload].long_run_time <= 0) {
    return std::nullopt;
  }
  return base::Duration(
      static_cast<int64_t>(this->workloads[workload].long_run_time));
}

}  // namespace agatepass::placement
