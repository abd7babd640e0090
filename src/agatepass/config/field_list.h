/** \file
 * The keys of each section, listed once: a visitor reads them from INI text or
 * writes them to it.
 */
#ifndef AGATEPASS_CONFIG_FIELD_LIST_H_
#define AGATEPASS_CONFIG_FIELD_LIST_H_

#include <array>
#include <concepts>
#include <string_view>

#include "agatepass/config/configuration.h"

namespace agatepass::config {

inline constexpr std::array<std::string_view, 4> kPriorityNames = {
    "bulk", "ordinary", "interactive", "urgent"};
inline constexpr std::array<std::string_view, 3> kWorkloadKindNames = {
    "service", "batch", "gang"};
inline constexpr std::array<std::string_view, 2> kOnLapseNames = {"keep",
                                                                  "stop"};

/** Inclusive bounds of a number or duration. */
template <typename Value>
struct Bounds {
  Value least;
  Value most;
};

/** Something that goes through the keys of a section. */
template <typename Visitor>
concept FieldVisitor = requires(Visitor& visitor, std::string& text,
                                int64_t& number, double& real, bool& flag,
                                base::Duration& duration,
                                std::vector<std::string>& list,
                                Priority& priority) {
  visitor.Text("key", text);
  visitor.Secret("key", text);
  visitor.Number("key", number, Bounds<int64_t>{});
  visitor.Limit("key", number);
  visitor.Real("key", real, Bounds<double>{});
  visitor.Flag("key", flag);
  visitor.Span("key", duration, Bounds<base::Duration>{});
  visitor.List("key", list);
  visitor.Choice("key", priority, kPriorityNames);
};

template <FieldVisitor Visitor>
void VisitFields(Visitor& visitor, Team& team) {
  visitor.Secret("token", team.token);
  visitor.Real("weight", team.weight, Bounds<double>{0.001, 1000});
  visitor.Limit("quota_millicores", team.quota.millicores);
  visitor.Limit("quota_memory_mib", team.quota.memory_mib);
  visitor.Limit("quota_accelerators", team.quota.accelerators);
}

template <FieldVisitor Visitor>
void VisitFields(Visitor& visitor, Workload& workload) {
  visitor.Text("team", workload.team.value);
  visitor.Choice("kind", workload.kind, kWorkloadKindNames);
  visitor.Choice("priority", workload.priority, kPriorityNames);
  visitor.Flag("idempotent", workload.idempotent);
  visitor.Flag("checkpointable", workload.checkpointable);
  visitor.Flag("cross_region", workload.cross_region);
  visitor.Choice("on_lapse", workload.on_lapse, kOnLapseNames);
  visitor.Text("label", workload.label);
}

template <FieldVisitor Visitor>
void VisitFields(Visitor& visitor, SeparationRule& rule) {
  visitor.List("labels", rule.labels);
}

template <FieldVisitor Visitor>
void VisitFields(Visitor& visitor, Service& service) {
  using std::chrono::milliseconds;
  visitor.Number("slots", service.slots, Bounds<int64_t>{1, 1024});
  visitor.Number("connections", service.connections, Bounds<int64_t>{1, 65536});
  visitor.Number("queue_length", service.queue_length,
                 Bounds<int64_t>{0, 100'000});
  visitor.List("idempotent_methods", service.idempotent_methods);
  visitor.Flag("cross_region", service.cross_region);
  visitor.Number("cross_region_bytes", service.cross_region_bytes,
                 Bounds<int64_t>{0, 100'000'000});
  visitor.Real("retry_share", service.retry_share, Bounds<double>{0, 1});
  visitor.Span(
      "longest_run", service.longest_run,
      Bounds<base::Duration>{milliseconds(10), std::chrono::minutes(10)});
  visitor.List("labels", service.labels);
}

template <FieldVisitor Visitor>
void VisitFields(Visitor& visitor, Preset& preset) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::minutes;
  const Bounds<double> weights{0, 1000};
  visitor.Real("packing_weight", preset.packing_weight, weights);
  visitor.Real("balance_weight", preset.balance_weight, weights);
  visitor.Real("spread_weight", preset.spread_weight, weights);
  visitor.Real("margin_percentile", preset.margin_percentile,
               Bounds<double>{0.5, 1});
  visitor.Real("margin_factor", preset.margin_factor, Bounds<double>{1, 10});
  visitor.Number("margin_samples", preset.margin_samples,
                 Bounds<int64_t>{1, 100'000});
  visitor.Flag("pack_on_observed_use", preset.pack_on_observed_use);
  visitor.Choice("lowest_started", preset.lowest_started, kPriorityNames);
  visitor.Choice("lowest_preempting", preset.lowest_preempting, kPriorityNames);
  visitor.Span("ageing_step", preset.ageing_step,
               Bounds<base::Duration>{std::chrono::seconds(1), hours(24)});
  visitor.Span("checkpoint_grace", preset.checkpoint_grace,
               Bounds<base::Duration>{milliseconds(100), minutes(5)});
  visitor.Span("probation", preset.probation,
               Bounds<base::Duration>{std::chrono::seconds(1), hours(1)});
  visitor.Number("worker_failures", preset.worker_failures,
                 Bounds<int64_t>{1, 1000});
  visitor.Number("job_failures", preset.job_failures, Bounds<int64_t>{1, 1000});
  visitor.Real("hot_share", preset.hot_share, Bounds<double>{0.1, 1});
}

}  // namespace agatepass::config

#endif  // AGATEPASS_CONFIG_FIELD_LIST_H_
