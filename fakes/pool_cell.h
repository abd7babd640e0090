/** \file
 * Simulation of one pool in virtual time: planners, workers, the store and
 * callers, with fault injection between them and a checker of invariants.
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

#include "agatepass/pool/leadership_evidence.h"
#include "agatepass/pool/pool_planner.h"
#include "agatepass/timeline/decision_log.h"
#include "fakes/pool_worker.h"

namespace agatepass::fakes {

/** What one planner process is cut off from. */
struct PlannerCutOff {
  /** Whether its calls to the store are neither carried out nor answered. */
  bool store = false;
  /** Whether the other hosts neither call it nor answer it. */
  bool hosts = false;
  /** Workers that only this planner cannot reach. */
  std::set<base::WorkerId> workers;
};

/** The faults that are currently injected. */
struct PoolFaults {
  /** Share of the start requests that get no answer and are executed late. */
  double late_start_share = 0;
  /** Share of the syncs that wait at a worker as it crashes which its next
   * incarnation carries out, within 3 s. */
  double late_sync_share = 0;
  /** Share of the commits that are applied but get no answer. */
  double lost_commit_reply_share = 0;
  /** Whether commits fail before they are sent. Reads still succeed. */
  bool commits_not_sent = false;
  /** Whether commits are neither applied nor answered. Reads still succeed. */
  bool commits_unanswered = false;
  /** Time that the store takes for a commit, beyond the way there and back. */
  base::Duration commit_duration{0};
  /** Workers that no planner can reach. */
  std::set<base::WorkerId> unreachable_workers;
  /** Planner processes that are partly cut off, by their fence: the first
   * planner of the pool has fence 1, each later one the next higher. */
  std::map<pool::Fence, PlannerCutOff> planner_cut_offs;
  /** How far the planners' time of day is ahead of that of the workers. */
  base::Duration wall_clock_error{0};
  /** Whether the workers' entries in the store reach no planner. */
  bool reports_lost = false;
  /** Time that a planner takes to handle an answer of a worker or of the advice
   * service; it handles them one after the other. */
  base::Duration answer_handling_time{0};
  /** Share of the tasks whose first run fails. */
  double first_run_failure_share = 0;
};

/** One simulated pool. Only the planners are real code; the workers, the store
 * and the callers are fakes.
 *
 * \code
 * PoolCell cell(seed, 4);
 * cell.Submit(MakePoolJob("a", 1, 1000, std::chrono::seconds(1)));
 * cell.RunFor(std::chrono::seconds(5));
 * EXPECT_EQ(cell.violations(), std::vector<std::string>());
 * \endcode
 */
class PoolCell {
 public:
  PoolCell(uint64_t seed, size_t worker_count);
  ~PoolCell();

  /** Submits a job to the leader, whose answers are available from Answers().
   * Without a leader the call is dropped and gets no answer.
   * \param patience time for which the caller waits for the answer; with zero
   *     the job does not wait for the store. */
  void Submit(pool::Job job, base::Duration patience = base::Duration(0));
  /** Cancels a job; dropped like a submission while there is no leader. */
  void Cancel(const base::JobId& job);

  void RunFor(base::Duration duration);

  /** Kills all planners; a new one becomes the leader after `gap`. */
  void KillPlanners(base::Duration gap);
  /** Starts a new planner as the leader while the old one keeps running. */
  void ReplacePlanner();
  /** The worker loses its runs and is unreachable until it restarts by itself
   * as a new incarnation. */
  void CrashAndRestartWorker(size_t index);
  /** Changes the worker's capacity, which it reports kReportPeriod later.
   * Starts may count on a larger one for some time. */
  void SetCapacity(size_t index, const platform::Resources& total);
  /** Reports the worker as draining, with the time until it shuts down. Later
   * planners see the time that it reported last: it reports each
   * kReportPeriod. */
  void ReportDraining(size_t index, base::Duration remaining);
  /** Reports the worker as draining; after `remaining` it shuts down, stays
   * unreachable and is no longer listed. */
  void DrainWorker(size_t index, base::Duration remaining);
  /** The leader and all later planners see the worker as not listed. */
  void UnlistWorker(size_t index);
  /** Ends what UnlistWorker() began. */
  void RelistWorker(size_t index);

  /** Queue configuration for planners that start from now on; change it only
   * before the first job is submitted, because the checks apply the number of
   * attempts of its first queue to all jobs. */
  pool::QueueTable queues;
  PoolFaults faults;
  /** How long the runs of a job take, if not as long as estimated. */
  std::map<base::JobId, base::Duration> run_durations;
  /** Tasks of which each start crashes its worker, kCrashDelay later. */
  std::set<pool::TaskName> crashing_tasks;
  /** Time from a worker's crash until it is reachable again, as a new
   * incarnation. */
  base::Duration restart_duration = std::chrono::milliseconds(400);
  /** Time from the start of a crashing task to the crash. */
  static constexpr base::Duration kCrashDelay = std::chrono::milliseconds(10);

