/** \file
 * The planner of a pool of workers: the leader of the pool, which alone accepts
 * jobs and orders runs. It is deterministic and does no input or output: time
 * comes in as a parameter, and what has to be done is returned as effects.
 */
#ifndef AGATEPASS_POOL_POOL_PLANNER_H_
#define AGATEPASS_POOL_POOL_PLANNER_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/pool/advice_choice.h"
#include "agatepass/pool/crash_evidence.h"
#include "agatepass/pool/crash_watch.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/memory_budget.h"
#include "agatepass/pool/messages.h"
#include "agatepass/pool/occurrence_schedule.h"
#include "agatepass/pool/planner_counts.h"
#include "agatepass/pool/planner_inputs.h"
#include "agatepass/pool/planner_options.h"
#include "agatepass/pool/planner_places.h"
#include "agatepass/pool/pool_state.h"
#include "agatepass/pool/queue_index.h"
#include "agatepass/pool/record_codec.h"
#include "agatepass/pool/start_capacity.h"
#include "agatepass/pool/store_health.h"
#include "agatepass/pool/team_shares.h"
#include "agatepass/pool/team_usage.h"
#include "agatepass/pool/waiting_submissions.h"
#include "agatepass/pool/worker_roster.h"
#include "agatepass/pool/worker_state.h"
#include "agatepass/pool/write_backlog.h"
#include "agatepass/timeline/decision_log.h"

namespace agatepass::pool {

/** Plans one pool of workers for one leadership term.
 *
 * Inputs change its state; Advance returns the effects to carry out. The
 * resources of a run count as used on its worker until the run has provably
 * ended, and a task never gets a second run before that.
 *
 * \code
 * PoolPlanner planner({.fence = 412}, log, time);
 * planner.SetQueues(queues, time);
 * planner.Load(jobs, roster, time);
 * planner.OnWorker(record, time);
 * planner.Submit(call, job, time);
 * for (Effect& effect : planner.Advance(time)) PerformEffect(effect);
 * \endcode
 */
class PoolPlanner {
 public:
  /** Begins a leadership term.
   * \param options settings of the term, with its fence.
   * \param log receives the planner's decisions; must outlive the planner. */
  PoolPlanner(const PlannerOptions& options, timeline::DecisionLog& log,
              const PlannerTime& time);

  /** Applies a configuration. One that is older than the current one is
   * ignored.
   * \param queues all queues of the configuration. */
  void SetQueues(const QueueTable& queues, const PlannerTime& time);

  /** Takes over what the store held at the beginning of the term. A job without
   * a definition is skipped unless it is final.
   * \param stored all jobs in the store.
   * \param roster the workers that may have runs of earlier terms. */
  void Load(std::span<const StoredJob> stored, const WorkerRoster& roster,
            const PlannerTime& time);

  /** Handles a worker that the store lists for the first time or with changes.
   */
  void OnWorker(const WorkerRecord& record, const PlannerTime& time);

  /** Handles a worker that the store no longer lists. Its runs count as present
   * until its lease has expired or it is known to be gone. */
  void OnWorkerUnlisted(const base::WorkerId& worker, const PlannerTime& time);

  // Calls of callers. Each call is answered once, by a CallerAnswer with its
  // id.

  /** Accepts a job or rejects it. A job whose id is known is not added
   * again: the call gets the answer of the first. The caller is told of the
   * acceptance once the job is in the store. While the store does not answer,
   * the job waits if its caller leaves enough time.
   * \param patience time for which the call's host waits for the answer; with
   *     zero the job does not wait for the store. */
  void Submit(CallId call, Job job, const PlannerTime& time,
              base::Duration patience = base::Duration(0));

  /** Cancels a job unless it is final already. The answer follows when the
   * store holds the job's final phase. */
  void Cancel(CallId call, const base::JobId& job, const PlannerTime& time);

  /** Answers with a job's phase. A final phase is answered only once it is
   * stored. */
  void Describe(CallId call, const base::JobId& job, const PlannerTime& time);

  /** Answers with the number of a queue's jobs of which no task has started. */
  void CountPending(CallId call, const std::string& queue,
                    const PlannerTime& time);

  // Replies to effects.

  /** Handles the answer to a StoreCommit: records what is stored now, or queues
   * its writes again. A new job that provably is not in the store is rejected.
   * \param commit the commit's id. */
  void OnCommit(uint64_t commit, const CommitReply& reply,
                const PlannerTime& time);
  /** Handles the answer to a StartRequest for a run of a task. */
  void OnStart(const TaskName& task, RunNumber run, const StartStopReply& reply,
               const PlannerTime& time);
  /** Handles the answer to a StopRequest.
   * \param request the request that is answered. */
  void OnStop(const StopRequest& request, const StartStopReply& reply,
              const PlannerTime& time);
  /** Handles the answer to a SyncRequest: the worker's lists of runs and ends.
   * \param request the request that is answered. */
  void OnSync(const SyncRequest& request, const SyncReply& reply,
              const PlannerTime& time);
  /** Handles the answer to an AdviceQuery about a step of an occurrence. */
  void OnAdvice(const base::JobId& job, uint32_t occurrence, uint32_t step,
                const AdviceReply& reply, const PlannerTime& time);
  /** Handles the answer to a StoreCheck.
   * \param exists whether the store has the job; nothing if it did not answer.
   */
  void OnStoreCheck(CallId call, std::optional<bool> exists);

