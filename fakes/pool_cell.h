/** \file
 * A whole cell in virtual time: planners, workers, the store and callers, with
 * faults between them, and a checker of what must always hold.
 */
#ifndef FAKES_POOL_CELL_H_
#define FAKES_POOL_CELL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/timeline/decision_log.h"
#include "fakes/pool_worker.h"

namespace agatepass::fakes {

/** Faults that are on at a moment. */
struct PoolFaults {
  /** Share of the orders that get no answer and are carried out late. */
  double late_orders = 0;
  /** Share of the commits that are done and not answered. */
  double lost_commit_replies = 0;
  bool store_down = false;
  /** Whether the store does nothing and answers nothing. */
  bool store_unresponsive = false;
  /** Workers that no planner reaches. */
  std::set<base::WorkerId> unreachable_workers;
  /** Share of the runs that fail. */
  double failing_runs = 0;
};

/** The cell. Planner code is the real one; all else is a stand-in.
 *
 * \code
 * PoolCell cell(seed, 4);
 * cell.Submit(MakeJob("a"));
 * cell.RunFor(std::chrono::seconds(5));
 * EXPECT_EQ(cell.violations(), std::vector<std::string>());
 * \endcode
 */
class PoolCell {
 public:
  PoolCell(uint64_t seed, size_t worker_count);
  ~PoolCell();

  /** Hands a job in; its answer is kept under its id. */
  void Submit(pool::Job job);
  void Cancel(const base::JobId& job);

  void RunFor(base::Duration duration);

  /** Ends the planner without warning; another takes office after `gap`. */
  void KillPlanner(base::Duration gap);
  /** A new planner takes office while the old one goes on. */
  void ReplacePlanner();
  void CrashWorker(size_t index);
  /** The store reports the worker as draining; it leaves after `time`. */
  void DrainWorker(size_t index, base::Duration remaining);
  /** Removes the worker's entry from the store. */
  void UnlistWorker(size_t index);

  /** Changes the step that a queue's table holds; set before the first job. */
  pool::QueueTable queues;
  PoolFaults faults;

  /** What was found broken, each once. */
  const std::vector<std::string>& violations() const {
    return this->reported_violations;
  }

  /** Result codes that the callers of a job's submission got. */
  std::vector<base::ResultCode> Answers(const base::JobId& job) const;

  /** Phase that the store holds of a job; queued if it holds none. */
  pool::JobPhase StoredPhase(const base::JobId& job) const;

  /** What the store holds at a key; empty if it does not exist. */
  std::string StoredValue(const std::string& key) const;

  /** Whether the store holds the job. */
  bool IsStored(const base::JobId& job) const;

  /** Accepted jobs whose end the store does not hold. */
  std::vector<base::JobId> UnfinishedJobs() const;

  /** Runs of a task that began, over all workers. */
  int CountStarts(const pool::TaskName& task) const;

  /** Lines that the planners logged, for a failing test. */
  std::string TakeLog();

  PoolWorker& worker(size_t index) { return *this->workers[index]; }
  pool::PoolPlanner* planner();
  base::Instant now() const { return this->time; }

 private:
  /** One planner process. */
  struct Planner {
    std::unique_ptr<pool::PoolPlanner> state;
    pool::Fence fence = 0;
    bool alive = true;
    bool is_leader = true;
  };

  /** An open review that waits for an end. */
  struct OpenSync {
    Planner* planner = nullptr;
    pool::SyncRequest request;
    base::Instant expires_at;
  };

  pool::PlannerTime Now() const;
  void Schedule(base::Duration delay, std::function<void()> action);
  void StartPlanner();
  void AdvancePlanner(Planner& planner);
  void Execute(Planner& planner, const pool::Effect& effect);
  void ExecuteStart(Planner& planner, const pool::StartRequest& request);
  void ExecuteStop(Planner& planner, const pool::StopRequest& request);
  void ExecuteSync(Planner& planner, const pool::SyncRequest& request);
  void ExecuteCommit(Planner& planner, const pool::StoreCommit& commit);
  void AnswerSync(const OpenSync& sync);
  void ServeSyncs();
  PoolWorker* FindReachableWorker(const base::WorkerId& worker);
  bool Chance(double share);
  pool::CommitReply ApplyCommit(pool::Fence fence,
                                const pool::StoreCommit& commit);
  RunPlan PlanRun(const pool::TaskName& task, pool::RunNumber run);
  void CheckStart(const PoolWorker& worker, const pool::StartRequest& request);
  void RecordEnd(const PoolWorker& worker, const pool::TaskName& task,
                 pool::RunNumber run, pool::RunEnd end);
  bool IsGangComplete(const pool::TaskName& task, pool::RunNumber run) const;
  void RecordAcknowledgedEnd(const pool::ReportedEnd& report,
                             base::Instant ended_at);
  void ReportViolation(const std::string& violation);

  std::mt19937_64 random;
  base::Instant time{std::chrono::seconds(1000)};
  timeline::DecisionLog log{"cell"};
  std::multimap<base::Instant, std::function<void()>> scheduled;
  std::vector<std::unique_ptr<Planner>> planners;
  std::vector<std::unique_ptr<PoolWorker>> workers;
  std::set<base::WorkerId> unlisted;
  /** Workers that crashed and are not back yet. */
  std::set<base::WorkerId> restarting;
  std::vector<OpenSync> open_syncs;
  /** A key's value and the revision of its latest change. */
  struct StoreEntry {
    std::string value;
    platform::Revision revision = 0;
  };

  std::map<std::string, StoreEntry> store;
  platform::Revision store_revision = 0;
  pool::Fence leader_fence = 0;
  pool::Fence last_fence = 0;
  pool::CallId next_call = 1;
  std::map<pool::CallId, base::JobId> submit_calls;
  std::map<base::JobId, pool::Job> submitted;
  std::map<base::JobId, std::vector<base::ResultCode>> answers;
  std::map<pool::TaskName, int> starts;
  std::map<pool::TaskName, base::Instant> last_start;
  std::set<pool::TaskName> succeeded;
  /** Ends that a planner took note of. */
  std::map<pool::TaskName, std::map<pool::RunNumber, base::Instant>>
      acknowledged_failures;
  std::set<pool::TaskName> acknowledged_successes;
  std::vector<std::string> reported_violations;
  std::string log_lines;
};

/** Returns a configuration with the queue "letters", of priority 1 and three
 * attempts. */
pool::QueueTable MakePoolQueues();

/** Returns a job of one step in the queue "letters". */
pool::Job MakePoolJob(const std::string& id, uint32_t tasks, int64_t millicores,
                      base::Duration estimate);

}  // namespace agatepass::fakes

#endif  // FAKES_POOL_CELL_H_
