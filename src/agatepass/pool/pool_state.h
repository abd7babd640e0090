/** \file
 * What the planner of a pool believes: jobs, their tasks, the runs that were
 * ordered, and the workers.
 */
#ifndef AGATEPASS_POOL_POOL_STATE_H_
#define AGATEPASS_POOL_POOL_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/resources.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/messages.h"
#include "agatepass/pool/record_codec.h"

namespace agatepass::pool {

struct JobState;
struct StepState;
struct WorkerState;

/** How far an order to start a task has come. */
enum class RunPhase : uint8_t {
  /** The start was sent and not answered. */
  kStartRequested,
  /** The worker said that it runs. */
  kRunning,
  /** A stop is wanted, sent, or answered; it may still run. */
  kStopping,
};

/** How far a run had come when its progress was last looked at. */
struct ProgressPoint {
  int percent = 0;
  base::Instant at;
};

/** One run of a task on a worker. Its room counts until it has settled. */
struct RunState {
  TaskName task;
  RunNumber run = 0;
  RunPhase phase = RunPhase::kStartRequested;
  WorkerState* worker = nullptr;
  /** The step it belongs to; null if no job known here wants it. */
  StepState* step = nullptr;
  platform::Resources need;
  base::Instant start_requested_at;
  base::Instant expected_end;
  /** Whether a stop is under way, and when it was answered. */
  bool stop_in_flight = false;
  base::Instant next_stop;
  std::optional<base::Instant> stop_confirmed_at;
  /** When the worker was first known to run it. */
  base::Instant start_confirmed_at;
  ProgressPoint last_progress;
};

/** What is known of one task. */
struct TaskState {
  bool succeeded = false;
  /** Highest run ordered or seen. */
  RunNumber last_run = 0;
  /** Highest run that has ended. */
  RunNumber ended_run = 0;
  /** Runs that have failed, in the order in which this became known. */
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;
  RunState* active = nullptr;
  /** Times that it gave way to gangs. */
  uint32_t preemptions = 0;
  /** Worker of the latest failure, avoided by the next run. */
  base::WorkerId last_failed_worker;
  base::Instant earliest_start;
};

/** A ticket and its life. */
struct TicketState {
  std::string ticket;
  base::Instant valid_until;
};

/** Which workers may run a step, as far as the advice service has said. */
struct AdviceState {
  bool in_flight = false;
  bool answered = false;
  base::Instant asked_at;
  base::Instant retry_at;
  std::map<base::WorkerId, TicketState> tickets;
  /** Workers that an answer covers, good or not: which are good never changes.
   */
  std::set<base::WorkerId> workers_asked;
  std::vector<base::WorkerId> query_workers;
};

/** Room set aside for a step while its tickets are renewed. */
struct TicketReservation {
  WorkerState* worker = nullptr;
  platform::Resources resources;
};

/** One step of one occurrence. */
struct StepState {
  JobState* job = nullptr;
  const Step* definition = nullptr;
  uint32_t occurrence = 0;
  uint32_t number = 0;
  std::vector<TaskState> tasks;
  uint32_t succeeded = 0;
  /** Tasks without a run and not succeeded. */
  uint32_t waiting = 0;
  AdviceState advice;
  std::vector<TicketReservation> ticket_reservations;
  base::Instant ticket_reservations_until;
  /** Of a gang: when room may be looked for again. */
  base::Instant next_reservation_attempt;
  /** Of a gang: whether the members of the present run are told to stop. */
  bool stopping_members = false;
  /** Of a gang: runs of the whole that have failed. */
  std::vector<RunNumber> failed_runs;

  bool IsDone() const { return this->succeeded == this->tasks.size(); }
};

/** One accepted job. */
struct JobState {
  Job job;
  JobPhase phase = JobPhase::kQueued;
  /** The phase that the store holds. */
  JobPhase stored_phase = JobPhase::kQueued;
  int64_t final_ms = 0;
  /** Whether the definition is in the store. */
  bool stored = false;
  /** Whether a write of the definition got no answer. */
  bool may_be_stored = false;
  /** Changes to the progress so far, and those stored. */
  uint64_t changes = 0;
  uint64_t stored_changes = 0;
  /** Revision of the progress in the store; 0 if it holds none. */
  platform::Revision progress_revision = 0;
  base::Instant accepted_at;
  base::Instant objective;
  base::Instant final_at;
  /** Whether its definition in the store was cut down, or is about to be. */
  bool compacted = false;
  /** By the newest configuration that has its queue. */
  QueuePolicy policy;
  /** Accepted under an earlier planner: its tasks may run anywhere. */
  bool inherited = false;
  std::vector<std::unique_ptr<StepState>> steps;
  std::vector<CallId> waiting_submits;
  std::vector<CallId> waiting_cancels;

  bool IsOpen() const { return !IsFinal(this->phase); }
};

/** An end whose effect on a job is not stored yet. */
struct UnstoredEnd {
  uint64_t sequence_number = 0;
  base::JobId job;
  /** The job's changes that must be stored before the end may be forgotten. */
  uint64_t changes = 0;
};

/** One life of a worker. */
struct WorkerState {
  WorkerRecord record;
  base::RackId rack;
  /** Whether the store lists it. */
  bool listed = false;
  base::Instant unlisted_at;
  /** Whether the store holds it among the workers that may have runs. */
  bool in_roster = false;
  /** Its start in Unix milliseconds, as its own lists told; 0 until then. */
  int64_t started_at_ms = 0;
  /** Whether its lists have been read under the present fence. */
  bool synced = false;
  bool sync_in_flight = false;
  /** Whether a review beside a waiting one is wanted, or under way. */
  bool quick_sync_wanted = false;
  bool quick_sync_in_flight = false;
  base::Instant next_sync;
  /** Ends whose effect is stored, and ends handled. */
  uint64_t last_stored_end = 0;
  uint64_t last_handled_end = 0;
  std::deque<UnstoredEnd> unstored_ends;
  /** Its clock at an instant of ours. */
  std::optional<int64_t> clock_ms;
  base::Instant clock_read_at;
  /** By then all that it runs has ended, if its lease is not renewed. */
  base::Instant lease_expires_at;
  base::Instant last_answer_at;
  uint32_t unanswered_calls = 0;
  /** Failures of different tasks in a row. */
  uint32_t consecutive_failures = 0;
  base::Instant quarantined_until;
  std::vector<RunState*> runs;
  platform::Resources used;
  platform::Resources reserved;

  platform::Resources FreeResources() const {
    return this->record.total - this->used - this->reserved;
  }
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_POOL_STATE_H_
