// The load of a service's workers, by which jobs are admitted.
#include "agatepass/pool/admission.h"
#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

constexpr double kMillicoresPerCore = 1000;

/** A load is used for the time in which this many could be summed up, which
 * bounds the part of the planner's time that admission takes. */
constexpr double kLoadsPerInterval = 40;

/** Returns what a job of this priority finds: its own priority's work and all
 * that comes before it. */
PoolLoad SelectLoad(const ServiceLoad& service, uint32_t priority) {
  PoolLoad load{.usable_millicores = service.usable_millicores,
                .free_millicores = service.free_millicores};
  for (const auto& [other, waiting] : service.waiting) {
    if (other > priority) break;
    load.waiting_millicores += waiting.startable_millicores;
    load.starts_ahead += waiting.startable_tasks;
    (other < priority ? load.higher_priority_work : load.same_priority_work) +=
        waiting.work;
  }
  return load;
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
  WaitingLoad* waiting = nullptr;
  for (const auto& step : job.steps) {
    const base::Instant objective_end = GetObjectiveEnd(*step);
    if (time.now > objective_end + counted_late) continue;
    if (waiting == nullptr) waiting = &load.waiting[job.policy.priority];
    const double tasks = step->waiting;
    const double millicores =
        tasks *
        static_cast<double>(TakenResources(*step->definition).millicores);
    waiting->work += millicores * base::ToSeconds(step->definition->estimate);
    if (!this->IsReady(*step, time)) continue;
    if (!step->definition->gang) waiting->startable_millicores += millicores;
    // What waits for resources needs no more of the planner for now.
    if (time.now <= objective_end &&
        step->wait.reason != WaitReason::kResources) {
      waiting->startable_tasks += tasks;
    }
  }
}

void PoolPlanner::AddToLoad(const JobState& job, const PlannerTime& time) {
  const auto load = this->loads.find(job.policy.service);
  if (load == this->loads.end()) return;
  this->AddWaiting(load->second, job, time);
}

std::optional<base::Duration> PoolPlanner::CheckOverload(
    const Job& job, const Queue& queue, const PlannerTime& time) {
  const base::Instant now = time.now;
  PoolLoad load = SelectLoad(this->FindLoad(queue.policy.service, time),
                             queue.policy.priority);
  load.starts_per_second = this->capacity.RateFor(queue.policy.priority, now);
  const auto retry_delay = FindAdmissionRetryDelay(load, job, queue.policy);
  if (retry_delay) {
    const ServiceLoad& sum = this->loads[queue.policy.service];
    this->log.Add(now, "pool overloaded",
                  "job={} priority={} usable_millicores={:.0f} "
                  "in_use_millicores={} total_millicores={} "
                  "higher_priority_core_s={:.0f} "
                  "same_priority_core_s={:.0f} job_core_s={:.0f} "
                  "free_millicores={:.0f} waiting_millicores={:.0f} "
                  "starts_ahead={:.0f} starts_per_second={:.0f}",
                  job.id.value, queue.policy.priority, load.usable_millicores,
                  sum.used_millicores, sum.total_millicores,
                  load.higher_priority_work / kMillicoresPerCore,
                  load.same_priority_work / kMillicoresPerCore,
                  EstimatedWork(job) / kMillicoresPerCore, load.free_millicores,
                  load.waiting_millicores, load.starts_ahead,
                  load.starts_per_second);
  }
  return retry_delay;
}

}  // namespace agatepass::pool
