#include "agatepass/jobs/store_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatepass::jobs {

StoreBudget::StoreBudget(const StoreBudgetOptions& options, uint64_t seed)
    : options(options),
      delay(options.first_pause, options.longest_pause, seed),
      tokens(options.burst) {}

std::optional<NumberedStoreCall> StoreBudget::Add(NumberedStoreCall call) {
  const auto order = static_cast<size_t>(call.call.call_class);
  this->queues[order].push_back(std::move(call));
  if (this->waiting() <= this->options.queue_limit) return std::nullopt;
  for (size_t least = kClasses; least-- > 0;) {
    auto& queue = this->queues[least];
    if (queue.empty()) continue;
    NumberedStoreCall dropped = std::move(queue.back());
    queue.pop_back();
    return dropped;
  }
  return std::nullopt;
}

void StoreBudget::Refill(base::Instant now) {
  if (this->refilled && now > *this->refilled) {
    const double earned =
        base::ToSeconds(now - *this->refilled) * this->options.calls_per_second;
    this->tokens = std::min(this->options.burst, this->tokens + earned);
  }
  this->refilled = std::max(now, this->refilled.value_or(now));
}

std::vector<NumberedStoreCall> StoreBudget::TakeDue(base::Instant now) {
  this->Refill(now);
  std::vector<NumberedStoreCall> due;
  for (size_t order = 0; order < kClasses; ++order) {
    const bool urgent =
        order == static_cast<size_t>(platform::CallClass::kUrgent);
    if (!urgent && now < this->paused_until) break;
    const double floor = urgent ? 0 : this->options.urgent_reserve;
    auto& queue = this->queues[order];
    while (!queue.empty() && this->tokens >= floor + 1) {
      this->tokens -= 1;
      due.push_back(std::move(queue.front()));
      queue.pop_front();
    }
  }
  return due;
}

void StoreBudget::OnOutcome(platform::Outcome outcome, base::Instant now) {
  const bool answered = outcome == platform::Outcome::kDone ||
                        outcome == platform::Outcome::kRefused;
  if (answered) {
    this->delay.Reset();
    this->paused_until = std::min(this->paused_until, now);
  } else if (now >= this->paused_until) {
    this->paused_until = now + this->delay.Next();
  }
}

std::optional<base::Instant> StoreBudget::NextWake(base::Instant now) const {
  const bool urgent = !this->queues[0].empty();
  if (this->waiting() == 0) return std::nullopt;
  const double floor = urgent ? 0 : this->options.urgent_reserve;
  const double missing = std::max(0.0, floor + 1 - this->tokens);
  const auto wait = base::Duration(static_cast<int64_t>(
      std::ceil(missing / this->options.calls_per_second * 1e6)));
  const base::Instant paid = this->refilled.value_or(now) + wait;
  return urgent ? std::max(paid, now)
                : std::max({paid, now, this->paused_until});
}

size_t StoreBudget::waiting() const {
  size_t total = 0;
  for (const auto& queue : this->queues) total += queue.size();
  return total;
}

}  // namespace agatepass::jobs
