/** \file
 * A job as its keeper holds it in memory.
 */
#ifndef AGATEPASS_JOBS_JOB_STATE_H_
#define AGATEPASS_JOBS_JOB_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/jobs/job.h"
#include "agatepass/platform/worker.h"

namespace agatepass::jobs {

/** A task as its keeper holds it. */
struct TaskInfo {
  TaskState state = TaskState::kWaiting;
  /** Number of the newest id given to it. */
  uint32_t attempt = 0;
  /** The id that `worker` knows it by. */
  base::TaskId started_as;
  /** The worker that may run it; empty for none known. */
  base::WorkerId worker;
  /** The epoch that its start was sent under. */
  platform::Epoch epoch = 0;
  /** When it was last known to have begun. */
  base::Instant since;
  /** Adopted, and no worker has told of it yet. */
  bool unaccounted = false;
};

/** One caller who waits for the answer to a submission. */
struct WaitingSubmission {
  uint64_t id = 0;
  base::Instant since;
  bool repeated = false;
};

enum class JobPhase : uint8_t {
  /** Its record is on the way to the store. */
  kJournalling,
  /** Journalled; its idempotency key is being claimed. */
  kClaiming,
  /** Accepted: its tasks may start. */
  kAccepted,
};

/** A job with its tasks. */
struct JobState {
  JobRecord record;
  std::vector<TaskInfo> tasks;
  JobPhase phase = JobPhase::kJournalling;
  /** The journal position that must be committed before the next phase. */
  uint64_t position = 0;
  std::vector<WaitingSubmission> waiting;
  /** Bound to its caller's connection, and in no journal. */
  bool attached = false;
  /** A cancel has been asked for; nothing more is started. */
  bool cancelling = false;
  /** Proofs with a higher number were given after the job was adopted. */
  uint64_t adopted_at_proof = 0;
  base::Instant adopted_at;
  /** Data centres added to the scope, with the journal position that must be
   * committed before a task starts there. */
  std::map<base::DataCentreId, uint64_t> widened;
};

/** One task as callers read it. */
struct TaskView {
  uint32_t index = 0;
  TaskState state = TaskState::kWaiting;
  base::WorkerId worker;
  std::string result;
};

/** A job as callers read it. */
struct JobView {
  JobRecord record;
  bool accepted = false;
  std::vector<TaskView> tasks;
};

/** A task in doubt, with what would settle it. */
struct DoubtfulTask {
  base::JobId job;
  uint32_t index = 0;
  bool idempotent = false;
  /** The worker that may run or have run it; empty if any in scope may. */
  base::WorkerId worker;
  std::string settled_by;
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_JOB_STATE_H_
