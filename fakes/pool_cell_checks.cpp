// What runs do in the cell, and the checks of what must always hold.
#include <algorithm>

#include "fakes/pool_cell.h"

namespace agatepass::fakes {

RunPlan PoolCell::PlanRun(const pool::TaskName& task, pool::RunNumber run) {
  const pool::Job& job = this->submitted.at(task.job);
  const pool::Step& step = job.steps[task.step];
  RunPlan plan{.time = step.estimate,
               .gang_size = step.gang ? step.count : 1,
               .need = step.need};
  // A payload "poison" fails always; others now and then, the same each time.
  plan.fails = job.payload == "poison" ||
               (run < 2 && this->Chance(this->faults.failing_runs));
  return plan;
}

bool PoolCell::IsWhole(const pool::TaskName& task, pool::RunNumber run) const {
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

void PoolCell::Report(const std::string& violation) {
  if (std::find(this->found.begin(), this->found.end(), violation) ==
      this->found.end()) {
    this->found.push_back(violation);
  }
}

void PoolCell::CheckStart(const PoolWorker& worker,
                          const pool::StartOrder& order) {
  const std::string name = ToString(order.task);
  ++this->starts[order.task];
  this->last_start[order.task] = this->time;
  for (const auto& other : this->workers) {
    if (other.get() != &worker && other->IsRunning(order.task)) {
      this->Report(name + " runs twice at the same time");
    }
  }
  if (this->seen_successes.contains(order.task)) {
    this->Report(name + " starts after it has succeeded");
  }
  if (!worker.Used().FitsIn(worker.record.total)) {
    this->Report(worker.record.worker.value + " runs more than it has");
  }
  if (worker.record.draining && worker.record.remaining.count() == 0) {
    this->Report(name + " starts on a worker that is leaving");
  }
  const pool::Job& job = this->submitted.at(order.task.job);
  for (const uint32_t earlier : job.steps[order.task.step].after) {
    for (uint32_t i = 0; i < job.steps[earlier].count; ++i) {
      const pool::TaskName before{order.task.job, order.task.occurrence,
                                  earlier, i};
      if (!this->succeeded.contains(before)) {
        this->Report(name + " starts before " + ToString(before));
      }
    }
  }
  if (this->seen_failures[order.task].size() >=
      this->queues.queues.front().policy.attempts) {
    this->Report(name + " starts after its last attempt");
  }
  if (order.payload != job.payload) this->Report(name + " has no own payload");
  if (!this->IsStored(order.task.job)) {
    this->Report(name + " starts before its job is stored");
  }
}

void PoolCell::NoteEnd(const PoolWorker& /*worker*/, const pool::TaskName& task,
                       pool::RunNumber run, pool::RunEnd end) {
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
      other->EndMember(member, run, theirs);
    }
  }
}

void PoolCell::NoteSeen(const pool::EndedRow& row, base::Instant ended_at) {
  const bool restarted = this->last_start[row.task] > ended_at;
  if (row.end == pool::RunEnd::kSucceeded) {
    this->seen_successes.insert(row.task);
    if (restarted) {
      this->Report(ToString(row.task) + " started after it had succeeded");
    }
  } else if (row.end == pool::RunEnd::kFailed) {
    auto& failures = this->seen_failures[row.task];
    failures[row.run] = ended_at;
    base::Instant latest;
    for (const auto& [run, at] : failures) latest = std::max(latest, at);
    if (this->last_start[row.task] > latest &&
        this->seen_failures[row.task].size() >=
            this->queues.queues.front().policy.attempts) {
      this->Report(ToString(row.task) + " started after its last attempt");
    }
  }
}

}  // namespace agatepass::fakes