  /** Does the work that is due.
   * \return the effects to carry out, in this order. */
  std::vector<Effect> Advance(const PlannerTime& time);

  /** Records that no other planner had begun its term by then. While the latest
   * such time is too old, no leases are renewed and no tasks are started, as
   * another planner may take runs that it cannot see for ended. Until the first
   * call nothing is held back.
   * \param confirmed_at that time; an earlier one than before is ignored. */
  void SetLeadershipConfirmedAt(base::Instant confirmed_at) {
    this->leadership_confirmed_at =
        std::max(this->leadership_confirmed_at, std::optional(confirmed_at));
  }

  /** Records that all changes of the workers' entries up to then are known.
   * Until the first call capacities count as known. */
  void SetWorkersConfirmedAt(base::Instant confirmed_at) {
    this->workers_confirmed_at =
        std::max(this->workers_confirmed_at, std::optional(confirmed_at));
  }

  /** Records how long inputs wait at present before they are passed in. */
  void SetInputLag(base::Duration lag) { this->input_lag = lag; }

  /** Records how much of a period this process was not waiting, by which jobs
   * are admitted that it can carry. */
  void RecordWork(base::Duration busy, base::Duration period) {
    this->capacity.OnPeriod(this->totals.starts - this->starts_recorded, busy,
                            period);
    this->starts_recorded = this->totals.starts;
  }

  /** Whether all jobs are in the store and no cancellation waits for it, so
   * that the term may end. */
  bool IsReadyForHandover() const;

  /** Stops accepting jobs and starting tasks, before a handover to another
   * planner. */
  void BeginHandover();

  /** Ends the wait of all submissions that wait for the store.
   * \return their answers, by which their hosts send them to the next planner.
   */
  std::vector<CallerAnswer> EndWaitingSubmissions();

  /** The submissions that wait for the store. */
  const WaitingSubmissions& waiting_submissions() const {
    return this->waiting;
  }

  /** Whether this planner's commits to the store have been failing for a while.
   */
  bool IsStoreFailing(base::Instant now) const {
    return this->store_health.IsFailing(now);
  }

  /** Returns how much work waits, and for what. */
  PlannerBacklog MeasureBacklog(base::Instant now) const;

  /** Returns the millicores in use and the total millicores of all listed
   * workers. */
  std::pair<int64_t, int64_t> GetProcessorUsage() const;

  const PlannerCounts& counts() const { return this->totals; }

  /** What teams have running, and the counts of their jobs. */
  const TeamUsage& usage_of_teams() const { return this->team_usage; }
  const std::map<base::TeamId, TeamCounts>& counts_of_teams() const {
    return this->counts_by_team;
  }

  /** Returns the number of jobs that are accepted and not final. */
  size_t open_jobs() const { return this->open.size(); }

  /** Returns the number of jobs with an occurrence that is not due yet. */
  size_t awaited_jobs() const { return this->schedule.size(); }

  /** Returns the bytes that jobs take in memory, estimated. */
  size_t held_memory() const { return this->memory.held(); }

 private:
  using RunKey = std::pair<TaskName, RunNumber>;

  /** A worker considered for a step, with the number of tasks that fit on it.
   */
  struct Candidate {
    WorkerState* worker = nullptr;
    uint32_t fits = 0;
    bool ticket_valid = true;
  };

  // pool_planner.cpp
  /** Marks tasks as succeeded that the store has recorded so. */
  void LoadSucceeded(JobState& job, const SucceededRange& range,
                     const PlannerTime& time);
  void LoadProgress(JobState& job, const JobProgress& progress,
                    const PlannerTime& time);

  // planner_callers.cpp
  void Answer(CallId call, base::ResultCode code, std::string detail = "");
  void Reject(CallId call, const Job& job, base::ResultCode code,
              base::Duration retry_after, std::string reason,
              const PlannerTime& time);
  void Reject(std::span<const SubmitCall> calls, const Job& job,
              base::ResultCode code, base::Duration retry_after,
              const std::string& reason, const PlannerTime& time);
  /** Accepts or rejects a job that is not known and whose queue exists. */
  void Admit(std::span<const SubmitCall> calls, Job job, const Queue& queue,
             const PlannerTime& time);
  /** Rejects a job that would end too late, under its team's cap or behind
   * other work, or that is beyond its team's share while all is in use.
   * \return whether it was rejected. */
  bool RejectOverloaded(std::span<const SubmitCall> calls, const Job& job,
                        const Queue& queue, bool within_share,
                        const PlannerTime& time);
  /** Whether each step fits on some worker of the service, if nothing runs
   * there; true while there are no workers. */
  bool FitsAnyWorker(const Job& job, const base::ServiceId& service);
  /** Returns the distinct sizes of the service's listed workers. */
  const std::vector<platform::Resources>& FindWorkerSizes(
      const base::ServiceId& service);
  /** Sets the job's policy from the configuration, and its objective. */
  void ApplyQueuePolicy(JobState& job);
  /** Adds a job; its occurrences are opened once they are due. */
  JobState& AddJob(Job job, const PlannerTime& time);
  /** Forgets a job that provably is not in the store and will not be. */
  void RemoveUnstored(JobState& job, const PlannerTime& time);

