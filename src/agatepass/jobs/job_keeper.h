/** \file
 * The jobs of one entry host: accepted when journalled, cancelled when
 * certain, adopted by another host after a death.
 */
#ifndef AGATEPASS_JOBS_JOB_KEEPER_H_
#define AGATEPASS_JOBS_JOB_KEEPER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/jobs/adoption.h"
#include "agatepass/jobs/effects.h"
#include "agatepass/jobs/job.h"
#include "agatepass/jobs/job_state.h"
#include "agatepass/jobs/journal.h"
#include "agatepass/jobs/key_claims.h"
#include "agatepass/platform/store.h"
#include "agatepass/platform/worker.h"

namespace agatepass::jobs {

/** Settings of a JobKeeper. */
struct JobKeeperOptions {
  JournalOptions journal;
  /** Data centre where this host's jobs start. */
  base::DataCentreId data_centre;
  /** Longest wait of a submission or cancel for the store. */
  base::Duration submit_wait = std::chrono::seconds(3);
  /** How long an ended job, its results and its key are kept. */
  base::Duration ended_life = std::chrono::hours(24);
  /** Life of a task lease, with the margin for clocks that drift: after it a
   * task that stops on lapse no longer runs. */
  base::Duration task_lease = std::chrono::seconds(15);
  size_t max_command_bytes = 16 * 1024;
  size_t max_result_bytes = 64 * 1024;
  uint32_t max_tasks = 20'000;
};

/** What is known of the result of a start that was sent. */
enum class StartOutcome : uint8_t { kStarted, kNotStarted, kUnknown };

/** Whether a start may be sent. */
enum class StartPermission : uint8_t {
  /** Send it; it counts as sent. */
  kGranted,
  /** Keep the task queued and ask again. Either this host has not yet made
   * sure, since the worker was claimed, that no other one has adopted its jobs;
   * or the worker's data centre is being added to the job's scope. */
  kNotYet,
  /** Drop the task from the queue: it is cancelled, adopted or running. */
  kDenied,
};

/** How an inventory came about. */
enum class InventoryKind : uint8_t {
  /** A renewal: proves what runs, not what an earlier start may still do. */
  kRenewal,
  /** A claim that raised the worker's epoch: no earlier start can take effect
   * any more. */
  kClaim,
  /** A claim of a worker that has lost its memory of earlier tasks. */
  kClaimWithoutMemory,
};

/** All that one worker runs, or has ended and not yet forgotten. */
struct WorkerInventory {
  base::WorkerId worker;
  InventoryKind kind = InventoryKind::kRenewal;
  platform::Epoch epoch = 0;
  /** When the request for it was sent. A task that has started since may be
   * missing from it. */
  base::Instant asked;
  /** Whether this host itself has claimed the worker; of a kClaim. */
  bool own_claim = false;
  std::span<const platform::TaskReport> tasks;
};

/** Keeps the jobs of one incarnation of an entry host.
 *
 * It holds no clock and no socket: time and replies come in as arguments, and
 * what is to be done is appended to `effects`.
 *
 * \code
 * JobKeeper keeper(options, {HostId("uus-a-e1"), 1}, seed);
 * Effects effects;
 * uint64_t submission = keeper.Submit(spec, now, wall, effects);
 * // Carry out effects.store_calls; for each reply:
 * keeper.OnStoreReply(call_id, reply, now, wall, effects);
 * // Until effects.submissions holds the answer to `submission`.
 * \endcode
 */
class JobKeeper {
 public:
  JobKeeper(const JobKeeperOptions& options, const Incarnation& self,
            uint64_t seed);
  JobKeeper(const JobKeeper&) = delete;
  JobKeeper& operator=(const JobKeeper&) = delete;

  /** Takes a job in.
   * \return the number of the answer in `effects.submissions`, now or later.
   */
  uint64_t Submit(const JobSpec& spec, base::Instant now, base::WallTime wall,
                  Effects& effects);

  /** Takes the end of a store call. */
  void OnStoreReply(uint64_t call_id, const platform::StoreReply& reply,
                    base::Instant now, base::WallTime wall, Effects& effects);

  /** Does what is due. To be called at NextWake at the latest, and once a
   * second. */
  void OnTick(base::Instant now, base::WallTime wall, Effects& effects);

  /** When OnTick has something to do next; nothing if only an input can tell.
   */
  std::optional<base::Instant> NextWake(base::Instant now) const;

