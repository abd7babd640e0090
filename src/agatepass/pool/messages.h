/** \file
 * What the planner of a pool asks of its surroundings, and what it is told.
 */
#ifndef AGATEPASS_POOL_MESSAGES_H_
#define AGATEPASS_POOL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/result_code.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/resources.h"
#include "agatepass/platform/store.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/record_codec.h"

namespace agatepass::pool {

/** Fencing token of a planner: workers do nothing for a lower one. */
using Fence = uint64_t;

/** Identifies a call of a caller to the planner until it is answered. */
using CallId = uint64_t;

// What the planner is told.

/** A worker as it describes itself in the store. */
struct WorkerRecord {
  base::WorkerId worker;
  base::Endpoint endpoint;
  base::ServiceId service;
  base::DataCentreId data_centre;
  std::vector<std::string> labels;
  platform::Resources total;
  bool draining = false;
  /** While draining: least time until it leaves. */
  base::Duration remaining{0};
  /** Unix milliseconds of its start; a new value is a new life. */
  int64_t started_at_ms = 0;
};

/** A run that a worker lists as present. */
struct ReportedRun {
  TaskName task;
  RunNumber run = 0;
  std::string checkpoint;
  /** Share of the work done, 0 to 100. */
  int percent = 0;
  /** Rough figure of the last half second: the tail of response times in
   * milliseconds for a task that serves, millicores in use for others. */
  int64_t usage = 0;
};

/** How a run ended. */
enum class RunEnd : uint8_t {
  kSucceeded,
  /** Through its own fault or the worker's. */
  kFailed,
  kStopped,
  /** The worker's lease ran out. */
  kLeaseExpired,
  /** Another member of its gang ended. */
  kGangBroken,
  /** It waited too long for the other members of its gang. */
  kGangIncomplete,
};

/** Returns the end's name for logs. */
std::string_view RunEndName(RunEnd end);

/** An end that a worker lists. */
struct ReportedEnd {
  /** Rises with each end in one life of the worker. */
  uint64_t sequence_number = 0;
  TaskName task;
  RunNumber run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

/** How a call to a worker ended. */
enum class WorkerCallResult : uint8_t {
  /** It was carried out. */
  kDone,
  /** A newer planner has been there; nothing was done. */
  kFenced,
  /** The run is not newer than one stopped or ended there. */
  kStaleRun,
  /** The order's deadline had passed; nothing was done. */
  kDeadlinePassed,
  /** The worker lacks room; nothing was done. */
  kNoCapacity,
  /** The ticket is missing or has run out; nothing was done. */
  kInvalidTicket,
  /** Another life of the worker answers at this address. */
  kOtherIncarnation,
  /** The worker is unwell; nothing was done. */
  kUnhealthy,
  /** The worker found the order malformed; nothing was done. */
  kMalformed,
  /** The order never left this host. */
  kNotSent,
  /** No answer: it may have been carried out, or may be later. */
  kUnknown,
};

/** Returns the verdict's name for logs. */
std::string_view WorkerCallResultName(WorkerCallResult verdict);

/** Answer to a StartOrder or StopOrder. */
struct StartStopReply {
  WorkerCallResult result = WorkerCallResult::kUnknown;
  /** The worker's clock, if it answered with one. */
  std::optional<int64_t> worker_clock_ms;
};

/** Answer to a ReviewOrder. */
struct SyncReply {
  WorkerCallResult result = WorkerCallResult::kUnknown;
  int64_t worker_clock_ms = 0;
  int64_t started_at_ms = 0;
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;
};

/** A ticket that lets the tasks of a step start on a worker. */
struct AdviceTicket {
  base::WorkerId worker;
  std::string ticket;
};

/** Answer to an AdviceQuery. */
struct AdviceReply {
  bool answered = false;
  std::vector<AdviceTicket> tickets;
  base::Duration ticket_lifetime{0};
};

// What the planner asks for.

/** Start a task on a worker. */
struct StartRequest {
  base::WorkerId worker;
  base::Endpoint endpoint;
  TaskName task;
  RunNumber run = 0;
  Fence fence = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  /** On the worker's clock: end of the lease on all that it runs. */
  int64_t lease_until_ms = 0;
};

/** Stop a run on a worker, or reject it should it still come. */
struct StopRequest {
  base::WorkerId worker;
  base::Endpoint endpoint;
  TaskName task;
  RunNumber run = 0;
  Fence fence = 0;
};

/** Renew the lease on all that a worker runs, and read its lists. */
struct SyncRequest {
  base::WorkerId worker;
  base::Endpoint endpoint;
  Fence fence = 0;
  /** The worker may forget ends up to this number. */
  uint64_t acknowledged_up_to = 0;
  /** On the worker's clock; nothing leaves the lease as it is. */
  std::optional<int64_t> lease_until_ms;
  /** How long the worker may wait for an end before it answers. */
  base::Duration max_wait{0};
  base::Instant sent_at;
};

/** Ask which of the workers may run a step. */
struct AdviceQuery {
  base::JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  std::vector<base::WorkerId> workers;
  /** Time that the answer takes once its turn has come. */
  base::Duration expected_duration{0};
  uint32_t priority = 0;
};

/** One key written, or removed if there is no value. */
struct StoreWrite {
  std::string key;
  std::optional<std::string> value;
  /** Revision that the key must have, 0 for none: a commit without an answer
   * may be done seconds later and must not undo newer ones. */
  std::optional<platform::Revision> expected;
};

/** Writes that take effect all or none, while this planner is in office. */
struct StoreCommit {
  uint64_t id = 0;
  std::vector<StoreWrite> writes;

  /** Entries that the store counts: an expected revision is one too. */
  size_t CountEntries() const {
    size_t entries = this->writes.size();
    for (const StoreWrite& write : this->writes) {
      if (write.expected) ++entries;
    }
    return entries;
  }
};

/** The revision that a key has; 0 if it does not exist. */
struct KeyRevision {
  std::string key;
  platform::Revision revision = 0;
};

/** How a StoreCommit ended. */
struct CommitReply {
  platform::Outcome outcome = platform::Outcome::kUnknown;
  /** Refused since another planner is in office. */
  bool lost_leadership = false;
  /** Done: the revision of all keys written. */
  platform::Revision revision = 0;
  /** Refused: the keys whose revisions were expected, as they are. */
  std::vector<KeyRevision> current;
};

/** Check in the store whether a job unknown to this planner exists. */
struct StoreCheck {
  CallId call = 0;
  base::JobId job;
};

/** Answer to a caller. */
struct CallerAnswer {
  CallId call = 0;
  base::ResultCode code = base::ResultCode::kOk;
  /** Of a question about a job. */
  JobPhase phase = JobPhase::kQueued;
  /** Of a question about a queue: jobs of which no task has started. */
  uint64_t pending = 0;
  /** Whether the planner left office before it could answer: the next one may
   * be asked. */
  bool term_ended = false;
  /** Of a rejection: when trying again may help. */
  base::Duration retry_after{0};
  std::string detail;
};

/** A newer planner is in office. */
struct LeadershipLost {
  std::string reason;
};

using Effect =
    std::variant<StartRequest, StopRequest, SyncRequest, AdviceQuery,
                 StoreCommit, StoreCheck, CallerAnswer, LeadershipLost>;

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_MESSAGES_H_
