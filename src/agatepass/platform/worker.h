/** \file
 * The platform's worker: owner leases with fencing epochs, tasks under task
 * leases, and the concept that the HTTP client and the in-memory stand-in both
 * satisfy.
 *
 * This file holds the one assumption about the platform's worker: it grants an
 * owner lease with a rising epoch and refuses commands of a lower one.
 * docs/RECOVERY.md has the way without it.
 */
#ifndef AGATEPASS_PLATFORM_WORKER_H_
#define AGATEPASS_PLATFORM_WORKER_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/resources.h"
#include "agatepass/platform/store.h"

namespace agatepass::platform {

/** Number of an owner lease; each new owner of a worker gets a higher one. */
using Epoch = uint64_t;

/** What a worker does with a task whose owner has gone silent past the task
 * lease. */
enum class LapseAction : uint8_t { kKeepRunning, kStop };

/** A task as the worker gets it. */
struct TaskStart {
  base::TaskId task;
  base::TeamId team;
  Resources declared;
  /** What the task runs, opaque to the scheduler. */
  std::string command;
  base::Duration lease{0};
  LapseAction on_lapse = LapseAction::kKeepRunning;
};

enum class TaskPhase : uint8_t { kRunning, kSucceeded, kFailed, kStopped };

/** A task as the worker reports it: running, or ended and not yet acknowledged.
 */
struct TaskReport {
  base::TaskId task;
  TaskPhase phase = TaskPhase::kRunning;
  Resources declared;
  /** Use of a running task, with a lag; peak use of an ended one. */
  Resources used;
  /** The result that an ended task left, whole. */
  std::string result;
};

enum class WorkerVerb : uint8_t {
  /** Takes the owner lease: granted if it is free, lapsed or `from` holds it,
     with a new epoch. */
  kClaim,
  /** Prolongs the lease, acknowledges ends, and returns the report. */
  kRenew,
  /** Gives the lease up. */
  kRelease,
  /** Starts tasks, each at most once; a task id that the worker has seen is not
     started again. */
  kStart,
  kStop,
  kCheckpoint,
  kThrottle,
};

/** One command to a worker. */
struct WorkerCall {
  WorkerVerb verb = WorkerVerb::kRenew;
  base::WorkerId worker;
  base::HostId holder;
  /** The epoch held; a command with a lower epoch than the worker's is refused.
   */
  Epoch epoch = 0;
  /** kClaim: a holder known to be dead or leaving, whose lease may be taken
   * before it lapses. */
  base::HostId from;
  /** kClaim, kRenew: life of the owner lease. */
  base::Duration lease{0};
  /** kStart. */
  std::vector<TaskStart> starts;
  /** kStop, kCheckpoint, kThrottle: the tasks; kRenew: ended tasks that may be
   * forgotten. */
  std::vector<base::TaskId> tasks;
  base::Duration timeout = std::chrono::seconds(1);
};

/** What became of one task of a kStart. */
struct StartResult {
  base::TaskId task;
  bool started = false;
  /** Why it was not started, such as "no room". */
  std::string reason;
};

/** The end of a WorkerCall. */
struct WorkerReply {
  Outcome outcome = Outcome::kNotSent;
  /** The worker's epoch and holder when it answered, also after a refusal. */
  Epoch epoch = 0;
  base::HostId holder;
  /** kClaim, kRenew: how long the worker remembers what it was given; a
   * replaced or restarted one starts at zero. */
  base::Duration memory_age{0};
  /** kClaim, kRenew: what the worker has. */
  Resources total;
  /** kClaim, kRenew: every task running, or ended and not acknowledged. */
  std::vector<TaskReport> tasks;
  /** kStart: one for each task. */
  std::vector<StartResult> starts;
};

using WorkerCallback = std::function<void(WorkerReply)>;

/** A client of the workers. The callback runs once, later; destroying the
 * client drops it. */
template <typename Client>
concept WorkerControl = requires(Client& client, WorkerCall call,
                                 WorkerCallback callback) {
  { client.Call(std::move(call), std::move(callback)) } -> std::same_as<void>;
};

}  // namespace agatepass::platform

#endif  // AGATEPASS_PLATFORM_WORKER_H_
