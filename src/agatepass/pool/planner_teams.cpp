// Teams: what they may have running, and which of their steps have to wait.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

/** How long after it became ready room is kept under its team's cap for a gang:
 * after that other steps of the team get their turn. */
constexpr base::Duration kMaxHeldBackTime = std::chrono::seconds(8);

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
  const base::TeamId& team = step.job->job.team;
  if (team.empty()) return false;
  const bool is_gang = step.definition->gang;
  // Of a gang that has runs nothing starts before these have ended.
  if (is_gang && step.waiting < step.tasks.size()) return false;
  step.cap_room = this->CountCapRoom(step, step.waiting);
  if (is_gang && step.cap_room < step.waiting) step.cap_room = 0;
  if (step.cap_room > 0) return false;
  step.wait.Set(WaitReason::kTeamCap, time.now);
  step.was_held_by_cap = is_gang;
  this->teams_held_in_pass.insert(team);
  this->DropGangReservation(step);
  if (!step.advice.in_flight) this->ReleaseTicketReservations(step);
  return true;
}

void PoolPlanner::HoldBackForGang(const StepState& step,
                                  const PlannerTime& time) {
  if (!step.was_held_by_cap || step.waiting < step.tasks.size()) return;
  if (GetUrgency(step, time.now) > Urgency::kInTime) return;
  if (!step.ready_since || time.now > *step.ready_since + kMaxHeldBackTime)
    return;
  this->team_usage.HoldBack(
      step.job->job.team, NameOf(step),
      Multiply(step.definition->need, static_cast<int64_t>(step.tasks.size())));
}

void PoolPlanner::BeginTeamPass(const PlannerTime& time) {
  this->teams_held_in_pass.clear();
  this->team_usage.ReleaseHeldBack();
  if (this->has_unknown_runs) this->UpdateUnknownRuns(time.now);
}

std::optional<platform::Resources> PoolPlanner::CapacityOfUnsyncedWorkers(
    base::Instant now) const {
  platform::Resources largest;
  for (const auto& [id, worker] : this->workers) {
    largest = platform::Max(largest, worker->largest_total);
  }
  std::optional<platform::Resources> capacity;
  for (const base::WorkerId& id : this->unsynced_workers) {
    if (this->HasExpired(this->InheritedRunsExpireAt(id), now)) continue;
    if (!capacity) capacity.emplace();
    const auto found = this->workers.find(id);
    *capacity +=
        found == this->workers.end() ? largest : found->second->largest_total;
  }
  return capacity;
}

platform::Resources PoolPlanner::BoundUnknownRuns(
    const JobState& job, const platform::Resources& capacity) const {
  // Occurrences that are not open may have runs if an earlier planner's clock
  // was ahead.
  if (job.job.occurrences > 0) return capacity;
  platform::Resources bound;
  if (job.IsOpen()) {
    for (const auto& step : job.steps) {
      bound += Multiply(step->definition->need, step->waiting);
    }
  } else if (job.phase != JobPhase::kSucceeded) {
    // Its steps are freed while runs may still be stopping.
    for (const Step& step : job.job.steps) {
      bound += Multiply(step.need, step.count);
    }
  }
  return Min(bound, capacity);
}

void PoolPlanner::UpdateUnknownRuns(base::Instant now) {
  const std::optional<platform::Resources> capacity =
      this->CapacityOfUnsyncedWorkers(now);
  std::map<base::TeamId, platform::Resources> bounds;
  if (capacity && !this->team_usage.teams().empty()) {
    for (const auto& [id, job] : this->jobs) {
      if (!job->inherited || job->job.team.empty()) continue;
      platform::Resources& bound = bounds[job->job.team];
      bound = Min(bound + this->BoundUnknownRuns(*job, *capacity), *capacity);
    }
  }
  this->team_usage.SetUnknownRuns(bounds);
  this->has_unknown_runs = capacity.has_value();
}

void PoolPlanner::LogHeldTeams(base::Instant now) {
  for (const base::TeamId& team : this->teams_held_in_pass) {
    if (!this->held_teams.emplace(team, now).second) continue;
    const TeamUsage::Entry& usage = *this->team_usage.Find(team);
    this->log.Add(now, "team held by its cap",
                  "team={} in_use_millicores={} in_use_mib={} "
                  "unknown_millicores={} cap_millicores={} cap_mib={}",
                  team.value, usage.in_use.millicores, usage.in_use.memory_mib,
                  usage.unknown.millicores, usage.cap.millicores,
                  usage.cap.memory_mib);
  }
  std::erase_if(this->held_teams, [&](const auto& entry) {
    const auto& [team, since] = entry;
    if (this->teams_held_in_pass.contains(team)) return false;
    this->log.Add(now, "team not held by its cap any more",
                  "team={} held_ms={}", team.value,
                  base::ToMilliseconds(now - since));
    return true;
  });
}

}  // namespace agatepass::pool
