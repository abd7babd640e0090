// Advice: which workers may run a step, and the tickets that say so.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"

namespace agatepass::pool {

namespace {

const std::string kNoTicket;

/** Workers by which the first one asked about moves on; a prime, so that all
 * come to be first. */
constexpr size_t kTurnStep = 37;

}  // namespace

bool PoolPlanner::NeedsAdvice(const StepState& step) const {
  return step.job->policy.advice.has_value();
}

const std::string& PoolPlanner::TicketFor(const StepState& step,
                                          const WorkerState& worker) const {
  const auto found = step.advice.good.find(worker.record.worker);
  return found == step.advice.good.end() ? kNoTicket : found->second.ticket;
}

void PoolPlanner::AskAboutMore(StepState& step, const PlannerTime& time) {
  AdviceState& advice = step.advice;
  if (advice.in_flight || time.now < advice.retry_at) return;
  // A step whose good workers are known waits for them rather than for more
  // advice about workers that are as busy.
  const bool only_with_room = advice.known;
  uint32_t places = 0;
  std::vector<WorkerToAsk> candidates;
  for (const auto& [id, worker] : this->workers) {
    if (advice.asked.contains(id)) continue;
    if (!this->IsSuitable(*worker, step)) continue;
    WorkerToAsk candidate{.worker = id,
                          .fits_now = this->FitsOn(*worker, step),
                          .fits_empty = this->FitsOnEmpty(*worker, step)};
    if (time.now < worker->shunned_until) candidate.fits_now = 0;
    if (only_with_room && candidate.fits_now == 0) continue;
    places += candidate.fits_now;
    candidates.push_back(std::move(candidate));
  }
  if (candidates.empty()) return;
  const double good_share = this->good_shares.Expect(step.job->job.queue);
  if (!advice.good.empty() &&
      !IsWorthAsking(places * good_share, this->MissingPlaces(step, time))) {
    return;
  }
  // Steps that ask at the same time begin with different workers.
  const auto turn = static_cast<std::ptrdiff_t>(this->totals.advice_queries *
                                                kTurnStep % candidates.size());
  std::rotate(candidates.begin(), candidates.begin() + turn, candidates.end());
  const AdviceDemand demand{
      .tasks = step.waiting,
      .good_share = good_share,
      .least_workers = advice.known ? 1 : this->options.least_workers_per_query,
      .most_workers = this->options.workers_per_query};
  this->AskAdvice(step, ChooseWorkersToAsk(std::move(candidates), demand),
                  time);
}

uint32_t PoolPlanner::MissingPlaces(StepState& step, const PlannerTime& time) {
  uint32_t found = 0;
  for (const Candidate& candidate : this->FindCandidates(step, time)) {
    found += candidate.fits;
  }
  return step.waiting - std::min(step.waiting, found);
}

void PoolPlanner::AskAdvice(StepState& step, std::vector<base::WorkerId> named,
                            const PlannerTime& time) {
  AdviceQuery query{.job = step.job->job.id,
                    .occurrence = step.occurrence,
                    .step = step.number,
                    .workers = std::move(named),
                    .priority = step.job->policy.priority};
  if (const auto& advice = step.job->policy.advice) {
    query.cost =
        advice->decide +
        advice->per_worker * static_cast<int64_t>(query.workers.size());
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
  if (const auto& policy = step->job->policy.advice;
      valid.count() == 0 && policy) {
    valid = policy->valid;
  }
  const base::Instant valid_until =
      time.now + valid - this->options.ticket_margin;
  const bool first_asked = std::none_of(
      advice.in_query.begin(), advice.in_query.end(),
      [&advice](const auto& id) { return advice.asked.contains(id); });
  if (first_asked) {
    this->good_shares.OnAnswer(step->job->job.queue, advice.in_query.size(),
                               reply.good.size());
  }
  advice.asked.insert(advice.in_query.begin(), advice.in_query.end());
  for (const AdviceTicket& ticket : reply.good) {
    advice.good[ticket.worker] = {ticket.ticket, valid_until};
  }
  this->log.Add(time.now, "advice given",
                "job={} step={} asked={} good={} after_ms={}", job.value,
                number, advice.in_query.size(), reply.good.size(),
                base::ToMilliseconds(time.now - advice.asked_at));
  // At once, before others take the room that was reserved.
  if (!this->retiring && !this->deposed && this->IsReady(*step, time)) {
    this->PlaceStep(*step, time);
  }
}

}  // namespace agatepass::pool
