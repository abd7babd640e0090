// Gangs: all tasks at once, and room kept or made for them.
#include <algorithm>
#include <utility>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

/** Room is kept for one gang at most this long. */
constexpr base::Duration kLongestHold = std::chrono::seconds(4);

/** Room kept beyond the time at which it should be free: estimates are rough.
 */
constexpr base::Duration kHoldMargin = std::chrono::milliseconds(300);

/** Gangs for which room is kept at the same time: each one idles some. */
constexpr size_t kMostHolds = 4;

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

uint32_t FitsOfGang(const StepState& step, const platform::Resources& room) {
  return CountFits(*step.definition, room,
                   static_cast<uint32_t>(step.tasks.size()));
}

}  // namespace

void PoolPlanner::PlaceGang(StepState& step, std::vector<Candidate> candidates,
                            const PlannerTime& time) {
  RunNumber run = 0;
  for (const TaskState& task : step.tasks) {
    run = std::max(run, task.last_run);
    if (time.now < task.not_before) return;
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
  std::vector<std::pair<WorkerState*, uint32_t>> plan;
  uint32_t left = static_cast<uint32_t>(step.tasks.size());
  bool valid = true;
  for (const Candidate& candidate : candidates) {
    if (left == 0) break;
    const uint32_t taken = std::min(left, candidate.fits);
    plan.emplace_back(candidate.worker, taken);
    valid = valid && candidate.ticket_valid;
    left -= taken;
  }
  if (left > 0) {
    this->MakeRoomForGang(step, time);
    return;
  }
  if (!valid) {
    this->ReserveAndAsk(step, plan, time);
    return;
  }
  this->DropHold(step);
  std::string saved;
  for (const TaskState& task : step.tasks) saved = std::max(saved, task.saved);
  uint32_t index = 0;
  for (const auto& [worker, count] : plan) {
    for (uint32_t i = 0; i < count; ++i, ++index) {
      step.tasks[index].saved = saved;
      this->StartTask(step, index, run, *worker, time);
    }
  }
}

void PoolPlanner::DropHold(const StepState& step) {
  std::erase_if(this->holds,
                [&step](const GangHold& hold) { return hold.step == &step; });
}

void PoolPlanner::DropHolds(const JobState& job) {
  std::erase_if(this->holds, [&job](const GangHold& hold) {
    return hold.step->job == &job;
  });
}

std::vector<WorkerState*> PoolPlanner::GangWorkers(const StepState& step,
                                                   const PlannerTime& time) {
  std::vector<WorkerState*> suitable;
  const bool advised = this->NeedsAdvice(step);
  for (const auto& [id, worker] : this->workers) {
    if (advised && !step.advice.good.contains(id)) continue;
    if (this->IsUsable(*worker, step, time)) suitable.push_back(worker.get());
  }
  return suitable;
}

void PoolPlanner::MakeRoomForGang(StepState& step, const PlannerTime& time) {
  if (UrgencyOf(step, time.now) > Urgency::kInTime) return;
  if (this->holds.size() >= kMostHolds) return;
  for (const GangHold& hold : this->holds) {
    if (hold.step == &step) return;
  }
  const std::vector<WorkerState*> workers = this->GangWorkers(step, time);
  std::optional<GangHold> held = this->FindHold(step, workers, time);
  const bool soon = held && held->until <= time.now + kStopTime + kHoldMargin;
  if (!soon) {
    if (auto freed = this->PreemptForGang(step, workers, time)) {
      held = std::move(freed);
    }
  }
  if (!held) return;
  this->log.Add(time.now, "room kept for a gang",
                "job={} step={} workers={} until_ms={}", step.job->job.id.value,
                step.number, held->workers.size(),
                base::ToMilliseconds(held->until - time.now));
  this->holds.push_back(*std::move(held));
}

std::optional<PoolPlanner::GangHold> PoolPlanner::FindHold(
    StepState& step, const std::vector<WorkerState*>& workers,
    const PlannerTime& time) {
  std::vector<Release> releases;
  std::map<WorkerState*, platform::Resources> room;
  uint32_t fits = 0;
  for (WorkerState* worker : workers) {
    room[worker] = worker->Room();
    fits += FitsOfGang(step, worker->Room());
    for (const RunState* run : worker->runs) {
      releases.push_back({run->expected_end, worker, run->need});
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
    GangHold held{.step = &step,
                  .until = std::max(release.at, time.now) + kHoldMargin};
    for (const auto& [worker, free] : room) {
      if (FitsOfGang(step, free) > 0) held.workers.insert(worker);
    }
    return held;
  }
  return std::nullopt;
}

bool PoolPlanner::MayGiveWay(const RunState& run, const StepState& gang,
                             const PlannerTime& time) const {
  if (run.phase != RunPhase::kRunning || run.step == nullptr) return false;
  const Step& definition = *run.step->definition;
  if (!definition.checkpoint || definition.gang || definition.long_running) {
    return false;
  }
  const JobState& job = *run.step->job;
  if (job.priority <= gang.job->priority) return false;
  if (run.mark.percent >= kNearlyDonePercent) return false;
  // Its own objective must bear the wait and the work done again.
  if (job.objective < time.now + 2 * definition.estimate + kStopTime) {
    return false;
  }
  return run.step->tasks[run.task.index].preemptions < kMostPreemptions;
}

std::optional<PoolPlanner::GangHold> PoolPlanner::PreemptForGang(
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
    Option option{.worker = worker, .room = worker->Room()};
    for (RunState* run : worker->runs) {
      if (!this->MayGiveWay(*run, step, time)) continue;
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
  GangHold held{.step = &step, .until = time.now + kStopTime + kHoldMargin};
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
                  run->worker->record.worker.value, run->mark.percent,
                  step.job->job.id.value, step.number);
    this->RequestStop(*run, time.now);
  }
  return held;
}

}  // namespace agatepass::pool
