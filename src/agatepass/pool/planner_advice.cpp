// Advice: which workers may run a step, and the tickets that prove it.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

const std::string kNoTicket;

/** Number of workers by which the start of the list of candidates advances from
 * query to query; a prime, so that most workers come first in turn. */
constexpr size_t kQueryOffset = 37;

}  // namespace

bool PoolPlanner::NeedsAdvice(const StepState& step) const {
  return step.job->policy.advice.has_value();
}

const std::string& PoolPlanner::FindTicket(const StepState& step,
                                           const WorkerState& worker) const {
  const auto found = step.advice.tickets.find(worker.record.worker);
  return found == step.advice.tickets.end() ? kNoTicket : found->second.ticket;
}

void PoolPlanner::RequestMoreAdvice(StepState& step, const PlannerTime& time) {
  AdviceState& advice = step.advice;
  if (advice.in_flight || time.now < advice.retry_at) return;
  // After an answer only workers with free capacity are worth a further query:
  // advice about workers that are as busy as the known ones would not help.
  const bool only_with_capacity = advice.answered;
  uint32_t fitting_tasks = 0;
  std::vector<AdviceCandidate> candidates;
  for (const auto& [id, worker] : this->workers) {
    if (advice.covered_workers.contains(id)) continue;
    if (!this->IsSuitable(*worker, step)) continue;
    AdviceCandidate candidate{
        .worker = id,
        .fits_now = this->CountFitsOn(*worker, step),
        .fits_when_empty = this->CountFitsOnEmpty(*worker, step)};
    if (time.now < worker->quarantined_until) candidate.fits_now = 0;
    if (only_with_capacity && candidate.fits_now == 0) continue;
    fitting_tasks += candidate.fits_now;
    candidates.push_back(std::move(candidate));
  }
  if (candidates.empty()) return;
  const double allowed_share =
      this->allowed_shares.EstimateShare(step.job->job.queue);
  if (!advice.tickets.empty() &&
      !IsQueryWorthwhile(fitting_tasks * allowed_share,
                         this->CountUnplacedTasks(step, time))) {
    return;
  }
  // Steps that query at the same time start with different workers.
  const auto offset = static_cast<std::ptrdiff_t>(
      this->totals.advice_queries * kQueryOffset % candidates.size());
  std::rotate(candidates.begin(), candidates.begin() + offset,
              candidates.end());
  const AdviceDemand demand{
      .tasks = step.waiting,
      .allowed_share = allowed_share,
      .min_workers = advice.answered ? 1 : this->options.min_workers_per_query,
      .max_workers = this->options.max_workers_per_query};
  this->RequestAdvice(step, ChooseWorkersToName(std::move(candidates), demand),
                      time);
}

uint32_t PoolPlanner::CountUnplacedTasks(StepState& step,
                                         const PlannerTime& time) {
  uint32_t placeable = 0;
  for (const Candidate& candidate : this->FindCandidates(step, time)) {
    placeable += candidate.fits;
  }
  return step.waiting - std::min(step.waiting, placeable);
}

void PoolPlanner::RequestAdvice(StepState& step,
                                std::vector<base::WorkerId> workers_to_name,
                                const PlannerTime& time) {
  AdviceQuery query{.job = step.job->job.id,
                    .occurrence = step.occurrence,
                    .step = step.step_index,
                    .workers = std::move(workers_to_name),
                    .priority = step.job->policy.priority};
  if (const auto& advice = step.job->policy.advice) {
    query.expected_duration =
        advice->call_duration + advice->duration_per_worker *
                                    static_cast<int64_t>(query.workers.size());
  }
  step.advice.in_flight = true;
  step.advice.asked_at = time.now;
  step.advice.query_workers = query.workers;
  ++this->totals.advice_queries;
  this->effects.push_back(std::move(query));
}

void PoolPlanner::OnAdvice(const base::JobId& job, uint32_t occurrence,
                           uint32_t step_number, const AdviceReply& reply,
                           const PlannerTime& time) {
  StepState* step = this->FindStep({job, occurrence, step_number, 0});
  if (step == nullptr || !step->advice.in_flight) return;
  AdviceState& advice = step->advice;
  advice.in_flight = false;
  this->ReleaseTicketReservations(*step);
  this->scheduling_needed = true;
  if (!reply.answered) {
    advice.retry_at = time.now + this->options.advice_retry_delay;
    this->log.Add(time.now, "advice query unanswered",
                  "job={} step={} after_ms={}", job.value, step_number,
                  base::ToMilliseconds(time.now - advice.asked_at));
    return;
  }
  advice.answered = true;
  base::Duration ticket_lifetime = reply.ticket_lifetime;
  if (const auto& policy = step->job->policy.advice;
      ticket_lifetime.count() == 0 && policy) {
    ticket_lifetime = policy->ticket_lifetime;
  }
  const base::Instant valid_until =
      time.now + ticket_lifetime - this->options.ticket_expiry_margin;
  // The estimate leaves out renewals of tickets, as their workers are known to
  // be allowed.
  const bool only_new_workers =
      std::none_of(advice.query_workers.begin(), advice.query_workers.end(),
                   [&advice](const auto& id) {
                     return advice.covered_workers.contains(id);
                   });
  if (only_new_workers) {
    this->allowed_shares.OnAnswer(step->job->job.queue,
                                  advice.query_workers.size(),
                                  reply.tickets.size());
  }
  advice.covered_workers.insert(advice.query_workers.begin(),
                                advice.query_workers.end());
  for (const AdviceTicket& ticket : reply.tickets) {
    advice.tickets[ticket.worker] = {ticket.ticket, valid_until};
  }
  this->log.Add(time.now, "advice received",
                "job={} step={} named={} allowed={} after_ms={}", job.value,
                step_number, advice.query_workers.size(), reply.tickets.size(),
                base::ToMilliseconds(time.now - advice.asked_at));
  // Placed immediately, before other steps take the capacity that was reserved.
  if (!this->handing_over && !this->superseded && this->IsReady(*step, time)) {
    this->PlaceStep(*step, time);
  }
}

}  // namespace agatepass::pool
