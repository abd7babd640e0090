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
  kOrdered,
  /** The worker said that it runs. */
  kRunning,
  /** A stop is wanted, sent, or answered; it may still run. */
  kStopping,
};

/** How far a run had come when its progress was last looked at. */
struct ProgressMark {
  int percent = 0;
  base::Instant at;
};

/** One run of a task on a worker. Its room counts until it has settled. */
struct RunState {
  TaskName task;
  RunNumber run = 0;
  RunPhase phase = RunPhase::kOrdered;
  WorkerState* worker = nullptr;
  /** The step it belongs to; null if no job known here wants it. */
  StepState* step = nullptr;
  platform::Resources need;
  base::Instant ordered_at;
  base::Instant expected_end;
  /** Whether a stop is under way, and when it was answered. */
  bool stop_in_flight = false;
  base::Instant next_stop;
  std::optional<base::Instant> stopped_at;
  /** When the worker was first known to run it. */
  base::Instant confirmed_at;
  ProgressMark mark;
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
  std::string saved;
  RunState* active = nullptr;
  /** Times that it gave way to gangs. */
  uint32_t preemptions = 0;
  /** Worker of the latest failure, avoided by the next run. */
  base::WorkerId failed_on;
  base::Instant not_before;
};

/** A ticket and its life. */
struct TicketState {
  std::string ticket;
  base::Instant valid_until;
};

/** Which workers may run a step, as far as the advice service has said. */
struct AdviceState {
  bool in_flight = false;
  bool known = false;
  base::Instant asked_at;
  base::Instant retry_at;
  std::map<base::WorkerId, TicketState> good;
  /** Workers that an answer covers, good or not: which are good never changes.
   */
  std::set<base::WorkerId> asked;
  std::vector<base::WorkerId> in_query;
};

/** Room set aside for a step while its tickets are renewed. */
struct Reservation {
  WorkerState* worker = nullptr;
  platform::Resources room;
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
  std::vector<Reservation> reserved;
  base::Instant reserved_until;
  /** Of a gang: when room may be looked for again. */
  base::Instant next_hold;
  /** Of a gang: whether the members of the present run are told to stop. */
  bool breaking = false;
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
  bool cut_down = false;
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
  uint64_t number = 0;
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
  bool noted = false;
  /** Its start in Unix milliseconds, as its own lists told; 0 until then. */
  int64_t life_ms = 0;
  /** Whether its lists have been read under the present fence. */
  bool reviewed = false;
  bool review_in_flight = false;
  /** Whether a review beside a waiting one is wanted, or under way. */
  bool quick_review_wanted = false;
  bool quick_review_in_flight = false;
  base::Instant next_review;
  /** Ends whose effect is stored, and ends handled. */
  uint64_t stored_ends = 0;
  uint64_t handled_ends = 0;
  std::deque<UnstoredEnd> unstored;
  /** Its clock at an instant of ours. */
  std::optional<int64_t> clock_ms;
  base::Instant clock_at;
  /** By then all that it runs has ended, if its lease is not renewed. */
  base::Instant lapses_at;
  base::Instant last_answer;
  uint32_t silent_calls = 0;
  /** Failures of different tasks in a row. */
  uint32_t failures_in_row = 0;
  base::Instant shunned_until;
  std::vector<RunState*> runs;
  platform::Resources used;
  platform::Resources reserved;

  platform::Resources Room() const {
    return this->record.total - this->used - this->reserved;
  }
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_POOL_STATE_H_
