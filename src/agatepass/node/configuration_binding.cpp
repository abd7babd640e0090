#include "agatepass/node/configuration_binding.h"

#include <utility>

namespace agatepass::node {

namespace {

void AddTeams(const config::Configuration& configuration,
              placement::Policy* policy) {
  for (const auto& [team, rules] : configuration.teams) {
    placement::TeamPolicy& entry = policy->teams[team];
    entry.weight = rules.weight;
    entry.quota = rules.quota;
  }
}

/** Rules name labels that stay apart from each other, in pairs here. */
void AddSeparations(const config::Configuration& configuration,
                    placement::Policy* policy) {
  for (const auto& [name, rule] : configuration.separations) {
    for (size_t i = 0; i < rule.labels.size(); ++i) {
      for (size_t j = i + 1; j < rule.labels.size(); ++j) {
        policy->separations.push_back({rule.labels[i], rule.labels[j]});
      }
    }
  }
}

}  // namespace

placement::Policy MakePolicy(const config::Configuration& configuration,
                             platform::Revision revision) {
  const config::Preset& preset = configuration.preset();
  placement::Policy policy;
  policy.preset = configuration.in_force;
  policy.revision = revision;
  policy.weights = {preset.packing_weight, preset.balance_weight,
                    preset.spread_weight};
  policy.margins = {preset.margin_percentile, preset.margin_factor,
                    static_cast<uint32_t>(preset.margin_samples)};
  policy.limits.ageing_step = preset.ageing_step;
  policy.limits.checkpoint_grace = preset.checkpoint_grace;
  policy.limits.probation = preset.probation;
  policy.limits.worker_failures = static_cast<uint32_t>(preset.worker_failures);
  policy.limits.job_failures = static_cast<uint32_t>(preset.job_failures);
  policy.limits.hot_share = preset.hot_share;
  policy.lowest_started =
      static_cast<placement::Priority>(preset.lowest_started);
  policy.lowest_preempting =
      static_cast<placement::Priority>(preset.lowest_preempting);
  policy.pack_on_observed_use = preset.pack_on_observed_use;
  AddTeams(configuration, &policy);
  AddSeparations(configuration, &policy);
  return policy;
}

std::vector<relay::ServiceRule> MakeServiceRules(
    const config::Configuration& configuration) {
  std::vector<relay::ServiceRule> rules;
  for (const auto& [service, settings] : configuration.services) {
    relay::ServiceRule rule;
    rule.service = service;
    rule.slots = static_cast<int>(settings.slots);
    rule.connections = static_cast<int>(settings.connections);
    rule.queue_length = static_cast<size_t>(settings.queue_length);
    rule.cross_region = settings.cross_region;
    rule.cross_region_bytes = static_cast<double>(settings.cross_region_bytes);
    rule.labels = settings.labels;
    rule.retry_share = settings.retry_share;
    rule.longest_run = settings.longest_run;
    rules.push_back(std::move(rule));
  }
  return rules;
}

}  // namespace agatepass::node
