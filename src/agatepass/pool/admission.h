/** \file
 * Admission control: whether a job can meet its objective behind the work
 * already accepted.
 *
 * Handles bursts: work beyond what the workers can do, or the planner can
 * start, is rejected immediately, so that accepted jobs still end in time.
 */
#ifndef AGATEPASS_POOL_ADMISSION_H_
#define AGATEPASS_POOL_ADMISSION_H_

#include <limits>
#include <optional>

#include "agatepass/base/time.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/queue_table.h"

namespace agatepass::pool {

/** Waiting work of a pool, and the processor capacity available for it. */
struct PoolLoad {
  /** Part of the processor capacity (`usable_processor_share`) of the workers
   * that can take work now; admission assumes no more. */
  double usable_millicores = 0;
  /** Waiting work of queues of higher priority, in millicore-seconds. */
  double higher_priority_work = 0;
  /** Waiting work of queues of the same priority, in millicore-seconds. */
  double same_priority_work = 0;
  /** Processor capacity that is free now on workers without a gang reservation.
   */
  double free_millicores = 0;
  /** Processor capacity requested by tasks that could start now, of queues of
   * the same or higher priority, gangs excluded: these tasks compete for free
   * capacity immediately. */
  double waiting_millicores = 0;
  /** Tasks in time that could start now, of queues of the same or higher
   * priority: the planner starts them first. */
  double starts_ahead = 0;
  /** Starts a second that the planner can carry for this priority. */
  double starts_per_second = std::numeric_limits<double>::infinity();
  /** Share of the free processors that a step can use: it may run only on some
   * of the workers, and free capacity is fragmented. */
  double usable_free_share = 0.4;
};

/** Decides whether a job is admitted.
 * \param load the pool's waiting work and capacity, without the job.
 * \param policy policy of the job's queue; defines the objective.
 * \return nothing if the job is admitted: it is expected to meet its objective,
 * or its first tasks can start now, or no work is waiting, or no worker can
 * take work now. Otherwise the time after which a retry may succeed, as enough
 * of the work ahead of the job is done. */
std::optional<base::Duration> FindAdmissionRetryDelay(
    const PoolLoad& load, const Job& job, const QueuePolicy& policy);

/** Whether the free capacity suffices for all tasks that could start now and
 * for the job's first ones, gangs included: for jobs that are only admitted
 * while others do not need the capacity. */
bool HasSpareCapacity(const PoolLoad& load, const Job& job);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_ADMISSION_H_
