#include "agatepass/pool/call_router.h"

#include <algorithm>
#include <utility>

#include "agatepass/pool/memory_cost.h"

namespace agatepass::pool {

namespace {

/** Delay before a planner that could not serve a call is asked again (twice as
 * long if it could not reach the store), and minimum timeout of a request. */
constexpr base::Duration kAskRetryDelay = std::chrono::milliseconds(50);

/** Maximum `retry_after` of a kStoreUnreachable answer for which a call waits
 * that is not a submission. A planner returns a longer one if its commits have
 * been failing for longer; since no other host has replaced it in that time,
 * waiting is pointless. */
constexpr base::Duration kMaxAwaitedOutage = std::chrono::seconds(1);

/** Delay after which a rejected caller may retry while no planner is known or
 * too many calls are queued. */
constexpr base::Duration kRejectionRetryDelay = std::chrono::seconds(1);

CallerAnswer MakeNoPlannerAnswer() {
  return {.code = base::ResultCode::kPeerUnreachable,
          .retry_after = kRejectionRetryDelay,
          .detail = "no planner is in office"};
}

}  // namespace

CallId CallRouter::Add(PeerCall call, base::Duration timeout,
                       base::Instant now) {
  const CallId id = this->next_call_id++;
  size_t call_bytes = call.target.host.size() + call.target.path.size() +
                      call.target.api_key.size() + call.job.value.size();
  if (call.verb == PeerVerb::kSubmit)
    call_bytes += DefinitionCost(call.submission);
  if (this->calls.size() >= kMaxCalls ||
      this->bytes + call_bytes > kMaxCallBytes) {
    this->effects.emplace_back(
        AnswerCaller{id,
                     {.code = base::ResultCode::kOverloaded,
                      .retry_after = kRejectionRetryDelay,
                      .detail = "too many calls wait on this host"}});
    return id;
  }
  this->calls[id] = {.request = std::move(call),
                     .arrived_at = now,
                     .deadline = now + timeout,
                     .wait_until = now + std::min(timeout, kMaxPlannerWait),
                     .bytes = call_bytes};
  this->bytes += call_bytes;
  return id;
}

std::map<CallId, CallRouter::Call>::iterator CallRouter::Remove(
    std::map<CallId, Call>::iterator call) {
  this->bytes -= call->second.bytes;
  return this->calls.erase(call);
}

CallRouter::Call* CallRouter::FindAttempt(CallId id, uint32_t attempt) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return nullptr;
  // No answer is outstanding after Advance() has noticed that the planner was
  // replaced.
  Call& candidate = found->second;
  return candidate.attempt == attempt && candidate.asked_revision != 0
             ? &candidate
             : nullptr;
}

void CallRouter::WaitForPlanner(Call& call, base::Duration max_wait,
                                base::Duration retry_delay, base::Instant now) {
  call.asked_revision = 0;
  call.ask_not_before = now + retry_delay;
  call.wait_until = std::min(call.deadline, call.arrived_at + max_wait);
}

void CallRouter::OnAnswer(CallId id, uint32_t attempt,
                          const CallerAnswer& answer, base::Instant now) {
  Call* call = this->FindAttempt(id, attempt);
  if (call == nullptr) return;
  if (answer.term_ended) {
    // A call that only waited was not executed.
    this->OnNoAnswer(id, attempt,
                     answer.code == base::ResultCode::kOutcomeUnknown, now);
    return;
  }
  if (answer.code == base::ResultCode::kPeerUnreachable) {
    this->WaitForPlanner(*call, kMaxPlannerWait, kAskRetryDelay, now);
    call->last_refusal = answer;
    return;
  }
  // A submission has waited at the planner as long as that could help.
  if (answer.code == base::ResultCode::kStoreUnreachable &&
      call->request.verb != PeerVerb::kSubmit &&
      answer.retry_after <= kMaxAwaitedOutage) {
    this->WaitForPlanner(*call, kMaxReplacementWait, 2 * kAskRetryDelay, now);
    call->last_refusal = answer;
    return;
  }
  if (answer.unexamined && call->maybe_executed) {
    this->FailCall(id, *call);
    this->Remove(this->calls.find(id));
    return;
  }
  if (answer.code == base::ResultCode::kStoreUnreachable &&
      call->request.verb == PeerVerb::kDescribe) {
    this->effects.emplace_back(DescribeJobFromStore{id, call->request.job});
  } else {
    this->effects.emplace_back(AnswerCaller{id, answer});
  }
  this->Remove(this->calls.find(id));
}

