/** \file
 * The crashes of workers under one task, and what follows from them.
 *
 * A task that crashes its workers does so soon after each start. One crash does
 * not tell it from its neighbours, so the task is tried again where no other
 * run can be the cause; a run that its worker outlives clears it.
 *
 * \code
 * std::vector<CrashedRun> crashes = {{.run = 1}, {.run = 2, .alone = true}};
 * JudgeCrashes(crashes);  // CrashVerdict::kSuspect: tried again, alone
 * \endcode
 */
#ifndef AGATEPASS_POOL_CRASH_HISTORY_H_
#define AGATEPASS_POOL_CRASH_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "agatepass/base/time.h"
#include "agatepass/pool/job.h"

namespace agatepass::pool {

/** A run that was lost because its worker crashed, as far as is known. */
struct CrashedRun {
  RunNumber run = 0;
  /** How long the worker is known to have lived on after the start. */
  base::Duration survived{0};
  /** Whether nothing else explains the crash: no other job had an unproven run
   * there, and no worker without unproven runs was lost at the same time. */
  bool alone = false;

  bool operator==(const CrashedRun&) const = default;
};

/** Time after its start for which a run is unproven: it may be about to crash
 * its worker. */
inline constexpr base::Duration kProbation = std::chrono::milliseconds(250);

/** Longest time after its start for which a run may count as the cause of a
 * crash, however long the workers lived before. */
inline constexpr base::Duration kMaxProbation = std::chrono::seconds(60);

/** Longest time for which the worker of a trial takes no other work: work that
 * needs this worker waits for it. */
inline constexpr base::Duration kMaxTrialTime = std::chrono::seconds(1);

/** Number of crashes with no other explanation after which a task is given up.
 */
inline constexpr size_t kMaxCrashesAlone = 2;

/** Number of crashes of unproven runs after which a task is given up, whatever
 * else may explain them: it may have been started once more than is known. */
inline constexpr size_t kMaxCrashes = 4;

/** Number of crashes under proven runs from which a task is suspected of
 * crashing its workers late. */
inline constexpr size_t kLateCrashesToSuspect = 2;

/** What the crashes under a task mean for its next start. */
enum class CrashVerdict : uint8_t {
  /** It starts like any other. */
  kClear,
  /** It is tried where it does least harm and nothing else explains a crash. */
  kSuspect,
  /** It is not started any more, and its job fails. */
  kGivenUp,
};

/** Returns the verdict's name for logs. */
std::string_view CrashVerdictName(CrashVerdict verdict);

/** Judges a task by the crashes since a run of it was last proven harmless. */
CrashVerdict JudgeCrashes(std::span<const CrashedRun> crashes);

/** Returns how long a worker must outlive the start of the task's next run to
 * clear the task: longer than its workers lived before, up to kMaxProbation. */
base::Duration FindProbation(std::span<const CrashedRun> crashes);

/** Returns how long the worker of a trial takes no other work: at most for
 * kMaxTrialTime of the probation. */
base::Duration FindTrialTime(std::span<const CrashedRun> crashes);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CRASH_HISTORY_H_
