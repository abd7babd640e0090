// Gangs: all tasks start at the same time, on resources that are reserved for
// them or freed by preemption.
#include <algorithm>
#include <span>
#include <utility>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/run_prediction.h"
#include "agatepass/pool/step_fit.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

/** Resources of running tasks are reserved for a gang, without preemption, only
 * if enough of them are expected to be released within this time. */
constexpr base::Duration kMaxTimeToRelease = std::chrono::seconds(4);

/** Task slots reserved for each member of a gang: more than one, as some
 * running tasks end late. */
constexpr double kSlotsPerMember = 1.3;

/** Time that a reservation lasts beyond the expected release of the resources,
 * as estimates are rough. */
constexpr base::Duration kReservationMargin = std::chrono::milliseconds(300);

/** Number of gang reservations that are always allowed, and number of workers
 * per allowed reservation in larger pools. Each reservation leaves some
 * resources idle. */
constexpr size_t kMinReservationLimit = 4;
constexpr size_t kWorkersPerReservation = 80;

/** How long reservations for one gang follow each other, and how long none is
 * made for it then: if it could not start, the predictions were wrong, and
 * other work gets its turn. */
constexpr base::Duration kMaxReservedTime = std::chrono::seconds(8);
constexpr base::Duration kReservationPause = std::chrono::seconds(8);

/** Time between two attempts to reserve resources for the same gang: each
 * attempt scans all runs of its workers. */
constexpr base::Duration kReservationRetryDelay =
    std::chrono::milliseconds(150);

/** How long a reservation stays in place after it has expired, so that it can
 * be renewed without a gap. */
constexpr base::Duration kReservationRenewalGrace =
    std::chrono::milliseconds(300);

/** Progress from which a run is not preempted: it ends and frees its resources
 * soon anyway. */
constexpr int kNearlyDonePercent = 80;

/** Maximum number of times that a task is preempted for gangs. */
constexpr uint32_t kMaxPreemptions = 2;

/** Resources that a run is expected to free. */
struct ResourceRelease {
  base::Instant at;
  /** Position of the worker among those of the gang. */
  size_t worker = 0;
  platform::Resources resources;
};

/** Placement of a gang: workers, each with the number of members that would
 * start there. */
struct GangPlan {
  std::vector<std::pair<WorkerState*, uint32_t>> placements;
  /** Members that fit on no worker. */
  uint32_t unplaced = 0;
  /** Whether the tickets of all chosen workers are valid. */
  bool tickets_valid = true;
};

uint32_t CountGangFits(const StepState& step,
                       const platform::Resources& available_resources) {
  return CountFits(*step.definition, available_resources,
                   static_cast<uint32_t>(step.tasks.size()));
}

/** Returns the workers to reserve: few workers with many free slots, and some
 * slots more than the gang has members. */
std::vector<WorkerState*> ChooseReservedWorkers(
    const StepState& step, std::span<WorkerState* const> workers,
    std::span<const platform::Resources> free_resources) {
  std::vector<std::pair<uint32_t, WorkerState*>> ranked;
  for (size_t i = 0; i < workers.size(); ++i) {
    const uint32_t fits = CountGangFits(step, free_resources[i]);
    if (fits > 0) ranked.emplace_back(fits, workers[i]);
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& left, const auto& right) {
                     return left.first > right.first;
                   });
  const double wanted_slots =
      kSlotsPerMember * static_cast<double>(step.tasks.size());
  std::vector<WorkerState*> reserved;
  double slots = 0;
  for (const auto& [fits, worker] : ranked) {
    if (slots >= wanted_slots) break;
    slots += fits;
    reserved.push_back(worker);
  }
  return reserved;
}

}  // namespace

