#include "agatepass/pool/admission.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Factor by which run times exceed their estimates when the pool is close to
 * full load. */
constexpr double kRunTimeMargin = 1.3;

/** Share of the free processors that a step can use: it may run only on some of
 * the workers, and free capacity is fragmented. */
constexpr double kUsableFreeShare = 0.4;

/** Share of the slack that waiting may use up. */
constexpr double kMaxWaitShareOfSlack = 0.8;

/** Whether the job's first tasks find free capacity beside all tasks that could
 * start now. A job with a gang does not: the free capacity may be fragmented.
 */
bool CanStartAtOnce(const PoolLoad& load, const Job& job) {
  double requested = 0;
  for (const Step& step : job.steps) {
    if (step.gang) return false;
    if (step.depends_on.empty()) {
      requested += static_cast<double>(step.count) *
                   static_cast<double>(step.need.millicores);
    }
  }
  return load.waiting_millicores + requested <=
         kUsableFreeShare * load.free_millicores;
}

}  // namespace

std::optional<base::Duration> RetryAfterOverload(const PoolLoad& load,
                                                 const Job& job,
                                                 const QueuePolicy& policy) {
  // Without workers no wait can be estimated; the job waits for the first ones.
  if (load.usable_millicores <= 0) return std::nullopt;
  const double critical_path = base::ToSeconds(CriticalPathDuration(job));
  const double objective =
      policy.stretch * critical_path + base::ToSeconds(policy.slack);
  double query_s = 0;
  if (policy.advice) query_s = base::ToSeconds(policy.advice->call_duration);
  const double slack =
      std::max(0.0, objective - kRunTimeMargin * critical_path - query_s);
  const double work =
      load.higher_priority_work + load.same_priority_work + EstimatedWork(job);
  const double wait = work / load.usable_millicores;
  if (wait <= kMaxWaitShareOfSlack * slack) return std::nullopt;
  // A job that is too large even for an idle pool is accepted while no work is
  // waiting.
  if (load.higher_priority_work + load.same_priority_work <= 0)
    return std::nullopt;
  if (CanStartAtOnce(load, job)) return std::nullopt;
  const double excess_wait = wait - kMaxWaitShareOfSlack * slack;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::max(1.0, excess_wait)));
}

}  // namespace agatepass::pool
