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
struct CurrentPlanner {
  base::Endpoint endpoint;
  /** Revision of its key: another term is another planner. */
  platform::Revision revision = 0;

  bool operator==(const CurrentPlanner&) const = default;
};

/** Ask the planner; OnAnswer or OnNoAnswer follows with the same numbers. */
struct AskPlanner {
  CallId call = 0;
  uint32_t attempt = 0;
  CurrentPlanner planner;
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
struct DescribeFromStore {
  CallId call = 0;
  base::JobId job;
};

using RouterEffect = std::variant<AskPlanner, AnswerCaller, DescribeFromStore>;

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
  static constexpr base::Duration kMaxPlannerWait =
      std::chrono::milliseconds(900);

  /** Longest wait for a planner that the store does not answer to be replaced.
   * It is asked again meanwhile. */
  static constexpr base::Duration kMaxStoreWait =
      std::chrono::milliseconds(400);

  /** Most calls kept: memory is bounded. */
  static constexpr size_t kMaxCalls = 2000;

  /** Takes a call; it is answered within `time`. */
  CallId Add(PeerCall call, base::Duration timeout, base::Instant now);

  /** Tells who plans; nothing if nobody does. */
  void SetPlanner(const std::optional<CurrentPlanner>& current_planner) {
    this->planner = current_planner;
  }

  /** Tells whether the store answers this host: otherwise no planner can be
   * expected to take office. */
  void SetStoreReachable(bool reachable) { this->store_reachable = reachable; }

  /** The planner answered an attempt. */
  void OnAnswer(CallId call, uint32_t attempt, const CallerAnswer& answer,
                base::Instant now);

  /** An attempt got no answer.
   * \param may_be_done whether the planner may have received it. */
  void OnNoAnswer(CallId call, uint32_t attempt, bool maybe_executed,
                  base::Instant now);

  /** Returns what has to be done now. */
  std::vector<RouterEffect> Advance(base::Instant now);

  /** Calls without an answer. */
  size_t size() const { return this->calls.size(); }

 private:
  struct Call {
    PeerCall request;
    base::Instant arrived_at;
    base::Instant deadline;
    /** Asked, and not answered by, the planner of this revision; 0 for none. */
    platform::Revision asked_revision = 0;
    uint32_t attempt = 0;
    base::Instant ask_not_before;
    /** Until then the call waits for a planner. */
    base::Instant wait_until;
    /** Whether an earlier attempt may have been carried out. */
    bool maybe_executed = false;
    /** What a planner said last, if it could not serve the call. */
    std::optional<CallerAnswer> last_refusal;
  };

  Call* FindAttempt(CallId call, uint32_t attempt);
  void WaitForPlanner(Call& call, base::Duration max_wait,
                      base::Duration retry_delay, base::Instant now);
  void FailCall(CallId id, const Call& call);
  void SendToPlanner(CallId id, Call& call, base::Instant now);

  std::map<CallId, Call> calls;
  std::optional<CurrentPlanner> planner;
  bool store_reachable = true;
  CallId next_call_id = 1;
  std::vector<RouterEffect> effects;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CALL_ROUTER_H_
