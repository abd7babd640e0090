#include "agatepass/jobs/job.h"

#include "agatepass/base/text.h"
#include "fmt/format.h"

namespace agatepass::jobs {

std::string_view JobKindName(JobKind kind) {
  switch (kind) {
    case JobKind::kService:
      return "service";
    case JobKind::kBatch:
      return "batch";
    case JobKind::kGang:
      return "gang";
  }
  return "batch";
}

std::optional<JobKind> ParseJobKind(std::string_view name) {
  for (JobKind kind : {JobKind::kService, JobKind::kBatch, JobKind::kGang}) {
    if (JobKindName(kind) == name) return kind;
  }
  return std::nullopt;
}

std::string_view TaskStateName(TaskState state) {
  switch (state) {
    case TaskState::kWaiting:
      return "waiting";
    case TaskState::kStarting:
      return "starting";
    case TaskState::kRunning:
      return "running";
    case TaskState::kSucceeded:
      return "succeeded";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kCancelled:
      return "cancelled";
    case TaskState::kInDoubt:
      return "in doubt";
  }
  return "in doubt";
}

std::string Incarnation::ToString() const {
  return fmt::format("{}/{}", this->host.value, this->number);
}

void SettleTasks(TaskState state, const IndexRanges& tasks, JobRecord& job) {
  for (const auto& [first, last] : tasks.entries()) {
    job.settled[state].AddRange(first, last);
    if (state == TaskState::kInDoubt) continue;
    const auto doubt = job.settled.find(TaskState::kInDoubt);
    if (doubt == job.settled.end()) continue;
    doubt->second.RemoveRange(first, last);
    if (doubt->second.empty()) job.settled.erase(doubt);
  }
}

void RemoveFromDoubt(uint32_t index, JobRecord& job) {
  const auto doubt = job.settled.find(TaskState::kInDoubt);
  if (doubt == job.settled.end()) return;
  doubt->second.RemoveRange(index, index);
  if (doubt->second.empty()) job.settled.erase(doubt);
}

size_t CountEnded(const JobRecord& job) {
  size_t ended = 0;
  for (const auto& [state, tasks] : job.settled) {
    if (IsEnded(state)) ended += tasks.size();
  }
  return ended;
}

void CloseIfEnded(base::WallTime at, JobRecord& job) {
  if (CountEnded(job) == job.spec.task_count) job.ended = at;
}

TaskState RecordedState(const JobRecord& job, uint32_t index) {
  for (const auto& [state, tasks] : job.settled) {
    if (tasks.Contains(index)) return state;
  }
  return TaskState::kWaiting;
}

base::TaskId MakeTaskId(const TaskName& name) {
  return base::TaskId(
      fmt::format("{}/{}/{}", name.job.value, name.index, name.attempt));
}

std::optional<TaskName> ParseTaskId(const base::TaskId& task) {
  const std::string_view text = task.value;
  const size_t last = text.rfind('/');
  if (last == std::string_view::npos || last == 0) return std::nullopt;
  const size_t first = text.rfind('/', last - 1);
  if (first == std::string_view::npos || first == 0) return std::nullopt;
  const auto index =
      base::ParseNumber<uint32_t>(text.substr(first + 1, last - first - 1));
  const auto attempt = base::ParseNumber<uint32_t>(text.substr(last + 1));
  if (!index || !attempt) return std::nullopt;
  return TaskName{base::JobId(text.substr(0, first)), *index, *attempt};
}

base::JobId MakeJobId(const Incarnation& home, uint64_t sequence) {
  return base::JobId(
      fmt::format("{}-{}-{}", home.host.value, home.number, sequence));
}

std::optional<Incarnation> BirthplaceOf(const base::JobId& job) {
  const std::string_view text = job.value;
  const size_t last = text.rfind('-');
  if (last == std::string_view::npos || last == 0) return std::nullopt;
  const size_t first = text.rfind('-', last - 1);
  if (first == std::string_view::npos || first == 0) return std::nullopt;
  const auto number =
      base::ParseNumber<uint64_t>(text.substr(first + 1, last - first - 1));
  if (!number) return std::nullopt;
  return Incarnation{base::HostId(text.substr(0, first)), *number};
}

}  // namespace agatepass::jobs
