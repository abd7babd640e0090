// Gangs: all tasks at once, and room kept or made for them.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/stall_detection.h"
#include "agatepass/pool/step_fit.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

/** Room is kept for one gang at most this long. */
constexpr base::Duration kLongestHold = std::chrono::seconds(4);

/** Places kept for each member of a gang: some tasks end late. */
constexpr double kHeldPlaces = 1.3;

/** Room kept beyond the time at which it should be free: estimates are rough.
 */
constexpr base::Duration kHoldMargin = std::chrono::milliseconds(300);

/** Gangs for which room is kept at the same time, at least, and for how many
 * workers there may be one more: each one idles some room. */
constexpr size_t kLeastHolds = 4;
constexpr size_t kWorkersForOneHold = 12;

/** Time between two attempts to find room for the same gang: each one looks at
 * all runs of its workers. */
constexpr base::Duration kHoldRetry = std::chrono::milliseconds(150);

/** Time that a stopped task may take to save its progress and free its room.
 */
constexpr base::Duration kStopTime = std::chrono::milliseconds(1000);

/** A task that is about to end frees its room by itself. */
constexpr int kNearlyDonePercent = 80;

/** Times that a task gives way to gangs. */
constexpr uint32_t kMostPreemptions = 2;

/** Room on a worker at an instant, for planning ahead. */
struct Release {
  base::Instant at;
  WorkerState* worker = nullptr;
  platform::Resources need;
};

/** Where the members of a gang would start. */
struct GangPlan {
  std::vector<std::pair<WorkerState*, uint32_t>> members;
  /** Members without a place. */
  uint32_t left = 0;
  /** Whether all tickets are valid. */
  bool valid = true;
};

uint32_t FitsOfGang(const StepState& step, const platform::Resources& room) {
  return CountFits(*step.definition, room,
                   static_cast<uint32_t>(step.tasks.size()));
}

/** Returns the workers on which room is kept: few with much room, and some to
 * spare. */
std::set<const WorkerState*> ChooseHeld(
    const StepState& step,
    const std::map<WorkerState*, platform::Resources>& room) {
  std::vector<std::pair<uint32_t, WorkerState*>> ranked;
  for (const auto& [worker, free] : room) {
    const uint32_t fits = FitsOfGang(step, free);
    if (fits > 0) ranked.emplace_back(fits, worker);
  }
  // By name where they are alike, as the order of addresses varies.
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& left, const auto& right) {
              if (left.first != right.first) return left.first > right.first;
              return left.second->record.worker < right.second->record.worker;
            });
  const double wanted = kHeldPlaces * static_cast<double>(step.tasks.size());
  std::set<const WorkerState*> held;
  double places = 0;
  for (const auto& [fits, worker] : ranked) {
    if (places >= wanted) break;
    places += fits;
    held.insert(worker);
  }
  return held;
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
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.fits > right.fits;
                   });
  if (step.definition->same_rack) {
    std::map<base::RackId, uint32_t> room;
    for (const Candidate& candidate : candidates) {
      room[candidate.worker->rack] += candidate.fits;
    }
    for (const auto& [rack, fits] : room) {
      if (fits < step.tasks.size()) continue;
      std::erase_if(candidates, [&rack = rack](const Candidate& candidate) {
        return candidate.worker->rack != rack;
      });
      break;
    }
  }
  // Workers with a valid ticket first, or room would be kept for renewals again
  // and again.
  const auto plan_for = [&](bool expired_too) {
    GangPlan planned{.left = static_cast<uint32_t>(step.tasks.size())};
    for (const Candidate& candidate : candidates) {
      if (planned.left == 0) break;
      if (!candidate.ticket_valid && !expired_too) continue;
      const uint32_t taken = std::min(planned.left, candidate.fits);
      planned.members.emplace_back(candidate.worker, taken);
      planned.valid = planned.valid && candidate.ticket_valid;
      planned.left -= taken;
    }
    return planned;
  };
  GangPlan planned = plan_for(false);
  if (planned.left > 0) planned = plan_for(true);
  const auto& [plan, left, valid] = planned;
  if (left > 0) {
    this->FreeCapacityForGang(step, time);
    return;
  }
  if (!valid) {
    this->ReserveAndRenewTickets(step, plan, time);
    return;
  }
  this->DropGangReservation(step);
  std::string saved;
  for (const TaskState& task : step.tasks)
    saved = std::max(saved, task.checkpoint);
  uint32_t index = 0;
  for (const auto& [worker, count] : plan) {
    for (uint32_t i = 0; i < count; ++i, ++index) {
      step.tasks[index].checkpoint = saved;
      this->StartTask(step, index, run, *worker, time);
    }
  }
}

void PoolPlanner::DropGangReservation(const StepState& step) {
  std::erase_if(this->gang_reservations, [&step](const GangReservation& hold) {
    return hold.step == &step;
  });
}

void PoolPlanner::DropGangReservations(const JobState& job) {
  std::erase_if(this->gang_reservations, [&job](const GangReservation& hold) {
    return hold.step->job == &job;
  });
}

bool PoolPlanner::IsReservedForGang(const WorkerState& worker) const {
  return std::any_of(this->gang_reservations.begin(),
                     this->gang_reservations.end(),
                     [&worker](const GangReservation& hold) {
                       return hold.workers.contains(&worker);
                     });
}

std::vector<WorkerState*> PoolPlanner::FindGangWorkers(
    const StepState& step, const PlannerTime& time) {
  std::vector<WorkerState*> suitable;
  const bool advised = this->NeedsAdvice(step);
  for (const auto& [id, worker] : this->workers) {
    if (advised && !step.advice.tickets.contains(id)) continue;
    if (this->IsUsable(*worker, step, time)) suitable.push_back(worker.get());
  }
  return suitable;
}

