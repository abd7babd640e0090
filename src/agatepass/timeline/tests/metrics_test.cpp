#include "agatepass/timeline/metrics.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace agatepass::timeline {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

TEST(Metrics, RendersEachKindForPrometheus) {
  Metrics metrics;
  metrics.AddCounter("starts_total", "Starts.", {{"class", "a\"b"}}).Add(3);
  metrics.AddGauge("queue", "Waiting.").Set(2.5);
  metrics.AddDistribution("wait_s", "Wait.").Add(4);
  EXPECT_EQ(metrics.RenderPrometheus(),
            "# HELP queue Waiting.\n# TYPE queue gauge\nqueue 2.5\n"
            "# HELP starts_total Starts.\n# TYPE starts_total counter\n"
            "starts_total{class=\"a\\\"b\"} 3\n"
            "# HELP wait_s Wait.\n# TYPE wait_s summary\n"
            "wait_s{quantile=\"0.5\"} 4\nwait_s{quantile=\"0.9\"} 4\n"
            "wait_s{quantile=\"0.99\"} 4\nwait_s_sum 4\nwait_s_count 1\n"
            "# HELP wait_s_max Greatest sample.\n# TYPE wait_s_max gauge\n"
            "wait_s_max 4\n");
}

TEST(Metrics, GivesTheSameMetricForTheSameNameAndLabels) {
  Metrics metrics;
  Counter& first = metrics.AddCounter("c", "C.", {{"a", "1"}});
  metrics.AddCounter("c", "C.", {{"a", "2"}}).Add(5);
  metrics.AddCounter("c", "C.", {{"a", "1"}}).Add();
  EXPECT_EQ(first.value(), 1U);
}

TEST(Metrics, ANameHeldByAnotherKindIsNotRendered) {
  Metrics metrics;
  metrics.AddCounter("c", "C.").Add();
  metrics.AddGauge("c", "C.").Set(99);
  EXPECT_THAT(metrics.RenderPrometheus(), Not(HasSubstr("99")));
}

TEST(Distribution, IsExactForFewSamples) {
  Distribution distribution;
  EXPECT_EQ(distribution.Quantile(0), 0);
  for (const double sample : {5.0, 1.0, 4.0, 2.0, 3.0}) {
    distribution.Add(sample);
  }
  EXPECT_EQ(distribution.Quantile(0), 3);
  EXPECT_EQ(distribution.Quantile(2), 5);
  EXPECT_EQ(distribution.max(), 5);
  EXPECT_EQ(distribution.sum(), 15);
}

// Each of 0..9999 once, in a random order.
TEST(Distribution, EstimatesQuantilesOfManySamples) {
  constexpr int kSamples = 10000;
  std::vector<int> samples(kSamples);
  std::iota(samples.begin(), samples.end(), 0);
  std::shuffle(samples.begin(), samples.end(), std::mt19937(7));
  Distribution distribution;
  for (const int sample : samples) distribution.Add(sample);
  for (size_t index = 0; index < kQuantiles.size(); ++index) {
    EXPECT_NEAR(distribution.Quantile(index), kQuantiles[index] * kSamples,
                0.01 * kSamples);
  }
}

}  // namespace
}  // namespace agatepass::timeline
