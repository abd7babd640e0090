/** \file
 * A worker of the users' platform as plain code: fence, lease on all it runs,
 * lists of what runs and what ended, gangs. The time is passed in.
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

/** What a run will do, decided by the test. */
struct RunPlan {
  base::Duration time{0};
  bool fails = false;
  /** Members of its gang; 1 for a task on its own. */
  uint32_t gang_size = 1;
  platform::Resources need;
};

/** One worker through all its lives. */
class PoolWorker {
 public:
  /** Told about what the checker has to judge. */
  struct Observer {
    std::function<RunPlan(const pool::TaskName&, pool::RunNumber)> plan;
    /** Whether all members of the task's gang are at work. */
    std::function<bool(const pool::TaskName&, pool::RunNumber)> whole;
    std::function<void(const PoolWorker&, const pool::StartOrder&)> on_start;
    std::function<void(const PoolWorker&, const pool::TaskName&,
                       pool::RunNumber, pool::RunEnd)>
        on_end;
    /** An end was taken note of while its worker's lease had held since. */
    std::function<void(const pool::EndedRow&, base::Instant ended_at)> on_noted;
  };

  PoolWorker(const pool::WorkerRecord& record, Observer observer)
      : record(record), observer(std::move(observer)) {}

  pool::OrderReply Start(const pool::StartOrder& order, base::Instant now);
  pool::OrderReply Stop(const pool::StopOrder& order, base::Instant now);
  pool::ReviewReply Review(const pool::ReviewOrder& order, base::Instant now);

  /** Ends the runs that are due by `now`, and all if the lease has lapsed. */
  void Advance(base::Instant now);

  /** Ends a gang's member as another one has ended. */
  void EndMember(const pool::TaskName& task, pool::RunNumber run,
                 pool::RunEnd end);

  /** Loses all and begins another life under the same id. */
  void Crash(int64_t born_ms);

  bool IsRunning(const pool::TaskName& task) const;
  const std::map<pool::TaskName, pool::RunNumber> Running() const;
  platform::Resources Used() const;
  bool HasUnseenEnds() const { return !this->ended.empty(); }

  pool::WorkerRecord record;
  /** Whether its runs stand still. */
  bool hangs = false;

 private:
  struct Run {
    pool::RunNumber number = 0;
    RunPlan plan;
    base::Instant ends;
    /** Set while it is being stopped. */
    std::optional<base::Instant> stops;
  };

  /** An end that is still listed. */
  struct Ended {
    pool::EndedRow row;
    base::Instant at;
    /** Whether the lease has lapsed since. */
    bool lapsed = false;
  };

  int64_t ClockMs(base::Instant now) const;
  static int PercentOf(const Run& run, base::Instant now);
  void Forget(uint64_t up_to);
  void End(const pool::TaskName& task, pool::RunEnd end);
  bool IsFenced(pool::Fence fence);

  Observer observer;
  pool::Fence highest = 0;
  int64_t lease_until_ms = 0;
  uint64_t last_end = 0;
  std::map<pool::TaskName, Run> runs;
  /** Highest run stopped or ended here. */
  std::map<pool::TaskName, pool::RunNumber> barred;
  std::vector<Ended> ended;
  base::Instant latest;
};

}  // namespace agatepass::fakes

#endif  // FAKES_POOL_WORKER_H_
