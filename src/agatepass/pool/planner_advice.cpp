// Advice: which workers may run a step, and the tickets that prove it.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

const std::string kNoTicket;

/** Number of workers by which the start of the list of candidates advances from
 * query to query; a prime, so that most workers come first in turn. */
constexpr size_t kQueryOffset = 37;

/** Workers with free capacity among which those to name are chosen, for each
 * that a query can name: more cost more in large pools and hardly help. */
constexpr size_t kCandidatesPerNamedWorker = 3;

/** Time by which renewed tickets should arrive before the reserved resources
 * are expected to be free. */
constexpr base::Duration kRenewalLead = std::chrono::milliseconds(200);

/** A step looks for workers to ask about once in the time that this many looks
 * of all ready steps may take, which leaves the rest of the time for passes. */
constexpr double kLooksPerInterval = 2;

}  // namespace

bool PoolPlanner::NeedsAdvice(const StepState& step) const {
  return step.job->policy.advice.has_value();
}

const std::string& PoolPlanner::FindTicket(const StepState& step,
                                           const WorkerState& worker) const {
  const auto found = step.advice.tickets.find(worker.record.worker);
  return found == step.advice.tickets.end() ? kNoTicket : found->second.ticket;
}

std::vector<AdviceCandidate> PoolPlanner::FindAdviceCandidates(
    const StepState& step, const PlannerTime& time) {
  // After an answer only workers with free capacity are worth a further query:
  // advice about workers that are as busy as the known ones would not help.
  const bool only_with_capacity = step.advice.answered;
  const size_t count = this->workers_by_index.size();
  // Steps that query at the same time start with different workers.
  const size_t first =
      count == 0 ? 0 : this->totals.advice_queries * kQueryOffset % count;
  std::vector<AdviceCandidate> candidates;
  size_t with_capacity = 0;
  for (size_t i = 0; i < count; ++i) {
    if (with_capacity >=
        kCandidatesPerNamedWorker * this->options.max_workers_per_query) {
      break;
    }
    ++this->totals.workers_examined;
    const WorkerState* worker = this->workers_by_index[(first + i) % count];
    if (worker == nullptr) continue;
    if (step.advice.covered_workers.Contains(worker->index)) continue;
    AdviceCandidate candidate{.worker = worker->index};
    const bool avoided =
        worker->IsQuarantined(time.now) ||
        (worker->IsDistrusted(time.now) && !step.waits_despite_capacity);
    if (!avoided) {
      candidate.fits_now = this->CountFitsOn(*worker, step);
    }
    if (only_with_capacity && candidate.fits_now == 0) continue;
    if (!this->IsSuitable(*worker, step)) continue;
    candidate.fits_when_empty = this->CountFitsOnEmpty(*worker, step);
    if (candidate.fits_now > 0) ++with_capacity;
    candidates.push_back(candidate);
  }
  return candidates;
}

void PoolPlanner::PostponeAdviceLook(StepState& step, base::Instant now) {
  const double workers_in_all_looks =
      static_cast<double>(this->ready_steps) *
      static_cast<double>(this->workers_by_index.size());
  step.advice.next_look_at =
      now + this->TimeToExamine(kLooksPerInterval * workers_in_all_looks);
}

void PoolPlanner::RequestMoreAdvice(StepState& step, const PlannerTime& time) {
  AdviceState& advice = step.advice;
  if (advice.in_flight || time.now < advice.retry_at) return;
  if (time.now < advice.next_look_at) return;
  if (!this->places.HasRoomForQuery(GetLane(step, time.now))) {
    step.wait.Set(WaitReason::kQueryPlace, time.now);
    return;
  }
  std::vector<AdviceCandidate> candidates =
      this->FindAdviceCandidates(step, time);
  uint32_t fitting_tasks = 0;
  for (const AdviceCandidate& candidate : candidates) {
    fitting_tasks += candidate.fits_now;
  }
  const double allowed_share =
      this->allowed_shares.EstimateShare(step.job->job.queue);
  const uint32_t unplaced_tasks = this->CountUnplacedTasks(step, time);
  const QueryGain gain{.expected_slots = fitting_tasks * allowed_share,
                       .unplaced_tasks = unplaced_tasks,
                       // A gang starts with all its tasks or not at all.
                       .cannot_start = step.definition->gang ||
                                       unplaced_tasks == step.CountStartable(),
                       .since_last_query = time.now - advice.asked_at};
  const bool worthwhile = advice.tickets.empty() || IsQueryWorthwhile(gain);
  if (candidates.empty() || !worthwhile) {
    this->PostponeAdviceLook(step, time.now);
    return;
  }
  const AdviceDemand demand{
      .tasks = step.CountStartable(),
      .allowed_share = allowed_share,
      .min_workers = advice.answered ? 1 : this->options.min_workers_per_query,
      .max_workers = this->options.max_workers_per_query};
  std::vector<base::WorkerId> workers_to_name;
  for (const size_t index :
       ChooseWorkersToName(std::move(candidates), demand)) {
    workers_to_name.push_back(this->workers_by_index[index]->record.worker);
  }
  this->RequestAdvice(step, std::move(workers_to_name), time);
}