void CallRouter::OnNoAnswer(CallId id, uint32_t attempt, bool maybe_executed,
                            base::Instant now) {
  Call* call = this->FindAttempt(id, attempt);
  if (call == nullptr) return;
  call->maybe_executed = call->maybe_executed || maybe_executed;
  this->WaitForPlanner(*call, now - call->arrived_at + kMaxPlannerWait,
                       kAskRetryDelay, now);
}

void CallRouter::FailCall(CallId id, const Call& call) {
  CallerAnswer answer = call.last_refusal.value_or(MakeNoPlannerAnswer());
  // A refusal only says that the planner could not serve the call; an earlier
  // attempt may have been executed all the same. A planner that knew the job as
  // stored, or had looked for it in the store, would have given an answer that
  // ends the call in OnAnswer(). As none has, the outcome is unknown.
  if (call.maybe_executed) {
    answer = {.code = base::ResultCode::kOutcomeUnknown,
              .detail = "the planner did not answer"};
  }
  this->effects.emplace_back(AnswerCaller{id, std::move(answer)});
}

void CallRouter::SendToPlanner(CallId id, Call& call, base::Instant now) {
  call.asked_revision = this->planner->revision;
  ++call.attempt;
  this->effects.emplace_back(
      AskPlanner{.call = id,
                 .attempt = call.attempt,
                 .planner = *this->planner,
                 .request = &call.request,
                 .timeout = std::max(call.deadline - now, kAskRetryDelay)});
}

std::vector<RouterEffect> CallRouter::Advance(base::Instant now) {
  for (auto entry = this->calls.begin(); entry != this->calls.end();) {
    auto& [id, call] = *entry;
    const bool replaced = call.asked_revision != 0 && this->planner &&
                          this->planner->revision > call.asked_revision;
    if (replaced) {
      call.maybe_executed = true;
      call.asked_revision = 0;
      call.ask_not_before = now;
    }
    if (call.asked_revision != 0) {
      ++entry;
      continue;
    }
    const bool may_wait = now < call.wait_until;
    if (this->planner && now >= call.ask_not_before && now < call.deadline &&
        (may_wait || call.attempt == 0 || replaced)) {
      this->SendToPlanner(id, call, now);
      ++entry;
      continue;
    }
    // The store can only be asked for a job that is known, after routing.
    const bool is_describe =
        call.request.verb == PeerVerb::kDescribe && !call.request.job.empty();
    if (may_wait && !is_describe && (this->planner || this->store_reachable)) {
      ++entry;
      continue;
    }
    if (is_describe) {
      this->effects.emplace_back(DescribeJobFromStore{id, call.request.job});
    } else {
      this->FailCall(id, call);
    }
    entry = this->Remove(entry);
  }
  return std::exchange(this->effects, {});
}

std::vector<RouterEffect> CallRouter::EndAll() {
  this->bytes = 0;
  for (auto& [id, call] : std::exchange(this->calls, {})) {
    const bool changes_nothing = call.request.verb == PeerVerb::kDescribe ||
                                 call.request.verb == PeerVerb::kCountPending;
    call.maybe_executed =
        !changes_nothing && (call.maybe_executed || call.asked_revision != 0);
    this->FailCall(id, call);
  }
  return std::exchange(this->effects, {});
}

}  // namespace agatepass::pool
