#include "agatepass/pool/admission.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Factor by which run times exceed their estimates when the pool is close to
 * full load. */
constexpr double kRunTimeFactor = 1.3;

/** Wait for the planner, in seconds, that a job is always allowed: its queue
 * may leave it no spare time at all. */
constexpr double kMinAllowedStartWaitS = 0.1;

/** Share of the spare time within the objective that waiting may use up. */
constexpr double kMaxWaitShareOfSpareTime = 0.8;

/** Whether the free capacity suffices for all tasks that could start now and
 * for the job's tasks that depend on no other step. False for a job with a gang
 * in any step, as the free capacity may be fragmented. */
bool CanStartNow(const PoolLoad& load, const Job& job) {
  return std::none_of(job.steps.begin(), job.steps.end(),
                      [](const Step& step) { return step.gang; }) &&
         HasSpareCapacity(load, job);
}

/** Returns when a retry may succeed: once the wait is shorter by this much. */
base::Duration RetryDelay(double excess_wait_s) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::max(1.0, excess_wait_s)));
}

}  // namespace

bool HasSpareCapacity(const PoolLoad& load, const Job& job) {
  double requested = 0;
  for (const Step& step : job.steps) {
    if (!step.depends_on.empty()) continue;
    requested += static_cast<double>(step.count) *
                 static_cast<double>(TakenResources(step).millicores);
  }
  return load.waiting_millicores + requested <=
         load.usable_free_share * load.free_millicores;
}

std::optional<base::Duration> FindAdmissionRetryDelay(
    const PoolLoad& load, const Job& job, const QueuePolicy& policy) {
  // While no worker can take work, no wait can be estimated; the job waits for
  // the first one that can.
  if (load.usable_millicores <= 0) return std::nullopt;
  const double critical_path_s = base::ToSeconds(CriticalPathDuration(job));
  const double objective_s =
      policy.stretch * critical_path_s + base::ToSeconds(policy.slack);
  double query_s = 0;
  if (policy.advice) query_s = base::ToSeconds(policy.advice->call_duration);
  const double spare_s =
      std::max(0.0, objective_s - kRunTimeFactor * critical_path_s - query_s);
  const double allowed_wait_s = kMaxWaitShareOfSpareTime * spare_s;
  // No free capacity helps against a planner that has too much to start. The
  // job's own tasks do not count: a retry would find as many.
  const double start_wait_s = load.starts_ahead / load.starts_per_second;
  const double allowed_start_wait_s =
      std::max(allowed_wait_s, kMinAllowedStartWaitS);
  if (job.occurrences == 0 && start_wait_s > allowed_start_wait_s) {
    return RetryDelay(start_wait_s - allowed_start_wait_s);
  }
  const double work =
      load.higher_priority_work + load.same_priority_work + EstimatedWork(job);
  const double wait_s = work / load.usable_millicores;
  if (wait_s <= allowed_wait_s) return std::nullopt;
  // A job that is too large even for an idle pool is accepted while no work is
  // waiting.
  if (load.higher_priority_work + load.same_priority_work <= 0)
    return std::nullopt;
  if (CanStartNow(load, job)) return std::nullopt;
  return RetryDelay(wait_s - allowed_wait_s);
}

}  // namespace agatepass::pool
