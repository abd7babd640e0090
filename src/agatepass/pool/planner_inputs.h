/** \file
 * What a planner is given: the time, and what the store held at the beginning
 * of its term.
 */
#ifndef AGATEPASS_POOL_PLANNER_INPUTS_H_
#define AGATEPASS_POOL_PLANNER_INPUTS_H_

#include <cstdint>
#include <optional>

#include "agatepass/base/time.h"
#include "agatepass/platform/store.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/record_codec.h"

namespace agatepass::pool {

/** A job as the store held it at the beginning of the leadership term. */
struct StoredJob {
  Job job;
  std::optional<JobProgress> progress;
  /** Revision of the progress in the store; 0 if there is none. */
  platform::Revision progress_revision = 0;
};

/** The time, passed in with each input. */
struct PlannerTime {
  base::Instant now;
  /** Unix milliseconds, for due times and for times that are stored. */
  int64_t wall_ms = 0;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_PLANNER_INPUTS_H_
