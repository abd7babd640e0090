/** \file
 * What a ready step waits for, and since when.
 */
#ifndef AGATEPASS_POOL_STEP_WAIT_H_
#define AGATEPASS_POOL_STEP_WAIT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** What a step with waiting tasks waits for. */
enum class WaitReason : uint8_t {
  /** It is not ready, or no pass has looked at it. */
  kPass,
  /** A place in the limit of queries in flight. */
  kQueryPlace,
  /** The answer to a query. */
  kAdvice,
  /** The commit of its job. */
  kStore,
  /** Runs of earlier terms that are not accounted for. */
  kEarlierTerms,
  /** A place in the limit of starts in flight. */
  kStartPlace,
  /** Free resources on workers that may run it. */
  kResources,
  /** Runs of its team to end, which use up the team's cap. */
  kTeamCap,
};

inline constexpr size_t kWaitReasons =
    static_cast<size_t>(WaitReason::kTeamCap) + 1;

/** Returns the name of a reason, for logs. */
constexpr std::string_view WaitReasonName(WaitReason reason) {
  constexpr std::array<std::string_view, kWaitReasons> kNames = {
      "pass",          "query_place", "advice",    "store",
      "earlier_terms", "start_place", "resources", "team_cap"};
  return kNames[static_cast<size_t>(reason)];
}

/** The present wait of a step. */
struct StepWait {
  WaitReason reason = WaitReason::kPass;
  base::Instant since;

  /** Records the reason as of now; the time is kept while it stays the same. */
  void Set(WaitReason now_for, base::Instant now) {
    if (this->reason == now_for) return;
    this->reason = now_for;
    this->since = now;
  }
};

/** The length of a queue and the age of its oldest entry. */
struct QueueAge {
  size_t count = 0;
  base::Duration oldest{0};

  /** Counts an entry. */
  void Add(base::Duration age) {
    ++this->count;
    if (age > this->oldest) this->oldest = age;
  }
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_STEP_WAIT_H_
