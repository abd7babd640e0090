// The load of a service's workers, by which jobs are admitted.
#include <algorithm>

#include "agatepass/pool/admission.h"
#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

constexpr double kMillicoresPerCore = 1000;

/** A load is used for the time in which this many could be summed up, which
 * bounds the part of the planner's time that admission takes. */
constexpr double kLoadsPerInterval = 40;

/** Adds what a job of this priority finds: its own priority's work and all that
 * comes before it. */
void AddWork(PoolLoad& load, const std::map<uint32_t, WaitingLoad>& work,
             uint32_t priority) {
  for (const auto& [other, waiting] : work) {
    if (other > priority) break;
    load.waiting_millicores += waiting.startable_millicores;
    load.starts_ahead += waiting.startable_tasks;
    (other < priority ? load.higher_priority_work : load.same_priority_work) +=
        waiting.work;
  }
}

}  // namespace

const ServiceLoad& PoolPlanner::FindLoad(const base::ServiceId& service,
                                         const PlannerTime& time) {
  const base::Instant now = time.now;
  ServiceLoad& load = this->loads[service];
  if (now < load.valid_until) return load;
  load = {};
  size_t examined = 0;
  for (const WorkerState* worker : this->workers_by_index) {
    ++examined;
    if (worker == nullptr || !worker->listed || worker->record.draining)
      continue;
    if (worker->record.service != service) continue;
    load.used_millicores += worker->used.millicores;
    load.total_millicores += worker->record.total.millicores;
    if (worker->IsQuarantined(now) || worker->IsDistrusted(now)) continue;
    load.usable_millicores +=
        static_cast<double>(worker->record.total.millicores) *
        this->options.usable_processor_share;
    if (worker->gang_reservations.empty()) {
      load.free_millicores +=
          static_cast<double>(worker->FreeResources().millicores);
    }
  }
  for (const auto& [id, job] : this->open) {
    examined += job->steps.size();
    if (job->policy.service == service) this->AddWaiting(load, *job, time);
  }
  this->totals.workers_examined += examined;
  load.valid_until = now + this->TimeToExamine(kLoadsPerInterval *
                                               static_cast<double>(examined));
  return load;
}

void PoolPlanner::AddWaiting(ServiceLoad& load, const JobState& job,
                             const PlannerTime& time) const {
  // Work later than three times the time that its objective allows
  // (Urgency::kTooLate) only uses capacity that other work leaves free. Late
  // work of an earlier term does too: it became late while it could not start.
  // The job's long-running steps are left out too, although they stay urgent.
  const base::Duration counted_late =
      job.inherited ? base::Duration(0)
                    : (kTooLateFactor - 1) * GetObjectiveTime(job);
  const uint32_t priority = job.policy.priority;
  auto& by_priority =
      job.beyond_share ? load.waiting_beyond_share : load.waiting;
  for (const auto& step : job.steps) {
    const base::Instant objective_end = GetObjectiveEnd(*step);
    if (time.now > objective_end + counted_late) continue;
    const bool can_start = this->IsReady(*step, time);
    // What waits for resources needs no more of the planner for now.
    const bool is_ahead = time.now <= objective_end &&
                          step->wait.reason != WaitReason::kResources;
    by_priority[priority].Add(*step->definition, this->CountAhead(load, *step),
                              can_start, is_ahead);
    if (job.job.team.empty()) continue;
    load.waiting_of_teams[job.job.team][priority].Add(
        *step->definition, step->waiting, can_start, is_ahead);
  }
}

uint32_t PoolPlanner::CountAhead(ServiceLoad& load,
                                 const StepState& step) const {
  const base::TeamId& team = step.job->job.team;
  const TeamUsage::Entry* usage = this->team_usage.Find(team);
  const int64_t need = step.definition->need.millicores;
  if (usage == nullptr || usage->cap.millicores == 0 || need <= 0) {
    return step.CountStartable();
  }
  // The steps of a team share what its cap leaves.
  const auto [room, is_new] = load.millicores_under_caps.emplace(
      team, usage->cap.millicores - usage->in_use.millicores);
  const int64_t fits = std::max<int64_t>(room->second, 0) / need;
  const auto tasks =
      static_cast<uint32_t>(std::min<int64_t>(step.CountStartable(), fits));
  room->second -= need * tasks;
  return tasks;
}

