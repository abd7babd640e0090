// Teams: what they may have running, and which of their steps have to wait.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

/** How long room is kept under its team's cap for a gang, and for how long not
 * then, in turn: other steps of the team that end late get their turn too. */
constexpr base::Duration kHoldBackTime = std::chrono::seconds(8);

/** Time after which a team counts as not held any more, and time between two
 * looks at the runs that are not known: shorter ones would log and compute the
 * same again at each end of a run. */
constexpr base::Duration kMinUnheldTime = std::chrono::seconds(1);
constexpr base::Duration kUnknownRunsPeriod = std::chrono::milliseconds(50);

TaskName NameOf(const StepState& step) {
  return {step.job->job.id, step.occurrence, step.step_index, 0};
}

platform::Resources Min(const platform::Resources& left,
                        const platform::Resources& right) {
  return {.millicores = std::min(left.millicores, right.millicores),
          .memory_mib = std::min(left.memory_mib, right.memory_mib),
          .accelerators = std::min(left.accelerators, right.accelerators)};
}

platform::Resources Multiply(const platform::Resources& need, int64_t tasks) {
  return {.millicores = need.millicores * tasks,
          .memory_mib = need.memory_mib * tasks,
          .accelerators = need.accelerators * tasks};
}

}  // namespace

bool PoolPlanner::FitsTeamCap(const Job& job) const {
  return std::all_of(job.steps.begin(), job.steps.end(), [&](const Step& step) {
    return this->team_usage.FitsCap(job.team, step.need,
                                    step.gang ? step.count : 1);
  });
}

void PoolPlanner::CountAcceptedOfTeam(const JobState& job, base::Instant now) {
  const base::TeamId& team = job.job.team;
  if (team.empty()) return;
  TeamCounts& counts = this->counts_by_team[team];
  ++counts.accepted;
  if (job.beyond_share) {
    ++counts.accepted_beyond_share;
  } else {
    this->team_shares.OnAcceptedWithin(team, now);
  }
}

TeamCharge PoolPlanner::MakeCharge(const TaskName& task,
                                   const WorkerState& worker) const {
  const Step* definition = this->FindDefinition(task);
  if (definition == nullptr) {
    return {.amount = worker.record.total, .unattributed = true};
  }
  return {.team = this->FindJob(task.job)->job.team,
          .amount = definition->need};
}

uint32_t PoolPlanner::CountCapRoom(const StepState& step,
                                   uint32_t tasks) const {
  if (step.job->job.team.empty()) return tasks;
  return this->team_usage.CountRoom({.team = step.job->job.team,
                                     .need = step.definition->need,
                                     .tasks = tasks,
                                     .holder = NameOf(step)});
}

bool PoolPlanner::IsHeldByTeamCap(StepState& step, const PlannerTime& time) {
  if (step.job->job.team.empty()) return false;
  const bool is_gang = step.definition->gang;
  // Of a gang that has runs nothing starts before these have ended.
  if (is_gang && step.waiting < step.tasks.size()) return false;
  step.cap_room = this->CountCapRoom(step, step.waiting);
  if (is_gang && step.cap_room < step.waiting) step.cap_room = 0;
  if (step.cap_room > 0) return false;
  this->MarkHeldByTeamCap(step, time);
  this->DropGangReservation(step);
  if (!step.advice.in_flight) this->ReleaseTicketReservations(step);
  return true;
}

void PoolPlanner::MarkHeldByTeamCap(StepState& step, const PlannerTime& time) {
  step.wait.Set(WaitReason::kTeamCap, time.now);
  HeldTeam& held = this->held_teams[step.job->job.team];
  held.last_held_at = time.now;
  if (std::exchange(held.is_logged, true)) return;
  held.since = time.now;
  const TeamUsage::Entry& usage = *this->team_usage.Find(step.job->job.team);
  this->log.Add(time.now, "team held by its cap",
                "team={} in_use_millicores={} in_use_mib={} "
                "unknown_millicores={} cap_millicores={} cap_mib={}",
                step.job->job.team.value, usage.in_use.millicores,
                usage.in_use.memory_mib, usage.unknown.millicores,
                usage.cap.millicores, usage.cap.memory_mib);
}

