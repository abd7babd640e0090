/** \file
 * The planner's state of a worker: what the store and the worker itself say of
 * it, its runs, its lease, and what it is trusted with.
 */
#ifndef AGATEPASS_POOL_WORKER_STATE_H_
#define AGATEPASS_POOL_WORKER_STATE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/resources.h"
#include "agatepass/pool/messages.h"

namespace agatepass::pool {

struct RunState;
struct StepState;
struct WorkerState;

/** An end whose effect on a job is not stored yet. */
struct UnstoredEnd {
  uint64_t sequence_number = 0;
  base::JobId job;
  base::Instant read_at;
  /** Number of the job's changes that must be stored before the worker may
   * forget the end. */
  uint64_t changes = 0;
};

/** Workers whose free resources are reserved for a gang: beside the gang only
 * urgent steps start there, and tasks that are expected to end by `until`. */
struct GangReservation {
  StepState* step = nullptr;
  base::Instant until;
  std::vector<WorkerState*> workers;
};

/** A worker's silence: a call was not answered, or another incarnation answers.
 */
struct WorkerSilence {
  base::Instant since;
  /** Whether another incarnation has answered since. */
  bool over = false;
  /** Whether no unproven run was there that could be the cause, the worker was
   * synced before, and had not announced its shutdown. */
  bool unexplained = false;
};

/** A worker's silence, with the queues of the jobs that had unproven runs
 * there. */
struct UnblamedSilence {
  base::WorkerId worker;
  base::Instant at;
  std::vector<std::string> queues;
};

/** A worker, with the state of its current incarnation. */
struct WorkerState {
  WorkerRecord record;
  /** Largest amounts of each resource that it has reported. */
  platform::Resources largest_total;
  /** Its position among all workers that the planner has seen; not reused. */
  size_t index = 0;
  base::RackId rack;
  /** Whether the store lists it. */
  bool listed = false;
  /** While it drains: the earliest time at which it may shut down, as far as
   * its reports tell. */
  std::optional<base::Instant> leaves_at;
  /** Whether the stored roster of workers that may have runs contains it. */
  bool in_roster = false;
  /** Whether another worker has answered at its address since it was listed: it
   * has no runs, and no later planner needs to wait for it. */
  bool replaced = false;
  /** Start time of its incarnation in Unix milliseconds, as it reported it; 0
   * until then. */
  int64_t started_at_ms = 0;
  /** Number of its incarnations that this planner knows to be over, or more:
   * that of another worker which was removed. */
  uint64_t former_incarnations = 0;
  /** Whether its current incarnation has been synced in this term, under its
   * own fence: it carries out no call that was meant for a former one any more.
   */
  bool synced = false;
  /** Whether its current incarnation can have no lease any more that a call to
   * a former one brought (`worker_roster.h`). */
  bool settled = false;
  /** Fence of the calls to its current incarnation. One with a lower fence was
   * meant for a former incarnation, which may be the one that answers it. */
  Fence fence = 0;
  bool sync_in_flight = false;
  /** When the worker should have answered the sync in flight. */
  base::Instant sync_due_at;
  /** Whether the planner's queue of syncs to send has it. */
  bool in_sync_queue = false;
  /** Whether a sync without a long poll is needed beside the one in flight, and
   * whether such a sync is in flight. */
  bool quick_sync_wanted = false;
  bool quick_sync_in_flight = false;
  base::Instant next_sync;
  /** Sequence numbers of the last end whose effect is stored, and of the last
   * end handled. */
  uint64_t last_stored_end = 0;
  uint64_t last_handled_end = 0;
  /** Sequence number up to which it has confirmed to forget its ends. */
  uint64_t last_acknowledged_end = 0;
  /** Whether another incarnation may answer now: since the last answer to a
   * sync a call was not answered, or its clock went back. Answers to starts and
   * stops do not tell the incarnation. */
  bool may_have_restarted = false;
  /** Whether it may have more ends than its last list of them showed. */
  bool ends_truncated = false;
  std::deque<UnstoredEnd> unstored_ends;
  /** The worker's clock in milliseconds, as it was at `clock_read_at`. */
  std::optional<int64_t> clock_ms;
  base::Instant clock_read_at;
  /** When all its runs have ended if its lease is not renewed, including runs
   * under leases of earlier terms. */
  base::Instant lease_expires_at;
  /** Latest end of a lease that its current incarnation had from calls under
   * lower fences. */
  base::Instant inherited_lease_until;
  base::Instant last_answer_at;
  uint32_t unanswered_calls = 0;
  /** Its latest silence, unless it went on afterwards as the same incarnation.
   */
  std::optional<WorkerSilence> silence;
  /** Number of its runs that are trials, and when the latest began. */
  uint32_t trials = 0;
  base::Instant last_trial_at;
  /** Failed runs since the last successful run or quarantine for failures. */
  uint32_t consecutive_failures = 0;
  /** Until when it gets no work: it did not answer, or refused a start. */
  base::Instant quarantined_until;
  /** Until when it gets no work while other workers have room, as runs have
   * stalled or failed there. */
  base::Instant distrusted_until;
  std::vector<RunState*> runs;
  platform::Resources used;
  /** Reservations for gangs that include this worker. */
  std::vector<const GangReservation*> gang_reservations;
  /** Resources in ticket reservations; gang reservations are not included. */
  platform::Resources reserved_for_tickets;

  /** Whether what the store says of it, labels and capacity, is known to be of
   * a former incarnation: a worker may start again as another kind. */
  bool HasFormerRecord() const {
    return this->started_at_ms != 0 && this->record.started_at_ms != 0 &&
           this->started_at_ms != this->record.started_at_ms;
  }

  bool IsQuarantined(base::Instant now) const {
    return now < this->quarantined_until;
  }
  bool IsDistrusted(base::Instant now) const {
    return now < this->distrusted_until;
  }

  /** Whether a call with this fence was meant for a former incarnation. */
  bool WasForFormerIncarnation(Fence call_fence) const {
    return call_fence < this->fence;
  }

  platform::Resources FreeResources() const {
    return this->record.total - this->used - this->reserved_for_tickets;
  }
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_WORKER_STATE_H_
