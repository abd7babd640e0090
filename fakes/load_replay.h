/** \file
 * Replays a load pattern against one planner in virtual time, with workers, a
 * store and an advice service that answer by simple rules. The planner's host
 * has a limited processor: each request that the planner handles or sends, and
 * each worker that it examines, takes time, during which events wait.
 */
#ifndef FAKES_LOAD_REPLAY_H_
#define FAKES_LOAD_REPLAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "agatepass/pool/pool_planner.h"

namespace agatepass::fakes {

/** Jobs of one queue. */
struct LoadKind {
  /** Name and policy of the queue. */
  std::string queue;
  pool::QueuePolicy policy;
  double jobs_per_second = 0;
  double mean_tasks = 1;
  base::Duration mean_run_time{0};
  int64_t mean_millicores = 1000;
  int64_t mean_memory_mib = 1000;
  bool gang = false;
  /** Share of the workers that the advice service allows for a step. */
  double allowed_share = 1;
};

/** A time in which one queue gets a multiple of its usual jobs. */
struct LoadBurst {
  std::string queue;
  base::Duration from{0};
  base::Duration until{0};
  double factor = 1;
};

/** Processor time that the planner's work takes, on its share of a core. */
struct PlannerCost {
  base::Duration per_message{0};
  /** Workers that it can examine in a second if it does nothing else. */
  double examined_per_second = 1e12;
};

/** A load, and the pool that it meets. */
struct LoadPattern {
  uint64_t seed = 1;
  size_t workers = 48;
  platform::Resources worker_resources{.millicores = 32000,
                                       .memory_mib = 131072};
  /** Hosts that ask the advice service; each has one query in flight. */
  size_t advice_hosts = 8;
  base::Duration length{0};
  std::vector<LoadKind> kinds;
  std::vector<LoadBurst> bursts;
  PlannerCost cost;
  /** Jobs of the first kind that an earlier planner accepted. They wait until
   * the lease of a worker that is gone must have expired. */
  size_t inherited_jobs = 0;
};

/** What became of the jobs of one queue that were submitted in one second. */
struct LoadSecond {
  uint64_t submitted = 0;
  uint64_t rejected = 0;
  /** Ended within the objective. */
  uint64_t in_time = 0;
  /** Estimated processor time of all jobs and of those that ended in time, in
   * core-seconds. */
  double work = 0;
  double work_in_time = 0;
};

/** Runs one pattern once.
 *
 * \code
 * LoadReplay replay(pattern);
 * replay.Run();
 * replay.Served("alerts", seconds(4), seconds(8));  // share of jobs, 0 to 1
 * \endcode
 */
class LoadReplay {
 public:
  explicit LoadReplay(LoadPattern pattern);

  /** Plays the whole pattern, and then until no job is open, at most a minute.
   */
  void Run();

  /** Share of a queue's jobs, submitted in a time span, that ended in time;
   * weighted by their processor time. */
  double Served(const std::string& queue, base::Duration from,
                base::Duration until) const;

  /** Longest time for which an event waited for the planner's processor, among
   * events that were due in the time span. */
  base::Duration LongestLag(base::Duration from, base::Duration until) const;

  /** Mean share of the processors in use in a time span, 0 to 1. */
  double MeanUse(base::Duration from, base::Duration until) const;

  const pool::PlannerCounts& counts() const { return this->planner.counts(); }
  /** Jobs that were submitted. */
  uint64_t submitted() const { return this->next_job; }
  /** Jobs that were accepted and had not ended when Run returned. */
  size_t open_jobs() const { return this->planner.open_jobs(); }

 private:
  struct Event {
    base::Instant at;
    uint64_t number = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return this->at != other.at ? this->at > other.at
                                  : this->number > other.number;
    }
  };

  /** A run on its worker. */
  struct Running {
    pool::RunNumber number = 0;
    /** When its work began; unset while its gang is not complete. */
    std::optional<base::Instant> work_began;
    base::Duration run_time{0};
  };

  struct Worker {
    pool::WorkerRecord record;
    std::map<pool::TaskName, Running> running;
    std::vector<pool::ReportedEnd> ended;
    uint64_t last_end = 0;
    /** A sync that waits for an end, and the number of its time limit. */
    std::optional<pool::SyncRequest> waiting_sync;
    uint64_t sync_number = 0;
  };

  /** A submitted job. */
  struct JobRecord {
    const LoadKind* kind = nullptr;
    base::Duration submitted_at{0};
    base::Duration objective{0};
    double work = 0;
    /** Real run time of each task of its one step. */
    std::vector<base::Duration> run_times;
    /** Number of tasks, or gangs, that have not succeeded. */
    uint64_t left = 0;
    /** Of a gang: the members that run, with their workers. */
    std::map<pool::TaskName, base::WorkerId> present;
  };

  void At(base::Instant at, std::function<void()> action);
  /** Has the planner handle an input once its processor is free. */
  void Tell(base::Instant at, std::function<void()> input);
  void Advance();
  void RecordUse();
  void Charge(uint64_t messages);
  void SubmitJobs(const LoadKind& kind);
  double RateFactor(const LoadKind& kind, base::Duration at) const;
  pool::Job MakeJob(const LoadKind& kind);
  pool::PlannerTime Time() const;
  base::Duration Elapsed() const;
  LoadSecond& SecondOf(const JobRecord& job);
  Worker& FindWorker(const base::WorkerId& id);

  void Execute(const pool::StartRequest& request);
  void Execute(const pool::StopRequest& request);
  void Execute(const pool::SyncRequest& request);
  void Execute(const pool::StoreCommit& commit);
  void Execute(const pool::AdviceQuery& query);
  void Execute(const pool::CallerAnswer& answer);
  template <typename Other>
  void Execute(const Other& /*effect*/) {}
  void StartRun(Worker& worker, const pool::TaskName& task,
                pool::RunNumber run);
  void EndRun(Worker& worker, const pool::TaskName& task, pool::RunNumber run,
              pool::RunEnd end);
  /** Starts the work of a run, which ends after its run time. */
  void BeginWork(Worker& worker, const pool::TaskName& task);
  void AnswerSync(Worker& worker, const pool::SyncRequest& request);
  void SendAdviceQueries();

  LoadPattern pattern;
  std::mt19937_64 random;
  timeline::DecisionLog log{"replay"};
  base::Instant begin{std::chrono::seconds(1000)};
  base::Instant now = begin;
  base::Instant planner_busy_until = begin;
  bool advance_planned = false;
  uint64_t next_event = 0;
  uint64_t next_job = 0;
  uint64_t examined_before = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  pool::PoolPlanner planner;
  std::map<base::WorkerId, Worker> workers;
  std::map<base::JobId, JobRecord> jobs;
  std::map<pool::CallId, base::JobId> calls;
  std::vector<pool::AdviceQuery> waiting_queries;
  size_t queries_in_flight = 0;
  pool::CallId next_call = 1;
  platform::Revision revision = 1;
  std::map<std::string, std::map<int64_t, LoadSecond>> seconds_by_queue;
  std::map<int64_t, base::Duration> lag_by_second;
  /** Share of the processors in use at the ticks of each second. */
  std::map<int64_t, std::vector<double>> use_by_second;
};

}  // namespace agatepass::fakes

#endif  // FAKES_LOAD_REPLAY_H_