bool PoolPlanner::HasTimeForQuery(const GangReservation& reservation,
                                  base::Instant now) const {
  const AdvicePolicy& policy = *reservation.step->job->policy.advice;
  const size_t named =
      this->options.max_workers_per_query + reservation.workers.size();
  const base::Duration both_queries =
      2 * policy.call_duration +
      policy.duration_per_worker * static_cast<int64_t>(named);
  return now + both_queries + kRenewalLead < reservation.until;
}

void PoolPlanner::RenewReservedTickets(const GangReservation& reservation,
                                       const PlannerTime& time) {
  StepState& step = *reservation.step;
  AdviceState& advice = step.advice;
  if (advice.in_flight || time.now < advice.retry_at ||
      time.now < advice.next_look_at ||
      !this->places.HasRoomForQuery(GetLane(step, time.now))) {
    return;
  }
  const AdvicePolicy& policy = *step.job->policy.advice;
  const base::Instant answered_at =
      time.now + policy.call_duration +
      policy.duration_per_worker *
          static_cast<int64_t>(reservation.workers.size());
  if (answered_at + kRenewalLead < reservation.until) return;
  const base::Instant needed_until = std::max(answered_at, reservation.until);
  std::vector<base::WorkerId> workers_to_name;
  for (const WorkerState* worker : reservation.workers) {
    const auto ticket = advice.tickets.find(worker->record.worker);
    if (ticket == advice.tickets.end() ||
        ticket->second.valid_until < needed_until) {
      workers_to_name.push_back(worker->record.worker);
    }
  }
  if (workers_to_name.empty()) return;
  this->RequestAdvice(step, std::move(workers_to_name), time);
}

uint32_t PoolPlanner::CountUnplacedTasks(StepState& step,
                                         const PlannerTime& time) {
  uint32_t placeable = 0;
  for (const Candidate& candidate : this->FindCandidates(step, time)) {
    placeable += candidate.fits;
  }
  const uint32_t startable = step.CountStartable();
  return startable - std::min(startable, placeable);
}

void PoolPlanner::RequestAdvice(StepState& step,
                                std::vector<base::WorkerId> workers_to_name,
                                const PlannerTime& time) {
  AdviceQuery query{.job = step.job->job.id,
                    .occurrence = step.occurrence,
                    .step = step.step_index,
                    .workers = std::move(workers_to_name),
                    .priority = step.job->policy.priority,
                    .asked_at = time.now};
  if (const auto& advice = step.job->policy.advice) {
    query.expected_duration =
        advice->call_duration + advice->duration_per_worker *
                                    static_cast<int64_t>(query.workers.size());
  }
  step.advice.lane = GetLane(step, time.now);
  this->places.OnQuerySent(step.advice.lane);
  step.advice.in_flight = true;
  step.wait.Set(WaitReason::kAdvice, time.now);
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
  this->places.OnQueryDone(advice.lane, this->input_lag, time.now);
  this->ReleaseTicketReservations(*step);
  this->MarkForTrim(*step->job);
  if (!step->job->IsOpen()) return;
  this->scheduling_needed = true;
  if (!reply.answered) {
    advice.retry_at = time.now + this->options.advice_retry_delay;
    this->log.Add(time.now, "advice query unanswered",
                  "job={} step={} after_ms={}", job.value, step_number,
                  base::ToMilliseconds(time.now - advice.asked_at));
    return;
  }
  advice.answered = true;
  const bool is_late = time.now > GetObjectiveEnd(*step);
  advice.next_look_at =
      time.now + DelayBeforeNextQuery(++advice.answers_without_start, is_late);
  base::Duration ticket_lifetime = reply.ticket_lifetime;
  if (const auto& policy = step->job->policy.advice;
      ticket_lifetime.count() == 0 && policy) {
    ticket_lifetime = policy->ticket_lifetime;
  }
  const base::Instant valid_until =
      time.now + ticket_lifetime - this->options.ticket_expiry_margin;
  bool only_new_workers = true;
  for (const base::WorkerId& id : advice.query_workers) {
    const auto worker = this->workers.find(id);
    if (worker == this->workers.end()) continue;
    const size_t index = worker->second->index;
    if (advice.covered_workers.Contains(index)) only_new_workers = false;
    advice.covered_workers.Insert(index);
  }
  // The estimate leaves out renewals of tickets, as their workers are known to
  // be allowed.
  if (only_new_workers) {
    this->allowed_shares.OnAnswer(step->job->job.queue,
                                  advice.query_workers.size(),
                                  reply.tickets.size());
  }
  for (const AdviceTicket& ticket : reply.tickets) {
    const auto worker = this->workers.find(ticket.worker);
    if (worker == this->workers.end()) continue;
    advice.tickets[ticket.worker] = {worker->second.get(), ticket.ticket,
                                     valid_until};
  }
  this->log.Add(time.now, "advice received",
                "job={} step={} named={} allowed={} after_ms={}", job.value,
                step_number, advice.query_workers.size(), reply.tickets.size(),
                base::ToMilliseconds(time.now - advice.asked_at));
  // Placed immediately, before other steps take the capacity that was reserved.
  if (this->places.HasRoomForStart(GetLane(*step, time.now)) &&
      this->IsReady(*step, time)) {
    this->PlaceStep(*step, time);
  }
}

}  // namespace agatepass::pool