  // planner_outage.cpp
  /** Returns the answer by which a call's host sends it to the next planner. */
  static CallerAnswer MakeNextPlannerAnswer(CallId call);
  /** Lets a job wait for the store as far as its callers leave time, and
   * rejects it otherwise.
   * \param reason why it cannot be stored now. */
  void WaitForStore(std::span<const SubmitCall> calls, const Job& job,
                    uint32_t priority, std::string_view reason,
                    const PlannerTime& time);
  /** Adds a call to the job that waits under the same id. */
  void JoinWaiting(const SubmitCall& call, const base::JobId& id,
                   const PlannerTime& time);
  /** Takes back an accepted job that provably is not in the store: it waits, or
   * is rejected. */
  void WithdrawUnstored(JobState& job, std::string_view reason,
                        const PlannerTime& time);
  /** Takes back the jobs that no commit has carried yet. */
  void WithdrawUnsent(const PlannerTime& time);
  /** Rejects what cannot wait longer, and admits as many of the others as can
   * be written soon once the store answers. */
  void AdvanceWaiting(const PlannerTime& time);
  /** Whether commits only probe whether the store is back. */
  bool IsProbing() const {
    return this->store_health.IsDown() ||
           (!this->waiting.empty() && !this->store_health.IsAnswering());
  }
  /** Sends a commit that probes whether the store is back, when it is due. */
  void SendProbe(const PlannerTime& time);
  /** Records that the store answered a commit that was sent then. */
  void OnStoreAnswer(base::Instant sent_at, base::Instant now);

  // planner_occurrences.cpp
  /** Brings the steps of an occurrence into memory. */
  void OpenOccurrence(JobState& job, uint32_t occurrence,
                      const PlannerTime& time);
  /** Opens the occurrences that are due, as far as there is room. */
  void OpenDueOccurrences(const PlannerTime& time);
  bool MayOpenOccurrence(const JobState& job, const PlannerTime& time) const;
  /** Notes when the job's next occurrence is due, if there is one. */
  void AwaitOccurrences(JobState& job);
  /** Forgets when the next occurrence of a job that has ended is due. */
  void ForgetAwaitedOccurrence(const JobState& job);
  void AddHeld(JobState& job, size_t bytes);
  void ReleaseHeld(JobState& job, size_t bytes);

  // planner_retention.cpp
  /** Notes that a part of the job may not be needed in memory any more. */
  void MarkForTrim(const JobState& job);
  /** Frees the steps of occurrences and jobs that have ended. */
  void TrimJobs();
  void TrimJob(JobState& job);
  /** Ends an occurrence in memory if nothing of it is needed any more.
   * \param first its first step; the caller removes all of them.
   * \return whether it was ended. */
  bool CloseOccurrence(JobState& job, std::unique_ptr<StepState>& first);
  /** Frees the definition of a final job whose steps are freed. */
  void DropDefinition(JobState& job);
  /** Replaces the definitions of final jobs in the store. */
  void CompactFinalJobs(const PlannerTime& time);
  /** Removes jobs that callers do not ask for any more. */
  void RemoveExpiredJobs(const PlannerTime& time);

  // planner_load.cpp
  /** Returns whether a new job would end too late: the time after which a retry
   * may succeed, or nothing if the job is admitted.
   * \param within_share whether it is within the share of its team; otherwise
   * it is only admitted while nothing else needs the capacity. */
  std::optional<base::Duration> CheckOverload(const Job& job,
                                              const Queue& queue,
                                              bool within_share,
                                              const PlannerTime& time);
  /** Returns the same for a job behind the waiting work of its team, under the
   * team's cap. */
  std::optional<base::Duration> CheckTeamCap(const Job& job, const Queue& queue,
                                             const PlannerTime& time);
  /** Returns the service's load, summed up again if the last sum is too old. */
  const ServiceLoad& FindLoad(const base::ServiceId& service,
                              const PlannerTime& time);
  /** Adds a job's waiting work to a load. */
  void AddWaiting(ServiceLoad& load, const JobState& job,
                  const PlannerTime& time) const;
  /** Returns how many of the step's tasks are work ahead of other teams' jobs:
   * those that the cap of its team leaves room for beside the work counted. */
  uint32_t CountAhead(ServiceLoad& load, const StepState& step) const;
  /** Adds a job that was just accepted to the load of its service. */
  void AddToLoad(const JobState& job, const PlannerTime& time);

