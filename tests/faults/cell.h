/** \file
 * Entry hosts, workers and the store in virtual time, with faults to switch on.
 * The decisions are those of node::EntryHost; only the platform is a stand-in.
 */
#ifndef TESTS_FAULTS_CELL_H_
#define TESTS_FAULTS_CELL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/jobs/effects.h"
#include "agatepass/node/driver.h"
#include "agatepass/node/entry_host.h"
#include "fakes/memory_store.h"
#include "fakes/worker_model.h"

namespace agatepass::faults {

/** Sizes of a cell. */
struct CellOptions {
  int entry_hosts = 3;
  int workers = 4;
  platform::Resources worker_total{4000, 8192, 0};
  uint64_t seed = 1;
};

/** What a caller was told of one submission. */
struct CallerRecord {
  jobs::JobSpec spec;
  std::optional<jobs::SubmissionAnswer> answer;
  std::optional<jobs::CancelAnswer> cancel;
  /** Starts of its tasks by number, over all workers and attempts. */
  std::map<uint32_t, int> starts;
};

/** One data centre with its entry hosts and workers.
 *
 * \code
 * Cell cell({.seed = 7});
 * cell.RunFor(std::chrono::seconds(2));
 * cell.Submit(0, "alert", {.task_count = 3});
 * cell.Kill(0);
 * cell.RunFor(std::chrono::seconds(30));
 * EXPECT_EQ(cell.Violations(), std::vector<std::string>{});
 * \endcode
 */
class Cell {
 public:
  explicit Cell(const CellOptions& options);
  ~Cell();

  void RunFor(base::Duration duration);

  /** Submits a job under `name`, which is its idempotency key and team. */
  void Submit(int host, const std::string& name, jobs::JobSpec spec);

  /** Cancels the job of `name`, if its id is known. */
  void Cancel(int host, const std::string& name);

  /** Ends an entry host's process. */
  void Kill(int host);
  /** Starts it again, with nothing kept. */
  void Restart(int host);
  /** Freezes it: what is sent to it waits. */
  void Pause(int host);
  /** Lets it go on, with all that waited. */
  void Wake(int host);
  /** Asks it to stop, as planned. */
  void Drain(int host);

  /** Cuts an entry host off from the others, or ends that. */
  void Isolate(int host, bool cut);
  /** Drops what `from` sends to `to`, or ends that. */
  void CutOneWay(int from, int to, bool cut);
  /** Cuts an entry host off from the workers, or ends that. */
  void CutWorkers(int host, bool cut);

  void PauseWorker(int worker, bool paused);
  /** Replaces a worker: all that ran there is gone. */
  void ReplaceWorker(int worker);
  /** Makes a worker fail all it starts, or ends that. */
  void FailWorker(int worker, bool fails);

  fakes::MemoryStore& store() { return this->platform_store; }

  /** What is wrong so far with what must always hold. */
  std::vector<std::string> Violations() const;

  /** Accepted jobs that neither ended nor are in doubt. */
  std::vector<std::string> Unfinished() const;

  const std::map<std::string, CallerRecord>& callers() const {
    return this->records;
  }
  node::EntryHost* host(int index) const;
  base::Instant now() const { return this->time; }
  /** Events of all hosts, oldest first. */
  const std::vector<std::string>& trace() const { return this->events; }

 private:
  struct Host;
  struct WorkerSlot;
  class StoreLink;
  class WorkerLink;
  struct CellClock;

  void At(base::Instant due, std::function<void()> action);
  /** Runs `action` for this life of the host, once it is not paused. */
  void Deliver(int host, uint64_t life, std::function<void()> action);
  void Start(int host);
  void Tick(int host, uint64_t life);
  void TakeEffects(int host, node::Effects& effects);
  void SendPeer(int from, const node::PeerSend& send);
  void CallWorker(int host, uint64_t life, const platform::WorkerCall& call,
                  const platform::WorkerCallback& callback);
  void NoteStarts(const platform::WorkerCall& call,
                  const platform::WorkerReply& reply);
  void CheckRunning();
  CallerRecord* RecordOf(const base::TeamId& team);
  std::vector<platform::HostRecord> HostList() const;

  CellOptions options;
  base::Instant time{std::chrono::seconds(1000)};
  std::multimap<base::Instant, std::function<void()>> queue;
  fakes::MemoryStore platform_store;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<WorkerSlot>> workers;
  std::map<std::string, CallerRecord> records;
  std::set<std::pair<int, int>> cuts;
  std::vector<std::string> violations;
  std::vector<std::string> events;
};

}  // namespace agatepass::faults

#endif  // TESTS_FAULTS_CELL_H_
