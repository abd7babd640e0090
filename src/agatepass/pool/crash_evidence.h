/** \file
 * What the loss of a worker tells about the runs that it had: which of them
 * may be the cause, and how much it would cost to lose a worker.
 */
#ifndef AGATEPASS_POOL_CRASH_EVIDENCE_H_
#define AGATEPASS_POOL_CRASH_EVIDENCE_H_

#include <cstdint>

#include "agatepass/base/time.h"
#include "agatepass/pool/pool_state.h"

namespace agatepass::pool {

/** Workers that fall silent within this time of each other count as lost at the
 * same time. */
inline constexpr base::Duration kSameTime = std::chrono::milliseconds(250);

/** Workers that fell silent at the same time as another one, without a run that
 * could be the cause. */
struct SilencesAtOnce {
  size_t workers = 0;
  /** Whether one of them is in the other one's rack. */
  bool in_same_rack = false;
};

/** Whether a common cause is likely, such as a rack, a power cut or a cut
 * network: a neighbour fell silent too, or a part of the pool. In a large pool
 * a few workers fall silent at any time.
 * \param pool_size number of workers in the pool. */
bool HasCommonCause(const SilencesAtOnce& silences, size_t pool_size);

/** What is known of the loss of a worker, beside the run that is judged. */
struct CrashEvidence {
  /** Whether the worker is known to have restarted; otherwise it may only be
   * cut off. */
  bool restarted = false;
  /** Whether all runs that were unproven there were of the run's job. */
  bool alone_on_worker = false;
  /** The other losses at the time, and whether they have a common cause. */
  SilencesAtOnce silences;
  bool has_common_cause = false;
};

/** Whether nothing but the run that is judged explains the loss. */
bool IsOnlyExplanation(const CrashEvidence& evidence);

/** Returns how long the worker must outlive the start to prove the run
 * harmless. */
base::Duration ProbationOf(const RunState& run);

/** Returns how long the worker must outlive the start for other work to start
 * beside the run if that is a trial. */
base::Duration TrialTimeOf(const RunState& run);

/** Whether the run may be the cause if its worker is lost now: the worker is
 * not known to have outlived its probation. */
bool IsUnproven(const RunState& run);

/** Whether the worker has acknowledged the run, by its answer to the start or
 * in a list of its runs: only then can the run have crashed it. */
bool IsAcknowledged(const RunState& run);

/** Same, if the run was ordered from the worker's current incarnation. */
bool IsUnprovenOnWorker(const RunState& run);

/** Returns the number of jobs with unproven runs on a worker. */
size_t CountUnprovenJobs(const WorkerState& worker);

/** Whether any run on the worker is unproven. */
bool HasUnprovenRuns(const WorkerState& worker);

/** Whether any run on the worker began so lately that the time of its trial, if
 * it is one, is not over. */
bool HasFreshRuns(const WorkerState& worker);

/** Records a reading of the worker's clock: its runs have lived until then. */
void RecordSurvival(WorkerState& worker, int64_t clock_ms);

/** Returns the work that would be lost with the worker, in millicore-seconds. A
 * gang is lost as a whole with one of its members. */
double WorkAtRisk(const WorkerState& worker, base::Instant now);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CRASH_EVIDENCE_H_
