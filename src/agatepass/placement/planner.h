/** \file
 * The planner: takes tasks, workers, policy and reports in, and gives decisions
 * with their reasons out. It has no clock, no socket and no thread.
 */
#ifndef AGATEPASS_PLACEMENT_PLANNER_H_
#define AGATEPASS_PLACEMENT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/placement/cell.h"
#include "agatepass/placement/decision.h"
#include "agatepass/placement/explanation.h"
#include "agatepass/placement/explanation_log.h"
#include "agatepass/placement/failure_ledger.h"
#include "agatepass/placement/policy.h"
#include "agatepass/placement/task.h"
#include "agatepass/placement/task_queue.h"
#include "agatepass/placement/task_record.h"
#include "agatepass/placement/usage_history.h"

namespace agatepass::placement {

/** What became of a cancellation. */
enum class CancelResult : uint8_t {
  /** The task is not known: it has ended or was never enqueued. */
  kUnknownTask,
  /** It was waiting, and will not be started. */
  kRemovedFromQueue,
  /** It was handed out by a decision already; the caller has to stop it. */
  kAlreadyPlaced,
};

/** What became of a job's tasks on its cancellation. */
struct JobCancellation {
  std::vector<base::TaskId> removed;
  std::vector<base::TaskId> already_placed;
};

/** Why a worker did not start a task. The task has not run. */
enum class StartFailure : uint8_t {
  /** The worker said that it lacks room, or its lease moved on. */
  kNoRoom,
  /** The worker could not be reached, and the start provably was not sent. */
  kNotSent,
  /** The worker failed to start it. */
  kWorkerFault,
};

/** Decides which task starts on which worker.
 *
 * Equal seeds and equal sequences of calls give equal decisions.
 *
 * \code
 * Planner planner(7);
 * planner.SetPolicy(OrdinaryPolicy());
 * planner.UpsertWorker({.worker = base::WorkerId("w1"), .total = total});
 * if (absl::Status status = planner.Enqueue(request, now); !status.ok()) ...
 * for (const Decision& decision : planner.Decide(now, 100)) Carry(decision);
 * \endcode
 */
class Planner {
 public:
  explicit Planner(uint64_t seed);

  /** Puts a policy in force; every waiting task is tried again, and running
   * ones are left alone. */
  void SetPolicy(Policy policy);
  const Policy& policy() const { return this->rules; }

  /** Adds or updates a worker. */
  void UpsertWorker(const WorkerView& view);

  /** Forgets a worker; its tasks stay known until they are reported as ended or
   * adopted elsewhere. */
  void RemoveWorker(const base::WorkerId& worker);

  const Cell& cell() const { return this->workers; }

  /** Takes a task into the queue. A task already known is left as it is.
   * \return kCanNeverRun with the resource and the largest worker named,
   *     kQuotaExceeded if it is above its team's whole quota, kRefusedByRule
   *     if its job has failed everywhere, or kInvalidRequest.
   */
  absl::Status Enqueue(const TaskRequest& request, base::Instant now);

  /** Cancels a task; linear in nothing. */
  CancelResult Cancel(const base::TaskId& task);

  /** Cancels the tasks of a job, in time linear in their number. */
  JobCancellation CancelJob(const base::JobId& job);

  /** Decides on the queue until nothing more can be done now, or `limit`
   * decisions are made. A gang or a pre-emption may go over the limit. */
  std::vector<Decision> Decide(base::Instant now, size_t limit);

  /** The worker confirmed the start. */
  void OnStarted(const base::TaskId& task, const base::WorkerId& worker,
                 base::Instant now);

  /** The task provably did not start; it waits again, at its old place. */
  void OnStartFailed(const base::TaskId& task, const base::WorkerId& worker,
                     StartFailure reason, base::Instant now);

  /** The task has ended. \param used its peak use. */
  void OnEnded(const base::TaskId& task, bool succeeded,
               const platform::Resources& used, base::Duration run_time,
               base::Instant now);

  /** The task was checkpointed or stopped by a decision; it waits again. */
  void OnPreempted(const base::TaskId& task, base::Instant now);

  /** A task was found running on a worker. \param granted its size there. */
  void Adopt(const TaskRequest& request, const base::WorkerId& worker,
             const platform::Resources& granted, base::Instant now);

  /** A worker reported what a task uses. */
  void OnUsage(const base::WorkerId& worker, const base::TaskId& task,
               const platform::Resources& used);

  /** Says why a task was placed, waits or was refused; nothing if it is not
   * known, or no longer. */
  std::optional<Explanation> Explain(const base::TaskId& task,
                                     base::Instant now) const;

  /** As for a task: of a waiting task of the job if there is one, otherwise the
   * latest decision about the job. */
  std::optional<Explanation> Explain(const base::JobId& job,
                                     base::Instant now) const;

  /** Tasks waiting. */
  size_t waiting() const { return this->queue.size(); }
  /** Tasks placed and not ended. */
  size_t placed() const { return this->tasks.size() - this->queue.size(); }

  /** What the team's tasks are granted now. */
  platform::Resources TeamUse(const base::TeamId& team) const;

 private:
  /** A team's use and rules. */
  struct Team {
    base::TeamId id;
    platform::Resources granted;
    double weight = 1.0;
    std::optional<platform::Resources> quota;
  };

  /** A worker chosen for a task. */
  struct Choice {
    WorkerSlot slot = 0;
    std::vector<ScoredWorker> scores;
  };

  /** One member of a gang with its worker. */
  struct GangPlace {
    TaskRecord* task = nullptr;
    Choice choice;
  };

