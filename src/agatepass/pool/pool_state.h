/** \file
 * The planner's state of a pool: jobs, their tasks, and the runs that were
 * ordered. The workers are in worker_state.h.
 */
#ifndef AGATEPASS_POOL_POOL_STATE_H_
#define AGATEPASS_POOL_POOL_STATE_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/resources.h"
#include "agatepass/pool/concurrency_limit.h"
#include "agatepass/pool/crash_history.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/messages.h"
#include "agatepass/pool/occurrence_set.h"
#include "agatepass/pool/record_codec.h"
#include "agatepass/pool/step_wait.h"
#include "agatepass/pool/team_usage.h"
#include "agatepass/pool/waiting_submissions.h"
#include "agatepass/pool/worker_roster.h"
#include "agatepass/pool/worker_set.h"

namespace agatepass::pool {

struct JobState;
struct StepState;
struct WorkerState;

/** State of a run on its worker. */
enum class RunPhase : uint8_t {
  /** The start request was sent and is not answered. */
  kStartRequested,
  /** The worker confirmed that it runs. */
  kRunning,
  /** A stop is pending, in flight or confirmed; the run may still be present.
   */
  kStopping,
};

/** Progress of a run at a time. */
struct ProgressPoint {
  int percent = 0;
  base::Instant at;
};

/** One run of a task on a worker. Its resources count as used until it is known
 * to have ended. */
struct RunState {
  TaskName task;
  RunNumber run_number = 0;
  RunPhase phase = RunPhase::kStartRequested;
  WorkerState* worker = nullptr;
  /** The step it belongs to; null if no known job needs the run. */
  StepState* step = nullptr;
  /** Whether its worker has listed it in an answer to its own fence, since a
   * restart became known: the incarnation that the planner knows has begun it.
   */
  bool listed = false;
  /** What it takes of its worker's capacity. */
  platform::Resources taken;
  /** What it counts for under the cap of its team. */
  TeamCharge charge;
  base::Instant start_requested_at;
  /** Fence of its start request; 0 if another planner sent that. */
  Fence fence = 0;
  /** Lane in which its start holds a place, until the start is answered. */
  std::optional<Lane> start_place;
  base::Instant expected_end;
  /** Whether a stop request is in flight, when the next one may be sent, and
   * when the worker confirmed one. */
  bool stop_in_flight = false;
  base::Instant next_stop;
  base::Instant stop_requested_at;
  std::optional<base::Instant> stop_confirmed_at;
  /** When the worker last confirmed the start, by its answer or in a sync. */
  base::Instant start_confirmed_at;
  /** The worker's clock in milliseconds when it first confirmed the start. */
  std::optional<int64_t> confirmed_clock_ms;
  /** How long its worker is known to have lived on after the start, by the
   * worker's clock: at least this long. */
  base::Duration survived{0};
  /** Whether the worker has restarted since the start request. */
  bool worker_restarted = false;
  /** Whether it is a trial of a suspected task, or of a gang that has one: its
   * worker takes no other work. */
  bool on_trial = false;
  /** When the next sync may be sent to learn the outcome of the trial. */
  base::Instant next_trial_check;
  /** When its worker last fell silent, and whether all runs that were unproven
   * there were of this run's job. */
  std::optional<base::Instant> silent_at;
  bool alone_when_silent = false;
  /** Where the progress that this planner has seen begins: 0 percent at the
   * start request or, for a run that resumes from a checkpoint or that the
   * planner learned of from a worker, the progress in the first report. */
  std::optional<ProgressPoint> first_progress;
  /** The latest rise of the progress, or the latest report of 100 percent;
   * before that 0 percent at the start request. */
  ProgressPoint last_progress;
};

/** State of one task. */
struct TaskState {
  bool succeeded = false;
  /** Highest run number ordered or reported. */
  RunNumber last_run = 0;
  /** Highest run number whose end a worker has reported. */
  RunNumber ended_run = 0;
  /** Numbers of the failed runs, in the order in which the failures were
   * reported. */
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;
  /** Its run that has not provably ended; null for none. */
  RunState* current_run = nullptr;
  /** Number of times that it was preempted for gangs. */
  uint32_t preemptions = 0;
  /** Worker of the latest failed or stalled run; a task that is no gang member
   * avoids it while another worker is possible. */
  base::WorkerId avoided_worker;
  base::Instant earliest_start;
  /** Of a task that lasts: the delay after its latest run, which ended by
   * itself soon after its start; 0 if that lived for a while. */
  base::Duration restart_delay{0};
  /** Runs that were lost because their workers crashed, since a run of it was
   * last proven harmless. */
  std::vector<CrashedRun> crashed_runs;
  /** The run that was recorded as a risk for its worker, whether or not it has
   * begun; 0 for none. */
  RunNumber at_risk_run = 0;
  /** The run at risk that its worker confirmed and is not known to have
   * outlived: the next planner counts it as crashed if it finds it nowhere. 0
   * for none. */
  RunNumber begun_run = 0;
  /** Number of the job's changes that must be stored before its next trial. */
  uint64_t changes_before_trial = 0;
  /** Whether a worker has outlived a start of it. */
  bool proven = false;
};

/** A ticket for a worker and its end of validity. */
struct TicketState {
  WorkerState* worker = nullptr;
  std::string ticket;
  base::Instant valid_until;
};

/** Which workers may run a step, from the answers of the advice service. */
struct AdviceState {
  bool in_flight = false;
  bool answered = false;
  base::Instant asked_at;
  /** Lane in which the query in flight holds a place. */
  Lane lane = Lane::kOther;
  base::Instant retry_at;
  std::map<base::WorkerId, TicketState> tickets;
  /** Time before which no further workers are asked about: the last look found
   * too few with free capacity, or many answers have not led to a start. */
  base::Instant next_look_at;
  /** Number of answers since a task of the step started. */
  uint32_t answers_without_start = 0;
  /** Workers that an answer covers, allowed or not: which ones are allowed
   * never changes. */
  WorkerSet covered_workers;
  /** Workers that the query in flight names. */
  std::vector<base::WorkerId> query_workers;
};

/** Resources reserved for a step while its tickets are renewed. */
struct TicketReservation {
  WorkerState* worker = nullptr;
  platform::Resources resources;
};

/** Waiting work of the queues of one priority. */
struct WaitingLoad {
  /** Adds waiting tasks of a step.
   * \param can_start whether they could start now.
   * \param is_ahead whether the planner starts them before a new job's tasks.
   */
  void Add(const Step& step, double tasks, bool can_start, bool is_ahead) {
    const double millicores =
        tasks * static_cast<double>(TakenResources(step).millicores);
    this->work += millicores * base::ToSeconds(step.estimate);
    if (!can_start) return;
    if (!step.gang) this->startable_millicores += millicores;
    if (is_ahead) this->startable_tasks += tasks;
  }

