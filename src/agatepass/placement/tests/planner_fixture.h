/** \file
 * Short ways to make workers and tasks in the tests of placement.
 */
#ifndef AGATEPASS_PLACEMENT_TESTS_PLANNER_FIXTURE_H_
#define AGATEPASS_PLACEMENT_TESTS_PLANNER_FIXTURE_H_

#include <string>
#include <vector>

#include "agatepass/placement/planner.h"

namespace agatepass::placement {

inline constexpr base::Instant kStart{std::chrono::hours(1)};

/** A worker of 4 processors and 8 GiB unless `total` says otherwise. */
inline WorkerView MakeWorker(const std::string& name,
                             platform::Resources total = {.millicores = 4000,
                                                          .memory_mib = 8192}) {
  return {.worker = base::WorkerId(name),
          .rack = base::RackId("r1"),
          .data_centre = base::DataCentreId("uus-a"),
          .total = total};
}

/** A batch task of 1 processor and 1 GiB, of job "j" and team "letters". */
inline TaskRequest MakeTask(const std::string& name) {
  TaskRequest request;
  request.task = base::TaskId(name);
  request.job = base::JobId("j");
  request.team = base::TeamId("letters");
  request.workload = base::WorkloadId("letter");
  request.declared = {.millicores = 1000, .memory_mib = 1024};
  return request;
}

/** The decisions of one kind. */
inline std::vector<Decision> OfKind(const std::vector<Decision>& decisions,
                                    DecisionKind kind) {
  std::vector<Decision> found;
  for (const Decision& decision : decisions) {
    if (decision.kind == kind) found.push_back(decision);
  }
  return found;
}

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_TESTS_PLANNER_FIXTURE_H_
