/** \file
 * What placement decides: typed effects that the caller carries out.
 */
#ifndef AGATEPASS_PLACEMENT_DECISION_H_
#define AGATEPASS_PLACEMENT_DECISION_H_

#include <cstdint>
#include <string_view>

#include "agatepass/base/identifier.h"
#include "agatepass/base/result_code.h"
#include "agatepass/platform/resources.h"

namespace agatepass::placement {

/** What is to be done with the task. */
enum class DecisionKind : uint8_t {
  /** Start it on the worker; answer with OnStarted or OnStartFailed. */
  kPlace,
  /** Checkpoint it, which ends it there; answer with OnPreempted. */
  kCheckpoint,
  /** Stop it; answer with OnPreempted. It is idempotent. */
  kStop,
  /** Throttle it on its worker; no answer is needed. */
  kThrottle,
  /** It waits; `reason` says for what. Given once for each new reason. */
  kDelay,
  /** It will not be started; it has left the queue. */
  kRefuse,
};

/** Returns "place", "checkpoint", "stop", "throttle", "delay" or "refuse". */
std::string_view DecisionKindName(DecisionKind kind);

/** Number under which the explanation of a decision is kept. */
using ExplanationId = uint64_t;

/** One decision. */
struct Decision {
  DecisionKind kind = DecisionKind::kDelay;
  base::TaskId task;
  base::WorkerId worker;
  /** kPlace: the room granted, to be sent to the worker as the task's size. The
   * grants on a worker never add up to more than it has. */
  platform::Resources granted;
  /** kDelay, kRefuse: why. */
  base::ResultCode reason = base::ResultCode::kOk;
  ExplanationId explanation = 0;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_DECISION_H_