void PoolPlanner::AddToLoad(const JobState& job, const PlannerTime& time) {
  const auto load = this->loads.find(job.policy.service);
  if (load == this->loads.end()) return;
  this->AddWaiting(load->second, job, time);
}

std::optional<base::Duration> PoolPlanner::CheckOverload(
    const Job& job, const Queue& queue, bool within_share,
    const PlannerTime& time) {
  const base::Instant now = time.now;
  const uint32_t priority = queue.policy.priority;
  const ServiceLoad& service = this->FindLoad(queue.policy.service, time);
  PoolLoad load{.usable_millicores = service.usable_millicores,
                .free_millicores = service.free_millicores,
                .starts_per_second = this->capacity.RateFor(priority, now)};
  AddWork(load, service.waiting, priority);
  // What is beyond a share starts after all that is within one.
  if (!within_share) AddWork(load, service.waiting_beyond_share, priority);
  std::optional<base::Duration> retry_delay =
      FindAdmissionRetryDelay(load, job, queue.policy);
  if (!within_share && (retry_delay || !HasSpareCapacity(load, job))) {
    retry_delay = this->team_shares.TimeUntilWithin(job.team, now);
  }
  if (retry_delay) {
    this->log.Add(now, "pool overloaded",
                  "job={} priority={} team={} within_share={} "
                  "usable_millicores={:.0f} "
                  "in_use_millicores={} total_millicores={} "
                  "higher_priority_core_s={:.0f} "
                  "same_priority_core_s={:.0f} job_core_s={:.0f} "
                  "free_millicores={:.0f} waiting_millicores={:.0f} "
                  "starts_ahead={:.0f} starts_per_second={:.0f}",
                  job.id.value, priority, job.team.value, within_share,
                  load.usable_millicores, service.used_millicores,
                  service.total_millicores,
                  load.higher_priority_work / kMillicoresPerCore,
                  load.same_priority_work / kMillicoresPerCore,
                  EstimatedWork(job) / kMillicoresPerCore, load.free_millicores,
                  load.waiting_millicores, load.starts_ahead,
                  load.starts_per_second);
  }
  return retry_delay;
}

std::optional<base::Duration> PoolPlanner::CheckTeamCap(
    const Job& job, const Queue& queue, const PlannerTime& time) {
  const TeamUsage::Entry* team = this->team_usage.Find(job.team);
  if (team == nullptr || team->cap.millicores == 0) return std::nullopt;
  const ServiceLoad& service = this->FindLoad(queue.policy.service, time);
  const int64_t room =
      team->cap.millicores - team->in_use.millicores - team->unknown.millicores;
  PoolLoad under_cap{
      .usable_millicores = static_cast<double>(team->cap.millicores),
      .free_millicores = static_cast<double>(std::max<int64_t>(room, 0)),
      .usable_free_share = 1};
  if (const auto waiting = service.waiting_of_teams.find(job.team);
      waiting != service.waiting_of_teams.end()) {
    AddWork(under_cap, waiting->second, queue.policy.priority);
  }
  const auto retry_delay =
      FindAdmissionRetryDelay(under_cap, job, queue.policy);
  if (retry_delay) {
    this->log.Add(time.now, "team overloaded",
                  "job={} team={} cap_millicores={} in_use_millicores={} "
                  "unknown_millicores={} higher_priority_core_s={:.0f} "
                  "same_priority_core_s={:.0f} job_core_s={:.0f}",
                  job.id.value, job.team.value, team->cap.millicores,
                  team->in_use.millicores, team->unknown.millicores,
                  under_cap.higher_priority_work / kMillicoresPerCore,
                  under_cap.same_priority_work / kMillicoresPerCore,
                  EstimatedWork(job) / kMillicoresPerCore);
  }
  return retry_delay;
}

}  // namespace agatepass::pool
