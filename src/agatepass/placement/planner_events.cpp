#include <algorithm>
#include <utility>

#include "agatepass/placement/planner.h"

namespace agatepass::placement {

using platform::Resources;

void Planner::TakeOffWorker(TaskRecord& task) {
  if (const auto slot = this->workers.Find(task.worker)) {
    this->workers.Release(*slot, task.request.task);
  }
  this->ReleaseTeam(task.team, task.granted);
  task.granted = {};
  task.worker = {};
}

void Planner::Requeue(TaskRecord& task) {
  task.stage = TaskStage::kQueued;
  this->queue.Push(task);
}

void Planner::OnStarted(const base::TaskId& task, const base::WorkerId& worker,
                        base::Instant now) {
  TaskRecord* record = this->FindRecord(task);
  if (record == nullptr || record->worker != worker ||
      record->stage != TaskStage::kStarting) {
    return;
  }
  record->stage = TaskStage::kRunning;
  record->placed = now;
}

void Planner::OnStartFailed(const base::TaskId& task,
                            const base::WorkerId& worker, StartFailure reason,
                            base::Instant now) {
  TaskRecord* record = this->FindRecord(task);
  if (record == nullptr || record->worker != worker ||
      record->stage != TaskStage::kStarting) {
    return;
  }
  if (reason == StartFailure::kWorkerFault) {
    this->NoteFailure(worker, record->request.job, now);
  }
  this->TakeOffWorker(*record);
  this->Requeue(*record);
}

void Planner::NoteFailure(const base::WorkerId& worker, const base::JobId& job,
                          base::Instant now) {
  const auto until =
      this->failures.OnFailure(worker, job, this->rules.limits, now);
  if (until) {
    if (const auto slot = this->workers.Find(worker);
        slot && this->workers.worker(*slot).view.state == WorkerState::kLive) {
      this->workers.SetState(*slot, WorkerState::kOnProbation);
    }
  }
  if (this->failures.FailedWorkers(job) >= this->rules.limits.job_failures) {
    this->blamed.insert(job);
  }
}

void Planner::OnEnded(const base::TaskId& task, bool succeeded,
                      const Resources& used, base::Duration run_time,
                      base::Instant now) {
  TaskRecord* record = this->FindRecord(task);
  if (record == nullptr) return;
  if (record->stage == TaskStage::kQueued ||
      record->stage == TaskStage::kAwaitingRoom) {
    // It ran although this planner had it waiting: it must not run again.
    this->Cancel(task);
    return;
  }
  if (succeeded) {
    this->failures.OnSuccess(record->worker, record->request.job);
    this->history.Record(record->workload, record->request.declared, used,
                         run_time);
  } else {
    this->NoteFailure(record->worker, record->request.job, now);
  }
  this->TakeOffWorker(*record);
  this->DropRecord(*record);
}

void Planner::OnPreempted(const base::TaskId& task, base::Instant) {
  TaskRecord* record = this->FindRecord(task);
  if (record == nullptr || (record->stage != TaskStage::kStarting &&
                            record->stage != TaskStage::kRunning)) {
    return;
  }
  this->TakeOffWorker(*record);
  this->Requeue(*record);
}

void Planner::Adopt(const TaskRequest& request, const base::WorkerId& worker,
                    const Resources& granted, base::Instant now) {
  TaskRecord* record = this->FindRecord(request.task);
  if (record != nullptr) {
    if (record->stage == TaskStage::kAwaitingRoom) this->DropAwaited(*record);
    if (record->stage == TaskStage::kQueued) this->queue.Remove(*record);
    if (!record->worker.empty()) this->TakeOffWorker(*record);
  } else {
    record = &this->AddRecord(request, now);
  }
  record->stage = TaskStage::kRunning;
  record->placed = now;
  record->worker = worker;
  record->granted = granted;
  record->job->assembled = true;
  this->ChargeTeam(record->team, granted);
  if (const auto slot = this->workers.Find(worker)) {
    this->workers.Adopt(*slot,
                        this->OccupantOf(*record, {.room = granted}, now));
  }
}

void Planner::OnUsage(const base::WorkerId& worker, const base::TaskId& task,
                      const Resources& used) {
  const auto slot = this->workers.Find(worker);
  if (!slot) return;
  this->workers.SetUsed(*slot, task, used);
  if (this->IsHot(*slot)) {
    this->hot.try_emplace(worker, base::Instant::min());
  } else {
    this->hot.erase(worker);
  }
}

std::vector<WorkerSlot> Planner::EndProbations(base::Instant now) {
  std::vector<WorkerSlot> ended;
  for (const base::WorkerId& worker : this->failures.EndProbations(now)) {
    const auto slot = this->workers.Find(worker);
    if (!slot ||
        this->workers.worker(*slot).view.state != WorkerState::kOnProbation) {
      continue;
    }
    this->workers.SetState(*slot, WorkerState::kLive);
    ended.push_back(*slot);
  }
  return ended;
}

}  // namespace agatepass::placement
