/** \file
 * What the platform's worker does, as plain code with the time passed in: it
 * grants owner leases, runs tasks and keeps account of what it was given.
 */
#ifndef FAKES_WORKER_MODEL_H_
#define FAKES_WORKER_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/platform/worker.h"

namespace agatepass::fakes {

/** One worker.
 *
 * A task's command says what it does: "run 200" succeeds after 200 ms, "fail
 * 200" fails after 200 ms, "serve" runs until it is stopped.
 */
class WorkerModel {
 public:
  WorkerModel(const base::WorkerId& worker, const platform::Resources& total)
      : worker(worker), total(total) {}

  /** Carries out one command. */
  platform::WorkerReply Handle(const platform::WorkerCall& call,
                               base::Instant now);

  /** Ends the tasks that are due by `now`. */
  void Advance(base::Instant now);

  /** Forgets everything, as a replaced host does. */
  void Reset();

  /** Makes every task that starts from now on fail at once. */
  void FailEverything(bool fails) { this->fails_everything = fails; }

  /** How often each task was started on this worker. */
  const std::map<base::TaskId, int>& starts() const { return this->started; }

  /** The tasks that run now. */
  std::vector<base::TaskId> running() const;

  /** Whether it ever held more than it has. */
  bool overloaded() const { return this->was_overloaded; }

  /** What the running tasks have been given. */
  platform::Resources committed() const;

 private:
  struct Task {
    platform::TaskStart start;
    platform::TaskPhase phase = platform::TaskPhase::kRunning;
    platform::TaskPhase ends_as = platform::TaskPhase::kSucceeded;
    base::Instant ends;
    base::Instant lapses;
  };

  bool Claim(const platform::WorkerCall& call, base::Instant now);
  platform::StartResult Start(const platform::TaskStart& start,
                              base::Instant now);
  void Renew(const platform::WorkerCall& call, base::Instant now);
  void Stop(const platform::WorkerCall& call);
  void FillReport(platform::WorkerReply* reply) const;

  base::WorkerId worker;
  platform::Resources total;
  base::HostId holder;
  platform::Epoch epoch = 0;
  base::Instant lapses;
  std::map<base::TaskId, Task> tasks;
  std::map<base::TaskId, int> started;
  /** Since when it remembers; set by the first command. */
  std::optional<base::Instant> remembers_since;
  bool was_reset = false;
  bool fails_everything = false;
  bool was_overloaded = false;
};

}  // namespace agatepass::fakes

#endif  // FAKES_WORKER_MODEL_H_