  // planner_commits.cpp
  /** Whether more writes wait than one commit can hold. */
  bool HasWriteBacklog() const;
  /** Whether the time for the next commit has come. */
  bool IsCommitDue(base::Instant now);
  void SendCommits(const PlannerTime& time);
  /** Adds pending writes to a commit. \return whether it has any. */
  bool FillCommit(StoreCommit& commit, SentCommit& sent,
                  const PlannerTime& time);
  void AddWorkerRoster(StoreCommit& commit, SentCommit& sent);
  void AddJobWrites(JobState& job, StoreCommit& commit, SentCommit& sent,
                    const PlannerTime& time);
  void FinishCommit(const SentCommit& sent, platform::Revision revision,
                    const PlannerTime& time);
  /** Records a key's current revision after a refused commit; a job whose
   * definition exists counts as stored. */
  void UpdateRevision(const KeyRevision& current, const PlannerTime& time);
  void RetryCommit(const SentCommit& sent, platform::Outcome outcome,
                   const PlannerTime& time);
  /** Whether the roster names an incarnation of the worker as settled which is
   * over. */
  bool VouchesForFormer(const WorkerRoster& roster,
                        const base::WorkerId& id) const;
  /** Notes which workers the stored roster contains. */
  void FinishRoster(const WorkerRoster& roster, platform::Revision revision);
  void MarkStored(JobState& job, const PlannerTime& time);
  void QueueWrite(const JobState& job);
  void MarkChanged(JobState& job);
  /** Encodes the job's progress, without checkpoints if it would be too large
   * for the store. */
  std::string EncodeProgressOf(const JobState& job,
                               const PlannerTime& time) const;
  /** Lets the worker discard the ends whose effect is stored. */
  void AcknowledgeStoredEnds(WorkerState& worker, const PlannerTime& time);
  void AnswerSubmitsOfUnknownOutcome(const PlannerTime& time);

  // planner_syncs.cpp
  void SendSyncs(const PlannerTime& time);
  /** How long the worker may hold a sync open. */
  base::Duration SyncWait(const WorkerState& worker) const;
  void QueueSync(WorkerState& worker);
  void SendSync(WorkerState& worker, bool long_poll, const PlannerTime& time);
  /** Handles a sync that failed or was not answered, and schedules the next
   * one. */
  void HandleFailedSync(WorkerState& worker, const SyncRequest& request,
                        WorkerCallResult result, const PlannerTime& time);
  /** Bounds the lease that a worker's incarnation, which answers for the first
   * time under its own fence, may have from calls that this planner did not
   * send to it. */
  void BoundInheritedLease(WorkerState& worker, base::Instant now);
  /** Handles the answer to a sync that was sent to a former incarnation of the
   * worker, whichever answers: the ends in it count, its numbers and its clock
   * do not. */
  void HandleFormerIncarnation(WorkerState& worker, const SyncReply& reply,
                               const PlannerTime& time);
  void HandleReportedRuns(WorkerState& worker, const SyncReply& reply,
                          const PlannerTime& time);
  void HandleMissingRuns(WorkerState& worker, base::Instant sent_at,
                         const SyncReply& reply, const PlannerTime& time);
  /** Stops a run that another worker has too. The run is not tracked on this
   * worker. */
  void StopDuplicateRun(WorkerState& worker, const ReportedRun& report,
                        const PlannerTime& time);
  /** Tracks a reported run that this planner did not order, and stops it if no
   * job needs it. */
  void HandleUntrackedRun(WorkerState& worker, const ReportedRun& report,
                          const PlannerTime& time);

  // planner_workers.cpp
  void SendStops(const PlannerTime& time);
  /** Returns the end of a lease that is granted now, in milliseconds on the
   * worker's clock; nothing while that clock is unknown. */
  std::optional<int64_t> LeaseOnWorkerClock(const WorkerState& worker,
                                            base::Instant now) const;
  void RecordLease(WorkerState& worker, base::Instant now);
  /** Records an answer of the worker and the clock reading in it. */
  void RecordAnswer(WorkerState& worker, int64_t clock_ms, base::Instant now);
  void RecordUnansweredCall(WorkerState& worker, const PlannerTime& time);
  /** Handles a call that a worker refused for its fence: another planner has
   * superseded this one, unless the call was meant for a former incarnation. */
  void HandleFenced(const base::WorkerId& worker, Fence fence,
                    const PlannerTime& time);
  /** Resets what is known of the worker's incarnation, as it restarted. The
   * next sync shows which of its runs are left. */
  void ForgetIncarnation(WorkerState& worker, const PlannerTime& time);
  /** Handles the proven end of the worker's incarnation: all its runs have
   * ended. */
  void EndIncarnation(WorkerState& worker, const PlannerTime& time);
  /** Whether a run that no list of its worker has shown may go on beyond the
   * lease that is believed in. Another incarnation than the one its start was
   * sent to may have answered that, or may carry it out yet; the deadline that
   * the start names can bring it the longest lease. */
  bool MayOutlastLease(const RunState& run, base::Instant now) const;
  /** Removes the runs of the worker that have provably ended; their tasks may
   * start again. */
  void DropLostRuns(WorkerState& worker, bool restarted,
                    const PlannerTime& time);
  /** Looks for workers that are about to shut down or whose leases have
   * expired; does nothing if it did so a moment ago. */
  void CheckWorkers(const PlannerTime& time);
  /** Whether leases that end by `lease_end` at the latest have expired: it is
   * past, and no later planner can have renewed them before, or learned of ends
   * that this planner does not know. */
  bool HasExpired(base::Instant lease_end, base::Instant now) const;
  void DropExpiredWorkers(const PlannerTime& time);
  /** Removes a worker without runs from the planner's state. */
  void RemoveWorker(WorkerState& worker);
  /** Notes the incarnations that have settled, and has the roster written some
   * time later, for many at once. */
  void NoteSettledIncarnations(base::Instant now);
  /** Drops unsynced workers that are not listed, once the leases of earlier
   * terms have expired. */
  void DropUnlistedUnsyncedWorkers(base::Instant now);
  /** Whether no run of an earlier term can be left on a worker that was not
   * synced in this term. */
  bool CanStartInheritedJobs(base::Instant now) const;
  /** Returns when leases of this length have ended that earlier planners may
   * have renewed until they knew that they may be superseded. */
  base::Instant EndOfInheritedLease(base::Duration lease) const;
  /** Returns when all runs of earlier terms have ended on a worker that was not
   * synced in this term. */
  base::Instant InheritedRunsExpireAt(const base::WorkerId& id) const;
  /** Logs, once in the term, that jobs of earlier terms may start, and which
   * workers were not synced by then. */
  void LogEndOfEarlierTerms(base::Instant now);
  /** Whether the store lists the worker, which reports there all the time: if
   * it does not answer, only the way to it is cut. */
  bool IsKnownToLive(const WorkerState& worker, base::Instant now) const;
  /** Decides whether leases may be renewed and tasks be started
   * (pool_planner.cpp). */
  void CheckLeadership(base::Instant now);
  /** Decides whether tasks may be started by the known capacities: not while
   * one may have shrunk for too long without a report (pool_planner.cpp). */
  void CheckCapacityReports(base::Instant now);
  /** Stops planning, as another planner has superseded this one
   * (pool_planner.cpp). */
  void EndLeadership(std::string reason);

