#include "agatepass/pool/job.h"

#include <algorithm>
#include <limits>

#include "fmt/format.h"

namespace agatepass::pool {

namespace {

/** Maximum length of the text that the tasks are started with. */
constexpr size_t kMaxPayloadBytes = 4000;

}  // namespace

std::string ToString(const TaskName& name) {
  return fmt::format("{}.{}.{}.{}", name.job.value, name.occurrence, name.step,
                     name.index);
}

base::Duration CriticalPathDuration(const Job& job) {
  std::vector<base::Duration> finish;
  finish.reserve(job.steps.size());
  base::Duration critical_path{0};
  for (const Step& step : job.steps) {
    base::Duration start{0};
    for (const uint32_t required : step.depends_on) {
      if (required < finish.size()) start = std::max(start, finish[required]);
    }
    finish.push_back(start + step.estimate);
    critical_path = std::max(critical_path, finish.back());
  }
  return critical_path;
}

std::vector<base::Duration> RemainingCriticalPathDurations(const Job& job) {
  std::vector<base::Duration> paths(job.steps.size(), base::Duration(0));
  // Steps depend on earlier ones only: each is complete before it is passed on.
  for (size_t i = job.steps.size(); i-- > 0;) {
    paths[i] += job.steps[i].estimate;
    for (const uint32_t earlier : job.steps[i].depends_on) {
      if (earlier < i) paths[earlier] = std::max(paths[earlier], paths[i]);
    }
  }
  return paths;
}

platform::Resources TakenResources(const Step& step) {
  platform::Resources taken = step.need;
  if (step.uses_idle_processors) taken.millicores = 0;
  return taken;
}

double EstimatedWork(const Job& job) {
  double work = 0;
  for (const Step& step : job.steps) {
    work += static_cast<double>(step.count) *
            static_cast<double>(TakenResources(step).millicores) *
            base::ToSeconds(step.estimate);
  }
  return work;
}

int64_t DueMs(const Job& job, uint64_t occurrence) {
  int64_t offset = 0;
  int64_t due = 0;
  if (__builtin_mul_overflow(static_cast<int64_t>(occurrence), job.interval_ms,
                             &offset) ||
      __builtin_add_overflow(job.first_due_ms, offset, &due)) {
    return std::numeric_limits<int64_t>::max();
  }
  // Differences from the present do not overflow then.
  return std::max<int64_t>(due, 0);
}

std::string FindStructureError(const Job& job) {
  if (job.steps.empty()) return "the job has no steps";
  uint64_t tasks = 0;
  for (size_t i = 0; i < job.steps.size(); ++i) {
    const Step& step = job.steps[i];
    tasks += step.count;
    if (step.count == 0) return fmt::format("step {} has no tasks", i);
    if (!step.need.IsValid()) {
      return fmt::format("step {} asks for less than nothing", i);
    }
    for (const uint32_t required : step.depends_on) {
      if (required >= i) {
        return fmt::format("step {} waits for step {}, which is not before it",
                           i, required);
      }
    }
  }
  if (tasks > kMaxTasksPerOccurrence) {
    return fmt::format("{} tasks are more than {}", tasks,
                       kMaxTasksPerOccurrence);
  }
  return "";
}

std::string FindValidationError(const Job& job) {
  if (job.payload.size() > kMaxPayloadBytes) {
    return fmt::format("a text of {} bytes is longer than {}",
                       job.payload.size(), kMaxPayloadBytes);
  }
  if (job.occurrences > 1 && job.interval_ms < 0) {
    return fmt::format("an interval of {} ms is less than nothing",
                       job.interval_ms);
  }
  return FindStructureError(job);
}

}  // namespace agatepass::pool
