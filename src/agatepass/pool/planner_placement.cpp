// Scheduling: which waiting tasks start on which workers, and in which order.
#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/step_fit.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

/** After this many passes that used up the limit of starts, one goes through
 * the ready steps by age instead of urgency. */
constexpr uint32_t kPassesPerOldestFirst = 8;

/** How long a step may be kept from what is reserved for gangs while less than
 * half of its service's processors are in use. */
constexpr base::Duration kMaxWaitDespiteCapacity =
    std::chrono::milliseconds(1500);

/** Counts the runs of a step on a worker, also those that no job needs and that
 * are being stopped. */
uint32_t CountRunsOnWorker(const StepState& step, const WorkerState& worker) {
  return static_cast<uint32_t>(std::count_if(
      worker.runs.begin(), worker.runs.end(), [&step](const RunState* run) {
        return run->task.step == step.step_index &&
               run->task.occurrence == step.occurrence &&
               run->task.job == step.job->job.id;
      }));
}

}  // namespace

void PoolPlanner::ScheduleReadySteps(const PlannerTime& time) {
  this->OpenDueOccurrences(time);
  this->DropExpiredGangReservations(time.now);
  this->BeginTeamPass(time);
  const uint64_t examined_before = this->totals.workers_examined;
  std::vector<StepState*> ready = this->CollectReadySteps(time);
  this->ready_steps = ready.size();
  // More urgent work may use up the limit of starts for as long as it comes.
  if (this->passes_without_room >= kPassesPerOldestFirst &&
      this->places.HasRoomForStart(Lane::kOther)) {
    this->passes_without_room = 0;
    std::stable_sort(ready.begin(), ready.end(),
                     [](const StepState* left, const StepState* right) {
                       return left->released_at < right->released_at;
                     });
  }
  for (StepState* step : ready) {
    if (!step->ticket_reservations.empty() &&
        time.now >= step->ticket_reservations_until) {
      this->ReleaseTicketReservations(*step);
    }
    // What is sent in vain would delay the ends that make room.
    if (this->places.HasRoomForStart(GetLane(*step, time.now))) {
      this->PlaceStep(*step, time);
      this->HoldBackUnderCap(*step, time);
    } else {
      step->wait.Set(WaitReason::kStartPlace, time.now);
    }
  }
  this->LogHeldTeams(time.now);
  if (!this->places.HasRoomForStart(Lane::kOther)) ++this->passes_without_room;
  const uint64_t examined = this->totals.workers_examined - examined_before;
  this->earliest_scheduling_at =
      time.now +
      this->TimeToExamine(static_cast<double>(examined + this->open.size()));
}

base::Duration PoolPlanner::TimeToExamine(double workers) const {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(
          workers / this->options.max_workers_examined_per_second));
}

bool PoolPlanner::IsReady(const StepState& step,
                          const PlannerTime& time) const {
  if (step.waiting == 0) return false;
  const JobState& job = *step.job;
  if (job.job.occurrences > 0) {
    const int64_t due = DueMs(job.job, step.occurrence);
    if (time.wall_ms + base::ToMilliseconds(this->options.max_early_start) <
        due) {
      return false;
    }
  }
  if (step.definition->depends_on.empty()) return true;
  const size_t first = job.FindOccurrence(step.occurrence);
  return std::all_of(
      step.definition->depends_on.begin(), step.definition->depends_on.end(),
      [&](uint32_t earlier) { return job.steps[first + earlier]->IsDone(); });
}

std::vector<StepState*> PoolPlanner::CollectReadySteps(
    const PlannerTime& time) {
  // Urgency; whether it is beyond its team's share; latest start.
  std::vector<std::tuple<Urgency, bool, base::Instant, StepState*>> ready;
  for (const auto& [id, job] : this->open) {
    for (const auto& step : job->steps) {
      if (!this->IsReady(*step, time)) continue;
      if (!step->ready_since) {
        step->ready_since = time.now;
        step->wait = {.since = time.now};
      }
      ready.emplace_back(GetUrgency(*step, time.now), job->beyond_share,
                         GetObjectiveEnd(*step) - step->remaining_critical_path,
                         step.get());
    }
  }
  std::stable_sort(
      ready.begin(), ready.end(), [](const auto& left, const auto& right) {
        return std::tie(std::get<0>(left), std::get<1>(left),
                        std::get<2>(left)) < std::tie(std::get<0>(right),
                                                      std::get<1>(right),
                                                      std::get<2>(right));
      });
  std::vector<StepState*> steps;
  steps.reserve(ready.size());
  for (const auto& entry : ready) steps.push_back(std::get<3>(entry));
  return steps;
}

