#include <algorithm>
#include <array>
#include <utility>

#include "agatepass/placement/planner.h"

namespace agatepass::placement {
namespace {

using platform::Resources;

/** Fills in what a worker lacks, and returns it as a part of what is needed. */
double FillMiss(const Resources& need, const Resources& room, Obstacle obstacle,
                NearestMiss& miss) {
  switch (obstacle) {
    case Obstacle::kProcessors:
      miss.needed = need.millicores;
      miss.available = room.millicores;
      break;
    case Obstacle::kMemory:
      miss.needed = need.memory_mib;
      miss.available = room.memory_mib;
      break;
    case Obstacle::kAccelerators:
      miss.needed = need.accelerators;
      miss.available = room.accelerators;
      break;
    default:
      return 1.0;
  }
  miss.available = std::max<int64_t>(miss.available, 0);
  return static_cast<double>(miss.needed - miss.available) /
         static_cast<double>(std::max<int64_t>(miss.needed, 1));
}

}  // namespace

Explanation Planner::Describe(const TaskRecord& task, const PlacementNeed& need,
                              base::Instant now) const {
  const TaskRequest& request = task.request;
  Explanation why;
  why.task = request.task;
  why.job = request.job;
  why.team = request.team;
  why.workload_kind = request.kind;
  why.priority = request.priority;
  why.effective_priority =
      task.line == nullptr ? request.priority : task.line->effective;
  why.declared = request.declared;
  why.granted = need.room;
  why.label = request.label;
  why.decided_at = now;
  why.waited = now - task.enqueued;
  why.preset = this->rules.preset;
  why.revision = this->rules.revision;
  why.workers = static_cast<uint32_t>(this->workers.size());
  why.gang_size = request.gang_size;
  why.gang_arrived = task.job == nullptr ? 0 : task.job->tasks;
  why.lowest_started = this->rules.lowest_started;
  const Team& team = this->teams[task.team];
  why.team_used = team.granted;
  if (team.quota) why.team_quota = *team.quota;
  why.failed_workers = this->failures.FailedWorkers(request.job);
  return why;
}

void Planner::DescribeObstacles(const PlacementNeed& need,
                                Explanation& why) const {
  std::array<uint32_t, kObstacleCount> counts{};
  double least = 2.0;
  std::optional<base::Instant> earliest;
  for (WorkerSlot slot = 0; slot < this->workers.slots(); ++slot) {
    const Worker& worker = this->workers.worker(slot);
    if (!worker.present) continue;
    const Obstacle obstacle = this->workers.ObstacleOn(slot, need);
    ++counts[static_cast<size_t>(obstacle)];
    if (obstacle == Obstacle::kNone) continue;
    NearestMiss miss{.worker = worker.view.worker, .obstacle = obstacle};
    const double lack = FillMiss(need.room, worker.Room(), obstacle, miss);
    if (lack < least || (lack == least && miss.worker < why.nearest->worker)) {
      least = lack;
      why.nearest = miss;
    }
    for (const Occupant& occupant : worker.occupants) {
      if (!occupant.expected_end) continue;
      earliest = std::min(earliest.value_or(*occupant.expected_end),
                          *occupant.expected_end);
    }
  }
  why.ruled_out.clear();
  for (size_t i = 1; i < kObstacleCount; ++i) {
    if (counts[i] == 0) continue;
    why.ruled_out.push_back(
        {.obstacle = static_cast<Obstacle>(i), .workers = counts[i]});
  }
  if (earliest && *earliest > why.decided_at) {
    why.estimated_wait = *earliest - why.decided_at;
  }
  if (const Worker* largest =
          this->workers.Largest(this->workers.labels().Find(why.label))) {
    why.largest_worker = largest->view.worker;
    why.largest = largest->view.total;
  }
}

Explanation Planner::ExplainWaiting(const TaskRecord& task,
                                    base::Instant now) const {
  const PlacementNeed need = this->NeedOf(task, now);
  Explanation why = this->Describe(task, need, now);
  why.kind = DecisionKind::kDelay;
  why.reason = base::ResultCode::kNoRoomNow;
  const WaitCause parked = task.line->parked;
  why.cause = parked == WaitCause::kNothing ? WaitCause::kOrder : parked;
  if (why.cause == WaitCause::kQuota) {
    why.reason = base::ResultCode::kQuotaExceeded;
  }
  if (why.cause == WaitCause::kPreset) {
    why.reason = base::ResultCode::kRefusedByRule;
  }
  if (this->workers.size() == 0) why.cause = WaitCause::kNoWorkers;
  if (why.cause == WaitCause::kRoom && !this->workers.CouldEverFit(need)) {
    why.cause = WaitCause::kNeverFits;
  }
  this->DescribeObstacles(need, why);
  return why;
}

std::optional<Explanation> Planner::Explain(const base::TaskId& task,
                                            base::Instant now) const {
  if (const TaskRecord* record = this->FindRecord(task);
      record != nullptr && record->stage == TaskStage::kQueued) {
    return this->ExplainWaiting(*record, now);
  }
  const Explanation* found = this->log.Find(task);
  if (found == nullptr) return std::nullopt;
  return *found;
}

std::optional<Explanation> Planner::Explain(const base::JobId& job,
                                            base::Instant now) const {
  if (const auto found = this->jobs.find(job); found != this->jobs.end()) {
    for (const TaskRecord* task = found->second->first; task != nullptr;
         task = task->next_of_job) {
      if (task->stage == TaskStage::kQueued) {
        return this->ExplainWaiting(*task, now);
      }
    }
  }
  const Explanation* found = this->log.Find(job);
  if (found == nullptr) return std::nullopt;
  return *found;
}

}  // namespace agatepass::placement
