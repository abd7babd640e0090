/** \file
 * Encoding of jobs and their progress as values in the store, and of jobs in
 * calls between hosts.
 */
#ifndef AGATEPASS_POOL_RECORD_CODEC_H_
#define AGATEPASS_POOL_RECORD_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "agatepass/pool/crash_history.h"
#include "agatepass/pool/job.h"
#include "agatepass/pool/occurrence_set.h"

namespace agatepass::pool {

/** State of a job as callers see it. */
enum class JobPhase : uint8_t {
  kQueued,
  kRunning,
  kSucceeded,
  kFailed,
  kCancelled
};

/** Whether the phase is final: the job does not change any more. */
constexpr bool IsFinal(JobPhase phase) { return phase >= JobPhase::kSucceeded; }

/** Returns the phase's name: "queued", "running" and so on. The names are used
 * in logs and in stored progress, and must not change. */
std::string_view JobPhaseName(JobPhase phase);

/** Stored state of one unfinished task. */
struct TaskProgress {
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;
  /** Highest run number whose end a worker has reported. */
  RunNumber ended_run = 0;
  /** Numbers of the failed runs of the task, or of its gang, without
   * duplicates. */
  std::vector<RunNumber> failed_runs;
  /** Latest checkpoint, opaque; empty if there is none. */
  std::string checkpoint;
  /** Runs that were lost because their workers crashed. */
  std::vector<CrashedRun> crashed_runs;
  /** A run that may crash its worker, recorded before it is requested; it need
   * not have begun. 0 for none. */
  RunNumber at_risk_run = 0;
  /** A run that its worker confirmed, and is not known to have outlived; it
   * counts as crashed if no worker has it or lists its end. 0 for none. */
  RunNumber begun_run = 0;

  bool operator==(const TaskProgress&) const = default;
};

/** A range of tasks of a step, `first` to `last` inclusive, that have
 * succeeded. */
struct SucceededRange {
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t first = 0;
  uint32_t last = 0;

  bool operator==(const SucceededRange&) const = default;
};

/** Progress of a job, as kept in the store. */
struct JobProgress {
  JobPhase phase = JobPhase::kQueued;
  /** When the phase became final, Unix milliseconds; 0 before. */
  int64_t final_ms = 0;
  /** Occurrences all of whose tasks have succeeded. */
  OccurrenceSet finished;
  /** Tasks of other occurrences that have succeeded. */
  std::vector<SucceededRange> succeeded;
  std::vector<TaskProgress> tasks;

  bool operator==(const JobProgress&) const = default;
};

/** Prefixes and keys of this system in the store. */
inline constexpr char kJobPrefix[] = "agatepass/job/";
inline constexpr char kProgressPrefix[] = "agatepass/progress/";
inline constexpr char kPlannerKey[] = "agatepass/planner";
inline constexpr char kWorkerRosterKey[] = "agatepass/workers";

/** Returns the key of a job's definition. */
std::string JobKey(const base::JobId& job);

/** Returns the key of a job's progress. */
std::string ProgressKey(const base::JobId& job);

/** Largest value that is written to the store, which takes 2^20 bytes. */
inline constexpr size_t kMaxStoredBytes = 1'000'000;

/** Encodes a definition. */
std::string EncodeJob(const Job& job);

/** Checks that the definition of a job can be stored and sent to the planner.
 * \return why not; empty if it can. */
std::string FindSizeError(const Job& job);

/** Checks all that a planner would reject a submitted job for, whatever its
 * state. \return why it would; empty if it may accept it. */
std::string FindSubmissionError(const Job& job);

/** Decodes a definition. \return kInvalidRequest if it is malformed. */
absl::StatusOr<Job> DecodeJob(std::string_view text);

/** Value that replaces the definition of a final job when it is compacted. The
 * record only keeps the id from being used again, and a new leader does not
 * have to read more than that. */
inline constexpr char kCompactedJobRecord[] = "final";

/** Decodes the value of a job's key.
 * \return the definition, or a job without steps if the record was compacted;
 * kInvalidRequest if the value is malformed. */
absl::StatusOr<Job> DecodeJobRecord(const base::JobId& job,
                                    std::string_view text);

/** Encodes progress. */
std::string EncodeProgress(const JobProgress& progress);

/** Decodes progress. \return kInvalidRequest if it is malformed. */
absl::StatusOr<JobProgress> DecodeProgress(std::string_view text);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_RECORD_CODEC_H_