  /** Room set aside for a task that others make way for. */
  struct Awaited {
    TaskRecord* task = nullptr;
    base::WorkerId worker;
    PlacementNeed need;
    base::Instant since;
    std::vector<base::TaskId> victims;
    bool escalated = false;
  };

  /** The gang that workers are held for. */
  struct GangHold {
    base::JobId job;
    Priority priority = Priority::kOrdinary;
    base::Instant expected;
    std::vector<WorkerSlot> slots;
    /** Whether the back-filled tasks have been asked to leave. */
    bool closing = false;
  };

  // planner.cpp
  TaskRecord& AddRecord(const TaskRequest& request, base::Instant now);
  void DropRecord(TaskRecord& task);
  TaskRecord* FindRecord(const base::TaskId& task) const;
  absl::Status Refuse(const TaskRequest& request, base::ResultCode reason,
                      WaitCause cause, base::Instant now);
  absl::Status CheckRunnable(const TaskRequest& request, base::Instant now);
  Team& TeamOf(const base::TeamId& id, uint32_t number);
  void ChargeTeam(uint32_t team, const platform::Resources& granted);
  void ReleaseTeam(uint32_t team, const platform::Resources& granted);
  void UpdateShare(uint32_t team);
  void RecheckQueue(base::Instant now, std::vector<Decision>& decisions);
  void RefuseJob(const base::JobId& job, base::Instant now,
                 std::vector<Decision>& decisions);

  // planner_events.cpp
  void NoteFailure(const base::WorkerId& worker, const base::JobId& job,
                   base::Instant now);
  std::vector<WorkerSlot> EndProbations(base::Instant now);
  void Requeue(TaskRecord& task);
  void TakeOffWorker(TaskRecord& task);

  // planner_decide.cpp
  PlacementNeed NeedOf(const TaskRecord& task, base::Instant now) const;
  std::optional<base::Duration> RunTimeOf(const TaskRecord& task) const;
  WaitCause HeldBack(const TaskRecord& task, const PlacementNeed& need,
                     uint32_t count) const;
  std::optional<Choice> Choose(const TaskRecord& task,
                               const PlacementNeed& need) const;
  void Place(TaskRecord& task, const PlacementNeed& need, Choice choice,
             base::Instant now, std::vector<Decision>& decisions);
  Occupant OccupantOf(const TaskRecord& task, const PlacementNeed& need,
                      base::Instant now) const;
  void TryLine(Line& line, base::Instant now, std::vector<Decision>& decisions);
  void Delay(Line& line, WaitCause cause, const PlacementNeed& need,
             base::Instant now, std::vector<Decision>& decisions);
  void WakeForRoom();
  void RefreshShares();

  // planner_gang.cpp
  void TryGang(Line& line, base::Instant now, std::vector<Decision>& decisions);
  std::optional<std::vector<GangPlace>> FitGang(const Line& line,
                                                const PlacementNeed& need,
                                                base::Instant now);
  void HoldForGang(const Line& line, const PlacementNeed& need,
                   base::Instant now);
  void ReleaseHold();
  bool HoldSuffices(const Line& line, const PlacementNeed& need) const;
  void ClearBackfill(const Line& line, const PlacementNeed& need,
                     base::Instant now, std::vector<Decision>& decisions);

  // planner_preempt.cpp
  bool TryPreempt(TaskRecord& task, const PlacementNeed& need,
                  base::Instant now, std::vector<Decision>& decisions);
  std::vector<base::TaskId> ChooseVictims(WorkerSlot slot,
                                          const TaskRecord& task,
                                          const PlacementNeed& need) const;
  void AskToLeave(WorkerSlot slot, const base::TaskId& victim, bool stop,
                  base::Instant now, std::vector<Decision>& decisions);
  void ServeAwaited(base::Instant now, std::vector<Decision>& decisions);
  void EndAwaited(const Awaited& awaited);
  void DropAwaited(const TaskRecord& task);

  // planner_heat.cpp
  bool IsHot(WorkerSlot slot) const;
  void CoolHotWorkers(base::Instant now, std::vector<Decision>& decisions);
  void CoolWorker(WorkerSlot slot, base::Instant now,
                  std::vector<Decision>& decisions);

  // planner_explain.cpp
  Explanation Describe(const TaskRecord& task, const PlacementNeed& need,
                       base::Instant now) const;
  Explanation ExplainWaiting(const TaskRecord& task, base::Instant now) const;
  void DescribeObstacles(const PlacementNeed& need,
                         Explanation& explanation) const;

  Policy rules;
  Cell workers;
  TaskQueue queue;
  /** Percentiles are recalculated on demand, by const methods too. */
  mutable UsageHistory history;
  FailureLedger failures;
  ExplanationLog log;
  Interner team_numbers;
  Interner workload_numbers;
  std::vector<Team> teams;
  absl::flat_hash_map<base::TaskId, std::unique_ptr<TaskRecord>> tasks;
  absl::flat_hash_map<base::JobId, std::unique_ptr<JobRecord>> jobs;
  std::vector<Awaited> awaited;
  std::optional<GangHold> hold;
  /** Workers whose reported use is above the limit, with the last measure. */
  std::map<base::WorkerId, base::Instant> hot;
  /** Jobs found to fail everywhere since the last Decide. */
  std::set<base::JobId> blamed;
  platform::Resources share_base;
  bool recheck = false;
  /** Time of the latest Decide. */
  base::Instant decided_at;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_PLANNER_H_