  /** Invariants that were violated, each listed once. */
  const std::vector<std::string>& violations() const {
    return this->reported_violations;
  }

  /** Result codes returned to the callers that submitted the job. */
  std::vector<base::ResultCode> Answers(const base::JobId& job) const;

  /** Phase of the job in the store; kQueued if none is stored. */
  pool::JobPhase StoredPhase(const base::JobId& job) const;

  /** Value of a key in the store; empty if the key does not exist. */
  std::string StoredValue(const std::string& key) const;

  /** Whether the job's definition is in the store. */
  bool IsStored(const base::JobId& job) const;

  /** Stored jobs whose stored phase is not final. */
  std::vector<base::JobId> UnfinishedJobs() const;

  /** Number of runs of a task that started, over all workers. */
  int CountStarts(const pool::TaskName& task) const;

  /** Number of runs that were lost because their worker crashed. */
  int lost_runs() const { return this->lost_run_count; }

  /** Stored jobs that are shown as failed although none of their tasks always
   * fails or has crashed two workers. */
  std::vector<base::JobId> JobsFailedWithoutCause() const;

  /** Returns and clears the planners' log, for a failing test's message. */
  std::string TakeLog();

  PoolWorker& worker(size_t index) { return *this->workers[index]; }
  /** Fence of the newest planner. */
  pool::Fence newest_fence() const { return this->last_fence; }
  /** The newest planner; nullptr if it was killed or lost the leadership. */
  pool::PoolPlanner* planner();
  base::Instant now() const { return this->current_time; }

 private:
  /** One planner process. */
  struct PlannerProcess {
    std::unique_ptr<pool::PoolPlanner> planner;
    pool::LeadershipEvidence evidence;
    pool::Fence fence = 0;
    bool alive = true;
    /** When it has handled all answers that have arrived. */
    base::Instant busy_until;
    /** When it was last told how busy it had been. */
    base::Instant work_recorded_at;
    base::Duration work_since_recorded{0};
    /** Whether it has not reported the loss of its leadership. A replaced
     * planner stays true until it does. */
    bool believes_it_leads = true;
  };

  /** A sync request that waits at a worker. The worker answers it once a run
   * has ended, at the latest at `answer_by`; if the worker is unreachable, the
   * request fails. */
  struct OpenSync {
    PlannerProcess* planner = nullptr;
    pool::SyncRequest request;
    base::Instant answer_by;
  };

  /** Returns the workers' time of day in Unix milliseconds. */
  int64_t GetWallMs() const;
  pool::PlannerTime GetPlannerTime() const;
  /** Lets the planner handle an answer once it has handled those before. */
  void HandleInTurn(PlannerProcess& planner, std::function<void()> handle);
  void Schedule(base::Duration delay, std::function<void()> action);
  void StartPlanner();
  void AdvancePlanner(PlannerProcess& planner);
  /** Tells the planner how busy it was, each kWorkPeriod. */
  void RecordWork(PlannerProcess& planner);
  /** Reads the planner's key and asks the other hosts when due, and tells the
   * planner what its host knows. A superseded planner is not told so: its
   * evidence only gets no newer. */
  void ConfirmLeadership(PlannerProcess& planner);
  void Execute(PlannerProcess& planner, const pool::Effect& effect);
  void ExecuteStart(PlannerProcess& planner, const pool::StartRequest& request);
  void ExecuteStop(PlannerProcess& planner, const pool::StopRequest& request);
  void ExecuteSync(PlannerProcess& planner, const pool::SyncRequest& request);
  void ExecuteAdvice(PlannerProcess& planner, const pool::AdviceQuery& query);
  void ExecuteCommit(PlannerProcess& planner, const pool::StoreCommit& commit);
  void AnswerSync(const OpenSync& sync);
  /** Has a worker carry out a sync late, without an answer. */
  void ExecuteSyncLate(const pool::SyncRequest& request);
  void AnswerDueSyncs();
  /** Returns the worker, or nullptr while it is down. */
  PoolWorker* FindRunningWorker(const base::WorkerId& id);
  /** Returns the worker, or nullptr if this planner cannot reach it. */
  PoolWorker* FindReachableWorker(const PlannerProcess& planner,
                                  const base::WorkerId& worker);
  /** Returns what the planner is cut off from. */
  PlannerCutOff FindCutOff(const PlannerProcess& planner) const;
  /** The worker has lost its runs: the other members of their gangs end, and
   * the syncs that wait at it fail. */
  void EndLostRuns(const PoolWorker& worker,
                   const std::map<pool::TaskName, pool::RunNumber>& lost_runs);
  /** Returns the worker's entry in the store as of now. */
  pool::WorkerRecord GetReportedRecord(const PoolWorker& worker) const;
  /** Returns true with the given probability. */
  bool DrawTrue(double probability);
  pool::CommitReply ApplyCommit(pool::Fence fence,
                                const pool::StoreCommit& commit);
  /** Tells the newest planner of the worker's entry, once entries reach it. */
  void ReportWorker(size_t index);
  /** Returns the largest capacity that starts may count on. */
  platform::Resources FindAllowedCapacity(const PoolWorker& worker) const;
  /** Decides how a run will behave, from its job and the injected faults. */
  RunBehaviour DecideRunBehaviour(const pool::TaskName& task,
                                  pool::RunNumber run);
  /** Counts the start and checks the invariants that hold at a start. */
  void OnRunStarted(const PoolWorker& worker,
                    const pool::StartRequest& request);
  /** Records a success, and ends the other members of the run's gang. */
  void OnRunEnded(const PoolWorker& worker, const pool::TaskName& task,
                  pool::RunNumber run, pool::RunEnd end);
  bool IsGangComplete(const pool::TaskName& task, pool::RunNumber run) const;
  /** Records an end that a planner has acknowledged, and checks that the task
   * was not started again after a success or after its last attempt. */
  void OnEndAcknowledged(const pool::ReportedEnd& report,
                         base::Instant ended_at);
  /** Checks that what the run's team has running is within its cap, with the
   * overage that the platform bears. */
  void CheckTeamCap(const pool::StartRequest& request);
  /** Lets a crashing task crash its worker soon, and checks that it is not
   * started too often. */
  void OnCrashingTaskStarted(const PoolWorker& worker,
                             const pool::StartRequest& request);
  void ReportViolation(const std::string& violation);

