/** \file
 * Time limits, delays and other limits of the planner of a pool.
 */
#ifndef AGATEPASS_POOL_PLANNER_OPTIONS_H_
#define AGATEPASS_POOL_PLANNER_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "agatepass/base/time.h"
#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** Settings of one leadership term. */
struct PlannerOptions {
  Fence fence = 0;
  /** Lease on all runs of a worker, renewed by each sync. It has to outlast a
   * takeover by another planner; the tasks of a lost worker are not restarted
   * before it has expired. */
  base::Duration worker_lease = std::chrono::milliseconds(6500);
  /** Longest lease that a worker grants, whatever is asked for. */
  base::Duration max_worker_lease = std::chrono::seconds(10);
  /** Minimum rate of a worker's clock, relative to the planner's clock. */
  double min_clock_rate = 0.98;
  /** Longest time that a worker takes to stop a run. */
  base::Duration max_stop_time = std::chrono::milliseconds(900);
  /** How long before the shutdown of a draining worker its runs must have ended
   * or got their stop, so that this can be read: covers the way there and back,
   * and a report of the worker that arrived late. */
  base::Duration shutdown_margin = std::chrono::milliseconds(400);
  /** Period at which workers report about themselves. A report that is read at
   * the beginning of a term may be as old. */
  base::Duration worker_report_period = std::chrono::milliseconds(1500);
  /** Age from which the known capacities of workers are not counted on: less
   * than the time for which starts may count on a capacity that has shrunk and
   * was reported in time. */
  base::Duration max_capacity_age = std::chrono::milliseconds(2900);
  /** Delay before the next sync with a worker that is about to shut down while
   * the effect of reported ends is not stored. */
  base::Duration syncs_before_shutdown_delay = std::chrono::milliseconds(100);
  /** How long a sync with a worker that has runs waits for one to end. */
  base::Duration sync_wait = std::chrono::milliseconds(1000);
  /** Same, for a worker without runs. */
  base::Duration idle_sync_wait = std::chrono::milliseconds(2000);
  /** Delay before the next sync after an unanswered one, or while the effect of
   * reported ends is not stored. */
  base::Duration sync_retry_delay = std::chrono::milliseconds(400);
  /** Delay before an unanswered stop request is sent again. */
  base::Duration stop_retry_delay = std::chrono::milliseconds(400);
  /** Minimum time between two commits of jobs and of the worker roster; it does
   * not apply to compactions and removals. More commits would cost store calls.
   */
  base::Duration min_commit_interval = std::chrono::milliseconds(20);
  /** Minimum time between two commits while more writes are pending than one
   * commit can hold; derived from the write rate that the store allows. */
  base::Duration min_backlog_commit_interval = std::chrono::milliseconds(5);
  /** Time between two commits that probe whether the store is back. Callers
   * wait for it meanwhile, with a few seconds left. */
  base::Duration probe_interval = std::chrono::milliseconds(100);
  /** Maximum number of commits in flight when a probe is sent: those of
   * `probe_interval` within the longest time until a commit is given up, of
   * about 1.5 s. */
  size_t max_probes_in_flight = 16;
  /** Delay after a commit that was not sent or not answered. */
  base::Duration commit_retry_delay = std::chrono::milliseconds(250);
  /** Maximum number of commits in flight when a commit of jobs or of the roster
   * is sent; compactions and removals are sent regardless. Enough that writes
   * do not queue up while the store is tens of times slower than usual. */
  size_t max_commits_in_flight = 8;
  /** Time after which a caller is told that the outcome of its submit is
   * unknown; it may submit the job again under the same id. */
  base::Duration submit_outcome_timeout = std::chrono::milliseconds(1500);
  /** Maximum entries of one commit: the store takes 32, and one of these is the
   * condition that the planner is the leader. */
  size_t max_entries_per_commit = 31;
  /** Time for which callers can still ask about a job after it became final.
   */
  base::Duration final_job_retention = std::chrono::seconds(125);
  /** Delay after an advice query that was not answered. */
  base::Duration advice_retry_delay = std::chrono::milliseconds(250);
  /** Maximum time for which capacity is reserved while tickets are renewed. */
  base::Duration max_ticket_reservation_time = std::chrono::milliseconds(1800);
  /** Remaining lifetime at which a ticket is treated as expired, since the
   * start request has to arrive before it expires. */
  base::Duration ticket_expiry_margin = std::chrono::milliseconds(200);
  /** Maximum number of workers named in one advice query. */
  size_t max_workers_per_query = 100;
  /** Minimum number of workers named in the first query about a step, so that
   * one query is usually enough. */
  size_t min_workers_per_query = 30;
  /** Quarantine of a worker that did not answer, refused a start, or reports a
   * run that another worker has: it gets no new work for this time. */
  base::Duration quarantine_time = std::chrono::milliseconds(1500);
  /** Consecutive failed runs after which a worker is quarantined for
   * `failure_quarantine_time`. */
  uint32_t failures_to_quarantine = 3;
  base::Duration failure_quarantine_time = std::chrono::seconds(4);
  /** Quarantine of a worker whose runs have stalled. */
  base::Duration stall_quarantine_time = std::chrono::milliseconds(2500);
  /** Share of the processor capacity that admission assumes to be usable. */
  double usable_processor_share = 0.85;
  /** Number of workers that the planner may examine in a second, over all steps
   * that look for a place: a bound on the part of its processor time that is
   * not spent on starts and ends. */
  double max_workers_examined_per_second = 5e6;
  /** Memory for accepted work, estimated. Submissions beyond a part of it are
   * rejected, and occurrences beyond it wait. */
  size_t max_held_bytes = size_t{100} * 1024 * 1024;
  /** How long before its due time an occurrence may start. */
  base::Duration max_early_start{0};
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_PLANNER_OPTIONS_H_
