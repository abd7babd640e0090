/** \file
 * What a caller hands in: a job of steps, each with tasks that run on workers.
 */
#ifndef AGATEPASS_POOL_JOB_H_
#define AGATEPASS_POOL_JOB_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/resources.h"
#include "agatepass/pool/queue_table.h"

namespace agatepass::pool {

/** Number of a task's start; it begins at 1 and rises. */
using RunNumber = uint32_t;

/** One step of a job: `count` tasks alike. */
struct Step {
  uint32_t count = 1;
  /** Room that each task takes. */
  platform::Resources need;
  /** The caller's rough estimate of a task's run time. */
  base::Duration estimate{0};
  /** Steps whose tasks must all have succeeded before this one begins. */
  std::vector<uint32_t> depends_on;
  /** Whether a stopped task resumes from its saved progress. */
  bool uses_checkpoints = false;
  /** Whether the tasks work only all together. */
  bool gang = false;
  /** Whether the tasks are slowed down when they span racks. */
  bool same_rack = false;
  /** Whether copies of a task may run side by side. */
  bool speculative = false;
  /** Whether the tasks run until the job is cancelled. */
  bool long_running = false;
  /** Whether the tasks use only processors that others leave idle. */
  bool uses_idle_processors = false;
  /** Label that the worker must have; empty for none. */
  std::string required_label;
  /** Rack where the data is; empty for anywhere. */
  base::RackId data_rack;
  /** Most tasks of one occurrence on one worker; 0 for no limit. */
  uint32_t max_tasks_per_worker = 0;
  /** What the tasks run; tasks of the same image behave alike. */
  std::string image;
  /** Bound on the tail of response times of tasks that serve; 0 for none. */
  base::Duration latency_target{0};
  /** Tasks that the scheduler may keep away from work at the same time. */
  uint32_t max_unavailable = 0;

  bool operator==(const Step&) const = default;
};

/** A job as it was accepted. */
struct Job {
  base::JobId id;
  /** Name of the queue that it came in through. */
  std::string queue;
  /** Opaque text that each task is started with. */
  std::string payload;
  std::vector<Step> steps;
  /** Times that the steps run; 0 for once and at once. */
  uint32_t occurrences = 0;
  /** Due time of the first occurrence, Unix milliseconds. */
  int64_t first_due_ms = 0;
  /** Time from one occurrence to the next, in milliseconds. */
  int64_t interval_ms = 0;
  /** When it was accepted, Unix milliseconds. */
  int64_t accepted_ms = 0;
  /** Policy of its queue when it was accepted, for a planner whose
   * configuration does not have the queue. */
  std::optional<QueuePolicy> policy;

  bool operator==(const Job&) const = default;
};

/** Names one task: an index in a step of one occurrence of a job. */
struct TaskName {
  base::JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskName&) const = default;

  template <typename Hasher>
  friend Hasher AbslHashValue(Hasher hasher, const TaskName& name) {
    return Hasher::combine(std::move(hasher), name.job, name.occurrence,
                           name.step, name.index);
  }
};

/** Returns "JOB.OCCURRENCE.STEP.INDEX". */
std::string ToString(const TaskName& name);

/** Returns the longest chain of estimated run times through the steps. */
base::Duration CriticalPathDuration(const Job& job);

/** Returns the estimated processor time of all tasks, in millicore-seconds. */
double EstimatedWork(const Job& job);

/** Returns what makes a job impossible to plan, naming the step; empty if
 * nothing does. */
std::string FindValidationError(const Job& job);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_JOB_H_