void PoolPlanner::PlaceGang(StepState& step, std::vector<Candidate> candidates,
                            const PlannerTime& time) {
  RunNumber run = 0;
  for (const TaskState& task : step.tasks) {
    run = std::max(run, task.last_run);
    if (time.now < task.earliest_start) return;
  }
  ++run;
  const bool on_trial = this->HasTrials(step, time.now);
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.fits > right.fits;
                   });
  std::stable_partition(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return !this->WasOnTrialLately(*candidate.worker, time.now);
      });
  if (on_trial) this->ChooseForGangTrial(step, candidates, time.now);
  if (step.definition->same_rack) {
    std::map<base::RackId, uint32_t> rack_slots;
    for (const Candidate& candidate : candidates) {
      rack_slots[candidate.worker->rack] += candidate.fits;
    }
    for (const auto& [rack, slots] : rack_slots) {
      if (slots < step.tasks.size()) continue;
      std::erase_if(candidates, [&rack = rack](const Candidate& candidate) {
        return candidate.worker->rack != rack;
      });
      break;
    }
  }
  // A plan on workers with valid tickets alone is preferred, or resources would
  // be reserved for ticket renewals again and again.
  const auto make_plan = [&](bool include_expired) {
    GangPlan new_plan{.unplaced = static_cast<uint32_t>(step.tasks.size())};
    for (const Candidate& candidate : candidates) {
      if (new_plan.unplaced == 0) break;
      if (!candidate.ticket_valid && !include_expired) continue;
      const uint32_t taken = std::min(new_plan.unplaced, candidate.fits);
      new_plan.placements.emplace_back(candidate.worker, taken);
      new_plan.tickets_valid = new_plan.tickets_valid && candidate.ticket_valid;
      new_plan.unplaced -= taken;
    }
    return new_plan;
  };
  GangPlan plan = make_plan(false);
  if (plan.unplaced > 0) plan = make_plan(true);
  const auto& [placements, unplaced, tickets_valid] = plan;
  if (unplaced > 0) {
    this->FreeCapacityForGang(step, time);
    return;
  }
  if (!tickets_valid) {
    this->ReserveAndRenewTickets(step, placements, time);
    return;
  }
  if (on_trial && !this->IsGangTrialRecorded(step, run)) return;
  this->DropGangReservation(step);
  std::string checkpoint;
  for (const TaskState& task : step.tasks)
    checkpoint = std::max(checkpoint, task.checkpoint);
  uint32_t index = 0;
  for (const auto& [worker, count] : placements) {
    for (uint32_t i = 0; i < count; ++i, ++index) {
      step.tasks[index].checkpoint = checkpoint;
      this->StartTask(step, index, run, *worker, time);
      if (on_trial) this->MarkOnTrial(*step.tasks[index].current_run);
    }
  }
}

void PoolPlanner::AddGangReservation(GangReservation reservation) {
  StepState* step = reservation.step;
  this->DropGangReservation(*step);
  const GangReservation& added =
      this->gang_reservations.emplace(step, std::move(reservation))
          .first->second;
  for (WorkerState* worker : added.workers) {
    worker->gang_reservations.push_back(&added);
  }
}

void PoolPlanner::DropGangReservation(const StepState& step) {
  const auto found = this->gang_reservations.find(&step);
  if (found == this->gang_reservations.end()) return;
  for (WorkerState* worker : found->second.workers) {
    std::erase(worker->gang_reservations, &found->second);
  }
  this->gang_reservations.erase(found);
}

void PoolPlanner::DropExpiredGangReservations(base::Instant now) {
  std::vector<const StepState*> expired;
  for (const auto& [step, reservation] : this->gang_reservations) {
    if (now >= reservation.until + kReservationRenewalGrace) {
      expired.push_back(step);
    }
  }
  for (const StepState* step : expired) this->DropGangReservation(*step);
}

std::vector<WorkerState*> PoolPlanner::FindGangWorkers(
    const StepState& step, const PlannerTime& time) {
  std::vector<WorkerState*> available;
  const auto add = [&](WorkerState& worker) {
    this->totals.workers_examined += 1 + worker.runs.size();
    if (this->CanTakeTasksNow(worker, step, time)) available.push_back(&worker);
  };
  if (this->NeedsAdvice(step)) {
    for (const auto& [id, ticket] : step.advice.tickets) add(*ticket.worker);
  } else {
    for (const auto& [id, worker] : this->workers) add(*worker);
  }
  return available;
}

void PoolPlanner::FreeCapacityForGang(StepState& step,
                                      const PlannerTime& time) {
  if (GetUrgency(step, time.now) > Urgency::kInTime) return;
  const size_t max_reservations = std::max(
      kMinReservationLimit, this->workers.size() / kWorkersPerReservation);
  if (time.now < step.next_reservation_attempt) return;
  const auto existing = this->gang_reservations.find(&step);
  if (existing == this->gang_reservations.end() &&
      this->gang_reservations.size() >= max_reservations)
    return;
  // An expired reservation is replaced here, which leaves no gap in which other
  // tasks could take its resources.
  if (existing == this->gang_reservations.end()) {
    step.reserved_since = time.now;
  } else if (time.now < existing->second.until) {
    return;
  } else if (time.now >= step.reserved_since + kMaxReservedTime) {
    this->log.Add(time.now, "resources not reserved again for gang",
                  "job={} step={} reserved_ms={}", step.job->job.id.value,
                  step.step_index,
                  base::ToMilliseconds(time.now - step.reserved_since));
    this->DropGangReservation(step);
    step.next_reservation_attempt = time.now + kReservationPause;
    return;
  }
  step.next_reservation_attempt = time.now + kReservationRetryDelay;
  const std::vector<WorkerState*> workers = this->FindGangWorkers(step, time);
  std::optional<GangReservation> reserved =
      this->PlanGangReservation(step, workers, time);
  const bool fits_soon =
      reserved &&
      reserved->until <= time.now + kExpectedStopTime + kReservationMargin;
  if (!fits_soon) {
    if (auto preempted = this->PreemptForGang(step, workers, time)) {
      reserved = std::move(preempted);
    }
  }
  if (!reserved) return;
  this->log.Add(time.now, "resources reserved for gang",
                "job={} step={} workers={} until_ms={}", step.job->job.id.value,
                step.step_index, reserved->workers.size(),
                base::ToMilliseconds(reserved->until - time.now));
  this->AddGangReservation(*std::move(reserved));
}