  /** Estimated processor time of the waiting tasks, in millicore-seconds. */
  double work = 0;
  /** Processors of the tasks that could start now, gangs excluded. */
  double startable_millicores = 0;
  /** Tasks of steps in time that could start now. */
  double startable_tasks = 0;
};

/** Capacity and waiting work of one service, summed up for admission. Jobs
 * accepted since are included; starts and ends since are not. */
struct ServiceLoad {
  base::Instant valid_until;
  double usable_millicores = 0;
  double free_millicores = 0;
  int64_t used_millicores = 0;
  int64_t total_millicores = 0;
  /** By priority; 0 is the highest. Of jobs within the shares of their teams,
   * as far as their caps let them start. */
  std::map<uint32_t, WaitingLoad> waiting;
  /** The same of jobs beyond the shares of their teams. */
  std::map<uint32_t, WaitingLoad> waiting_beyond_share;
  /** What the caps of teams leave beside the work counted above. */
  std::map<base::TeamId, int64_t> millicores_under_caps;
  /** Of each team, whatever its cap lets start. */
  std::map<base::TeamId, std::map<uint32_t, WaitingLoad>> waiting_of_teams;
};

/** One step of one open occurrence of a job. */
struct StepState {
  JobState* job = nullptr;
  const Step* definition = nullptr;
  uint32_t occurrence = 0;
  uint32_t step_index = 0;
  std::vector<TaskState> tasks;
  uint32_t succeeded = 0;
  /** Number of tasks that have no run and have not succeeded. */
  uint32_t waiting = 0;
  /** Number of tasks that may start under the cap of its team, when it was last
   * considered; of a gang 0 or all. */
  uint32_t cap_room = std::numeric_limits<uint32_t>::max();
  /** When its occurrence was due, or its job accepted if that was later: from
   * then on its objective counts. */
  base::Instant released_at;
  /** Estimated time from the start of this step to the end of its job, along
   * the critical path through the dependent steps. */
  base::Duration remaining_critical_path{0};
  AdviceState advice;
  /** Since when it has been ready; nothing while it is not, or while none of
   * its tasks waits. */
  std::optional<base::Instant> ready_since;
  StepWait wait;
  /** Whether it has waited for a while although less than half of its service's
   * processors are in use: then nothing is kept from it. */
  bool waits_despite_capacity = false;
  std::vector<TicketReservation> ticket_reservations;
  base::Instant ticket_reservations_until;
  /** Of a gang: when the next reservation may be attempted. */
  base::Instant next_reservation_attempt;
  /** Of a gang: when the reservations that follow each other began. */
  base::Instant reserved_since;
  /** Of a gang: numbers of the gang's failed runs. */
  std::vector<RunNumber> failed_runs;

