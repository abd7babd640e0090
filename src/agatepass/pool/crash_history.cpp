#include "agatepass/pool/crash_history.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Time by which a worker may have lived longer than is known: the longest time
 * between two syncs, and some for the way. */
constexpr base::Duration kMaxUnseenLife = std::chrono::milliseconds(1500);

bool IsLate(const CrashedRun& crash) { return crash.survived >= kProbation; }

}  // namespace

std::string_view CrashVerdictName(CrashVerdict verdict) {
  switch (verdict) {
    case CrashVerdict::kClear:
      return "clear";
    case CrashVerdict::kSuspect:
      return "suspect";
    case CrashVerdict::kGivenUp:
      return "given up";
  }
  return "unknown";
}

CrashVerdict JudgeCrashes(std::span<const CrashedRun> crashes) {
  const auto alone = static_cast<size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [](const CrashedRun& crash) { return crash.alone; }));
  const auto late = static_cast<size_t>(
      std::count_if(crashes.begin(), crashes.end(), IsLate));
  const size_t early = crashes.size() - late;
  if (alone >= kMaxCrashesAlone || early >= kMaxCrashes) {
    return CrashVerdict::kGivenUp;
  }
  if (alone > 0 || early > 0 || late >= kLateCrashesToSuspect) {
    return CrashVerdict::kSuspect;
  }
  return CrashVerdict::kClear;
}

base::Duration FindProbation(std::span<const CrashedRun> crashes) {
  base::Duration probation = kProbation;
  for (const CrashedRun& crash : crashes) {
    if (IsLate(crash))
      probation = std::max(probation, crash.survived + kMaxUnseenLife);
  }
  return std::min(probation, kMaxProbation);
}

base::Duration FindTrialTime(std::span<const CrashedRun> crashes) {
  return std::min(FindProbation(crashes), kMaxTrialTime);
}

}  // namespace agatepass::pool