bool PoolPlanner::WaitsDespiteCapacity(const StepState& step,
                                       const PlannerTime& time) {
  if (!step.ready_since ||
      time.now < *step.ready_since + kMaxWaitDespiteCapacity)
    return false;
  const ServiceLoad& load = this->FindLoad(step.job->policy.service, time);
  return 2 * load.used_millicores < load.total_millicores;
}

void PoolPlanner::PlaceStep(StepState& step, const PlannerTime& time) {
  // All starts come through here.
  if (this->handing_over || this->superseded || this->unconfirmed_since) return;
  if (!step.job->IsOpen()) return;
  step.waits_despite_capacity = this->WaitsDespiteCapacity(step, time);
  if (this->IsHeldByTeamCap(step, time)) return;
  if (this->NeedsAdvice(step) && !step.advice.answered) {
    this->RequestMoreAdvice(step, time);
    return;
  }
  if (!step.job->stored) {
    step.wait.Set(WaitReason::kStore, time.now);
    return;
  }
  if (step.job->inherited && !this->CanStartInheritedJobs(time.now)) {
    step.wait.Set(WaitReason::kEarlierTerms, time.now);
    return;
  }
  if (!step.advice.in_flight) step.wait.Set(WaitReason::kResources, time.now);
  if (step.advice.in_flight && !step.ticket_reservations.empty()) return;
  const bool is_gang = step.definition->gang;
  if (is_gang && step.waiting < step.tasks.size()) return;
  std::vector<Candidate> candidates = this->FindCandidates(step, time);
  // Trials wait for a good moment on the workers that are known.
  const bool waits_for_trial =
      !is_gang && !candidates.empty() && this->HasTrials(step, time.now);
  if (is_gang) {
    this->PlaceGang(step, std::move(candidates), time);
  } else if (!candidates.empty()) {
    this->PlaceTasks(step, std::move(candidates), time);
  }
  if (step.waiting == 0 || waits_for_trial || !this->NeedsAdvice(step)) return;
  // What has just started may have used up the team's cap.
  if (this->IsHeldByTeamCap(step, time)) return;
  const auto reservation = this->gang_reservations.find(&step);
  if (reservation == this->gang_reservations.end()) {
    this->RequestMoreAdvice(step, time);
    return;
  }
  this->RenewReservedTickets(reservation->second, time);
  if (this->HasTimeForQuery(reservation->second, time.now)) {
    this->RequestMoreAdvice(step, time);
  }
}

bool PoolPlanner::IsSuitable(const WorkerState& worker,
                             const StepState& step) const {
  if (!worker.listed || worker.record.draining) return false;
  if (worker.record.service != step.job->policy.service) return false;
  const std::string& label = step.definition->required_label;
  return label.empty() ||
         std::find(worker.record.labels.begin(), worker.record.labels.end(),
                   label) != worker.record.labels.end();
}

bool PoolPlanner::CanTakeTasksNow(const WorkerState& worker,
                                  const StepState& step,
                                  const PlannerTime& time) const {
  if (!this->IsSuitable(worker, step)) return false;
  if (!worker.synced || !worker.in_roster || !worker.clock_ms) return false;
  if (worker.HasFormerRecord()) return false;
  if (worker.IsQuarantined(time.now)) return false;
  if (worker.IsDistrusted(time.now) && !step.waits_despite_capacity)
    return false;
  if (worker.trials > 0 || this->capacities_outdated_since) return false;
  // Urgent steps may use resources reserved for gangs; late ones may not, even
  // of the highest priority: they would take them from gangs in time.
  if (GetUrgency(step, time.now) == Urgency::kUrgent) return true;
  if (step.waits_despite_capacity) return true;
  const base::Instant end = time.now + step.definition->estimate;
  return std::none_of(
      worker.gang_reservations.begin(), worker.gang_reservations.end(),
      [&](const GangReservation* reservation) {
        return reservation->step != &step && end > reservation->until;
      });
}

