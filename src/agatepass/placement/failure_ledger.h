/** \file
 * Tells workers that fail everything from jobs that fail everywhere.
 */
#ifndef AGATEPASS_PLACEMENT_FAILURE_LEDGER_H_
#define AGATEPASS_PLACEMENT_FAILURE_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/placement/policy.h"

namespace agatepass::placement {

/** Counts failures by worker and by job.
 *
 * A failure counts against the worker unless the job has failed on several
 * workers already; it counts against the job unless the worker is failing other
 * jobs too. A success clears both.
 */
class FailureLedger {
 public:
  explicit FailureLedger(uint64_t seed) : random(seed) {}

  /** Records a failed task or start. \return the end of the worker's probation
   * if it is put on probation now. */
  std::optional<base::Instant> OnFailure(const base::WorkerId& worker,
                                         const base::JobId& job,
                                         const Limits& limits,
                                         base::Instant now);

  /** Records a success. */
  void OnSuccess(const base::WorkerId& worker, const base::JobId& job);

  /** On how many workers, not counting failing ones, the job has failed
   * without a single success. */
  uint32_t FailedWorkers(const base::JobId& job) const;

  /** Returns the workers whose probation has ended by `now`, and forgets the
   * probation; their next failure starts a longer one. */
  std::vector<base::WorkerId> EndProbations(base::Instant now);

  /** Forgets a worker that is gone. */
  void Forget(const base::WorkerId& worker) { this->workers.erase(worker); }

 private:
  struct WorkerRow {
    std::set<base::JobId> failed_jobs;
    uint32_t probations = 0;
    std::optional<base::Instant> until;
  };

  struct JobRow {
    std::set<base::WorkerId> failed_on;
    bool succeeded = false;
    uint64_t number = 0;
  };

  JobRow& RowOf(const base::JobId& job);
  base::Duration ProbationTime(uint32_t repeats, const Limits& limits);

  std::map<base::WorkerId, WorkerRow> workers;
  std::map<base::JobId, JobRow> jobs;
  std::map<uint64_t, base::JobId> job_age;
  uint64_t next_job = 0;
  uint64_t random;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_FAILURE_LEDGER_H_
