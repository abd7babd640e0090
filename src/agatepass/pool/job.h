/** \file
 * A job as a caller submits it: steps, each with tasks that run on workers.
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

/** Number of a run of a task; the first run is 1, later runs have higher
 * numbers. */
using RunNumber = uint32_t;

/** One step of a job: `count` identical tasks. */
struct Step {
  uint32_t count = 1;
  /** Resources that each task asks for; TakenResources tells what it takes. */
  platform::Resources need;
  /** The caller's rough estimate of a task's run time. */
  base::Duration estimate{0};
  /** Indices of the steps whose tasks must all have succeeded before this one
   * begins. */
  std::vector<uint32_t> depends_on;
  /** Whether a stopped task resumes from its checkpoint. */
  bool uses_checkpoints = false;
  /** Whether the tasks can only work while all of them are running. */
  bool gang = false;
  /** Whether the tasks run slower when they are spread over several racks. */
  bool same_rack = false;
  /** Whether several copies of a task may run at the same time. Kept in the
   * store, not used by the planner. */
  bool speculative = false;
  /** Whether the tasks run until the job is cancelled. */
  bool long_running = false;
  /** Whether the tasks use only processor time that others leave idle. */
  bool uses_idle_processors = false;
  /** Label that the worker must have; empty for none. */
  std::string required_label;
  /** Rack that holds the data; empty if any rack will do. */
  base::RackId data_rack;
  /** Maximum number of tasks of one occurrence on one worker; 0 for no limit.
   */
  uint32_t max_tasks_per_worker = 0;
  /** Image that the tasks run; tasks of the same image behave alike. Kept
   * in the store, not used by the planner. */
  std::string image;
  /** Upper bound on the tail latency of tasks that serve requests; 0 for none.
   * Kept in the store, not used by the planner. */
  base::Duration latency_target{0};
  /** Maximum number of tasks that the planner may keep from running at the
   * same time. Kept in the store, not used by the planner. */
  uint32_t max_unavailable = 0;

  bool operator==(const Step&) const = default;
};

/** Returns what each run of a step takes of its worker's capacity, whoever
 * started it: all that it asks for but, if it uses only idle processors, these.
 */
platform::Resources TakenResources(const Step& step);

/** A job as submitted; `accepted_ms` and `policy` are set when it is accepted.
 */
struct Job {
  base::JobId id;
  /** Name of the queue that the job was submitted to. */
  std::string queue;
  /** Team whose key the submitting call carried; empty for none. */
  base::TeamId team;
  /** Opaque text that each task is started with. */
  std::string payload;
  std::vector<Step> steps;
  /** Number of times that the steps run; 0: they run once, as soon as the job
   * is accepted. */
  uint32_t occurrences = 0;
  /** Due time of the first occurrence, Unix milliseconds. */
  int64_t first_due_ms = 0;
  /** Time from one occurrence to the next, in milliseconds. */
  int64_t interval_ms = 0;
  /** When it was accepted, Unix milliseconds. */
  int64_t accepted_ms = 0;
  /** Policy of the queue when the job was accepted, for a planner whose
   * configuration does not have the queue. */
  std::optional<QueuePolicy> policy;

  bool operator==(const Job&) const = default;
};

/** Identifies one task: its index in a step of one occurrence of a job. */
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

/** Returns the duration of the critical path through the steps, by their
 * estimated run times. */
base::Duration CriticalPathDuration(const Job& job);

/** Returns for each step the duration of the critical path from its start to
 * the end of the job, through the steps that depend on it. */
std::vector<base::Duration> RemainingCriticalPathDurations(const Job& job);

/** Returns the estimated processor time of all tasks of one occurrence, in
 * millicore-seconds. */
double EstimatedWork(const Job& job);

/** Returns the due time of an occurrence in Unix milliseconds: 0 if it was
 * earlier, the largest number if it is beyond that. */
int64_t DueMs(const Job& job, uint64_t occurrence);

/** Maximum number of tasks in one occurrence of a job; larger jobs are rejected
 * as malformed. */
inline constexpr uint64_t kMaxTasksPerOccurrence = 20'000;

/** Checks the steps of a job, submitted or stored.
 * \return why the job cannot be planned, naming the step; empty if it can. */
std::string FindStructureError(const Job& job);

/** Checks a job that is submitted.
 * \return why it cannot be accepted, naming the field; empty if it can. */
std::string FindValidationError(const Job& job);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_JOB_H_