  // planner_crashes.cpp
  /** Notes that the worker does not answer, or not any more as the same
   * incarnation, unless that is known already. Its unproven runs are marked as
   * at risk in the store. */
  void RecordSilence(WorkerState& worker, base::Instant now);
  /** Returns the workers that fell silent at this time without a run that could
   * be the cause.
   * \param worker the one that is judged; it counts itself if no run there
   * could be the cause. */
  SilencesAtOnce FindUnexplainedSilences(const WorkerState& worker,
                                         base::Instant at) const;
  /** Blames the queues of the jobs with unproven runs on workers that fell
   * silent a moment ago, unless a rack or a network explains the silence. */
  void BlameQueues(base::Instant now);
  /** Records that a run is lost with its worker, and gives the task up if it
   * has crashed too many.
   * \param restarted whether the worker is known to have restarted; otherwise
   * its lease has expired, and it may only be cut off. */
  void RecordCrash(const RunState& run, bool restarted,
                   const PlannerTime& time);
  /** Adds a crash to the task's history and judges the task. */
  void AddCrash(StepState& step, uint32_t index, const CrashedRun& crash,
                const CrashEvidence& evidence, const PlannerTime& time);
  /** Forgets the crashes under a task up to a run that proves it harmless.
   * \param run the run that proves it. */
  void ClearSuspicion(StepState& step, uint32_t index, RunNumber run,
                      std::string_view reason, const PlannerTime& time);
  /** Forgets that a run was lost in a crash, as its worker lists its end. */
  void WithdrawCrash(TaskState& task, RunNumber run);
  /** Has it stored that a run at risk has begun, as its worker confirmed it, so
   * that a successor that finds it nowhere counts a crash; or that its worker
   * has outlived it. */
  void RecordBegun(const RunState& run);
  /** Counts the runs at risk of earlier terms that had begun and that no worker
   * has, once all workers are synced or their leases have expired. */
  void CountInheritedRisks(const PlannerTime& time);

  // planner_trials.cpp
  bool IsSuspect(const TaskState& task) const;
  /** Whether the task's next run is a trial: it is a suspect, or nothing is
   * known of it and its queue is contained. */
  bool NeedsTrial(const StepState& step, const TaskState& task,
                  base::Instant now) const;
  /** Whether a task of the step needs a trial. */
  bool HasTrials(const StepState& step, base::Instant now) const;
  /** Whether a further worker may be put at risk for a task: not while too many
   * are lost already. */
  bool MayPutWorkerAtRisk(const TaskState& task, base::Instant now) const;
  /** Whether a trial began on the worker a short while ago, so that others
   * should keep away. */
  bool WasOnTrialLately(const WorkerState& worker, base::Instant now) const;
  /** Whether the crashes before the task's next trial, and that trial's number,
   * are known to the next planner; otherwise their record is about to be
   * written. The next planner counts the trial only once its beginning is
   * recorded too (`RecordBegun`). */
  bool IsTrialRecorded(StepState& step, uint32_t index, RunNumber run);
  /** Same, for all suspected members of a gang. */
  bool IsGangTrialRecorded(StepState& step, RunNumber run);
  void MarkOnTrial(RunState& run);
  /** Lets other work start on the worker of a trial. */
  void EndTrial(RunState& run);
  /** Same, and stops watching whether the run's worker outlives its start. */
  void EndProbation(RunState& run);
  /** Ends the trials and probations whose time is over, and asks the workers of
   * the others. */
  void CheckTrials(const PlannerTime& time);
  /** Starts tasks of a step that need a trial, all on one worker, where they do
   * the least harm. */
  void PlaceTrials(StepState& step, std::span<Candidate> candidates,
                   const PlannerTime& time);
  /** Returns the candidate for a trial: one without other unproven runs and
   * with little work at risk; null if waiting for a better one is worthwhile.
   * \param waiting_since when the trial of a suspect could first have started;
   * nothing if no task is a suspect. */
  Candidate* ChooseForTrial(std::span<Candidate> candidates,
                            std::optional<base::Instant> waiting_since,
                            base::Instant now) const;
  /** Keeps and sorts the candidates for a gang with suspects. */
  void ChooseForGangTrial(const StepState& step,
                          std::vector<Candidate>& candidates,
                          base::Instant now) const;