  /** Asks whether `task` may be started, and notes that it may have been. To be
   * called before the start leaves; see StartPermission. */
  StartPermission OnStartSent(const base::TaskId& task,
                              const base::WorkerId& worker,
                              platform::Epoch epoch, base::Instant now);

  /** Takes the result of a start; a task that was not started becomes ready
   * again under a new id. */
  void OnStartResult(const base::TaskId& task, StartOutcome outcome,
                     base::Instant now, base::WallTime wall, Effects& effects);

  /** Takes the report of one task. */
  void OnTaskReport(const base::WorkerId& worker,
                    const platform::TaskReport& report, base::Instant now,
                    base::WallTime wall, Effects& effects);

  /** Takes all that a worker runs; tasks that are missing are resolved as far
   * as the inventory's kind allows. */
  void OnInventory(const WorkerInventory& inventory, base::Instant now,
                   base::WallTime wall, Effects& effects);

  /** Takes note that a worker has not answered since `last_contact`. */
  void OnWorkerSilent(const base::WorkerId& worker, base::Instant last_contact,
                      base::Instant now, base::WallTime wall, Effects& effects);

  /** Sets the workers of a data centre; all of them must give proof before an
   * adopted job's unaccounted tasks start. */
  void SetWorkers(const base::DataCentreId& data_centre,
                  std::span<const base::WorkerId> workers, base::Instant now,
                  base::WallTime wall, Effects& effects);

  /** Cancels what has not started and stops what runs.
   * \param team the caller's team, which must be the job's.
   * \return the number of the answer in `effects.cancels`.
   */
  uint64_t Cancel(const base::JobId& job, const base::TeamId& team,
                  base::Instant now, base::WallTime wall, Effects& effects);

  /** Records an operator's decision on a task in doubt.
   * \param ran whether the task has run; if not, it becomes ready again.
   * \return the number of the answer in `effects.settles`.
   */
  uint64_t Settle(const base::JobId& job, uint32_t index, bool ran,
                  std::string_view who, base::Instant now, base::WallTime wall,
                  Effects& effects);

  /** Reads a job.
   * \return kNotFound if it is not kept here, kForbidden for another team.
   */
  absl::StatusOr<JobView> Find(const base::JobId& job,
                               const base::TeamId& team) const;

  /** The record of a job, whoever asks; null if it is not kept here. */
  const JobRecord* FindRecord(const base::JobId& job) const;

  /** The ids of all jobs kept here, in order. */
  std::vector<base::JobId> JobIds() const;

  /** Reads the journals' names; they come in `effects.journals`. */
  void ListJournals(base::Instant now, Effects& effects);

  /** Adopts the jobs of a dead incarnation, if no other host does. */
  void AdoptJournalOf(const Incarnation& dead, base::Instant now,
                      Effects& effects);

  /** Takes no new jobs from now on; open work goes on. */
  void Drain() { this->draining = true; }

  /** Tasks in doubt, for operators. */
  std::vector<DoubtfulTask> InDoubt() const;

  /** Whether every record is journalled and nothing is under way. */
  bool idle() const;

  /** Whether new jobs are taken, or why not. */
  base::ResultCode admission() const;

  JournalState journal_state() const { return this->journal.state(); }

  const Incarnation& incarnation() const { return this->self; }

  /** Whether adopted tasks wait for proofs of workers; see proofs_wanted. */
  bool awaits_proofs() const { return !this->unproven.empty(); }

  /** When the oldest job that waits for proofs was accepted; nothing if none
   * does. */
  std::optional<base::WallTime> OldestUnproven() const;

  /** Workers that may run tasks of jobs kept here. */
  std::vector<base::WorkerId> WorkersInUse() const;

  /** How many jobs are kept. */
  size_t job_count() const { return this->jobs.size(); }

 private:
  struct OpenCancel {
    uint64_t id = 0;
    uint64_t position = 0;
    base::Instant since;
    base::JobId job;
  };
  struct OpenSettle {
    uint64_t id = 0;
    uint64_t position = 0;
    base::JobId job;
    uint32_t index = 0;
    bool ran = false;
    std::string who;
  };
  struct OpenEnd {
    uint64_t position = 0;
    TaskOnWorker task;
  };
  using TaskKey = std::pair<base::JobId, uint32_t>;

