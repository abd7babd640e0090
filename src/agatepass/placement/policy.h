/** \file
 * What the operators have set: the preset in force, quotas, weights, margins
 * and rules of separation.
 */
#ifndef AGATEPASS_PLACEMENT_POLICY_H_
#define AGATEPASS_PLACEMENT_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/placement/task.h"
#include "agatepass/platform/resources.h"

namespace agatepass::placement {

/** What one team may use. */
struct TeamPolicy {
  /** Share of the cell relative to other teams; above zero. */
  double weight = 1.0;
  /** Most that the team's tasks are granted at once; none means no limit. */
  std::optional<platform::Resources> quota;
};

/** Tasks with label `first` and tasks with label `second` never share a worker.
 */
struct SeparationRule {
  std::string first;
  std::string second;
};

/** Weights of the parts of a worker's score. */
struct ScoreWeights {
  /** Prefers workers whose room the task fills. */
  double packing = 1.0;
  /** Prefers workers whose processors and memory run out together. */
  double balance = 1.0;
  /** Prefers racks with fewer instances of the same service. */
  double spread = 1.0;
};

/** How observed use of a workload becomes the room granted to its batch tasks.
 */
struct Margins {
  /** Percentile of observed use that is granted, from 0 to 1. */
  double percentile = 0.95;
  /** Factor on the distance from the median to that percentile. */
  double factor = 1.1;
  /** Ended tasks of a workload before its observed use is trusted. */
  uint32_t samples = 20;
};

/** Limits on time and on counts. */
struct Limits {
  /** Wait after which a task counts as one priority higher; never urgent. */
  base::Duration ageing_step = std::chrono::minutes(10);
  /** Time that a checkpoint may take before the task is stopped instead. */
  base::Duration checkpoint_grace = std::chrono::seconds(3);
  /** Time after which unanswered pre-emption is given up on a worker. */
  base::Duration preemption_timeout = std::chrono::seconds(5);
  /** First probation of a failing worker; doubles on each repeat. */
  base::Duration probation = std::chrono::seconds(30);
  base::Duration longest_probation = std::chrono::minutes(16);
  /** Failures of different jobs in a row that put a worker on probation. */
  uint32_t worker_failures = 3;
  /** Different workers on which a job fails before it is refused. */
  uint32_t job_failures = 4;
  /** Share of a worker's resources in use above which it is hot. */
  double hot_share = 0.95;
  /** Least time between two measures against the same hot worker. */
  base::Duration hot_step = std::chrono::seconds(2);
};

/** The policy in force: one preset of one revision of the configuration.
 *
 * \code
 * Policy policy = OrdinaryPolicy();
 * policy.revision = 41;
 * policy.teams[base::TeamId("letters")].quota = {.millicores = 64000};
 * planner.SetPolicy(policy);
 * \endcode
 */
struct Policy {
  std::string preset = "ordinary";
  /** Revision of the configuration that holds it. */
  uint64_t revision = 0;
  ScoreWeights weights;
  Margins margins;
  Limits limits;
  /** Tasks below this priority are not started; they wait for another preset.
   */
  Priority lowest_started = Priority::kBulk;
  /** Least priority that may pre-empt lower ones. */
  Priority lowest_preempting = Priority::kUrgent;
  /** Whether batch is packed on observed use rather than on declared sizes. */
  bool pack_on_observed_use = true;
  std::map<base::TeamId, TeamPolicy> teams;
  std::vector<SeparationRule> separations;
};

/** Preset for ordinary days: packs batch tightly. */
Policy OrdinaryPolicy();

/** Preset for peaks: interactive work may pre-empt, batch gets wider margins.
 */
Policy PeakPolicy();

/** Preset for maintenance: bulk work waits, nothing is packed on observed use.
 */
Policy MaintenancePolicy();

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_POLICY_H_
