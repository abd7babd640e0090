// Lost workers: what their loss tells about the runs that they had.
#include <algorithm>

#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

void PoolPlanner::RecordSilence(WorkerState& worker, base::Instant now) {
  if (!worker.silent_since) worker.silent_since = now;
}

size_t PoolPlanner::CountSilentAtSameTime(const WorkerState& worker) const {
  if (!worker.silent_since) return 0;
  return static_cast<size_t>(std::count_if(
      this->workers.begin(), this->workers.end(), [&](const auto& entry) {
        const WorkerState& other = *entry.second;
        return &other != &worker && other.silent_since &&
               std::chrono::abs(*other.silent_since - *worker.silent_since) <=
                   kSameTime;
      }));
}

}  // namespace agatepass::pool
