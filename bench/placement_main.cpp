/** \file
 * Measures placement: time of a decision, throughput, growth with the size,
 * packing and waits beside simple baselines.
 */
#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "agatepass/placement/planner.h"
#include "bench/arrivals.h"
#include "bench/baselines.h"
#include "bench/virtual_run.h"
#include "nlohmann/json.hpp"

namespace agatepass::bench {
namespace {

using placement::DecisionKind;
using placement::Planner;
using placement::TaskRequest;
using Json = nlohmann::json;

constexpr platform::Resources kEach = {.millicores = 32000,
                                       .memory_mib = 65536};
constexpr base::Instant kStart{std::chrono::hours(1)};

double Percentile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  const auto rank =
      static_cast<size_t>(std::ceil(part * static_cast<double>(sorted.size())));
  return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

/** Prints one measure as a line of JSON. */
void Print(const std::string& measure, const std::string& unit,
           std::vector<double> values, const Json& params) {
  std::ranges::sort(values);
  std::cout << Json{{"measure", measure},
                    {"unit", unit},
                    {"n", values.size()},
                    {"p50", Percentile(values, 0.5)},
                    {"p99", Percentile(values, 0.99)},
                    {"max", values.empty() ? 0 : values.back()},
                    {"params", params}}
            << std::endl;
}

double MicrosecondsSince(std::chrono::steady_clock::time_point begin) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - begin)
      .count();
}

TaskRequest MakeRequest(int number, int teams, std::mt19937_64& random) {
  const auto between = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  TaskRequest request;
  request.task = base::TaskId("t" + std::to_string(number));
  request.job = base::JobId("j" + std::to_string(number / 10));
  request.team = base::TeamId("team" + std::to_string(number % teams));
  request.workload = base::WorkloadId("load" + std::to_string(between(0, 49)));
  request.priority = static_cast<placement::Priority>(between(0, 2));
  request.declared = {.millicores = 500 * between(1, 8),
                      .memory_mib = 512 * between(1, 16)};
  request.idempotent = true;
  return request;
}

/** A cell with running tasks and a queue of tasks that are too large for the
 * room that is left. */
struct LoadedCell {
  LoadedCell(int workers, int running, int queued, int teams)
      : planner(1), random(1), teams(teams) {
    placement::Policy policy = placement::OrdinaryPolicy();
    for (int i = 0; i < teams; ++i) {
      policy.teams[base::TeamId("team" + std::to_string(i))].quota = {
          .millicores = 32000 * workers, .memory_mib = 65536 * workers};
    }
    this->planner.SetPolicy(policy);
    for (int i = 0; i < workers; ++i) {
      this->planner.UpsertWorker(
          {.worker = base::WorkerId("w" + std::to_string(i)),
           .rack = base::RackId("r" + std::to_string(i / 8)),
           .data_centre = base::DataCentreId("d" + std::to_string(i % 4)),
           .total = kEach});
    }
    for (int i = 0; i < running; ++i) this->Enqueue();
    this->Carry(running + queued);
    for (int i = 0; i < queued; ++i) {
      TaskRequest request =
          MakeRequest(this->next++, this->teams, this->random);
      request.declared = kEach;
      (void)this->planner.Enqueue(request, kStart);
    }
    this->Carry(1 << 30);
  }

  void Enqueue() {
    (void)this->planner.Enqueue(
        MakeRequest(this->next++, this->teams, this->random), kStart);
  }

  void Carry(size_t limit) {
    for (const auto& decision : this->planner.Decide(kStart, limit)) {
      if (decision.kind != DecisionKind::kPlace) continue;
      this->planner.OnStarted(decision.task, decision.worker, kStart);
      this->running.push_back(decision.task);
    }
  }

  /** Ends a running task chosen at random. */
  void EndOne() {
    std::swap(this->running[this->random() % this->running.size()],
              this->running.back());
    this->planner.OnEnded(this->running.back(), true,
                          {.millicores = 1000, .memory_mib = 1024},
                          std::chrono::seconds(10), kStart);
    this->running.pop_back();
  }

  Planner planner;
  std::mt19937_64 random;
  int teams;
  int next = 0;
  std::vector<base::TaskId> running;
};

/** Times Decide while tasks end and arrive one by one. */
std::vector<double> TimeDecisions(LoadedCell& cell, int count) {
  std::vector<double> times;
  for (int i = 0; i < count; ++i) {
    cell.EndOne();
    cell.Enqueue();
    const auto begin = std::chrono::steady_clock::now();
    const auto decisions = cell.planner.Decide(kStart, 100);
    times.push_back(MicrosecondsSince(begin));
    for (const auto& decision : decisions) {
      if (decision.kind != DecisionKind::kPlace) continue;
      cell.planner.OnStarted(decision.task, decision.worker, kStart);
      cell.running.push_back(decision.task);
    }
  }
  return times;
}

