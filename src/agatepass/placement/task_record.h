/** \file
 * A task and a job as the planner keeps them.
 */
#ifndef AGATEPASS_PLACEMENT_TASK_RECORD_H_
#define AGATEPASS_PLACEMENT_TASK_RECORD_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "agatepass/placement/labels.h"
#include "agatepass/placement/task.h"

namespace agatepass::placement {

struct Line;
struct JobRecord;

/** How far a task has come. */
enum class TaskStage : uint8_t {
  kQueued,
  /** Room is set aside for it on a worker that others are leaving. */
  kAwaitingRoom,
  /** Placed; the worker has not confirmed the start. */
  kStarting,
  kRunning,
};

/** A task that has not ended. */
struct TaskRecord {
  TaskRequest request;
  uint32_t team = 0;
  uint32_t workload = 0;
  LabelNumber label = 0;
  TaskStage stage = TaskStage::kQueued;
  base::Instant enqueued;
  base::Instant placed;
  base::WorkerId worker;
  platform::Resources granted;
  JobRecord* job = nullptr;
  TaskRecord* next_of_job = nullptr;
  TaskRecord* previous_of_job = nullptr;
  /** While queued: the line that it stands in. */
  Line* line = nullptr;
  TaskRecord* next = nullptr;
  TaskRecord* previous = nullptr;
};

/** A job with tasks that have not ended. */
struct JobRecord {
  base::JobId job;
  TaskRecord* first = nullptr;
  TaskRecord* last = nullptr;
  uint32_t tasks = 0;
  /** Of gangs: whether all tasks were placed once. */
  bool assembled = false;
};

/** Numbers for texts, in order of first sight.
 *
 * \code
 * Interner teams;
 * uint32_t team = teams.NumberOf(request.team.value);
 * \endcode
 */
class Interner {
 public:
  uint32_t NumberOf(const std::string& text) {
    const auto next = static_cast<uint32_t>(this->numbers.size());
    return this->numbers.try_emplace(text, next).first->second;
  }

  /** How many texts have a number. */
  size_t size() const { return this->numbers.size(); }

 private:
  absl::flat_hash_map<std::string, uint32_t> numbers;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_TASK_RECORD_H_
