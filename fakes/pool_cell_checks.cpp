// What runs do in the cell, and the checks of what must always hold.
#include <algorithm>

#include "fakes/pool_cell.h"

namespace agatepass::fakes {

RunPlan PoolCell::PlanRun(const pool::TaskName& task, pool::RunNumber run) {
  const pool::Job& job = this->submitted.at(task.job);
  const pool::Step& step = job.steps[task.step];
  RunPlan plan{.duration = step.estimate,
               .gang_size = step.gang ? step.count : 1,
               .need = step.need};
  // A payload "poison" fails always; others now and then, the same each time.
  plan.fails = job.payload == "poison" ||
               (run < 2 && this->Chance(this->faults.failing_runs));
  return plan;
}

bool PoolCell::IsGangComplete(const pool::TaskName& task,
                              pool::RunNumber run) const {
  const pool::Step& step = this->submitted.at(task.job).steps[task.step];
  if (!step.gang) return true;
  uint32_t present = 0;
  for (const auto& worker : this->workers) {
    for (const auto& [other, number] : worker->Running()) {
      if (other.job == task.job && other.step == task.step && number == run) {
        ++present;
      }
    }
  }
  return present == step.count;
}

void PoolCell::ReportViolation(const std::string& violation) {
  if (std::find(this->reported_violations.begin(),
                this->reported_violations.end(),
                violation) == this->reported_violations.end()) {
    this->reported_violations.push_back(violation);
  }
}

void PoolCell::CheckStart(const PoolWorker& worker,
                          const pool::StartRequest& order) {
  const std::string name = ToString(order.task);
  ++this->starts[order.task];
  this->last_start[order.task] = this->time;
  for (const auto& other : this->workers) {
    if (other.get() != &worker && other->IsRunning(order.task)) {
      this->ReportViolation(name + " runs twice at the same time");
    }
  }
  if (this->acknowledged_successes.contains(order.task)) {
    this->ReportViolation(name + " starts after it has succeeded");
  }
  if (!worker.UsedResources().FitsIn(worker.record.total)) {
    this->ReportViolation(worker.record.worker.value +
                          " runs more than it has");
  }
  if (worker.record.draining && worker.record.remaining.count() == 0) {
    this->ReportViolation(name + " starts on a worker that is leaving");
  }
  const pool::Job& job = this->submitted.at(order.task.job);
  for (const uint32_t earlier : job.steps[order.task.step].depends_on) {
    for (uint32_t i = 0; i < job.steps[earlier].count; ++i) {
      const pool::TaskName before{order.task.job, order.task.occurrence,
                                  earlier, i};
      if (!this->succeeded.contains(before)) {
        this->ReportViolation(name + " starts before " + ToString(before));
      }
    }
  }
  if (this->acknowledged_failures[order.task].size() >=
      this->queues.queues.front().policy.attempts) {
    this->ReportViolation(name + " starts after its last attempt");
  }
  if (order.payload != job.payload)
    this->ReportViolation(name + " has no own payload");
  if (!this->IsStored(order.task.job)) {
    this->ReportViolation(name + " starts before its job is stored");
  }
}

void PoolCell::RecordEnd(const PoolWorker& /*worker*/,
                         const pool::TaskName& task, pool::RunNumber run,
                         pool::RunEnd end) {
  const pool::Step& step = this->submitted.at(task.job).steps[task.step];
  if (end == pool::RunEnd::kSucceeded) this->succeeded.insert(task);
  if (!step.gang || end == pool::RunEnd::kGangBroken) return;
  const pool::RunEnd theirs = end == pool::RunEnd::kSucceeded
                                  ? pool::RunEnd::kSucceeded
                                  : pool::RunEnd::kGangBroken;
  for (uint32_t i = 0; i < step.count; ++i) {
    const pool::TaskName member{task.job, task.occurrence, task.step, i};
    if (member == task) continue;
    for (const auto& other : this->workers) {
      other->EndGangMember(member, run, theirs);
    }
  }
}

void PoolCell::RecordAcknowledgedEnd(const pool::ReportedEnd& row,
                                     base::Instant ended_at) {
  const bool restarted = this->last_start[row.task] > ended_at;
  if (row.end == pool::RunEnd::kSucceeded) {
    this->acknowledged_successes.insert(row.task);
    if (restarted) {
      this->ReportViolation(ToString(row.task) +
                            " started after it had succeeded");
    }
  } else if (row.end == pool::RunEnd::kFailed) {
    auto& failures = this->acknowledged_failures[row.task];
    failures[row.run] = ended_at;
    base::Instant latest;
    for (const auto& [run, at] : failures) latest = std::max(latest, at);
    if (this->last_start[row.task] > latest &&
        this->acknowledged_failures[row.task].size() >=
            this->queues.queues.front().policy.attempts) {
      this->ReportViolation(ToString(row.task) +
                            " started after its last attempt");
    }
  }
}

}  // namespace agatepass::fakes
