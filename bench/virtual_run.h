/** \file
 * Carries out a scheduler's decisions in virtual time, and measures waits and
 * use.
 */
#ifndef AGATEPASS_BENCH_VIRTUAL_RUN_H_
#define AGATEPASS_BENCH_VIRTUAL_RUN_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "agatepass/placement/planner.h"
#include "bench/arrivals.h"

namespace agatepass::bench {

/** The planner behind the interface that the baselines have. */
class PlannerScheduler {
 public:
  PlannerScheduler(size_t workers, const platform::Resources& each)
      : planner(1) {
    this->planner.SetPolicy(placement::OrdinaryPolicy());
    for (size_t i = 0; i < workers; ++i) {
      this->planner.UpsertWorker(
          {.worker = base::WorkerId("w" + std::to_string(i)),
           .rack = base::RackId("r" + std::to_string(i / 8)),
           .data_centre = base::DataCentreId("d"),
           .total = each});
    }
  }

  void Enqueue(const placement::TaskRequest& request, base::Instant now) {
    (void)this->planner.Enqueue(request, now);
  }
  std::vector<placement::Decision> Decide(base::Instant now) {
    return this->planner.Decide(now, 100000);
  }
  void OnEnded(const base::TaskId& task, const platform::Resources& used,
               base::Duration run_time, base::Instant now) {
    this->planner.OnEnded(task, true, used, run_time, now);
  }
  void OnUsage(const base::WorkerId& worker, const base::TaskId& task,
               const platform::Resources& used) {
    this->planner.OnUsage(worker, task, used);
  }
  void OnPreempted(const base::TaskId& task, base::Instant now) {
    this->planner.OnPreempted(task, now);
  }

 private:
  placement::Planner planner;
};

/** What a run has shown. */
struct RunResult {
  /** Mean use of the busier resource as a part of the cell, after warm-up. */
  double fill = 0;
  /** Part of the workers' time in which a worker's tasks want more than it has.
   */
  double overloaded = 0;
  size_t taken_off = 0;
  std::vector<double> urgent_waits;
  std::vector<double> gang_waits;
  std::vector<double> waits;
};

/** One run; time goes on in steps of kStep. */
template <typename Scheduler>
class VirtualRun {
 public:
  static constexpr base::Duration kStep = std::chrono::milliseconds(100);
  static constexpr base::Duration kCheckpointTime =
      std::chrono::milliseconds(500);

  VirtualRun(Scheduler& scheduler, size_t workers,
             const platform::Resources& each, std::vector<Arrival> arrivals)
      : scheduler(scheduler),
        workers(workers),
        each(each),
        arrivals(std::move(arrivals)) {
    for (const Arrival& arrival : this->arrivals) {
      this->tasks[arrival.request.task.value] = {.arrival = &arrival,
                                                 .left = arrival.run_time};
    }
  }

  /** Runs for `span`, measuring use after `warm_up`. */
  RunResult Run(base::Duration warm_up, base::Duration span) {
    const base::Instant start{std::chrono::hours(1)};
    size_t next = 0;
    for (base::Instant now = start; now < start + span; now += kStep) {
      for (; next < this->arrivals.size() && this->arrivals[next].at <= now;
           ++next) {
        this->scheduler.Enqueue(this->arrivals[next].request,
                                this->arrivals[next].at);
      }
      this->EndDue(now);
      for (const auto& decision : this->scheduler.Decide(now)) {
        this->Carry(decision, now);
      }
      if (now >= start + warm_up) this->MeasureUse();
    }
    const double samples = std::max(1.0, this->use_samples);
    this->result.fill =
        std::max(this->processors / samples, this->memory / samples);
    this->result.overloaded /= samples;
    return std::move(this->result);
  }

 private:
  struct Task {
    const Arrival* arrival = nullptr;
    base::Duration left{0};
    std::string worker;
    base::Instant since;
    uint32_t runs = 0;
    bool waited = false;
  };

  /** An end or a finished checkpoint of the `run`th run of a task. */
  struct Due {
    std::string task;
    uint32_t run = 0;
    bool preempted = false;
  };

  void EndDue(base::Instant now) {
    while (!this->due.empty() && this->due.begin()->first <= now) {
      const auto [at, event] = *this->due.begin();
      this->due.erase(this->due.begin());
      Task& task = this->tasks[event.task];
      if (task.worker.empty() || task.runs != event.run) continue;
      this->used_by[task.worker] -= task.arrival->used;
      task.worker.clear();
      const base::TaskId& id = task.arrival->request.task;
      if (event.preempted) {
        ++this->result.taken_off;
        if (task.arrival->request.checkpointable) task.left -= at - task.since;
        this->scheduler.OnPreempted(id, at);
      } else {
        this->scheduler.OnEnded(id, task.arrival->used, task.arrival->run_time,
                                at);
      }
    }
  }

  void Carry(const placement::Decision& decision, base::Instant now) {
    Task& task = this->tasks[decision.task.value];
    switch (decision.kind) {
      case placement::DecisionKind::kPlace:
        this->Start(task, decision, now);
        break;
      case placement::DecisionKind::kCheckpoint:
      case placement::DecisionKind::kStop:
        this->due.emplace(now + kCheckpointTime,
                          Due{.task = decision.task.value,
                              .run = task.runs,
                              .preempted = true});
        break;
      default:
        break;
    }
  }

  void Start(Task& task, const placement::Decision& decision,
             base::Instant now) {
    task.worker = decision.worker.value;
    task.since = now;
    ++task.runs;
    this->used_by[task.worker] += task.arrival->used;
    this->due.emplace(now + task.left,
                      Due{.task = decision.task.value, .run = task.runs});
    this->scheduler.OnUsage(decision.worker, decision.task, task.arrival->used);
    if (std::exchange(task.waited, true)) return;
    const double wait = base::ToSeconds(now - task.arrival->at);
    const auto& request = task.arrival->request;
    this->result.waits.push_back(wait);
    if (request.priority == placement::Priority::kUrgent) {
      this->result.urgent_waits.push_back(wait);
    } else if (request.kind == placement::WorkloadKind::kGang) {
      this->result.gang_waits.push_back(wait);
    }
  }

  void MeasureUse() {
    double cpu = 0;
    double ram = 0;
    size_t overloaded = 0;
    for (const auto& [worker, used] : this->used_by) {
      cpu +=
          static_cast<double>(std::min(used.millicores, this->each.millicores));
      ram +=
          static_cast<double>(std::min(used.memory_mib, this->each.memory_mib));
      overloaded += used.FitsIn(this->each) ? 0 : 1;
    }
    const auto count = static_cast<double>(this->workers);
    this->processors +=
        cpu / count / static_cast<double>(this->each.millicores);
    this->memory += ram / count / static_cast<double>(this->each.memory_mib);
    this->result.overloaded += static_cast<double>(overloaded) / count;
    this->use_samples += 1;
  }

  Scheduler& scheduler;
  size_t workers;
  platform::Resources each;
  std::vector<Arrival> arrivals;
  std::map<std::string, Task> tasks;
  std::map<std::string, platform::Resources> used_by;
  std::multimap<base::Instant, Due> due;
  RunResult result;
  double processors = 0;
  double memory = 0;
  double use_samples = 0;
};

}  // namespace agatepass::bench

#endif  // AGATEPASS_BENCH_VIRTUAL_RUN_H_
