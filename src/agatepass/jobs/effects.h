/** \file
 * What the job keeper wants done: store calls, answers, starts and stops. Its
 * owner carries them out.
 */
#ifndef AGATEPASS_JOBS_EFFECTS_H_
#define AGATEPASS_JOBS_EFFECTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/result_code.h"
#include "agatepass/base/time.h"
#include "agatepass/jobs/job.h"
#include "agatepass/platform/store.h"

namespace agatepass::jobs {

/** A call to the store; its end goes to JobKeeper::OnStoreReply. */
struct NumberedStoreCall {
  uint64_t call_id = 0;
  platform::StoreCall call;
};

/** The one answer to a submission. */
struct SubmissionAnswer {
  uint64_t submission_id = 0;
  base::ResultCode code = base::ResultCode::kInternal;
  /** Set for kAccepted, and for kOutcomeUnknown: the id it has if accepted. */
  base::JobId job;
  std::string message;
  /** Whether the job is an earlier one with the same idempotency key. */
  bool repeated = false;
  /** When a retry may help; 0 if none does. */
  base::Duration retry_after{0};
};

/** What a cancel can say of one task. */
enum class TaskFate : uint8_t { kNotRun, kRunning, kHasRun, kUnknown };

/** Returns "not run", "running", "has run" or "unknown". */
std::string_view TaskFateName(TaskFate fate);

/** The one answer to a cancel. */
struct CancelAnswer {
  uint64_t cancel_id = 0;
  base::ResultCode code = base::ResultCode::kInternal;
  base::JobId job;
  std::string message;
  /** By task number. The fate kNotRun is final. Empty after an error. */
  std::vector<TaskFate> fates;
};

/** A task that may be placed now. */
struct ReadyTask {
  base::TaskId task;
  base::JobId job;
  uint32_t index = 0;
};

/** A task on a worker. */
struct TaskOnWorker {
  base::WorkerId worker;
  base::TaskId task;
};

/** The one answer to JobKeeper::Settle. */
struct SettleAnswer {
  uint64_t settle_id = 0;
  base::ResultCode code = base::ResultCode::kInternal;
  std::string message;
};

enum class JobEventKind : uint8_t {
  kAccepted,
  kRefused,
  kEnded,
  kCancelled,
  kInDoubt,
  kSettled,
  kAdopted,
  kAdoptionLost,
  kFenced,
  kStoreContentChanged,
  kForgotten,
};

/** Returns the kind's name, such as "in doubt". */
std::string_view JobEventKindName(JobEventKind kind);

/** One entry for the time line. */
struct JobEvent {
  JobEventKind kind = JobEventKind::kAccepted;
  base::JobId job;
  base::TaskId task;
  std::string detail;
};

/** Everything that one input led to, in order within each list. */
struct Effects {
  std::vector<NumberedStoreCall> store_calls;
  std::vector<SubmissionAnswer> submissions;
  std::vector<CancelAnswer> cancels;
  std::vector<SettleAnswer> settles;
  /** Put these into the placement queue. */
  std::vector<ReadyTask> ready;
  /** Take these out of the placement queue. */
  std::vector<base::TaskId> withdrawn;
  /** Tell these workers to stop these tasks. */
  std::vector<TaskOnWorker> stops;
  /** These ends are journalled: workers may forget them. */
  std::vector<TaskOnWorker> acknowledgements;
  /** Workers to claim anew, as a start on them has an unknown result. */
  std::vector<base::WorkerId> claims_wanted;
  /** Data centres all of whose workers must prove what they run: see
   * JobKeeper::OnInventory. */
  std::vector<base::DataCentreId> proofs_wanted;
  /** Incarnations with a journal in the store, after ListJournals. */
  std::vector<Incarnation> journals;
  std::vector<JobEvent> events;
  /** This incarnation has been taken for dead and its jobs adopted: it must
   * stop starting tasks and exit. */
  bool fenced = false;
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_EFFECTS_H_
