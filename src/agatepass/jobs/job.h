/** \file
 * Jobs and their tasks as values: what a caller asks for, and what is recorded
 * of it.
 */
#ifndef AGATEPASS_JOBS_JOB_H_
#define AGATEPASS_JOBS_JOB_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/jobs/index_ranges.h"
#include "agatepass/platform/resources.h"

namespace agatepass::jobs {

/** How the tasks of a job are started. */
enum class JobKind : uint8_t {
  /** Long-running tasks, each on its own. */
  kService,
  /** Tasks that end, each on its own. */
  kBatch,
  /** All tasks at once or none. */
  kGang,
};

/** Returns "service", "batch" or "gang". */
std::string_view JobKindName(JobKind kind);

/** Returns the kind called `name`, or nothing. */
std::optional<JobKind> ParseJobKind(std::string_view name);

/** What a caller asks for. */
struct JobSpec {
  /** The caller's key: a repeat with the same key and team gives the first job.
   * Empty: repeats are not recognised. */
  std::string idempotency_key;
  base::TeamId team;
  base::WorkloadId workload;
  JobKind kind = JobKind::kBatch;
  /** A higher number is more important. */
  int32_t priority = 0;
  uint32_t task_count = 1;
  /** What each task needs. */
  platform::Resources declared;
  /** What each task runs, opaque to the scheduler. */
  std::string command;
  /** Whether a task may be run again after it may have begun. */
  bool idempotent = false;
  bool checkpointable = false;
  /** Separation label, empty for none. */
  std::string label;
  /** Time from acceptance in which the job must start; 0 for no limit. */
  base::Duration deadline{0};
  /** The declared run time of a task; 0 if unknown. */
  base::Duration expected_run_time{0};
  /** With the store unreachable, run bound to the caller's connection. Only for
   * idempotent jobs. */
  bool attached = false;

  bool operator==(const JobSpec&) const = default;
};

enum class TaskState : uint8_t {
  /** Not started, and not going to be without a call to OnStartSent. */
  kWaiting,
  /** A start was sent to a worker; it may have begun. */
  kStarting,
  kRunning,
  kSucceeded,
  kFailed,
  kCancelled,
  /** It may have run, and nothing at hand proves or rules it out. */
  kInDoubt,
};

/** Returns the state's name, such as "in doubt". */
std::string_view TaskStateName(TaskState state);

/** Whether a task in `state` never changes state again. */
constexpr bool IsEnded(TaskState state) {
  return state == TaskState::kSucceeded || state == TaskState::kFailed ||
         state == TaskState::kCancelled;
}

/** One incarnation of an entry host: its name and the number of its start.
 *
 * Numbers of one host rise from start to start; its wall-clock time at the
 * start in microseconds serves.
 */
struct Incarnation {
  base::HostId host;
  uint64_t number = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Incarnation&) const = default;

  /** Returns the form HOST/NUMBER. */
  std::string ToString() const;
};

/** What the store holds of a job: enough to finish it after its host's death.
 */
struct JobRecord {
  base::JobId id;
  JobSpec spec;
  /** Data centres whose workers may have been told to start its tasks. */
  std::vector<base::DataCentreId> scope;
  /** The incarnation that accepted it; another one may have adopted it. */
  Incarnation home;
  base::WallTime accepted;
  /** How often the job has been adopted. */
  uint32_t generation = 0;
  /** Whether the claim on the idempotency key is known to be this job's. */
  bool key_confirmed = false;
  bool cancelled = false;
  /** When the last task ended; 0 before. */
  base::WallTime ended;
  /** Task numbers in an ended state or in doubt. */
  std::map<TaskState, IndexRanges> settled;
  /** Results of ended tasks that left one, whole. */
  std::map<uint32_t, std::string> results;

  bool operator==(const JobRecord&) const = default;
};

/** Records that `tasks` are in `state`, and no longer in doubt. */
void SettleTasks(TaskState state, const IndexRanges& tasks, JobRecord& job);

/** Takes one task out of doubt, so that it may be started again. */
void RemoveFromDoubt(uint32_t index, JobRecord& job);

/** How many tasks have ended. */
size_t CountEnded(const JobRecord& job);

/** Notes `at` as the job's end if no task is left. */
void CloseIfEnded(base::WallTime at, JobRecord& job);

/** Returns the recorded state of a task: ended or in doubt, else waiting. */
TaskState RecordedState(const JobRecord& job, uint32_t index);

/** Names one task and its attempt. */
struct TaskName {
  base::JobId job;
  uint32_t index = 0;
  /** Rises with each start of the task; workers never repeat an id. */
  uint32_t attempt = 0;

  auto operator<=>(const TaskName&) const = default;
};

/** Returns the id that workers know the task by: JOB/INDEX/ATTEMPT. */
base::TaskId MakeTaskId(const TaskName& name);

/** Parses what MakeTaskId made; nothing if it is malformed. */
std::optional<TaskName> ParseTaskId(const base::TaskId& task);

/** Returns the id of the job numbered `sequence` of `home`:
 * HOST-NUMBER-SEQUENCE. */
base::JobId MakeJobId(const Incarnation& home, uint64_t sequence);

/** Returns the incarnation that accepted `job`; nothing if it is malformed. */
std::optional<Incarnation> BirthplaceOf(const base::JobId& job);

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_JOB_H_
