// Places tasks with the library alone: no daemon, no socket, no clock.
//
// Prints where each task goes and why; exits 1 if one was not placed.
#include <cstdlib>
#include <iostream>
#include <string>

#include "agatepass/placement/explanation.h"
#include "agatepass/placement/planner.h"

namespace {

using agatepass::base::Instant;
using agatepass::base::JobId;
using agatepass::base::TaskId;
using agatepass::base::TeamId;
using agatepass::base::WorkerId;
using agatepass::placement::Decision;
using agatepass::placement::DecisionKind;
using agatepass::placement::Planner;
using agatepass::placement::TaskRequest;

constexpr int kWorkers = 2;
constexpr int kTasks = 3;
constexpr size_t kDecisions = 100;

}  // namespace

int main() {
  Planner planner(/*seed=*/7);
  planner.SetPolicy(agatepass::placement::OrdinaryPolicy());
  for (int i = 0; i < kWorkers; ++i) {
    agatepass::placement::WorkerView worker;
    worker.worker = WorkerId("w" + std::to_string(i));
    worker.total = {.millicores = 2000, .memory_mib = 4096};
    planner.UpsertWorker(worker);
  }
  const Instant now(std::chrono::seconds(1));
  for (int i = 0; i < kTasks; ++i) {
    TaskRequest task;
    task.task = TaskId("quote/" + std::to_string(i));
    task.job = JobId("quote");
    task.team = TeamId("counter");
    task.declared = {.millicores = 1000, .memory_mib = 512};
    if (const auto status = planner.Enqueue(task, now); !status.ok()) {
      std::cerr << status.message() << '\n';
      return EXIT_FAILURE;
    }
  }
  int placed = 0;
  for (const Decision& decision : planner.Decide(now, kDecisions)) {
    if (decision.kind == DecisionKind::kPlace) ++placed;
    if (const auto why = planner.Explain(decision.task, now)) {
      std::cout << agatepass::placement::Render(*why) << '\n';
    }
  }
  return placed == kTasks ? EXIT_SUCCESS : EXIT_FAILURE;
}
