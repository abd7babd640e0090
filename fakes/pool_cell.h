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
  double lost_commits = 0;
  bool store_down = false;
  /** Whether the store does nothing and answers nothing. */
  bool store_silent = false;
  /** Workers that no planner reaches. */
  std::set<base::WorkerId> cut_off;
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
  PoolCell(uint64_t seed, size_t workers);
  ~PoolCell();

  /** Hands a job in; its answer is kept under its id. */
  void Submit(pool::Job job);
  void Cancel(const base::JobId& job);

  void RunFor(base::Duration time);

  /** Ends the planner without warning; another takes office after `gap`. */
  void KillPlanner(base::Duration gap);
  /** A new planner takes office while the old one goes on. */
  void ReplacePlanner();
  void CrashWorker(size_t index);
  /** The store reports the worker as draining; it leaves after `time`. */
  void DrainWorker(size_t index, base::Duration time);
  /** Removes the worker's entry from the store. */
  void Unlist(size_t index);

  /** Changes the step that a queue's table holds; set before the first job. */
  pool::QueueTable queues;
  PoolFaults faults;

  /** What was found broken, each once. */
  const std::vector<std::string>& violations() const { return this->found; }

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
  int Starts(const pool::TaskName& task) const;

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
    bool in_office = true;
  };

  /** An open review that waits for an end. */
  struct WaitingReview {
    Planner* planner = nullptr;
    pool::ReviewOrder order;
    base::Instant until;
  };

  pool::PlannerTime Now() const;
  void After(base::Duration delay, std::function<void()> action);
  void TakeOffice();
  void Pump(Planner& planner);
  void Carry(Planner& planner, const pool::Effect& effect);
  void CarryStart(Planner& planner, const pool::StartOrder& order);
  void CarryStop(Planner& planner, const pool::StopOrder& order);
  void CarryReview(Planner& planner, const pool::ReviewOrder& order);
  void CarryCommit(Planner& planner, const pool::StoreCommit& commit);
  void AnswerReview(const WaitingReview& review);
  void ServeReviews();
  PoolWorker* Find(const base::WorkerId& worker);
  bool Chance(double share);
  pool::CommitReply Apply(pool::Fence fence, const pool::StoreCommit& commit);
  RunPlan PlanRun(const pool::TaskName& task, pool::RunNumber run);
  void CheckStart(const PoolWorker& worker, const pool::StartOrder& order);
  void NoteEnd(const PoolWorker& worker, const pool::TaskName& task,
               pool::RunNumber run, pool::RunEnd end);
  bool IsWhole(const pool::TaskName& task, pool::RunNumber run) const;
  void NoteSeen(const pool::EndedRow& row, base::Instant ended_at);
  void Report(const std::string& violation);

  std::mt19937_64 random;
  base::Instant time{std::chrono::seconds(1000)};
  timeline::DecisionLog log{"cell"};
  std::multimap<base::Instant, std::function<void()>> agenda;
  std::vector<std::unique_ptr<Planner>> planners;
  std::vector<std::unique_ptr<PoolWorker>> workers;
  std::set<base::WorkerId> unlisted;
  /** Workers that crashed and are not back yet. */
  std::set<base::WorkerId> down;
  std::vector<WaitingReview> reviews;
  /** A key's value and the revision of its latest change. */
  struct Stored {
    std::string value;
    platform::Revision revision = 0;
  };

  std::map<std::string, Stored> store;
  platform::Revision revision = 0;
  pool::Fence office = 0;
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
      seen_failures;
  std::set<pool::TaskName> seen_successes;
  std::vector<std::string> found;
  std::string lines;
};

/** Returns a configuration with the queue "letters", of priority 1 and three
 * attempts. */
pool::QueueTable MakePoolQueues();

/** Returns a job of one step in the queue "letters". */
pool::Job MakePoolJob(const std::string& id, uint32_t tasks, int64_t millicores,
                      base::Duration time);

}  // namespace agatepass::fakes

#endif  // FAKES_POOL_CELL_H_
