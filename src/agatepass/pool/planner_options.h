/** \file
 * Times and limits of the planner of a pool.
 */
#ifndef AGATEPASS_POOL_PLANNER_OPTIONS_H_
#define AGATEPASS_POOL_PLANNER_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "agatepass/base/time.h"
#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** Settings of one term of office. */
struct PlannerOptions {
  Fence fence = 0;
  /** Lease on all that a worker runs, renewed by each review. It has to outlast
   * a takeover, and a lost worker's tasks wait for its end. */
  base::Duration worker_lease = std::chrono::milliseconds(6500);
  /** How slow a worker's clock may be, as a share of ours. */
  double min_clock_rate = 0.98;
  /** Time for which a review of a busy worker waits for an end. */
  base::Duration sync_wait = std::chrono::milliseconds(1000);
  /** Same, of a worker that runs nothing. */
  base::Duration idle_sync_wait = std::chrono::milliseconds(2000);
  /** Wait after a review that got no answer. */
  base::Duration sync_retry_delay = std::chrono::milliseconds(400);
  /** Wait before a stop without an answer is sent again. */
  base::Duration stop_retry_delay = std::chrono::milliseconds(400);
  /** Least time between two commits: more of them would cost store calls. */
  base::Duration min_commit_interval = std::chrono::milliseconds(20);
  /** Least time between two commits while more waits than one can hold; set
   * from the rate of writes that the store allows. */
  base::Duration min_backlog_commit_interval = std::chrono::milliseconds(5);
  /** Wait after a commit that the store did not take. */
  base::Duration commit_retry_delay = std::chrono::milliseconds(250);
  /** Enough that work does not queue while the store is tens of times slower
   * than usual. */
  size_t max_commits_in_flight = 8;
  /** Time after which a caller is told that a job's fate is unknown: it may
   * send it again under the same id. */
  base::Duration submit_outcome_timeout = std::chrono::milliseconds(1500);
  /** Entries of one commit: the store takes 32, one is the condition that the
   * planner is in office. */
  size_t max_entries_per_commit = 31;
  /** Time for which a final job can be asked for. */
  base::Duration final_job_retention = std::chrono::seconds(125);
  /** Wait after advice that was not given. */
  base::Duration advice_retry_delay = std::chrono::milliseconds(250);
  /** Longest time that room is kept while tickets are renewed. */
  base::Duration max_ticket_reservation_time = std::chrono::milliseconds(1800);
  /** Age before its end at which a ticket is taken to have run out: the order
   * has to arrive in time. */
  base::Duration ticket_expiry_margin = std::chrono::milliseconds(200);
  /** Most workers named in one query for advice. */
  size_t max_workers_per_query = 100;
  /** Fewest workers named in the first query about a step, so that one query
   * is mostly enough. */
  size_t min_workers_per_query = 30;
  /** Time without new work for a worker that did not answer or was unwell. */
  base::Duration quarantine_time = std::chrono::milliseconds(1500);
  /** Failures in a row after which a worker gets no work for
   * `failing_shun_time`. */
  uint32_t failures_to_quarantine = 3;
  base::Duration failure_quarantine_time = std::chrono::seconds(4);
  /** Time without new work for a worker whose runs stand still. */
  base::Duration stall_quarantine_time = std::chrono::milliseconds(2500);
  /** Share of the processors that admission counts on. */
  double usable_processor_share = 0.85;
  /** How early a timed occurrence may start. */
  base::Duration max_early_start{0};
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_PLANNER_OPTIONS_H_