void MeasureDecision() {
  LoadedCell cell(540, 3800, 0, 390);
  Print("placement.decision", "us", TimeDecisions(cell, 50000),
        {{"workers", 540},
         {"running", 3800},
         {"teams", 390},
         {"explanations", true}});
}

void MeasureSlope() {
  for (const int workers : {50, 540, 5400}) {
    for (const int queued : {1, 1000, 100000}) {
      LoadedCell cell(workers, workers * 7, queued, 390);
      Print("placement.slope", "us", TimeDecisions(cell, 5000),
            {{"workers", workers},
             {"queued", cell.planner.waiting()},
             {"running", cell.running.size()}});
    }
  }
}

void MeasureThroughput() {
  constexpr int kBatch = 2000;
  std::vector<double> rates;
  double whole = 0;
  for (int round = 0; round < 20; ++round) {
    LoadedCell cell(540, 0, 0, 390);
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kBatch; ++i) cell.Enqueue();
    const auto decide = std::chrono::steady_clock::now();
    const auto decisions = cell.planner.Decide(kStart, kBatch);
    rates.push_back(static_cast<double>(decisions.size()) * 1e6 /
                    MicrosecondsSince(decide));
    for (const auto& decision : decisions) {
      cell.planner.OnStarted(decision.task, decision.worker, kStart);
      cell.planner.OnEnded(decision.task, true, {}, std::chrono::seconds(1),
                           kStart);
    }
    whole += kBatch * 1e6 / MicrosecondsSince(begin) / 20;
  }
  Print("placement.throughput", "placements/s", rates,
        {{"workers", 540}, {"with_enqueue_and_end", std::round(whole)}});
}

template <typename Scheduler>
RunResult RunMix(Scheduler scheduler, std::string_view mix, size_t workers) {
  constexpr base::Duration kSpan = std::chrono::minutes(10);
  const auto count = static_cast<int64_t>(workers);
  const platform::Resources total{.millicores = kEach.millicores * count,
                                  .memory_mib = kEach.memory_mib * count};
  VirtualRun run(scheduler, workers, kEach,
                 ArrivalMaker(mix, 7).Make(total, 1.3, kSpan));
  return run.Run(std::chrono::minutes(3), kSpan);
}

void PrintMix(std::string_view mix, std::string_view scheduler,
              const RunResult& result) {
  const Json params{{"mix", mix}, {"scheduler", scheduler}};
  Json detail = params;
  detail["overloaded_percent"] = std::round(result.overloaded * 1000) / 10;
  detail["taken_off"] = result.taken_off;
  // The volume bound of the scarcer resource is the whole cell, as more work
  // waits than fits.
  Print("placement.packing", "percent of bound",
        {std::round(result.fill * 1000) / 10}, detail);
  Print("wait.urgent", "s", result.urgent_waits, params);
  if (!result.gang_waits.empty()) {
    Print("gang.wait", "s", result.gang_waits, params);
  }
}

void MeasurePacking() {
  constexpr size_t kWorkers = 50;
  constexpr std::pair<Baseline, std::string_view> kBaselines[] = {
      {Baseline::kFirstFit, "first_fit"},
      {Baseline::kBestFit, "best_fit"},
      {Baseline::kWorstFit, "worst_fit"},
      {Baseline::kRandomOfTwo, "random_of_two"}};
  for (const std::string_view mix : kMixes) {
    PrintMix(mix, "agatepass",
             RunMix(PlannerScheduler(kWorkers, kEach), mix, kWorkers));
    for (const auto& [rule, name] : kBaselines) {
      PrintMix(mix, name,
               RunMix(BaselineScheduler(rule, kWorkers, kEach), mix, kWorkers));
    }
  }
}

void MeasureUrgentAtFullSize() {
  constexpr size_t kWorkers = 540;
  const RunResult result =
      RunMix(PlannerScheduler(kWorkers, kEach), "even", kWorkers);
  Print("wait.urgent", "s", result.urgent_waits,
        {{"workers", kWorkers},
         {"mix", "even"},
         {"load", 1.3},
         {"fill_percent", std::round(result.fill * 1000) / 10},
         {"checkpoint_s", 0.5},
         {"scheduler", "agatepass"}});
}

}  // namespace
}  // namespace agatepass::bench

int main(int argc, char** argv) {
  const std::string only = argc > 1 ? argv[1] : "";
  const auto wanted = [&](std::string_view name) {
    return only.empty() || only == name;
  };
  if (wanted("decision")) agatepass::bench::MeasureDecision();
  if (wanted("throughput")) agatepass::bench::MeasureThroughput();
  if (wanted("slope")) agatepass::bench::MeasureSlope();
  if (wanted("packing")) agatepass::bench::MeasurePacking();
  if (wanted("urgent")) agatepass::bench::MeasureUrgentAtFullSize();
  return 0;
}