  // planner_draining.cpp
  /** Records when the worker may shut down, from its latest report.
   * \param report_age greatest age of that report. */
  void RecordDraining(WorkerState& worker, base::Duration report_age,
                      base::Instant now);
  /** Whether the runs of a draining worker that cannot end before it shuts down
   * must be stopped by now, so that their ends can still be read. */
  bool IsAboutToShutDown(const WorkerState& worker, base::Instant now) const;
  /** Whether a run on a worker that is about to shut down may go on, as it is
   * expected to end early enough that its end can be read. A run that is
   * stopped too late to end in time is known not to have succeeded: no run
   * succeeds after its worker has got the stop. */
  bool MayEndBeforeShutdown(const RunState& run, base::Instant now) const;
  /** Stops the runs of workers that are about to shut down. */
  void StopRunsBeforeShutdown(const PlannerTime& time);
  /** Returns the duration of a lease that is granted now: not beyond the time
   * at which a draining worker may shut down. */
  base::Duration GetLeaseTime(const WorkerState& worker,
                              base::Instant now) const;
  /** Returns the longest time that a worker's clock may take to advance by
   * `duration`. */
  base::Duration OnSlowestClock(base::Duration duration) const;

  // planner_progress.cpp
  void CheckProgress(RunState& run, int percent, const PlannerTime& time);

  // planner_runs.cpp
  RunState& AddRun(const TaskName& task, RunNumber run, WorkerState& worker,
                   StepState* step, const platform::Resources& taken);
  RunState* FindRun(const TaskName& task, RunNumber run);
  /** Returns how long the answer to a run's start took on the way and at the
   * worker, without the lag of this process. */
  base::Duration DelayBeyondLag(const RunState& run, base::Instant now) const;
  void ReleaseRun(RunState& run);
  void RequestStop(RunState& run, base::Instant at);
  void StopGangMembers(StepState& step, RunNumber run, base::Instant now);
  /** Handles an end of the worker's current incarnation, which is acknowledged
   * once its effect is stored. */
  void HandleEnd(WorkerState& worker, const ReportedEnd& report,
                 const PlannerTime& time);
  /** Applies an end to its run and its job.
   * \return the number of the job's changes that must be stored before the
   * worker may forget the end; 0 for an unknown job. */
  uint64_t ApplyEnd(WorkerState& worker, const ReportedEnd& report,
                    const PlannerTime& time);
  void HandleSuccess(StepState& step, uint32_t index, const PlannerTime& time);
  void HandleFailure(WorkerState& worker, StepState& step,
                     const ReportedEnd& report, const PlannerTime& time);
  /** Removes a run that is not on its worker; its task may start again
   * kRestartDelay after `earliest_start`. */
  void HandleAbsentRun(RunState& run, base::Instant earliest_start,
                       const PlannerTime& time);
  void FinishJob(JobState& job, JobPhase phase, const PlannerTime& time);
  /** Returns a job that is known; null for any other. */
  JobState* FindJob(const base::JobId& id) const;
  /** Returns a task's step; null if its job is unknown, or its occurrence not
   * open. */
  StepState* FindStep(const TaskName& task) const;
  /** Same, and opens an occurrence of which a worker or the store reports a
   * run: an earlier planner's clock may have been ahead. */
  StepState* FindReportedStep(const TaskName& task, const PlannerTime& time);
  /** Returns the definition of a task's step; null if it is not known. */
  const Step* FindDefinition(const TaskName& task) const;

  // planner_placement.cpp
  void ScheduleReadySteps(const PlannerTime& time);
  /** Returns how long examining this number of workers may take, by the rate
   * that the options allow. */
  base::Duration TimeToExamine(double workers) const;
  bool IsReady(const StepState& step, const PlannerTime& time) const;
  std::vector<StepState*> CollectReadySteps(const PlannerTime& time);
  /** Whether the step has waited for a while although less than half of its
   * service's processors are in use. */
  bool WaitsDespiteCapacity(const StepState& step, const PlannerTime& time);
  void PlaceStep(StepState& step, const PlannerTime& time);
  std::vector<Candidate> FindCandidates(StepState& step,
                                        const PlannerTime& time);
  /** Whether the step may start there now if it fits: the worker is suitable,
   * synced, in the roster, described by an entry of its current incarnation,
   * not in quarantine, and not reserved for a gang that the step could delay.
   */
  bool CanTakeTasksNow(const WorkerState& worker, const StepState& step,
                       const PlannerTime& time) const;
  /** Whether the step could run there once the worker is healthy and has enough
   * free resources. */
  bool IsSuitable(const WorkerState& worker, const StepState& step) const;
  uint32_t CountFitsOn(const WorkerState& worker, const StepState& step) const;
  uint32_t CountFitsOnEmpty(const WorkerState& worker,
                            const StepState& step) const;
  void PlaceTasks(StepState& step, std::vector<Candidate> candidates,
                  const PlannerTime& time);
  void StartTask(StepState& step, uint32_t index, RunNumber run,
                 WorkerState& worker, const PlannerTime& time);
  void ReserveAndRenewTickets(
      StepState& step, std::span<const std::pair<WorkerState*, uint32_t>> plan,
      const PlannerTime& time);
  void ReleaseTicketReservations(StepState& step);

