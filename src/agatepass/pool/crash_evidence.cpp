#include "agatepass/pool/crash_evidence.h"

#include <algorithm>

namespace agatepass::pool {

bool IsUnproven(const RunState& run) { return run.survived < kProbation; }

size_t CountUnprovenRuns(const WorkerState& worker) {
  return static_cast<size_t>(
      std::count_if(worker.runs.begin(), worker.runs.end(),
                    [](const RunState* run) { return IsUnproven(*run); }));
}

void RecordSurvival(WorkerState& worker, int64_t clock_ms) {
  for (RunState* run : worker.runs) {
    if (!run->confirmed_clock_ms) continue;
    run->survived =
        std::max(run->survived, base::Duration(std::chrono::milliseconds(
                                    clock_ms - *run->confirmed_clock_ms)));
  }
}

}  // namespace agatepass::pool
