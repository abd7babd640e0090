#include "agatepass/pool/memory_cost.h"

namespace agatepass::pool {

namespace {

/** What the allocator and the tables that name a job, a step or a run add. */
constexpr size_t kJobOverheadBytes = 512;
constexpr size_t kStepOverheadBytes = 256;

}  // namespace

size_t DefinitionCost(const Job& job) {
  size_t bytes = sizeof(JobState) + kJobOverheadBytes + job.payload.size() +
                 job.queue.size();
  for (const Step& step : job.steps) {
    bytes += sizeof(Step) + sizeof(base::Duration) +
             step.depends_on.size() * sizeof(uint32_t) +
             step.required_label.size() + step.image.size() +
             step.data_rack.value.size();
  }
  return bytes;
}

size_t OccurrenceCost(const Job& job) {
  size_t bytes = 0;
  for (const Step& step : job.steps) {
    bytes += sizeof(StepState) + kStepOverheadBytes +
             size_t{step.count} * sizeof(TaskState);
  }
  return bytes;
}

}  // namespace agatepass::pool