void PoolPlanner::FreeCapacityForGang(StepState& step,
                                      const PlannerTime& time) {
  if (GetUrgency(step, time.now) > Urgency::kInTime) return;
  const size_t most =
      std::max(kLeastHolds, this->workers.size() / kWorkersForOneHold);
  if (time.now < step.next_reservation_attempt) return;
  const auto present = std::find_if(
      this->gang_reservations.begin(), this->gang_reservations.end(),
      [&step](const GangReservation& hold) { return hold.step == &step; });
  if (present == this->gang_reservations.end() &&
      this->gang_reservations.size() >= most)
    return;
  // Past its time the room is planned anew, without a gap for others.
  if (present != this->gang_reservations.end() && time.now < present->until)
    return;
  step.next_reservation_attempt = time.now + kHoldRetry;
  const std::vector<WorkerState*> workers = this->FindGangWorkers(step, time);
  std::optional<GangReservation> held =
      this->PlanGangReservation(step, workers, time);
  const bool soon = held && held->until <= time.now + kStopTime + kHoldMargin;
  if (!soon) {
    if (auto freed = this->PreemptForGang(step, workers, time)) {
      held = std::move(freed);
    }
  }
  if (!held) return;
  this->DropGangReservation(step);
  this->log.Add(time.now, "room kept for a gang",
                "job={} step={} workers={} until_ms={}", step.job->job.id.value,
                step.number, held->workers.size(),
                base::ToMilliseconds(held->until - time.now));
  this->gang_reservations.push_back(*std::move(held));
}

std::optional<PoolPlanner::GangReservation> PoolPlanner::PlanGangReservation(
    StepState& step, const std::vector<WorkerState*>& workers,
    const PlannerTime& time) {
  std::vector<Release> releases;
  std::map<WorkerState*, platform::Resources> room;
  uint32_t fits = 0;
  for (WorkerState* worker : workers) {
    room[worker] = worker->FreeResources();
    fits += FitsOfGang(step, worker->FreeResources());
    for (const RunState* run : worker->runs) {
      const base::Instant end =
          PredictEnd(run->start_requested_at, run->last_progress.at,
                     run->last_progress.percent, run->expected_end);
      releases.push_back({end, worker, run->need});
    }
  }
  std::sort(releases.begin(), releases.end(),
            [](const Release& left, const Release& right) {
              return left.at < right.at;
            });
  for (const Release& release : releases) {
    if (release.at > time.now + kLongestHold) return std::nullopt;
    platform::Resources& available = room[release.worker];
    fits -= FitsOfGang(step, available);
    available += release.need;
    fits += FitsOfGang(step, available);
    if (fits < step.tasks.size()) continue;
    GangReservation held{.step = &step,
                         .until = std::max(release.at, time.now) + kHoldMargin};
    held.workers = ChooseHeld(step, room);
    return held;
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
  const JobState& job = *run.step->job;
  if (job.policy.priority <= gang.job->policy.priority) return false;
  if (run.last_progress.percent >= kNearlyDonePercent) return false;
  // Its own objective must bear the wait and the work done again.
  if (job.objective < time.now + 2 * definition.estimate + kStopTime) {
    return false;
  }
  return run.step->tasks[run.task.index].preemptions < kMostPreemptions;
}

std::optional<PoolPlanner::GangReservation> PoolPlanner::PreemptForGang(
    StepState& step, const std::vector<WorkerState*>& workers,
    const PlannerTime& time) {
  /** A worker with the runs that would give way there. */
  struct Option {
    WorkerState* worker = nullptr;
    platform::Resources room;
    uint32_t fits = 0;
    std::vector<RunState*> victims;
  };
  std::vector<Option> options;
  for (WorkerState* worker : workers) {
    Option option{.worker = worker, .room = worker->FreeResources()};
    for (RunState* run : worker->runs) {
      if (!this->IsPreemptible(*run, step, time)) continue;
      option.victims.push_back(run);
      option.room += run->need;
    }
    option.fits = FitsOfGang(step, option.room);
    if (option.fits > 0) options.push_back(std::move(option));
  }
  // Few workers with much room: fewer runs give way.
  std::stable_sort(options.begin(), options.end(),
                   [](const Option& left, const Option& right) {
                     return left.fits > right.fits;
                   });
  uint32_t left = static_cast<uint32_t>(step.tasks.size());
  GangReservation held{.step = &step,
                       .until = time.now + kStopTime + kHoldMargin};
  std::vector<RunState*> stopped;
  for (Option& option : options) {
    if (left == 0) break;
    const uint32_t taken = std::min(left, option.fits);
    std::erase_if(option.victims, [&](RunState* run) {
      // Kept running where the gang fits beside it.
      const platform::Resources without = option.room - run->need;
      if (FitsOfGang(step, without) < taken) return false;
      option.room = without;
      return true;
    });
    stopped.insert(stopped.end(), option.victims.begin(), option.victims.end());
    held.workers.insert(option.worker);
    left -= taken;
  }
  if (left > 0) return std::nullopt;
  for (RunState* run : stopped) {
    ++run->step->tasks[run->task.index].preemptions;
    ++this->totals.runs_preempted;
    this->log.Add(time.now, "run preempted",
                  "task={} run={} worker={} percent={} for={} step={}",
                  ToString(run->task), run->run,
                  run->worker->record.worker.value, run->last_progress.percent,
                  step.job->job.id.value, step.number);
    this->RequestStop(*run, time.now);
  }
  return held;
}

}  // namespace agatepass::pool
