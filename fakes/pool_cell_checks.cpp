// How runs behave in the simulated pool, and the checks of its invariants.
#include <algorithm>

#include "fakes/pool_cell.h"

namespace agatepass::fakes {

namespace {

/** A task that has crashed this many workers may be started this many times
 * more. */
constexpr int kCrashesBeforeLimit = 3;
constexpr int kMaxStartsAfterwards = 2;

/** What a team has running may exceed its cap by this part and a task. */
constexpr double kCapOverage = 0.1;

bool ExceedsCap(int64_t in_use, int64_t cap, int64_t task) {
  return cap > 0 && static_cast<double>(in_use) >
                        static_cast<double>(cap) * (1 + kCapOverage) +
                            static_cast<double>(task);
}

/** A job may be shown as failed if a task has crashed this many workers. */
constexpr int kMinCrashes = 2;

}  // namespace

RunBehaviour PoolCell::DecideRunBehaviour(const pool::TaskName& task,
                                          pool::RunNumber run) {
  const pool::Job& job = this->submitted.at(task.job);
  const pool::Step& step = job.steps[task.step];
  RunBehaviour behaviour{.duration = step.estimate,
                         .lasts = step.long_running,
                         .gang_size = step.gang ? step.count : 1,
                         .need = step.need};
  if (step.uses_idle_processors) behaviour.need.millicores = 0;
  if (const auto duration = this->run_durations.find(task.job);
      duration != this->run_durations.end()) {
    behaviour.duration = duration->second;
  }
  // Jobs with the payload "always-fails" fail in every run, other jobs at
  // random and only in their first run.
  behaviour.fails =
      job.payload == "always-fails" ||
      (run < 2 && this->DrawTrue(this->faults.first_run_failure_share));
  return behaviour;
}

void PoolCell::OnCrashingTaskStarted(const PoolWorker& worker,
                                     const pool::StartRequest& request) {
  const pool::TaskName& task = request.task;
  if (this->crash_counts[task] >= kCrashesBeforeLimit &&
      ++this->starts_after_three_crashes[task] > kMaxStartsAfterwards) {
    this->ReportViolation(ToString(task) +
                          " was started three times more after three workers "
                          "had crashed under it");
  }
  for (size_t i = 0; i < this->workers.size(); ++i) {
    if (this->workers[i].get() != &worker) continue;
    this->Schedule(kCrashDelay, [this, i, task, run = request.run] {
      const auto runs = this->workers[i]->GetRuns();
      const auto found = runs.find(task);
      if (found == runs.end() || found->second != run) return;
      ++this->crash_counts[task];
      this->CrashAndRestartWorker(i);
    });
  }
}

std::vector<base::JobId> PoolCell::JobsFailedWithoutCause() const {
  std::vector<base::JobId> failed;
  for (const auto& [id, job] : this->submitted) {
    if (!this->IsStored(id)) continue;
    if (this->StoredPhase(id) != pool::JobPhase::kFailed) continue;
    if (job.payload == "always-fails") continue;
    const bool crashes = std::any_of(
        this->crash_counts.begin(), this->crash_counts.end(),
        [&id = id](const auto& entry) {
          return entry.first.job == id && entry.second >= kMinCrashes;
        });
    if (!crashes) failed.push_back(id);
  }
  return failed;
}

bool PoolCell::IsGangComplete(const pool::TaskName& task,
                              pool::RunNumber run) const {
  const pool::Step& step = this->submitted.at(task.job).steps[task.step];
  if (!step.gang) return true;
  uint32_t running_members = 0;
  for (const auto& worker : this->workers) {
    for (const auto& [other_task, number] : worker->GetRuns()) {
      if (other_task.job == task.job && other_task.step == task.step &&
          number == run) {
        ++running_members;
      }
    }
  }
  return running_members == step.count;
}

void PoolCell::ReportViolation(const std::string& violation) {
  if (std::find(this->reported_violations.begin(),
                this->reported_violations.end(),
                violation) == this->reported_violations.end()) {
    this->reported_violations.push_back(violation);
  }
}

platform::Resources PoolCell::FindAllowedCapacity(
    const PoolWorker& worker) const {
  platform::Resources allowed = worker.record.total;
  const auto [begin, end] =
      this->former_capacities.equal_range(worker.record.worker);
  for (auto entry = begin; entry != end; ++entry) {
    const auto& [until, former] = entry->second;
    if (this->current_time > until) continue;
    allowed = platform::Max(allowed, former);
  }
  return allowed;
}

void PoolCell::CheckTeamCap(const pool::StartRequest& request) {
  const base::TeamId& team = this->submitted.at(request.task.job).team;
  if (!this->queues.teams || team.empty()) return;
  platform::Resources in_use;
  for (const auto& worker : this->workers) {
    for (const auto& [task, run] : worker->GetRuns()) {
      const pool::Job& job = this->submitted.at(task.job);
      if (job.team == team) in_use += job.steps[task.step].need;
    }
  }
  const platform::Resources& need =
      this->submitted.at(request.task.job).steps[request.task.step].need;
  for (const pool::Team& configured : *this->queues.teams) {
    if (configured.id != team) continue;
    if (ExceedsCap(in_use.millicores, configured.cap.millicores,
                   need.millicores) ||
        ExceedsCap(in_use.memory_mib, configured.cap.memory_mib,
                   need.memory_mib)) {
      this->ReportViolation("team " + team.value +
                            " has more running than its cap after the start "
                            "of " +
                            ToString(request.task));
    }
  }
}

void PoolCell::OnRunStarted(const PoolWorker& worker,
                            const pool::StartRequest& request) {
  const std::string name = ToString(request.task);
  ++this->start_counts[request.task];
  this->last_started_at[request.task] = this->current_time;
  if (this->crashing_tasks.contains(request.task)) {
    this->OnCrashingTaskStarted(worker, request);
  }
  for (const auto& other_worker : this->workers) {
    if (other_worker.get() != &worker &&
        other_worker->IsRunning(request.task)) {
      this->ReportViolation(name + " runs twice at the same time");
    }
  }
  if (this->acknowledged_successes.contains(request.task)) {
    this->ReportViolation(name + " starts after its success was acknowledged");
  }
  if (!worker.UsedResources().FitsIn(this->FindAllowedCapacity(worker))) {
    this->ReportViolation(worker.record.worker.value +
                          " uses more than its total resources");
  }
  if (worker.record.draining && worker.record.remaining.count() == 0) {
    this->ReportViolation(
        name + " starts on a draining worker whose remaining time is 0");
  }
  this->CheckTeamCap(request);
  const pool::Job& job = this->submitted.at(request.task.job);
  for (const uint32_t earlier : job.steps[request.task.step].depends_on) {
    for (uint32_t i = 0; i < job.steps[earlier].count; ++i) {
      const pool::TaskName dependency{request.task.job, request.task.occurrence,
                                      earlier, i};
      if (!this->succeeded_tasks.contains(dependency)) {
        this->ReportViolation(name + " starts before the success of " +
                              ToString(dependency));
      }
    }
  }
  if (this->acknowledged_failures[request.task].size() >=
      this->queues.queues.front().policy.attempts) {
    this->ReportViolation(
        name +
        " starts after the failure of its last allowed attempt was "
        "acknowledged");
  }
  if (request.payload != job.payload)
    this->ReportViolation(name + " starts with a wrong payload");
  if (!this->IsStored(request.task.job)) {
    this->ReportViolation(name + " starts before its job is stored");
  }
}

void PoolCell::OnRunEnded(const PoolWorker& /*worker*/,
                          const pool::TaskName& task, pool::RunNumber run,
                          pool::RunEnd end) {
  const pool::Step& step = this->submitted.at(task.job).steps[task.step];
  if (end == pool::RunEnd::kSucceeded) this->succeeded_tasks.insert(task);
  if (!step.gang || end == pool::RunEnd::kGangMemberEnded) return;
  const pool::RunEnd member_end = end == pool::RunEnd::kSucceeded
                                      ? pool::RunEnd::kSucceeded
                                      : pool::RunEnd::kGangMemberEnded;
  for (uint32_t i = 0; i < step.count; ++i) {
    const pool::TaskName member{task.job, task.occurrence, task.step, i};
    if (member == task) continue;
    for (const auto& other_worker : this->workers) {
      other_worker->EndGangMember(member, run, member_end);
    }
  }
}

void PoolCell::OnEndAcknowledged(const pool::ReportedEnd& report,
                                 base::Instant ended_at) {
  const bool started_again = this->last_started_at[report.task] > ended_at;
  if (report.end == pool::RunEnd::kSucceeded) {
    this->acknowledged_successes.insert(report.task);
    if (started_again) {
      this->ReportViolation(ToString(report.task) +
                            " was started again after it succeeded, before "
                            "that was acknowledged");
    }
  } else if (report.end == pool::RunEnd::kFailed &&
             !this->submitted.at(report.task.job)
                  .steps[report.task.step]
                  .long_running) {
    auto& failures = this->acknowledged_failures[report.task];
    failures[report.run] = ended_at;
    base::Instant latest_failure;
    for (const auto& [run, at] : failures)
      latest_failure = std::max(latest_failure, at);
    if (this->last_started_at[report.task] > latest_failure &&
        this->acknowledged_failures[report.task].size() >=
            this->queues.queues.front().policy.attempts) {
      this->ReportViolation(ToString(report.task) +
                            " was started again after its last allowed attempt "
                            "failed, before that was acknowledged");
    }
  }
}

}  // namespace agatepass::fakes
