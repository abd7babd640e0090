#include "agatepass/pool/call_router.h"

#include <algorithm>
#include <utility>

namespace agatepass::pool {

namespace {

/** Wait before a planner that could not serve a call is asked again. */
constexpr base::Duration kAskAgain = std::chrono::milliseconds(50);

/** A planner that expects the store to be away for longer than this has been
 * without it for a while: nobody else took its office. */
constexpr base::Duration kShortOutage = std::chrono::seconds(1);

/** When a caller may come back while no planner is known. */
constexpr base::Duration kNoPlannerRetry = std::chrono::seconds(1);

CallerAnswer NoPlanner() {
  return {.code = base::ResultCode::kPeerUnreachable,
          .retry_after = kNoPlannerRetry,
          .detail = "no planner is in office"};
}

}  // namespace

CallId CallRouter::Add(PeerCall call, base::Duration time, base::Instant now) {
  const CallId id = this->next++;
  if (this->calls.size() >= kMostCalls) {
    this->effects.emplace_back(
        AnswerCaller{id,
                     {.code = base::ResultCode::kOverloaded,
                      .retry_after = kNoPlannerRetry,
                      .detail = "too many calls wait on this host"}});
    return id;
  }
  this->calls[id] = {.request = std::move(call),
                     .arrived = now,
                     .deadline = now + time,
                     .waits_until = now + std::min(time, kPlannerWait)};
  return id;
}

CallRouter::Call* CallRouter::FindAttempt(CallId id, uint32_t attempt) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) return nullptr;
  // The answer of a planner that was replaced comes too late.
  Call& present = found->second;
  return present.attempt == attempt && present.asked != 0 ? &present : nullptr;
}

void CallRouter::Wait(Call& call, base::Duration longest, base::Duration retry,
                      base::Instant now) {
  call.asked = 0;
  call.ask_from = now + retry;
  call.waits_until = std::min(call.deadline, call.arrived + longest);
}

void CallRouter::OnAnswer(CallId id, uint32_t attempt,
                          const CallerAnswer& answer, base::Instant now) {
  Call* call = this->FindAttempt(id, attempt);
  if (call == nullptr) return;
  if (answer.term_ended) {
    this->OnNoAnswer(id, attempt, true, now);
    return;
  }
  if (answer.code == base::ResultCode::kPeerUnreachable) {
    this->Wait(*call, kPlannerWait, kAskAgain, now);
    call->refusal = answer;
    return;
  }
  if (answer.code == base::ResultCode::kStoreUnreachable &&
      answer.retry_after <= kShortOutage) {
    this->Wait(*call, kStoreWait, 2 * kAskAgain, now);
    call->refusal = answer;
    return;
  }
  if (answer.code == base::ResultCode::kStoreUnreachable &&
      call->request.verb == PeerVerb::kDescribe) {
    this->effects.emplace_back(DescribeWithoutPlanner{id, call->request.job});
  } else {
    this->effects.emplace_back(AnswerCaller{id, answer});
  }
  this->calls.erase(id);
}

void CallRouter::OnNoAnswer(CallId id, uint32_t attempt, bool may_be_done,
                            base::Instant now) {
  Call* call = this->FindAttempt(id, attempt);
  if (call == nullptr) return;
  call->may_be_done = call->may_be_done || may_be_done;
  this->Wait(*call, now - call->arrived + kPlannerWait, kAskAgain, now);
}

void CallRouter::GiveUp(CallId id, const Call& call) {
  CallerAnswer answer = call.refusal.value_or(NoPlanner());
  // A planner that knows the job, or has read the store, would have said so.
  if (call.may_be_done) {
    answer = {.code = base::ResultCode::kOutcomeUnknown,
              .detail = "the planner did not answer"};
  }
  this->effects.emplace_back(AnswerCaller{id, std::move(answer)});
}

void CallRouter::Ask(CallId id, Call& call, base::Instant now) {
  call.asked = this->planner->revision;
  ++call.attempt;
  this->effects.emplace_back(
      AskPlanner{.call = id,
                 .attempt = call.attempt,
                 .planner = *this->planner,
                 .request = &call.request,
                 .timeout = std::max(call.deadline - now, kAskAgain)});
}

std::vector<RouterEffect> CallRouter::Advance(base::Instant now) {
  for (auto entry = this->calls.begin(); entry != this->calls.end();) {
    auto& [id, call] = *entry;
    const bool replaced = call.asked != 0 && this->planner &&
                          this->planner->revision > call.asked;
    if (replaced) {
      call.may_be_done = true;
      call.asked = 0;
      call.ask_from = now;
    }
    if (call.asked != 0) {
      ++entry;
      continue;
    }
    const bool waits = now < call.waits_until;
    if (this->planner && now >= call.ask_from && now < call.deadline &&
        (waits || call.attempt == 0 || replaced)) {
      this->Ask(id, call, now);
      ++entry;
      continue;
    }
    const bool about_job = call.request.verb == PeerVerb::kDescribe;
    if (waits && !about_job && (this->planner || this->store_answers)) {
      ++entry;
      continue;
    }
    if (about_job) {
      this->effects.emplace_back(DescribeWithoutPlanner{id, call.request.job});
    } else {
      this->GiveUp(id, call);
    }
    entry = this->calls.erase(entry);
  }
  return std::exchange(this->effects, {});
}

}  // namespace agatepass::pool