void PoolPlanner::HoldBackUnderCap(const StepState& step,
                                   const PlannerTime& time) {
  const base::TeamId& team = step.job->job.team;
  if (team.empty() || step.waiting == 0) return;
  uint32_t tasks = 0;
  if (step.wait.reason == WaitReason::kAdvice) {
    // The answer would come in vain if later steps took the room.
    tasks = step.CountStartable();
  } else if (step.definition->gang &&
             step.wait.reason == WaitReason::kTeamCap && step.ready_since &&
             GetUrgency(step, time.now) <= Urgency::kInTime &&
             this->team_usage.FitsCap(team, step.definition->need,
                                      step.waiting)) {
    const auto turns = (time.now - *step.ready_since) / kHoldBackTime;
    if (turns % 2 == 0) tasks = step.waiting;
  }
  if (tasks == 0) return;
  this->team_usage.HoldBack(team, NameOf(step),
                            Multiply(step.definition->need, tasks));
}

void PoolPlanner::BeginTeamPass(const PlannerTime& time) {
  if (this->team_usage.teams().empty()) return;
  this->team_usage.ReleaseHeldBack();
  if (this->has_unknown_runs || !this->unsynced_workers.empty()) {
    this->UpdateUnknownRuns(time.now);
  }
}

std::optional<platform::Resources> PoolPlanner::CapacityOfUnsyncedWorkers(
    base::Instant now) const {
  // A worker may have had more when its runs were started.
  platform::Resources largest;
  for (const auto& [id, worker] : this->workers) {
    largest = platform::Max(largest, worker->largest_total);
  }
  int64_t count = 0;
  for (const base::WorkerId& id : this->unsynced_workers) {
    if (!this->HasExpired(this->InheritedRunsExpireAt(id), now)) ++count;
  }
  if (count == 0) return std::nullopt;
  return Multiply(largest, count);
}

platform::Resources PoolPlanner::BoundUnknownRuns(
    const JobState& job, const platform::Resources& capacity) const {
  // Occurrences that are not open may have runs if an earlier planner's clock
  // was ahead.
  if (job.job.occurrences > 0) return capacity;
  platform::Resources bound;
  platform::Resources beyond_capacity;
  const auto add = [&](const Step& step, int64_t tasks) {
    const platform::Resources amount = Multiply(step.need, tasks);
    // The processors of such steps do not count against a worker's capacity.
    (step.uses_idle_processors ? beyond_capacity : bound) += amount;
  };
  if (job.IsOpen()) {
    for (const auto& step : job.steps) add(*step->definition, step->waiting);
  } else {
    // Its steps are freed while runs may still be stopping.
    for (const Step& step : job.job.steps) add(step, step.count);
  }
  return Min(bound, capacity) + beyond_capacity;
}

void PoolPlanner::UpdateUnknownRuns(base::Instant now) {
  if (now < this->next_unknown_runs_at) return;
  this->next_unknown_runs_at = now + kUnknownRunsPeriod;
  const std::optional<platform::Resources> capacity =
      this->CapacityOfUnsyncedWorkers(now);
  std::map<base::TeamId, platform::Resources> bounds;
  if (capacity) {
    this->totals.workers_examined += this->jobs.size();
    for (const auto& [id, job] : this->jobs) {
      if (!job->inherited || job->job.team.empty()) continue;
      bounds[job->job.team] += this->BoundUnknownRuns(*job, *capacity);
    }
  }
  this->team_usage.SetUnknownRuns(bounds);
  this->has_unknown_runs = capacity.has_value();
}

void PoolPlanner::LogHeldTeams(base::Instant now) {
  std::erase_if(this->held_teams, [&](const auto& entry) {
    const auto& [team, held] = entry;
    if (now - held.last_held_at < kMinUnheldTime) return false;
    this->log.Add(now, "team not held by its cap any more",
                  "team={} held_ms={}", team.value,
                  base::ToMilliseconds(held.last_held_at - held.since));
    return true;
  });
}

}  // namespace agatepass::pool