  bool IsDone() const { return this->succeeded == this->tasks.size(); }

  /** Number of waiting tasks that the cap of its team lets start. */
  uint32_t CountStartable() const {
    return std::min(this->waiting, this->cap_room);
  }
};

/** One job that was admitted, whether stored yet or not. */
struct JobState {
  Job job;
  JobPhase phase = JobPhase::kQueued;
  /** The phase in the store. */
  JobPhase stored_phase = JobPhase::kQueued;
  int64_t final_ms = 0;
  /** Whether the definition is in the store. */
  bool stored = false;
  /** Whether a write of the definition has an unknown outcome. */
  bool may_be_stored = false;
  /** Number of changes to the progress so far, and of those stored. */
  uint64_t changes = 0;
  uint64_t stored_changes = 0;
  /** Revision of the progress in the store; 0 if there is none. */
  platform::Revision progress_revision = 0;
  base::Instant accepted_at;
  /** When the time that its objective allows ends. */
  base::Instant objective_end;
  base::Instant final_at;
  /** Whether its definition in the store is compacted, or about to be. */
  bool compacted = false;
  /** Policy of its queue in the current configuration, or the one at its
   * acceptance if the queue is not configured. */
  QueuePolicy policy;
  /** Whether it was accepted in an earlier term: runs of its tasks may be
   * present on any worker. */
  bool inherited = false;
  /** Whether it was accepted beyond the share of its team, which only this
   * planner knows: a successor counts it as within. */
  bool beyond_share = false;
  /** The steps of the open occurrences, ordered by occurrence and step: of
   * those that were due and whose tasks have not all succeeded. */
  std::vector<std::unique_ptr<StepState>> steps;
  /** Occurrences all of whose tasks have succeeded, except open ones. */
  OccurrenceSet finished;
  /** The first occurrence that has not been opened as it was due. */
  uint64_t next_occurrence = 0;
  /** Remaining critical path of each step of an occurrence. */
  std::vector<base::Duration> remaining_paths;
  /** Bytes of its definition and its open occurrences, estimated. */
  size_t held_bytes = 0;
  std::vector<SubmitCall> waiting_submits;
  std::vector<CallId> waiting_cancels;

  bool IsOpen() const { return !IsFinal(this->phase); }

  /** Notes that a worker has begun a run: it has answered the start, or lists
   * the run or its end. A start that was only asked for says nothing. */
  void MarkBegun() {
    if (this->phase == JobPhase::kQueued) this->phase = JobPhase::kRunning;
  }

  /** Number of times that its steps run. */
  uint64_t CountOccurrences() const {
    return this->job.occurrences == 0 ? 1 : this->job.occurrences;
  }
  /** Returns the position in `steps` of this occurrence or, if it is not open,
   * of the next one that is. */
  size_t FindOccurrence(uint32_t occurrence) const;
  bool IsOpenOccurrence(uint32_t occurrence) const;
  /** Whether all tasks of all occurrences have succeeded. */
  bool IsAllDone() const;
};

/** Whether a task of the step has a run that has not provably ended. */
bool HasRuns(const StepState& step);

/** A team that its cap holds. */
struct HeldTeam {
  base::Instant since;
  base::Instant last_held_at;
  bool is_logged = false;
};

/** A commit in flight. */
struct SentCommit {
  std::vector<base::JobId> created;
  /** Jobs whose progress is written, each with the number of its changes that
   * the write covers. */
  std::vector<std::pair<base::JobId, uint64_t>> progress_written;
  std::vector<base::JobId> removed;
  std::vector<base::JobId> compacted;
  /** The worker roster, if the commit writes it. */
  std::optional<WorkerRoster> roster;
  base::Instant sent_at;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_POOL_STATE_H_
