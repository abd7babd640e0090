/** \file
 * The operators' configuration as checked types, and its INI text.
 */
#ifndef AGATEPASS_CONFIG_CONFIGURATION_H_
#define AGATEPASS_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/resources.h"

namespace agatepass::config {

/** An amount without a limit; written "unlimited". */
inline constexpr int64_t kUnlimited = std::numeric_limits<int64_t>::max() / 4;

/** Importance of work, least first. */
enum class Priority : uint8_t { kBulk, kOrdinary, kInteractive, kUrgent };

enum class WorkloadKind : uint8_t { kService, kBatch, kGang };

/** What happens to a task whose owner has gone silent past the task lease. */
enum class OnLapse : uint8_t { kKeepRunning, kStop };

/** A caller's team: [team NAME]. */
struct Team {
  /** Secret that the team's callers present. */
  std::string token;
  /** Share of the cell relative to other teams. */
  double weight = 1;
  /** Most that the team's tasks are granted at once. */
  platform::Resources quota{.millicores = kUnlimited,
                            .memory_mib = kUnlimited,
                            .accelerators = kUnlimited};

  bool operator==(const Team&) const = default;
};

/** A kind of work: [workload NAME]. */
struct Workload {
  base::TeamId team;
  WorkloadKind kind = WorkloadKind::kBatch;
  Priority priority = Priority::kOrdinary;
  /** Whether a task may be run again after it may have begun. */
  bool idempotent = false;
  bool checkpointable = false;
  /** Whether tasks may run in another region than their job's. */
  bool cross_region = false;
  OnLapse on_lapse = OnLapse::kKeepRunning;
  /** Separation label; empty for none. */
  std::string label;

  bool operator==(const Workload&) const = default;
};

/** Labels that never share a worker, each apart from all others: [separation
 * NAME]. */
struct SeparationRule {
  std::vector<std::string> labels;

  bool operator==(const SeparationRule&) const = default;
};

/** A service with upstreams: [service NAME]. */
struct Service {
  /** Requests that one instance takes at a time. */
  int64_t slots = 8;
  /** Connections that one instance takes. */
  int64_t connections = 64;
  /** Requests that may wait on one entry host, of each class. */
  int64_t queue_length = 256;
  /** HTTP methods whose requests may run twice. */
  std::vector<std::string> idempotent_methods{"GET", "HEAD"};
  /** Whether requests may go to upstreams of another region. */
  bool cross_region = false;
  /** Bytes a second that one entry host may send to other regions. */
  int64_t cross_region_bytes = 200'000;
  /** Retries allowed for each successful request. */
  double retry_share = 0.1;
  /** The longest that one request may run on an upstream. */
  base::Duration longest_run = std::chrono::seconds(10);
  /** Separation labels of its requests. */
  std::vector<std::string> labels;

  bool operator==(const Service&) const = default;
};

/** Weights, margins and limits of placement: [preset NAME]. */
struct Preset {
  double packing_weight = 1;
  double balance_weight = 1;
  double spread_weight = 1;
  /** Percentile of observed use that batch tasks are granted, 0 to 1. */
  double margin_percentile = 0.95;
  /** Factor on that percentile. */
  double margin_factor = 1.1;
  /** Ended tasks of a workload before its observed use is trusted. */
  int64_t margin_samples = 20;
  bool pack_on_observed_use = true;
  /** Tasks below this priority wait for another preset. */
  Priority lowest_started = Priority::kBulk;
  /** Least priority that may pre-empt lower ones. */
  Priority lowest_preempting = Priority::kUrgent;
  /** Wait after which a task counts as one priority higher. */
  base::Duration ageing_step = std::chrono::minutes(10);
  /** Time that a checkpoint may take before the task is stopped instead. */
  base::Duration checkpoint_grace = std::chrono::seconds(3);
  base::Duration probation = std::chrono::seconds(30);
  /** Failures of different jobs in a row that put a worker on probation. */
  int64_t worker_failures = 3;
  /** Different workers on which a job fails before it is refused. */
  int64_t job_failures = 4;
  /** Share of a worker's resources in use above which it is hot. */
  double hot_share = 0.95;

  bool operator==(const Preset&) const = default;
};

/** The whole configuration. */
struct Configuration {
  std::map<base::TeamId, Team> teams;
  std::map<base::WorkloadId, Workload> workloads;
  std::map<std::string, SeparationRule> separations;
  std::map<base::ServiceId, Service> services;
  std::map<std::string, Preset> presets;
  /** The name of the one preset in force, which `presets` holds. */
  std::string in_force;

  /** The preset in force. Only for a configuration without errors. */
  const Preset& preset() const { return this->presets.at(this->in_force); }

  bool operator==(const Configuration&) const = default;
};

/** One thing that is wrong with a configuration. */
struct ConfigurationError {
  std::string section;
  /** Empty if the section itself is wrong. */
  std::string key;
  std::string value;
  /** What is allowed in its place. */
  std::string allowed;

  /** Returns `[section] key = "value": allowed`. */
  std::string ToString() const;
};

/** A configuration as far as it could be read, and all that is wrong with it.
 */
struct ParsedConfiguration {
  Configuration configuration;
  std::vector<ConfigurationError> errors;

  /** \return kInvalidRequest with every error, one a line. */
  absl::Status status() const;
};

/** Reads a configuration from INI text.
 *
 * \code
 * ParsedConfiguration parsed = ParseConfiguration(text);
 * if (absl::Status status = parsed.status(); !status.ok()) return status;
 * Apply(parsed.configuration);
 * \endcode
 */
ParsedConfiguration ParseConfiguration(std::string_view text);

/** Returns the INI text of `configuration`, with every key, in a fixed order.
 */
std::string RenderConfiguration(const Configuration& configuration);

/** Returns what changes between two configurations, one line each, such as
 * `[preset peak] hot_share: 0.9 -> 0.95`. Tokens are not shown. */
std::vector<std::string> DescribeDifference(const Configuration& before,
                                            const Configuration& after);

/** Puts another preset of `configuration` in force.
 *
 * \return kNotFound, naming the presets there are, if there is no such one.
 */
absl::Status UsePreset(std::string_view name, Configuration& configuration);

/** Returns "bulk", "ordinary", "interactive" or "urgent". */
std::string_view PriorityName(Priority priority);

/** Returns "service", "batch" or "gang". */
std::string_view WorkloadKindName(WorkloadKind kind);

}  // namespace agatepass::config

#endif  // AGATEPASS_CONFIG_CONFIGURATION_H_
