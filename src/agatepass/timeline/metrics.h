/** \file
 * Counters, gauges and distributions, and their form for Prometheus.
 */
#ifndef AGATEPASS_TIMELINE_METRICS_H_
#define AGATEPASS_TIMELINE_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace agatepass::timeline {

/** A count that only rises. */
class Counter {
 public:
  void Add(uint64_t amount = 1) { this->total += amount; }
  uint64_t value() const { return this->total; }

 private:
  uint64_t total = 0;
};

/** A value that rises and falls. */
class Gauge {
 public:
  void Set(double now) { this->current = now; }
  void Add(double change) { this->current += change; }
  double value() const { return this->current; }

 private:
  double current = 0;
};

/** The quantiles that a distribution follows. */
inline constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

/** Count, sum, maximum and quantiles of a stream of samples, in fixed memory.
 *
 * The quantiles are exact for the first kExactSamples samples, and after that
 * the estimates of the extended P-square algorithm, which takes the order of
 * the samples to be random: on a stream that drifts the estimates lag.
 */
class Distribution {
 public:
  static constexpr size_t kExactSamples = 32;

  Distribution();

  void Add(double sample);

  uint64_t count() const { return this->samples; }
  double sum() const { return this->total; }
  double max() const { return this->greatest; }
  /** Returns the value below which the share kQuantiles[index] lies; 0 without
   * samples. */
  double Quantile(size_t index) const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

  Accumulator accumulator;
  std::array<double, kExactSamples> first_samples{};
  uint64_t samples = 0;
  double total = 0;
  double greatest = 0;
};

/** One label of a metric, such as {"class", "urgent"}. */
struct MetricLabel {
  std::string_view name;
  std::string_view value;
};

/** Owns the metrics of one task and renders them.
 *
 * Registering returns a reference that stays valid; adding to it allocates
 * nothing. The same name and labels give the same metric again. Belongs to one
 * task; not safe to share between threads.
 *
 * \code
 * Metrics metrics;
 * Counter& starts = metrics.AddCounter("agatepass_task_starts_total",
 *                                      "Tasks started on workers.");
 * starts.Add();
 * answer.body = metrics.RenderPrometheus();
 * \endcode
 */
class Metrics {
 public:
  using Labels = std::initializer_list<MetricLabel>;

  Counter& AddCounter(std::string_view name, std::string_view help,
                      Labels labels = {});
  Gauge& AddGauge(std::string_view name, std::string_view help,
                  Labels labels = {});
  Distribution& AddDistribution(std::string_view name, std::string_view help,
                                Labels labels = {});

  /** Returns all metrics in the Prometheus text format, by name. Distributions
   * are summaries, with one more gauge NAME_max. */
  std::string RenderPrometheus() const;

 private:
  using Value = std::variant<Counter, Gauge, Distribution>;

  /** All metrics of one name, by their labels as rendered. */
  struct Family {
    std::string help;
    std::map<std::string, Value> values;
  };

  template <typename Kind>
  Kind& Add(std::string_view name, std::string_view help, Labels labels);

  // The nodes of a map stay where they are, so references stay valid.
  std::map<std::string, Family, std::less<>> families;
  // Metrics asked for under a name that another kind holds; never rendered.
  std::deque<Value> misnamed;
};

}  // namespace agatepass::timeline

#endif  // AGATEPASS_TIMELINE_METRICS_H_
