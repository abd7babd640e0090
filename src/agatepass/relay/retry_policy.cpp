#include "agatepass/relay/retry_policy.h"

#include <algorithm>

namespace agatepass::relay {

namespace {

constexpr int kMostAttempts = 3;

}  // namespace

void RetryBudget::OnSuccess() {
  this->earned = std::min(this->earned + this->share, kMostRetries);
}

bool RetryBudget::TrySpend() {
  if (this->earned < 1) return false;
  this->earned -= 1;
  return true;
}

bool MayRetry(const FailedAttempt& attempt, base::Instant now,
              base::Duration needed, RetryBudget* budget) {
  if (attempt.end == AttemptEnd::kAnswered) return false;
  if (attempt.end == AttemptEnd::kUnknown && !attempt.idempotent) return false;
  if (attempt.attempts >= kMostAttempts) return false;
  if (now + needed >= attempt.deadline) return false;
  return budget->TrySpend();
}

base::ResultCode FinalCode(AttemptEnd last, bool any_may_have_run) {
  if (last == AttemptEnd::kAnswered) return base::ResultCode::kOk;
  return any_may_have_run ? base::ResultCode::kOutcomeUnknown
                          : base::ResultCode::kUpstreamUnreachable;
}

}  // namespace agatepass::relay
