/** \file
 * Jobs and their progress as the values that the store keeps.
 */
#ifndef AGATEPASS_POOL_RECORD_CODEC_H_
#define AGATEPASS_POOL_RECORD_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "agatepass/pool/job.h"

namespace agatepass::pool {

/** State of a job as callers see it. */
enum class JobPhase : uint8_t {
  kQueued,
  kRunning,
  kSucceeded,
  kFailed,
  kCancelled
};

/** Whether the job will not change any more. */
constexpr bool IsFinal(JobPhase phase) { return phase >= JobPhase::kSucceeded; }

/** Returns the phase's name for logs: "queued", "running" and so on. */
std::string_view JobPhaseName(JobPhase phase);

/** What has to be remembered of one unfinished task. */
struct TaskProgress {
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;
  /** Highest run that has ended. */
  RunNumber ended_run = 0;
  /** Runs of the task, or of its gang, that have failed, each once. */
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;

  bool operator==(const TaskProgress&) const = default;
};

/** Tasks `first` to `last` of a step have succeeded. */
struct SucceededRange {
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t first = 0;
  uint32_t last = 0;

  bool operator==(const SucceededRange&) const = default;
};

/** How far a job has come, as the store keeps it. */
struct JobProgress {
  JobPhase phase = JobPhase::kQueued;
  /** When the phase became final, Unix milliseconds; 0 before. */
  int64_t final_ms = 0;
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

/** Renders the definition. */
std::string EncodeJob(const Job& job);

/** Reads a definition. \return kInvalidRequest if it is malformed. */
absl::StatusOr<Job> DecodeJob(std::string_view text);

/** What takes the place of a final job's definition: it only keeps the id from
 * being used again, and a planner that takes office need not read more. */
inline constexpr char kCompactedJobRecord[] = "final";

/** Reads what stands at a job's key: the definition, or a job with no steps if
 * kFinalJobRecord took its place. */
absl::StatusOr<Job> DecodeJobRecord(const base::JobId& job,
                                    std::string_view text);

/** Renders the progress. */
std::string EncodeProgress(const JobProgress& progress);

/** Reads progress. \return kInvalidRequest if it is malformed. */
absl::StatusOr<JobProgress> DecodeProgress(std::string_view text);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_RECORD_CODEC_H_