  // planner_teams.cpp
  /** Whether each task and each gang fits into the cap of the job's team. */
  bool FitsTeamCap(const Job& job) const;
  void CountAcceptedOfTeam(const JobState& job, base::Instant now);
  /** Returns what a run counts for: the whole worker, against every team, if
   * its job is not known. */
  TeamCharge MakeCharge(const TaskName& task, const WorkerState& worker) const;
  /** Returns how many of the tasks may start now under the team's cap. */
  uint32_t CountCapRoom(const StepState& step, uint32_t tasks) const;
  /** Whether the cap of its team keeps the step from starting any task, or a
   * gang from starting whole. */
  bool IsHeldByTeamCap(StepState& step, const PlannerTime& time);
  /** Records that the cap of its team keeps the step from starting tasks. */
  void MarkHeldByTeamCap(StepState& step, const PlannerTime& time);
  /** Keeps room under its team's cap from later steps of the team: for a step
   * that awaits advice, and for a gang that the cap holds. */
  void HoldBackUnderCap(const StepState& step, const PlannerTime& time);
  /** Prepares the accounts of the teams for a scheduling pass. */
  void BeginTeamPass(const PlannerTime& time);
  /** Returns what the workers of earlier terms can hold that were not synced
   * and may have runs; nothing if there are none. */
  std::optional<platform::Resources> CapacityOfUnsyncedWorkers(
      base::Instant now) const;
  /** Returns what of a job's tasks may run without being known. */
  platform::Resources BoundUnknownRuns(
      const JobState& job, const platform::Resources& capacity) const;
  /** Bounds the runs of earlier terms on workers that were not synced. */
  void UpdateUnknownRuns(base::Instant now);
  /** Logs which teams their caps have not held for a while. */
  void LogHeldTeams(base::Instant now);

  // planner_gangs.cpp
  void PlaceGang(StepState& step, std::vector<Candidate> candidates,
                 const PlannerTime& time);
  void AddGangReservation(GangReservation reservation);
  void DropGangReservation(const StepState& step);
  /** Drops the reservations that ended some time ago without a renewal. */
  void DropExpiredGangReservations(base::Instant now);
  /** Returns the workers that can take the gang's members now, whether their
   * resources are free or in use. */
  std::vector<WorkerState*> FindGangWorkers(const StepState& step,
                                            const PlannerTime& time);
  /** Reserves resources that become free soon, or preempts runs of queues with
   * a lower priority. */
  void FreeCapacityForGang(StepState& step, const PlannerTime& time);
  std::optional<GangReservation> PlanGangReservation(
      StepState& step, const std::vector<WorkerState*>& workers,
      const PlannerTime& time);
  std::optional<GangReservation> PreemptForGang(
      StepState& step, const std::vector<WorkerState*>& workers,
      const PlannerTime& time);
  bool IsPreemptible(const RunState& run, const StepState& gang,
                     const PlannerTime& time) const;

  // planner_advice.cpp
  bool NeedsAdvice(const StepState& step) const;
  void RequestAdvice(StepState& step, std::vector<base::WorkerId> workers,
                     const PlannerTime& time);
  /** Returns the workers that a query about the step could name: suitable
   * ones that no answer covers, after the first answer only with capacity. */
  std::vector<AdviceCandidate> FindAdviceCandidates(const StepState& step,
                                                    const PlannerTime& time);
  /** Defers the next look for workers to ask about. */
  void PostponeAdviceLook(StepState& step, base::Instant now);
  /** Requests advice about workers that no answer about this step covers yet.
   */
  void RequestMoreAdvice(StepState& step, const PlannerTime& time);
  /** Renews the tickets of the workers reserved for a gang if they will have
   * expired once the resources are free, so that the gang can start then. */
  void RenewReservedTickets(const GangReservation& reservation,
                            const PlannerTime& time);
  /** Whether further workers can be asked about before the tickets of the
   * reserved ones have to be renewed: others may have room at once. */
  bool HasTimeForQuery(const GangReservation& reservation,
                       base::Instant now) const;
  /** Returns the number of waiting tasks that do not fit on the workers that
   * may run them. */
  uint32_t CountUnplacedTasks(StepState& step, const PlannerTime& time);
  const std::string& FindTicket(const StepState& step,
                                const WorkerState& worker) const;

