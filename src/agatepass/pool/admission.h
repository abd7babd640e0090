/** \file
 * Whether a job can meet its objective behind the work that is accepted.
 *
 * Answers bursts: work beyond what the workers can do is rejected at once, so
 * that what is accepted still ends in time.
 */
#ifndef AGATEPASS_POOL_ADMISSION_H_
#define AGATEPASS_POOL_ADMISSION_H_

#include <optional>

#include "agatepass/base/time.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/queue_table.h"

namespace agatepass::pool {

/** Work that waits in a pool and the processors to do it with. */
struct PoolLoad {
  /** Processors that work can count on. */
  double usable_millicores = 0;
  /** Waiting work of queues that come first, in millicore-seconds. */
  double higher_priority_work = 0;
  /** Waiting work of queues of the same priority, in millicore-seconds. */
  double same_priority_work = 0;
  /** Processors that are free now where no gang waits for them. */
  double free_millicores = 0;
  /** Processors asked for by tasks that could start now, of queues of the same
   * priority or before, without those of gangs: these wait for room at once. */
  double waiting_millicores = 0;
};

/** Returns nothing if the job can meet its objective, otherwise the time after
 * which enough of the work before it is done. */
std::optional<base::Duration> RetryAfterOverload(const PoolLoad& load,
                                                 const Job& job,
                                                 const QueuePolicy& policy);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_ADMISSION_H_
