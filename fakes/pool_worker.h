/** \file
 * In-process fake of a worker: fence check, one lease for all runs, and lists
 * of current and ended runs. It is deterministic: time comes in as a parameter.
 */
#ifndef FAKES_POOL_WORKER_H_
#define FAKES_POOL_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/pool/messages.h"

namespace agatepass::fakes {

/** How a run will behave. */
struct RunBehaviour {
  base::Duration duration{0};
  bool fails = false;
  /** Whether it runs until it is stopped: it reports 100 percent all the
   * while. */
  bool lasts = false;
  /** Number of members of its gang; 1 for a task without a gang. */
  uint32_t gang_size = 1;
  platform::Resources need;
};

/** One worker, through all its incarnations. */
class PoolWorker {
 public:
  /** Questions and reports to the simulation that the worker is part of. */
  struct Callbacks {
    std::function<RunBehaviour(const pool::TaskName&, pool::RunNumber)>
        decide_run_behaviour;
    /** Whether all members of the task's gang are running. */
    std::function<bool(const pool::TaskName&, pool::RunNumber)>
        is_gang_complete;
    std::function<void(const PoolWorker&, const pool::StartRequest&)> on_start;
    std::function<void(const PoolWorker&, const pool::TaskName&,
                       pool::RunNumber, pool::RunEnd)>
        on_end;
    /** The planner acknowledged an end, and the worker's lease has not expired
     * since the run ended. Not called after an expiry, because the planner may
     * then rightly have started the task again before it acknowledged the end.
     */
    std::function<void(const pool::ReportedEnd&, base::Instant ended_at)>
        on_end_acknowledged;
  };

  PoolWorker(const pool::WorkerRecord& record, Callbacks callbacks)
      : record(record), callbacks(std::move(callbacks)) {}

  pool::StartStopReply Start(const pool::StartRequest& request,
                             base::Instant now);
  pool::StartStopReply Stop(const pool::StopRequest& request,
                            base::Instant now);
  pool::SyncReply Sync(const pool::SyncRequest& request, base::Instant now);

  /** Ends the runs that are due by `now`, and all if the lease has expired. */
  void Advance(base::Instant now);

  /** Ends a gang member because another member of the gang has ended. */
  void EndGangMember(const pool::TaskName& task, pool::RunNumber run,
                     pool::RunEnd end);

  /** Shuts down as announced: the runs that are due by `now` end first. All
   * ends that it lists then count as acknowledged, read or not: who starts
   * their tasks again repeats work that was done.
   * \param started_at_ms start time of the next incarnation under its id.
   * \return the runs that it cut short. */
  std::map<pool::TaskName, pool::RunNumber> ShutDown(base::Instant now,
                                                     int64_t started_at_ms);

  /** Drops all state and starts another incarnation under the same id.
   * \param started_at_ms start time that identifies the new incarnation. */
  void Crash(int64_t started_at_ms);

  /** Whether a former incarnation would have refused the start, as it saw a
   * higher fence or the end or a stop of the run, and no planner can know of
   * the current incarnation yet. It would carry out the start, and no planner
   * could prevent that. */
  bool WasRefusedBefore(const pool::StartRequest& request) const;

  bool IsRunning(const pool::TaskName& task) const;
  /** Numbers of the current runs, including those that are being stopped. */
  const std::map<pool::TaskName, pool::RunNumber> GetRuns() const;
  platform::Resources UsedResources() const;
  bool HasUnacknowledgedEnds() const {
    return !this->unacknowledged_ends.empty();
  }

  pool::WorkerRecord record;
  /** Time from a stop request to the end of the run. */
  base::Duration stop_duration = std::chrono::milliseconds(300);
  /** Whether its runs make no progress. */
  bool runs_stall = false;
  /** Whether its current incarnation has answered a sync of a planner. */
  bool has_answered = false;

 private:
  struct Run {
    pool::RunNumber number = 0;
    RunBehaviour behaviour;
    base::Instant ends_at;
    /** When a requested stop completes; unset if no stop was requested. */
    std::optional<base::Instant> stops_at;
  };

  /** An end that the planner has not acknowledged yet. */
  struct UnacknowledgedEnd {
    pool::ReportedEnd report;
    base::Instant ended_at;
    /** Whether the lease has expired since the run ended. */
    bool lease_expired = false;
  };

  /** Its clock, which starts anew with each incarnation. */
  int64_t ClockMs(base::Instant now) const;
  void ExtendLease(int64_t until_ms, base::Instant now);
  /** Progress of a run in percent, as reported to the planner. */
  static int ProgressPercent(const Run& run, base::Instant now);
  void DropAcknowledgedEnds(uint64_t up_to);
  void End(const pool::TaskName& task, pool::RunEnd end);
  /** Returns whether a higher fence has been seen; otherwise records this fence
   * as the highest. */
  bool IsFenced(pool::Fence fence);

  Callbacks callbacks;
  /** When its incarnation started; its first one with the simulation. */
  base::Instant born_at;
  pool::Fence highest_fence = 0;
  int64_t lease_until_ms = 0;
  /** Sequence number of the latest end. */
  uint64_t last_sequence_number = 0;
  std::map<pool::TaskName, Run> runs;
  /** For each task, the highest number of a run that was stopped or has ended
   * here. A start with this or a lower number is stale. */
  std::map<pool::TaskName, pool::RunNumber> highest_stale_run;
  /** Highest fence that a former incarnation has seen. */
  pool::Fence former_highest_fence = 0;
  /** Same as highest_stale_run, of all former incarnations. */
  std::map<pool::TaskName, pool::RunNumber> former_stale_run;
  std::vector<UnacknowledgedEnd> unacknowledged_ends;
  base::Instant advanced_at;
};

}  // namespace agatepass::fakes

#endif  // FAKES_POOL_WORKER_H_