  // Submissions and claims: job_submissions.cpp.
  absl::Status CheckSpec(const JobSpec& spec) const;
  bool AnswerRepeat(const JobSpec& spec, uint64_t id, base::Instant now,
                    Effects& effects);
  JobState& AddJob(const JobSpec& spec, base::WallTime wall);
  void AnswerAll(JobState& job, base::ResultCode code, std::string_view message,
                 Effects& effects);
  void OnKeyClaimed(const KeyClaimResult& result, base::Instant now,
                    base::WallTime wall, Effects& effects);
  void Accept(JobState& job, base::Instant now, base::WallTime wall,
              Effects& effects);
  void AdvanceSubmissions(base::Instant now, base::WallTime wall,
                          Effects& effects);
  void ExpireWaits(base::Instant now, Effects& effects);
  void DropJob(const base::JobId& job);
  void AnswerCommitted(base::Instant now, base::WallTime wall,
                       Effects& effects);
  void Pump(base::Instant now, base::WallTime wall, Effects& effects);
  void CleanJournal(base::Instant now);
  void ReportJournalState(Effects& effects);
  void ForgetEnded(base::Instant now, base::WallTime wall, Effects& effects);

  // Tasks: job_tasks.cpp.
  JobState* FindJob(const base::JobId& job);
  bool ScopeCovers(JobState& job, const base::WorkerId& worker,
                   base::Instant now);
  void AttachTask(JobState& job, uint32_t index, const base::WorkerId& worker);
  void MakeReady(JobState& job, uint32_t index, base::Instant now,
                 base::WallTime wall, Effects& effects);
  void EndTask(JobState& job, uint32_t index, TaskState state,
               std::string_view result, base::Instant now, base::WallTime wall,
               Effects& effects);
  void DoubtTask(JobState& job, uint32_t index, std::string_view reason,
                 bool journalled, base::Instant now, base::WallTime wall,
                 Effects& effects);
  void TakeReport(JobState& job, uint32_t index, const base::WorkerId& worker,
                  const platform::TaskReport& report, base::Instant now,
                  base::WallTime wall, Effects& effects);
  void ResolveMissing(JobState& job, uint32_t index,
                      const WorkerInventory& inventory, base::Instant now,
                      base::WallTime wall, Effects& effects);
  void AnswerCancel(const OpenCancel& cancel, Effects& effects);
  void AnswerSettle(const OpenSettle& settle, base::Instant now,
                    base::WallTime wall, Effects& effects);
  void LapseSilentTasks(base::Instant now, base::WallTime wall,
                        Effects& effects);

  // Adoption and proofs: job_recovery.cpp.
  void BeginWantedAdoptions();
  void FinishSealing(const SealedJournal& sealed, base::Instant now,
                     base::WallTime wall, Effects& effects);
  void CarryJob(const JobRecord& record, base::Instant now, Effects& effects);
  bool ScopeIsProven(const JobState& job, base::Instant now,
                     bool& memory_kept) const;
  void ResolveUnaccounted(base::Instant now, base::WallTime wall,
                          Effects& effects);

  struct Proof {
    uint64_t number = 0;
    bool memory_kept = true;
    base::Instant asked;
  };

  JobKeeperOptions options;
  Incarnation self;
  CallNumbers numbers;
  Journal journal;
  KeyClaims claims;
  Adoptions adoptions;
  std::map<base::JobId, JobState> jobs;
  /** Journals to adopt once the own one is known not to be sealed, and since
   * when that is wanted. */
  std::map<Incarnation, base::Instant> wanted_adoptions;
  std::map<std::pair<base::TeamId, std::string>, base::JobId> keys;
  /** Jobs that are not accepted yet, or have a caller waiting. */
  std::set<base::JobId> submitting;
  /** Adopted jobs with tasks that no worker has told of. */
  std::set<base::JobId> unproven;
  std::map<base::WorkerId, std::set<TaskKey>> on_worker;
  std::vector<OpenCancel> cancels;
  std::vector<OpenSettle> settles;
  std::vector<OpenEnd> ends;
  /** Adopted journals to delete, by the position that must be committed. */
  std::map<uint64_t, Incarnation> discards;
  std::set<Incarnation> adopted;
  std::map<base::DataCentreId, std::set<base::WorkerId>> workers;
  std::map<base::WorkerId, Proof> proofs;
  /** When this host learned that it had claimed each worker. */
  std::map<base::WorkerId, base::Instant> own_claims;
  std::map<base::WorkerId, base::Instant> silent;
  uint64_t next_proof = 1;
  uint64_t next_answer = 1;
  uint64_t next_job = 1;
  bool draining = false;
  bool state_reported = false;
  std::optional<uint64_t> listing;
  /** Newest revision seen, and what it was when each open call was sent. */
  platform::Revision newest = 0;
  std::map<uint64_t, platform::Revision> sent_at;
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_JOB_KEEPER_H_
