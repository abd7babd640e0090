/** \file
 * Counters of the planner of a pool, for the metrics.
 */
#ifndef AGATEPASS_POOL_PLANNER_COUNTS_H_
#define AGATEPASS_POOL_PLANNER_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "agatepass/base/time.h"
#include "agatepass/pool/step_wait.h"

namespace agatepass::pool {

/** Counts of one leadership term. */
struct PlannerCounts {
  uint64_t accepted = 0;
  uint64_t rejected = 0;
  /** Jobs that waited for the store, and of these the ones that were taken when
   * it answered, and that were rejected as their callers left no more time. */
  uint64_t submissions_delayed = 0;
  uint64_t submissions_taken = 0;
  uint64_t submissions_expired = 0;
  uint64_t starts = 0;
  /** Starts that the worker did not carry out, or that were not sent. */
  uint64_t starts_refused = 0;
  /** Starts that were not answered. */
  uint64_t starts_outcome_unknown = 0;
  uint64_t ends = 0;
  uint64_t failures = 0;
  /** Times that a worker was lost with its runs, and number of these runs. */
  uint64_t workers_lost = 0;
  uint64_t runs_given_up = 0;
  /** Runs that may have crashed their worker, by how sure that is: something
   * else may explain the crash, or nothing does. */
  uint64_t crashes_suspected = 0;
  uint64_t crashes_alone = 0;
  /** Starts of suspected tasks, and tasks cleared of suspicion. */
  uint64_t trials = 0;
  uint64_t suspects_cleared = 0;
  /** Jobs that failed because a task crashed its workers. */
  uint64_t jobs_failed_for_crashes = 0;
  /** Runs stopped because their worker was about to shut down. */
  uint64_t runs_stopped_before_shutdown = 0;
  /** Runs stopped because they stalled. */
  uint64_t stalled_runs_stopped = 0;
  /** Runs stopped to free capacity for gangs of queues with a higher priority.
   */
  uint64_t runs_preempted = 0;
  uint64_t advice_queries = 0;
  uint64_t commits = 0;
  /** Times that a worker was considered for a step or in admission: the part
   * of the planner's work that grows with the pool. */
  uint64_t workers_examined = 0;
};

/** Counts of one team in one leadership term. */
struct TeamCounts {
  uint64_t accepted = 0;
  /** Accepted jobs that were beyond its share, while there was capacity. */
  uint64_t accepted_beyond_share = 0;
  uint64_t rejected_by_cap = 0;
  uint64_t rejected_by_share = 0;
};

/** Work that waits at one moment. */
struct PlannerBacklog {
  size_t open_jobs = 0;
  /** Jobs with an occurrence that is not due yet, or held back. */
  size_t awaited_jobs = 0;
  /** Bytes that accepted work takes, estimated. */
  size_t held_bytes = 0;
  /** Ready steps in the last scheduling pass. */
  size_t ready_steps = 0;
  /** Ready steps since they became ready, by urgency. */
  std::array<QueueAge, 4> ready_by_urgency;
  /** Ready steps since they wait for their present reason. */
  std::array<QueueAge, kWaitReasons> ready_by_reason;
  /** Queries for advice that are not answered. */
  QueueAge queries;
  /** Runs whose start is requested and not confirmed. */
  QueueAge unconfirmed_starts;
  /** Runs that were told to stop and have not ended. */
  QueueAge stops;
  /** Workers of earlier terms that are not synced, since the term began. */
  QueueAge unsynced_workers;
  /** Accepted jobs that are not stored yet, and commits without an answer. */
  QueueAge unstored_jobs;
  QueueAge commits;
  /** Ends that were read and whose effect is not stored. */
  QueueAge unstored_ends;
  /** Starts that may be in flight, by the workers' answers; the same for work
   * that is not urgent, by this process's lag; queries of the latter. */
  double start_limit = 0;
  double other_start_limit = 0;
  double other_query_limit = 0;
  /** Starts a second that this planner can carry; infinite while unknown. */
  double starts_per_second = 0;
  /** Syncs that should have been answered, and the time by which the answer to
   * the oldest of them is late. */
  size_t late_syncs = 0;
  base::Duration oldest_late_sync{0};
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_PLANNER_COUNTS_H_