uint32_t PoolPlanner::CountFitsOn(const WorkerState& worker,
                                  const StepState& step) const {
  const Step& definition = *step.definition;
  uint32_t max_tasks = step.CountStartable();
  if (definition.max_tasks_per_worker > 0) {
    const uint32_t running = CountRunsOnWorker(step, worker);
    if (running >= definition.max_tasks_per_worker) return 0;
    max_tasks = std::min(max_tasks, definition.max_tasks_per_worker - running);
  }
  return CountFits(definition, worker.FreeResources(), max_tasks);
}

uint32_t PoolPlanner::CountFitsOnEmpty(const WorkerState& worker,
                                       const StepState& step) const {
  const Step& definition = *step.definition;
  uint32_t max_tasks = step.CountStartable();
  if (definition.max_tasks_per_worker > 0) {
    max_tasks = std::min(max_tasks, definition.max_tasks_per_worker);
  }
  return CountFits(definition, worker.record.total, max_tasks);
}

std::vector<PoolPlanner::Candidate> PoolPlanner::FindCandidates(
    StepState& step, const PlannerTime& time) {
  const platform::Resources taken = TakenResources(*step.definition);
  std::vector<Candidate> candidates;
  const auto add_if_it_fits = [&](WorkerState& worker, bool ticket_valid) {
    ++this->totals.workers_examined;
    if (!taken.FitsIn(worker.FreeResources())) return;
    if (!this->CanTakeTasksNow(worker, step, time)) return;
    const uint32_t fits = this->CountFitsOn(worker, step);
    if (fits > 0) candidates.push_back({&worker, fits, ticket_valid});
  };
  if (this->NeedsAdvice(step)) {
    for (const auto& [id, ticket] : step.advice.tickets) {
      add_if_it_fits(*ticket.worker, time.now < ticket.valid_until);
    }
  } else {
    for (const auto& [id, worker] : this->workers) {
      add_if_it_fits(*worker, true);
    }
  }
  return candidates;
}

void PoolPlanner::PlaceTasks(StepState& step, std::vector<Candidate> candidates,
                             const PlannerTime& time) {
  const int64_t taken = TakenResources(*step.definition).millicores;
  // In this order: workers on which runs succeed; workers without trials, as
  // these may crash; the rack of the data, as reading remote data costs more
  // than a worse fit; valid tickets; workers without a gang reservation; best
  // fit, which keeps whole workers free for large tasks.
  const auto rank = [&](const Candidate& candidate) {
    const bool remote = !step.definition->data_rack.empty() &&
                        candidate.worker->rack != step.definition->data_rack;
    const int64_t unused = candidate.worker->FreeResources().millicores - taken;
    const bool reserved = !candidate.worker->gang_reservations.empty();
    const bool on_trial = this->WasOnTrialLately(*candidate.worker, time.now);
    return std::make_tuple(candidate.worker->IsDistrusted(time.now), on_trial,
                           remote, !candidate.ticket_valid, reserved, unused);
  };
  this->PlaceTrials(step, candidates, time);
  const Lane lane = GetLane(step, time.now);
  std::vector<std::pair<WorkerState*, uint32_t>> expired_tickets;
  uint32_t tasks_needing_renewal = 0;
  // Trials may have used some of it.
  uint32_t cap_room = this->CountCapRoom(step, step.waiting);
  for (uint32_t i = 0; i < step.tasks.size(); ++i) {
    TaskState& task = step.tasks[i];
    if (task.succeeded || task.current_run != nullptr) continue;
    if (time.now < task.earliest_start) continue;
    if (this->NeedsTrial(step, task, time.now)) continue;
    if (!this->places.HasRoomForStart(lane)) {
      step.wait.Set(WaitReason::kStartPlace, time.now);
      break;
    }
    if (cap_room == 0) {
      step.wait.Set(WaitReason::kTeamCap, time.now);
      break;
    }
    Candidate* best = nullptr;
    for (Candidate& candidate : candidates) {
      if (candidate.fits == 0) continue;
      if (candidates.size() > 1 &&
          candidate.worker->record.worker == task.avoided_worker) {
        continue;
      }
      if (best == nullptr || rank(candidate) < rank(*best)) best = &candidate;
    }
    if (best == nullptr) break;
    --best->fits;
    --cap_room;
    if (best->ticket_valid) {
      this->StartTask(step, i, task.last_run + 1, *best->worker, time);
      continue;
    }
    ++tasks_needing_renewal;
    if (!expired_tickets.empty() &&
        expired_tickets.back().first == best->worker) {
      ++expired_tickets.back().second;
    } else {
      expired_tickets.emplace_back(best->worker, 1);
    }
  }
  if (tasks_needing_renewal > 0)
    this->ReserveAndRenewTickets(step, expired_tickets, time);
}

