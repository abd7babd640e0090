/** \file
 * One line of measurement: percentiles of samples, as one JSON object.
 */
#ifndef BENCH_MEASUREMENT_H_
#define BENCH_MEASUREMENT_H_

#include <algorithm>
#include <cmath>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "nlohmann/json.hpp"

namespace agatepass::bench {

/** Returns the value below which the share `quantile` of the sorted samples
 * lies; 0 without samples. */
inline double PercentileOf(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) return 0;
  const auto rank = static_cast<size_t>(
      std::ceil(quantile * static_cast<double>(sorted.size())));
  return sorted[std::max<size_t>(rank, 1) - 1];
}

/** Prints {"measure":…,"unit":…,"n":…,"p50":…,"p99":…,"max":…,"params":…}. */
inline void PrintMeasurement(std::string_view measure, std::string_view unit,
                             std::vector<double> samples,
                             nlohmann::ordered_json params) {
  std::sort(samples.begin(), samples.end());
  const nlohmann::ordered_json line = {
      {"measure", measure},
      {"unit", unit},
      {"n", samples.size()},
      {"p50", PercentileOf(samples, 0.5)},
      {"p99", PercentileOf(samples, 0.99)},
      {"max", samples.empty() ? 0 : samples.back()},
      {"params", std::move(params)}};
  std::cout << line.dump() << std::endl;
}

}  // namespace agatepass::bench

#endif  // BENCH_MEASUREMENT_H_
