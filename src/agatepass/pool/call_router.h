/** \file
 * Calls of callers on an entry host, until the planner has answered them. It
 * has no clock and no socket.
 *
 * Answers takeovers, which last a fraction of a second: a caller that was sent
 * away would come back a second later, after its objective. Calls wait for the
 * next planner for a short, bounded time, and not at all while none can come.
 * Asking again is safe, as a job is known by its id.
 */
#ifndef AGATEPASS_POOL_CALL_ROUTER_H_
#define AGATEPASS_POOL_CALL_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/store.h"
#include "agatepass/pool/messages.h"
#include "agatepass/pool/peer_call.h"

namespace agatepass::pool {

/** Whom to ask at present. */
struct PlannerInOffice {
  base::Endpoint endpoint;
  /** Revision of its key: another term is another planner. */
  platform::Revision revision = 0;

  bool operator==(const PlannerInOffice&) const = default;
};

/** Ask the planner; OnAnswer or OnNoAnswer follows with the same numbers. */
struct AskPlanner {
  CallId call = 0;
  uint32_t attempt = 0;
  PlannerInOffice planner;
  /** Valid until the call is answered. */
  const PeerCall* request = nullptr;
  base::Duration timeout{0};
};

/** Answer the caller; the call is forgotten. */
struct AnswerCaller {
  CallId call = 0;
  CallerAnswer answer;
};

/** Answer a question about a job from the store; the call is forgotten. */
struct DescribeWithoutPlanner {
  CallId call = 0;
  base::JobId job;
};

using RouterEffect =
    std::variant<AskPlanner, AnswerCaller, DescribeWithoutPlanner>;

/** Keeps calls and finds a planner for each.
 *
 * \code
 * CallRouter router;
 * router.SetPlanner(planner);
 * const CallId id = router.Add(call, seconds(2), now);
 * for (RouterEffect& effect : router.Advance(now)) CarryOut(effect);
 * \endcode
 */
class CallRouter {
 public:
  /** Longest wait for a planner to take office. */
  static constexpr base::Duration kPlannerWait = std::chrono::milliseconds(900);

  /** Longest wait for a planner that the store does not answer to be replaced.
   * It is asked again meanwhile. */
  static constexpr base::Duration kStoreWait = std::chrono::milliseconds(400);

  /** Most calls kept: memory is bounded. */
  static constexpr size_t kMostCalls = 2000;

  /** Takes a call; it is answered within `time`. */
  CallId Add(PeerCall call, base::Duration time, base::Instant now);

  /** Tells who plans; nothing if nobody does. */
  void SetPlanner(const std::optional<PlannerInOffice>& present) {
    this->planner = present;
  }

  /** Tells whether the store answers this host: otherwise no planner can be
   * expected to take office. */
  void SetStoreAnswers(bool answers) { this->store_answers = answers; }

  /** The planner answered an attempt. */
  void OnAnswer(CallId call, uint32_t attempt, const CallerAnswer& answer,
                base::Instant now);

  /** An attempt got no answer.
   * \param may_be_done whether the planner may have received it. */
  void OnNoAnswer(CallId call, uint32_t attempt, bool may_be_done,
                  base::Instant now);

  /** Returns what has to be done now. */
  std::vector<RouterEffect> Advance(base::Instant now);

  /** Calls without an answer. */
  size_t size() const { return this->calls.size(); }

 private:
  struct Call {
    PeerCall request;
    base::Instant arrived;
    base::Instant deadline;
    /** Asked, and not answered by, the planner of this revision; 0 for none. */
    platform::Revision asked = 0;
    uint32_t attempt = 0;
    base::Instant ask_from;
    /** Until then the call waits for a planner. */
    base::Instant waits_until;
    /** Whether an earlier attempt may have been carried out. */
    bool may_be_done = false;
    /** What a planner said last, if it could not serve the call. */
    std::optional<CallerAnswer> refusal;
  };

  Call* FindAttempt(CallId call, uint32_t attempt);
  void Wait(Call& call, base::Duration longest, base::Duration retry,
            base::Instant now);
  void GiveUp(CallId id, const Call& call);
  void Ask(CallId id, Call& call, base::Instant now);

  std::map<CallId, Call> calls;
  std::optional<PlannerInOffice> planner;
  bool store_answers = true;
  CallId next = 1;
  std::vector<RouterEffect> effects;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CALL_ROUTER_H_