void PoolPlanner::StartTask(StepState& step, uint32_t index, RunNumber number,
                            WorkerState& worker, const PlannerTime& time) {
  JobState& job = *step.job;
  const TaskName name{job.job.id, step.occurrence, step.step_index, index};
  step.advice.answers_without_start = 0;
  RunState& run = this->AddRun(name, number, worker, &step,
                               TakenResources(*step.definition));
  run.start_requested_at = time.now;
  run.fence = worker.fence;
  run.last_progress.at = time.now;
  if (step.tasks[index].checkpoint.empty())
    run.first_progress = run.last_progress;
  run.expected_end = time.now + step.definition->estimate;
  const std::optional<int64_t> lease_until_ms =
      this->LeaseOnWorkerClock(worker, time.now);
  this->RecordLease(worker, time.now);
  ++this->totals.starts;
  run.start_place = GetLane(step, time.now);
  this->places.OnStartSent(*run.start_place);
  this->log.Add(
      time.now, "start requested",
      "task={} run={} worker={} since_accepted_ms={} free_millicores={}",
      ToString(name), number, worker.record.worker.value,
      base::ToMilliseconds(time.now - job.accepted_at),
      worker.FreeResources().millicores);
  this->effects.push_back(
      StartRequest{.worker = worker.record.worker,
                   .endpoint = worker.record.endpoint,
                   .task = name,
                   .run = number,
                   .fence = worker.fence,
                   .payload = job.job.payload,
                   .checkpoint = step.tasks[index].checkpoint,
                   .ticket = this->FindTicket(step, worker),
                   .is_urgent = run.start_place == Lane::kUrgent,
                   .lease_until_ms = lease_until_ms.value_or(0)});
}

void PoolPlanner::ReserveAndRenewTickets(
    StepState& step, std::span<const std::pair<WorkerState*, uint32_t>> plan,
    const PlannerTime& time) {
  if (step.advice.in_flight || time.now < step.advice.retry_at) return;
  if (time.now < step.advice.next_look_at) return;
  if (!this->places.HasRoomForQuery(GetLane(step, time.now))) {
    step.wait.Set(WaitReason::kQueryPlace, time.now);
    return;
  }
  this->ReleaseTicketReservations(step);
  const platform::Resources taken = TakenResources(*step.definition);
  std::vector<base::WorkerId> workers_to_name;
  for (const auto& [worker, count] : plan) {
    platform::Resources resources;
    for (uint32_t i = 0; i < count; ++i) resources += taken;
    worker->reserved_for_tickets += resources;
    step.ticket_reservations.push_back({worker, resources});
    if (std::find(workers_to_name.begin(), workers_to_name.end(),
                  worker->record.worker) == workers_to_name.end()) {
      workers_to_name.push_back(worker->record.worker);
    }
  }
  step.ticket_reservations_until =
      time.now + this->options.max_ticket_reservation_time;
  this->RequestAdvice(step, std::move(workers_to_name), time);
}

void PoolPlanner::ReleaseTicketReservations(StepState& step) {
  for (const TicketReservation& reservation : step.ticket_reservations) {
    reservation.worker->reserved_for_tickets -= reservation.resources;
  }
  if (!step.ticket_reservations.empty()) this->scheduling_needed = true;
  step.ticket_reservations.clear();
}

}  // namespace agatepass::pool