  PlannerOptions options;
  timeline::DecisionLog& log;
  QueueIndex queues;
  AllowedShareEstimator allowed_shares;
  PlannerPlaces places;
  base::Duration input_lag{0};
  StartCapacity capacity;
  /** Starts until the latest period of work was recorded. */
  uint64_t starts_recorded = 0;
  PlannerCounts totals;
  TeamUsage team_usage;
  TeamShares team_shares;
  std::map<base::TeamId, TeamCounts> counts_by_team;
  /** Whether workers may have runs of earlier terms that are not known. */
  bool has_unknown_runs = true;
  base::Instant next_unknown_runs_at;
  /** Teams that their caps held lately. */
  std::map<base::TeamId, HeldTeam> held_teams;
  bool handing_over = false;
  bool superseded = false;
  /** Whether a change since the last scheduling pass may let work start. */
  bool scheduling_needed = true;
  base::Instant next_scheduling_at;
  OccurrenceSchedule schedule;
  /** Jobs of which an occurrence, or all, may have ended. */
  std::set<base::JobId> jobs_to_trim;
  MemoryBudget memory;
  /** Time before which no scheduling pass begins, so that passes over much
   * waiting work leave time for the other work. */
  base::Instant earliest_scheduling_at;
  /** Number of ready steps in the last scheduling pass. */
  size_t ready_steps = 0;
  /** Passes that used up the limit of starts since the last one by age. */
  uint32_t passes_without_room = 0;
  base::Instant term_started_at;
  /** Latest time by which no other planner had begun its term. */
  std::optional<base::Instant> leadership_confirmed_at;
  /** Latest time up to which all changes of the workers' entries are known, and
   * since when that is too old to count on their capacities. */
  std::optional<base::Instant> workers_confirmed_at;
  std::optional<base::Instant> capacities_outdated_since;
  /** Since when that is too old to renew leases and to start tasks. */
  std::optional<base::Instant> unconfirmed_since;
  /** Whether it is logged that jobs of earlier terms may start. */
  bool end_of_earlier_terms_logged = false;
  /** Workers of earlier terms that have not been synced in this term. */
  std::set<base::WorkerId> unsynced_workers;
  std::map<base::JobId, std::unique_ptr<JobState>> jobs;
  /** The same jobs, to find one by its id. */
  absl::flat_hash_map<base::JobId, JobState*> jobs_by_id;
  /** Jobs that are not final, ordered by id. */
  std::map<base::JobId, JobState*> open;
  /** Jobs with a write of their definition that has an unknown outcome; some
   * may have been stored or rejected since. */
  std::set<base::JobId> possibly_stored_jobs;
  std::map<base::WorkerId, std::unique_ptr<WorkerState>> workers;
  /** The workers by their index; null for a worker that was removed. */
  std::vector<WorkerState*> workers_by_index;
  /** Workers that may need a sync: all without one in flight, and those that
   * want a quick one. */
  std::vector<WorkerState*> sync_queue;
  /** Workers with ends whose effect is not stored; some may have none left. */
  std::vector<WorkerState*> workers_with_unstored_ends;
  base::Instant next_worker_check;
  /** Numbers of pending jobs, by queue, and until when they may be told. */
  std::map<std::string, uint64_t> pending_by_queue;
  base::Instant pending_valid_until;
  /** Distinct sizes of the listed workers, by service; found again once one has
   * changed. */
  std::map<base::ServiceId, std::vector<platform::Resources>> worker_sizes;
  /** Loads summed up lately, by service. */
  std::map<base::ServiceId, ServiceLoad> loads;
  absl::flat_hash_map<RunKey, std::unique_ptr<RunState>> runs;
  std::set<RunKey> stopping_runs;
  /** Runs that began as a trial and whose workers have not outlived their
   * probation. */
  std::set<RunKey> runs_on_probation;
  /** Tasks whose run at risk of an earlier term had begun and is not accounted
   * for. */
  std::vector<TaskName> inherited_risks;
  CrashWatch crash_watch;
  /** Silences of workers with unproven runs that no queue is blamed for yet. */
  std::deque<UnblamedSilence> unblamed_silences;
  /** Jobs with changes that are not written yet. */
  WriteBacklog unwritten_jobs;
  std::map<uint64_t, SentCommit> commits;
  std::set<base::JobId> being_written;
  bool roster_in_flight = false;
  /** Whether a listed worker may be missing from the stored roster. */
  bool roster_may_be_incomplete = true;
  /** Whether the stored roster may name workers that are gone. */
  bool roster_is_stale = false;
  platform::Revision roster_revision = 0;
  /** Most incarnations that a worker had which was removed. A worker that is
   * listed anew counts as having had as many, so that one which was removed is
   * called under a higher fence than before. */
  uint64_t incarnations_of_removed = 0;
  /** Start times of the settled incarnations of workers (`worker_roster.h`), of
   * this term and the earlier ones. */
  std::map<base::WorkerId, int64_t> settled_incarnations;
  /** When the roster is to be written, as incarnations have settled. */
  std::optional<base::Instant> settled_write_at;
  uint64_t next_commit_id = 1;
  base::Instant last_commit;
  /** After any commit that was not sent or not answered: no commit of jobs or
   * of the worker roster is sent before this time. */
  base::Instant next_commit;
  /** Whether more writes were left than one commit can hold when commits were
   * last sent. */
  bool backlog_left = false;
  StoreHealth store_health;
  WaitingSubmissions waiting;
  base::Instant next_removal;
  /** Final jobs whose complete definition is still in the store. */
  std::deque<base::JobId> uncompacted_jobs;
  base::Instant next_compaction;
  /** Reservations by their gang. Each worker in one points to it. */
  std::unordered_map<const StepState*, GangReservation> gang_reservations;
  std::vector<Effect> effects;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_POOL_PLANNER_H_
