/** \file
 * Forwards the calls that a host receives from callers to the planner, and
 * retries them until they are answered. Deterministic: time comes in as a
 * parameter.
 *
 * Handles takeovers, which last a fraction of a second: a caller that was
 * rejected would retry a second later and miss its objective. Calls wait for
 * the next planner for a short, bounded time, and not at all while no host can
 * become planner. Retries are safe, as jobs are identified by their ids.
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

/** The planner that calls are sent to. */
struct CurrentPlanner {
  base::Endpoint endpoint;
  /** Revision of its key, which identifies its term. */
  platform::Revision revision = 0;

  bool operator==(const CurrentPlanner&) const = default;
};

/** Effect: send the call to the planner, then report the result by
 * CallRouter::OnAnswer or OnNoAnswer with the same call and attempt. */
struct AskPlanner {
  CallId call = 0;
  uint32_t attempt = 0;
  CurrentPlanner planner;
  /** Valid until the call is answered; owned by the router. */
  const PeerCall* request = nullptr;
  base::Duration timeout{0};
};

/** Effect: answer the caller; the router has dropped the call. */
struct AnswerCaller {
  CallId call = 0;
  CallerAnswer answer;
};

/** Effect: answer kDescribe from the store instead of the planner; the router
 * has dropped the call. */
struct DescribeJobFromStore {
  CallId call = 0;
  base::JobId job;
};

/** Effect that the owner of the router has to perform. */
using RouterEffect =
    std::variant<AskPlanner, AnswerCaller, DescribeJobFromStore>;

/** Queue of the calls that are waiting for an answer.
 *
 * \code
 * CallRouter router;
 * router.SetPlanner(planner);
 * const CallId id = router.Add(call, seconds(2), now);
 * for (RouterEffect& effect : router.Advance(now)) Perform(effect);
 * \endcode
 */
class CallRouter {
 public:
  /** Maximum time that a call waits for a planner, from its arrival and again
   * from each unanswered attempt. */
  static constexpr base::Duration kMaxPlannerWait =
      std::chrono::milliseconds(900);

  /** Maximum time that a call which is not a submission waits for the
   * replacement of a planner that cannot reach the store; the planner is asked
   * again meanwhile. Submissions wait at the planner. */
  static constexpr base::Duration kMaxReplacementWait =
      std::chrono::milliseconds(400);

  /** Maximum number of queued calls, to bound memory; further calls are
   * rejected. */
  static constexpr size_t kMaxCalls = 2000;
  /** Memory that waiting calls may take, estimated. */
  static constexpr size_t kMaxCallBytes = size_t{32} * 1024 * 1024;

  /** Queues a call.
   * \param call the call.
   * \param timeout time within which it is answered.
   * \param now current time.
   * \return the call's id, which the effects carry. */
  CallId Add(PeerCall call, base::Duration timeout, base::Instant now);

  /** Sets the planner to send calls to; std::nullopt if there is none. */
  void SetPlanner(const std::optional<CurrentPlanner>& current_planner) {
    this->planner = current_planner;
  }

  /** Sets whether the store answers this host; while it does not, no host is
   * expected to become planner. */
  void SetStoreReachable(bool reachable) { this->store_reachable = reachable; }

  /** Reports the planner's answer to an attempt; a late answer, to an attempt
   * that is not the latest one, is ignored.
   * \param call id of the call.
   * \param attempt number of the attempt, as in AskPlanner.
   * \param answer the planner's answer.
   * \param now current time. */
  void OnAnswer(CallId call, uint32_t attempt, const CallerAnswer& answer,
                base::Instant now);

  /** Reports that an attempt got no answer.
   * \param call id of the call.
   * \param attempt number of the attempt, as in AskPlanner.
   * \param maybe_executed whether the planner may have received it.
   * \param now current time. */
  void OnNoAnswer(CallId call, uint32_t attempt, bool maybe_executed,
                  base::Instant now);

  /** Returns the effects to perform now.
   * \param now current time. */
  std::vector<RouterEffect> Advance(base::Instant now);

  /** Answers all calls, as nothing can be waited for any more: as rejected, or
   * as of unknown outcome if one may have been or may yet be executed. */
  std::vector<RouterEffect> EndAll();

  /** Number of calls that are not answered yet. */
  size_t size() const { return this->calls.size(); }

 private:
  struct Call {
    PeerCall request;
    base::Instant arrived_at;
    base::Instant deadline;
    /** Revision of the planner whose answer is outstanding; 0 for none. */
    platform::Revision asked_revision = 0;
    uint32_t attempt = 0;
    base::Instant ask_not_before;
    /** Time until which the call waits for a planner. */
    base::Instant wait_until;
    /** Whether an earlier attempt may have been carried out. */
    bool maybe_executed = false;
    /** Latest answer of a planner that could not serve the call. */
    std::optional<CallerAnswer> last_refusal;
    /** Memory that its submission takes, estimated. */
    size_t bytes = 0;
  };

  /** Returns the call if this attempt's answer is outstanding, or nullptr. */
  Call* FindAttempt(CallId call, uint32_t attempt);
  /** Schedules another attempt after `retry_delay`, until the call is
   * `max_wait` old, counted from its arrival, or its deadline has passed. */
  void WaitForPlanner(Call& call, base::Duration max_wait,
                      base::Duration retry_delay, base::Instant now);
  /** Answers a call that no planner has served in time. */
  void FailCall(CallId id, const Call& call);
  /** Sends the next attempt of a call to the planner. */
  void SendToPlanner(CallId id, Call& call, base::Instant now);

  /** Removes a call that is answered.
   * \return the next one. */
  std::map<CallId, Call>::iterator Remove(
      std::map<CallId, Call>::iterator call);

  std::map<CallId, Call> calls;
  /** Memory that all submissions take, estimated. */
  size_t bytes = 0;
  std::optional<CurrentPlanner> planner;
  bool store_reachable = true;
  CallId next_call_id = 1;
  std::vector<RouterEffect> effects;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CALL_ROUTER_H_
