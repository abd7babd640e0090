// Advice: which workers may run a step, and the tickets that say so.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

const std::string kNoTicket;

}  // namespace

bool PoolPlanner::NeedsAdvice(const StepState& step) const {
  return step.job->advice_valid.has_value();
}

const std::string& PoolPlanner::TicketFor(const StepState& step,
                                          const WorkerState& worker) const {
  const auto found = step.advice.good.find(worker.record.worker);
  return found == step.advice.good.end() ? kNoTicket : found->second.ticket;
}

void PoolPlanner::AskFirstAdvice(StepState& step, const PlannerTime& time) {
  if (step.advice.in_flight || time.now < step.advice.retry_at) return;
  std::vector<base::WorkerId> named;
  for (const auto& [id, worker] : this->workers) {
    if (!worker->listed || worker->record.draining) continue;
    if (worker->record.service != step.job->service) continue;
    if (named.size() >= this->options.workers_per_query) break;
    named.push_back(id);
  }
  if (!named.empty()) this->AskAdvice(step, std::move(named), time);
}

void PoolPlanner::AskAdvice(StepState& step, std::vector<base::WorkerId> named,
                            const PlannerTime& time) {
  const Queue* queue = this->queues.Find(step.job->job.queue);
  AdviceQuery query{.job = step.job->job.id,
                    .occurrence = step.occurrence,
                    .step = step.number,
                    .workers = std::move(named),
                    .priority = step.job->priority};
  if (queue != nullptr && queue->advice) {
    query.cost =
        queue->advice->decide +
        queue->advice->per_worker * static_cast<int64_t>(query.workers.size());
  }
  step.advice.in_flight = true;
  step.advice.asked_at = time.now;
  step.advice.in_query = query.workers;
  ++this->totals.advice_queries;
  this->effects.push_back(std::move(query));
}

void PoolPlanner::OnAdvice(const base::JobId& job, uint32_t occurrence,
                           uint32_t number, const AdviceReply& reply,
                           const PlannerTime& time) {
  StepState* step = this->FindStep({job, occurrence, number, 0});
  if (step == nullptr || !step->advice.in_flight) return;
  AdviceState& advice = step->advice;
  advice.in_flight = false;
  this->ReleaseReservation(*step);
  this->decide = true;
  if (!reply.answered) {
    advice.retry_at = time.now + this->options.advice_retry;
    this->log.Add(time.now, "advice not given", "job={} step={} after_ms={}",
                  job.value, number,
                  base::ToMilliseconds(time.now - advice.asked_at));
    return;
  }
  advice.known = true;
  base::Duration valid = reply.valid;
  if (valid.count() == 0) {
    valid = step->job->advice_valid.value_or(base::Duration(0));
  }
  const base::Instant valid_until =
      time.now + valid - this->options.ticket_margin;
  for (const AdviceTicket& ticket : reply.good) {
    advice.good[ticket.worker] = {ticket.ticket, valid_until};
  }
  this->log.Add(time.now, "advice given",
                "job={} step={} asked={} good={} after_ms={}", job.value,
                number, advice.in_query.size(), reply.good.size(),
                base::ToMilliseconds(time.now - advice.asked_at));
}

}  // namespace agatepass::pool
