#include "agatepass/pool/pool_state.h"

#include <algorithm>

namespace agatepass::pool {

bool HasRuns(const StepState& step) {
  return std::any_of(
      step.tasks.begin(), step.tasks.end(),
      [](const TaskState& task) { return task.current_run != nullptr; });
}

size_t JobState::FindOccurrence(uint32_t occurrence) const {
  const auto found = std::partition_point(
      this->steps.begin(), this->steps.end(),
      [occurrence](const auto& step) { return step->occurrence < occurrence; });
  return static_cast<size_t>(found - this->steps.begin());
}

bool JobState::IsOpenOccurrence(uint32_t occurrence) const {
  const size_t position = this->FindOccurrence(occurrence);
  return position < this->steps.size() &&
         this->steps[position]->occurrence == occurrence;
}

bool JobState::IsAllDone() const {
  if (this->job.steps.empty()) return false;
  const uint64_t open = this->steps.size() / this->job.steps.size();
  return this->finished.count() + open == this->CountOccurrences() &&
         std::all_of(this->steps.begin(), this->steps.end(),
                     [](const auto& step) { return step->IsDone(); });
}

}  // namespace agatepass::pool
