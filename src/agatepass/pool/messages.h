/** \file
 * Inputs that the planner of a pool receives, and effects that it requests:
 * requests to workers, commits to the store, advice queries, and answers to
 * callers.
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

/** Fencing token: of a term, the revision of the planner's key in the store at
 * its beginning; of a call to a worker, see worker_fence.h. A worker does
 * nothing for a call with a lower fence than the highest that it has seen. */
using Fence = uint64_t;

/** Identifies a call of a caller to the planner until it is answered. */
using CallId = uint64_t;

// Inputs of the planner.

/** Description that a worker publishes of itself in the store. */
struct WorkerRecord {
  base::WorkerId worker;
  base::Endpoint endpoint;
  base::ServiceId service;
  base::DataCentreId data_centre;
  std::vector<std::string> labels;
  platform::Resources total;
  bool draining = false;
  /** While draining: minimum time until the worker leaves. */
  base::Duration remaining{0};
  /** Start time, Unix milliseconds; a new value is a new incarnation. */
  int64_t started_at_ms = 0;
};

/** A run that a worker reports as present. */
struct ReportedRun {
  TaskName task;
  RunNumber run = 0;
  std::string checkpoint;
  /** Share of the work done, 0 to 100. */
  int percent = 0;
  /** Rough load over the last half second: tail latency in milliseconds for a
   * task that serves requests, millicores in use for others. */
  int64_t usage = 0;
};

/** How a run ended. */
enum class RunEnd : uint8_t {
  kSucceeded,
  /** The task or its worker failed. */
  kFailed,
  kStopped,
  /** The lease of the worker expired. */
  kLeaseExpired,
  /** Another member of its gang ended. */
  kGangMemberEnded,
  /** It timed out waiting for the other members of its gang. */
  kGangIncomplete,
};

/** Returns the end's name for logs. */
std::string_view RunEndName(RunEnd end);

/** The end of a run, as reported by a worker. */
struct ReportedEnd {
  /** Increases with each end within one incarnation of the worker. */
  uint64_t sequence_number = 0;
  TaskName task;
  RunNumber run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

/** Result of a call to a worker. */
enum class WorkerCallResult : uint8_t {
  /** The request was carried out. */
  kDone,
  /** The worker has seen a higher fence; nothing was done. */
  kFenced,
  /** The run number is not higher than that of a run which was stopped or has
   * ended on the worker. */
  kStaleRun,
  /** The request's deadline had passed; nothing was done. */
  kDeadlinePassed,
  /** The worker lacks free resources; nothing was done. */
  kNoCapacity,
  /** The ticket is missing or has expired; nothing was done. */
  kInvalidTicket,
  /** Another incarnation of the worker answers at this address. */
  kOtherIncarnation,
  /** The worker is unhealthy; nothing was done. */
  kUnhealthy,
  /** The worker found the request malformed; nothing was done. */
  kMalformed,
  /** The request never left this host. */
  kNotSent,
  /** A limit of this planner kept the call from being sent: the worker was not
   * asked, which says nothing of it. */
  kNotTried,
  /** No answer: the request may have been carried out, or may still be. */
  kUnknown,
};

/** Returns the result's name for logs. */
std::string_view WorkerCallResultName(WorkerCallResult result);

/** Answer to a StartRequest or StopRequest. */
struct StartStopReply {
  WorkerCallResult result = WorkerCallResult::kUnknown;
  /** The worker's clock in milliseconds, if the answer carried it. */
  std::optional<int64_t> worker_clock_ms;
};

/** Answer to a SyncRequest. */
struct SyncReply {
  WorkerCallResult result = WorkerCallResult::kUnknown;
  int64_t worker_clock_ms = 0;
  int64_t started_at_ms = 0;
  std::vector<ReportedRun> running;
  /** Ends that are not acknowledged, in the order of their numbers. */
  std::vector<ReportedEnd> ended;
  /** Whether the worker may have more ends than it listed: a run that is in
   * neither list may have ended. */
  bool ends_truncated = false;
};

/** A ticket that lets the tasks of a step start on a worker. */
struct AdviceTicket {
  base::WorkerId worker;
  std::string ticket;
};

/** Answer to an AdviceQuery. */
struct AdviceReply {
  bool answered = false;
  /** Tickets for the workers that may run the step. */
  std::vector<AdviceTicket> tickets;
  /** Lifetime of the tickets; 0 to use that of the queue's policy. */
  base::Duration ticket_lifetime{0};
};

// Effects that the planner requests.

/** Request to start a task on a worker. */
struct StartRequest {
  base::WorkerId worker;
  base::Endpoint endpoint;
  TaskName task;
  RunNumber run = 0;
  Fence fence = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  /** Whether it is for urgent work, and must not wait for other calls. */
  bool is_urgent = false;
  /** End of the lease on all runs of the worker, in milliseconds on the
   * worker's clock. */
  int64_t lease_until_ms = 0;
};

/** Request to stop a run on a worker, or to reject its start if that arrives
 * later. */
struct StopRequest {
  base::WorkerId worker;
  base::Endpoint endpoint;
  TaskName task;
  RunNumber run = 0;
  Fence fence = 0;
};

/** Worker sync: renews the lease on all runs of the worker and reads its lists
 * of present and ended runs. */
struct SyncRequest {
  base::WorkerId worker;
  base::Endpoint endpoint;
  Fence fence = 0;
  /** The worker may discard ends up to this sequence number. */
  uint64_t acknowledged_up_to = 0;
  /** New end of the lease, in milliseconds on the worker's clock; without a
   * value the lease stays unchanged. */
  std::optional<int64_t> lease_until_ms;
  /** How long the worker may hold back its answer until a run ends. */
  base::Duration max_wait{0};
  base::Instant sent_at;
};

/** Query to the advice service: which of the workers may run a step. */
struct AdviceQuery {
  base::JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  std::vector<base::WorkerId> workers;
  /** Expected time to answer, without the time that the query waits for a
   * host. */
  base::Duration expected_duration{0};
  uint32_t priority = 0;
  base::Instant asked_at;
};

/** A write to one key; without a value the key is removed. */
struct StoreWrite {
  std::string key;
  std::optional<std::string> value;
  /** Revision that the key must have, 0 if it must not exist. If this is not
   * set, the write is unconditional. A commit whose answer was lost may be
   * carried out seconds later and must not overwrite newer values. */
  std::optional<platform::Revision> expected;
};

/** Writes that take effect atomically, and only while this planner is the
 * leader. */
struct StoreCommit {
  uint64_t id = 0;
  std::vector<StoreWrite> writes;

