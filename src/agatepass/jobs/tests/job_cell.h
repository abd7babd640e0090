/** \file
 * Two hosts on one store, for the tests of this folder.
 */
#ifndef AGATEPASS_JOBS_TESTS_JOB_CELL_H_
#define AGATEPASS_JOBS_TESTS_JOB_CELL_H_

#include <chrono>
#include <string>
#include <vector>

#include "fakes/job_host.h"
#include "gtest/gtest.h"

namespace agatepass::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Hosts "e1" and "e2" of data centre "uus-a", with workers "w1" and "w2". */
class JobCell : public ::testing::Test {
 protected:
  static JobKeeperOptions Options() {
    JobKeeperOptions options;
    options.data_centre = base::DataCentreId("uus-a");
    return options;
  }

  static JobSpec Letters(uint32_t tasks, std::string key = "k1") {
    JobSpec spec;
    spec.idempotency_key = std::move(key);
    spec.team = base::TeamId("notices");
    spec.workload = base::WorkloadId("letters");
    spec.task_count = tasks;
    spec.command = "print";
    return spec;
  }

  JobCell() {
    this->store.SetLatency(milliseconds(2));
    this->store.RunUntil(this->time.now);
  }

  void Run(base::Duration span) {
    fakes::RunFor(span, this->store, this->time, {&this->first, &this->second});
  }

  /** Starts the host's newest ready tasks on a worker. */
  StartPermission Start(fakes::JobHost& host, const base::TaskId& task,
                        const base::WorkerId& worker, platform::Epoch epoch) {
    return host.keeper.OnStartSent(task, worker, epoch, this->time.now);
  }

  void Claimed(fakes::JobHost& host, const base::WorkerId& worker,
               platform::Epoch epoch,
               const std::vector<platform::TaskReport>& tasks,
               InventoryKind kind = InventoryKind::kClaim) {
    this->Run(milliseconds(1));
    const base::Instant asked = this->time.now;
    this->Run(milliseconds(1));
    host.Inventory({worker, kind, epoch, asked, false, tasks});
  }

  static platform::TaskReport Report(const base::TaskId& task,
                                     platform::TaskPhase phase) {
    platform::TaskReport report;
    report.task = task;
    report.phase = phase;
    return report;
  }

  fakes::VirtualTime time;
  fakes::MemoryStore store;
  fakes::JobHost first{
      Options(), {base::HostId("e1"), 1}, this->store, this->time};
  fakes::JobHost second{
      Options(), {base::HostId("e2"), 1}, this->store, this->time};
  base::WorkerId w1{"w1"};
  base::WorkerId w2{"w2"};
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_TESTS_JOB_CELL_H_
