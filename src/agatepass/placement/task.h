/** \file
 * A task as placement sees it: what it needs, how it may be treated, how urgent
 * it is.
 */
#ifndef AGATEPASS_PLACEMENT_TASK_H_
#define AGATEPASS_PLACEMENT_TASK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/resources.h"

namespace agatepass::placement {

/** How the tasks of a workload are meant to run. */
enum class WorkloadKind : uint8_t {
  /** Long-lived instances, spread over racks. */
  kService,
  /** Runs when there is room. */
  kBatch,
  /** All tasks of the job start in one decision, or none does. */
  kGang,
};

/** Order of importance; a higher one goes first and may pre-empt. */
enum class Priority : uint8_t { kBulk, kOrdinary, kInteractive, kUrgent };

inline constexpr size_t kPriorityCount = 4;

/** Returns "service", "batch" or "gang". */
std::string_view WorkloadKindName(WorkloadKind kind);

/** Returns "bulk", "ordinary", "interactive" or "urgent". */
std::string_view PriorityName(Priority priority);

/** Returns the kind called `name`, or nothing. */
std::optional<WorkloadKind> ParseWorkloadKind(std::string_view name);

/** Returns the priority called `name`, or nothing. */
std::optional<Priority> ParsePriority(std::string_view name);

/** One task to place.
 *
 * \code
 * TaskRequest request;
 * request.task = base::TaskId("j-7/0");
 * request.declared = {.millicores = 500, .memory_mib = 256};
 * absl::Status status = planner.Enqueue(request, now);
 * \endcode
 */
struct TaskRequest {
  base::TaskId task;
  base::JobId job;
  base::TeamId team;
  base::WorkloadId workload;
  WorkloadKind kind = WorkloadKind::kBatch;
  Priority priority = Priority::kOrdinary;
  /** What the caller says that the task needs. */
  platform::Resources declared;
  /** Separation label; empty for none. */
  std::string label;
  /** Whether a second run does no harm: only such a task may be stopped and
   * started again. */
  bool idempotent = false;
  /** Whether the task can be checkpointed and go on later. */
  bool checkpointable = false;
  /** When the task has to be finished; only orders the queue. */
  std::optional<base::Instant> deadline;
  /** The caller's estimate; zero if unknown. Learnt run times go before it. */
  base::Duration expected_run_time{0};
  /** kGang: number of tasks of the job, which all start together. */
  uint32_t gang_size = 1;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_TASK_H_