  /** Returns the number of entries as the store counts them: each expected
   * revision is an entry too. */
  size_t CountEntries() const {
    size_t entries = this->writes.size();
    for (const StoreWrite& write : this->writes) {
      if (write.expected) ++entries;
    }
    return entries;
  }
};

/** Current revision of a key; 0 if the key does not exist. */
struct KeyRevision {
  std::string key;
  platform::Revision revision = 0;
};

/** Result of a StoreCommit. */
struct CommitReply {
  platform::Outcome outcome = platform::Outcome::kUnknown;
  /** Whether the commit was refused because another planner is the leader. */
  bool lost_leadership = false;
  /** If done: the revision of all keys written. */
  platform::Revision revision = 0;
  /** If refused: the current revisions of the keys with an expected revision.
   */
  std::vector<KeyRevision> current;
};

/** Request to check whether the store has a job that this planner does not know
 * to be stored. */
struct StoreCheck {
  CallId call = 0;
  base::JobId job;
};

/** Answer to a caller. */
struct CallerAnswer {
  CallId call = 0;
  base::ResultCode code = base::ResultCode::kOk;
  /** For a question about a job: its phase. */
  JobPhase phase = JobPhase::kQueued;
  /** For a question about a queue: its number of jobs of which no task has
   * started. */
  uint64_t pending = 0;
  /** Whether the term ended before the planner could answer; the next planner
   * may be asked. With kPeerUnreachable the call was not executed. */
  bool term_ended = false;
  /** With kNotFound: whether it is the queue that does not exist, not the job.
   */
  bool unknown_queue = false;
  /** For a rejection: whether the planner has not looked whether it has the
   * job, which an earlier attempt may have brought. */
  bool unexamined = false;
  /** Whether the call was routed as a question about a queue. */
  bool counts_pending = false;
  /** Version of the configuration by which the planner answered; 0 if it does
   * not say. */
  uint64_t configuration_version = 0;
  /** How long before the answer that version was last known to be the newest;
   * unset if the planner does not say. */
  std::optional<base::Duration> configuration_age;
  /** For a rejection: time after which a retry may succeed. */
  base::Duration retry_after{0};
  std::string detail;
};

/** This planner has lost the leadership to a newer one. */
struct LeadershipLost {
  std::string reason;
};

using Effect =
    std::variant<StartRequest, StopRequest, SyncRequest, AdviceQuery,
                 StoreCommit, StoreCheck, CallerAnswer, LeadershipLost>;

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_MESSAGES_H_