  std::mt19937_64 random;
  base::Instant current_time{std::chrono::seconds(1000)};
  timeline::DecisionLog log{"cell"};
  std::multimap<base::Instant, std::function<void()>> scheduled;
  std::vector<std::unique_ptr<PlannerProcess>> planners;
  std::vector<std::unique_ptr<PoolWorker>> workers;
  /** Workers that planners do not see in the list of workers. */
  std::set<base::WorkerId> unlisted_workers;
  /** Draining workers, with the time of their first report of it. */
  std::map<base::WorkerId, base::Instant> draining_since;
  std::set<base::WorkerId> shut_down_workers;
  /** Capacities that workers had, and until when starts may count on them. */
  std::multimap<base::WorkerId, std::pair<base::Instant, platform::Resources>>
      former_capacities;
  /** Workers that crashed and have not restarted yet. */
  std::set<base::WorkerId> restarting_workers;
  std::vector<OpenSync> open_syncs;
  /** A key's value and the revision of its latest write. */
  struct StoreEntry {
    std::string value;
    platform::Revision revision = 0;
  };

  std::map<std::string, StoreEntry> store;
  platform::Revision store_revision = 0;
  /** Fence of the newest planner; commits with another fence are refused. */
  pool::Fence leader_fence = 0;
  pool::Fence last_fence = 0;
  pool::CallId next_call = 1;
  std::map<pool::CallId, base::JobId> submit_calls;
  std::map<base::JobId, pool::Job> submitted;
  std::map<base::JobId, std::vector<base::ResultCode>> answers;
  std::map<pool::TaskName, int> start_counts;
  /** Workers that each crashing task has crashed, and its starts since it had
   * crashed three. */
  std::map<pool::TaskName, int> crash_counts;
  std::map<pool::TaskName, int> starts_after_three_crashes;
  int lost_run_count = 0;
  std::map<pool::TaskName, base::Instant> last_started_at;
  /** Tasks with a successful run, whether or not a planner knows of it. */
  std::set<pool::TaskName> succeeded_tasks;
  /** Failed runs whose end a planner has acknowledged, and when they ended. */
  std::map<pool::TaskName, std::map<pool::RunNumber, base::Instant>>
      acknowledged_failures;
  /** Tasks with a success that a planner has acknowledged. */
  std::set<pool::TaskName> acknowledged_successes;
  std::vector<std::string> reported_violations;
  std::string log_lines;
};

/** Returns a configuration with the queue "letters", which has priority 1 and
 * allows three attempts. */
pool::QueueTable MakePoolQueues();

/** Returns a job of one step in the queue "letters". */
pool::Job MakePoolJob(const std::string& id, uint32_t tasks, int64_t millicores,
                      base::Duration estimate);

}  // namespace agatepass::fakes

#endif  // FAKES_POOL_CELL_H_
