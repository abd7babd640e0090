/** \file
 * What the loss of a worker tells about the runs that it had.
 *
 * A task that crashes workers does so soon after its start. A run that its
 * worker has outlived for a while is proven harmless; the others are suspects
 * if the worker is lost.
 */
#ifndef AGATEPASS_POOL_CRASH_EVIDENCE_H_
#define AGATEPASS_POOL_CRASH_EVIDENCE_H_

#include <cstdint>

#include "agatepass/base/time.h"
#include "agatepass/pool/pool_state.h"

namespace agatepass::pool {

/** Time after its start for which a run is unproven: it may be about to crash
 * its worker. */
inline constexpr base::Duration kProbation = std::chrono::milliseconds(500);

/** Workers that fall silent within this time of each other count as lost at the
 * same time. */
inline constexpr base::Duration kSameTime = std::chrono::milliseconds(250);

/** Whether the worker of the run is not known to have lived on for kProbation
 * after its start. */
bool IsUnproven(const RunState& run);

/** Returns the number of unproven runs on a worker. */
size_t CountUnprovenRuns(const WorkerState& worker);

/** Records a reading of the worker's clock: its runs have lived until then. */
void RecordSurvival(WorkerState& worker, int64_t clock_ms);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CRASH_EVIDENCE_H_