std::optional<GangReservation> PoolPlanner::PlanGangReservation(
    StepState& step, const std::vector<WorkerState*>& workers,
    const PlannerTime& time) {
  std::vector<ResourceRelease> releases;
  std::vector<platform::Resources> free_resources;
  uint32_t fits = 0;
  for (size_t i = 0; i < workers.size(); ++i) {
    free_resources.push_back(workers[i]->FreeResources());
    fits += CountGangFits(step, free_resources[i]);
    for (const RunState* run : workers[i]->runs) {
      if (const auto at = PredictRelease(*run, time.now))
        releases.push_back({*at, i, run->taken});
    }
  }
  std::sort(releases.begin(), releases.end(),
            [](const ResourceRelease& left, const ResourceRelease& right) {
              return left.at < right.at;
            });
  for (const ResourceRelease& release : releases) {
    if (release.at > time.now + kMaxTimeToRelease) return std::nullopt;
    platform::Resources& available = free_resources[release.worker];
    fits -= CountGangFits(step, available);
    available += release.resources;
    fits += CountGangFits(step, available);
    if (fits < step.tasks.size()) continue;
    GangReservation reservation{.step = &step,
                                .until = release.at + kReservationMargin};
    reservation.workers = ChooseReservedWorkers(step, workers, free_resources);
    return reservation;
  }
  return std::nullopt;
}

bool PoolPlanner::IsPreemptible(const RunState& run, const StepState& gang,
                                const PlannerTime& time) const {
  if (run.phase != RunPhase::kRunning || run.step == nullptr) return false;
  const Step& definition = *run.step->definition;
  if (!definition.uses_checkpoints || definition.gang ||
      definition.long_running) {
    return false;
  }
  if (run.step->job->policy.priority <= gang.job->policy.priority) return false;
  if (run.last_progress.percent >= kNearlyDonePercent) return false;
  // The run's own objective must leave time for the wait and for repeating lost
  // work.
  if (GetObjectiveEnd(*run.step) <
      time.now + 2 * definition.estimate + kExpectedStopTime) {
    return false;
  }
  return run.step->tasks[run.task.index].preemptions < kMaxPreemptions;
}

std::optional<GangReservation> PoolPlanner::PreemptForGang(
    StepState& step, const std::vector<WorkerState*>& workers,
    const PlannerTime& time) {
  /** A worker with the runs that could be preempted there. */
  struct Option {
    WorkerState* worker = nullptr;
    platform::Resources resources;
    uint32_t fits = 0;
    std::vector<RunState*> preemptible_runs;
  };
  std::vector<Option> options;
  for (WorkerState* worker : workers) {
    Option option{.worker = worker, .resources = worker->FreeResources()};
    for (RunState* run : worker->runs) {
      if (!this->IsPreemptible(*run, step, time)) continue;
      option.preemptible_runs.push_back(run);
      option.resources += run->taken;
    }
    option.fits = CountGangFits(step, option.resources);
    if (option.fits > 0) options.push_back(std::move(option));
  }
  // Few workers with many slots, so that fewer runs are preempted.
  std::stable_sort(options.begin(), options.end(),
                   [](const Option& left, const Option& right) {
                     return left.fits > right.fits;
                   });
  uint32_t unplaced = static_cast<uint32_t>(step.tasks.size());
  GangReservation reservation{
      .step = &step,
      .until = time.now + kExpectedStopTime + kReservationMargin};
  std::vector<RunState*> stopped;
  for (Option& option : options) {
    if (unplaced == 0) break;
    const uint32_t taken = std::min(unplaced, option.fits);
    std::erase_if(option.preemptible_runs, [&](RunState* run) {
      // A run is kept where the gang fits beside it.
      const platform::Resources without_run = option.resources - run->taken;
      if (CountGangFits(step, without_run) < taken) return false;
      option.resources = without_run;
      return true;
    });
    stopped.insert(stopped.end(), option.preemptible_runs.begin(),
                   option.preemptible_runs.end());
    reservation.workers.push_back(option.worker);
    unplaced -= taken;
  }
  if (unplaced > 0) return std::nullopt;
  for (RunState* run : stopped) {
    ++run->step->tasks[run->task.index].preemptions;
    ++this->totals.runs_preempted;
    this->log.Add(
        time.now, "run preempted",
        "task={} run={} worker={} percent={} gang_job={} gang_step={}",
        ToString(run->task), run->run_number, run->worker->record.worker.value,
        run->last_progress.percent, step.job->job.id.value, step.step_index);
    this->RequestStop(*run, time.now);
  }
  return reservation;
}

}  // namespace agatepass::pool
