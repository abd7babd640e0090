/** \file
 * Why a task was placed, delayed or refused, as a typed record and as text.
 */
#ifndef AGATEPASS_PLACEMENT_EXPLANATION_H_
#define AGATEPASS_PLACEMENT_EXPLANATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/placement/decision.h"
#include "agatepass/placement/task.h"

namespace agatepass::placement {

/** What rules a worker out for a task. */
enum class Obstacle : uint8_t {
  kNone,
  kProcessors,
  kMemory,
  kAccelerators,
  kLabel,
  kSeparation,
  kLeaving,
  kProbation,
  kUnowned,
  kHeldForGang,
};

inline constexpr size_t kObstacleCount = 10;

/** What the task as a whole waits for, or why it was refused. */
enum class WaitCause : uint8_t {
  kNothing,
  kRoom,
  kQuota,
  kPreset,
  kGangIncomplete,
  kPreemption,
  kOrder,
  kNeverFits,
  kJobFailsEverywhere,
  kNoWorkers,
};

/** Number of workers that one obstacle rules out. */
struct RuledOut {
  Obstacle obstacle = Obstacle::kNone;
  uint32_t workers = 0;
};

/** The worker that came closest, and what it lacks. */
struct NearestMiss {
  base::WorkerId worker;
  Obstacle obstacle = Obstacle::kNone;
  /** Amount needed and amount free, in the obstacle's unit: millicores, MiB or
   * accelerators. */
  int64_t needed = 0;
  int64_t available = 0;
};

/** A worker that was compared, the lowest score being the best. */
struct ScoredWorker {
  base::WorkerId worker;
  double score = 0;
};

/** The whole record of one decision.
 *
 * \code
 * if (auto why = planner.Explain(task)) std::puts(Render(*why).c_str());
 * \endcode
 */
struct Explanation {
  ExplanationId id = 0;
  DecisionKind kind = DecisionKind::kDelay;
  base::ResultCode reason = base::ResultCode::kOk;
  WaitCause cause = WaitCause::kNothing;
  base::TaskId task;
  base::JobId job;
  base::TeamId team;
  WorkloadKind workload_kind = WorkloadKind::kBatch;
  Priority priority = Priority::kOrdinary;
  /** Priority in force after ageing. */
  Priority effective_priority = Priority::kOrdinary;
  platform::Resources declared;
  platform::Resources granted;
  std::string label;
  /** The worker chosen, or pre-empted on; empty if none. */
  base::WorkerId worker;
  base::Instant decided_at;
  base::Duration waited{0};
  /** Preset and revision of the configuration in force. */
  std::string preset;
  uint64_t revision = 0;
  /** Workers known, and those compared by score. */
  uint32_t workers = 0;
  std::vector<ScoredWorker> scores;
  std::vector<RuledOut> ruled_out;
  std::optional<NearestMiss> nearest;
  /** kNeverFits: the largest worker. */
  base::WorkerId largest_worker;
  platform::Resources largest;
  /** kQuota: what the team has in use, and its quota. */
  platform::Resources team_used;
  platform::Resources team_quota;
  /** kGangIncomplete: tasks of the gang that have arrived; gang_size needed. */
  uint32_t gang_arrived = 0;
  uint32_t gang_size = 1;
  /** kPreset: the least priority that the preset starts. */
  Priority lowest_started = Priority::kBulk;
  /** kJobFailsEverywhere: workers on which the job failed. */
  uint32_t failed_workers = 0;
  /** Estimated wait from the decision on, if it can be told. */
  std::optional<base::Duration> estimated_wait;
  /** Tasks stopped or checkpointed to make the room. */
  std::vector<base::TaskId> preempted;
};

/** Returns the obstacle's name for people, such as "processors". */
std::string_view ObstacleName(Obstacle obstacle);

/** Renders the record as lines of text that say what was decided, why, and what
 * would change it. */
std::string Render(const Explanation& explanation);

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_EXPLANATION_H_
