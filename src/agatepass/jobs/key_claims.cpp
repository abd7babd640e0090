#include "agatepass/jobs/key_claims.h"

#include <utility>

#include "fmt/format.h"

namespace agatepass::jobs {
namespace {

constexpr size_t kMaxCallsInFlight = 32;

}  // namespace

std::string ClaimKey(const base::TeamId& team, std::string_view key) {
  // The length keeps "a/b" + "c" apart from "a" + "b/c".
  return fmt::format("jobkey/{}:{}/{}", team.value.size(), team.value, key);
}

KeyClaims::KeyClaims(base::Duration first_retry, base::Duration longest_retry,
                     uint64_t seed, CallNumbers& numbers)
    : numbers(numbers), delay(first_retry, longest_retry, seed) {}

void KeyClaims::Claim(const base::JobId& job, const base::TeamId& team,
                      std::string_view key) {
  this->queue.push_back({job, ClaimKey(team, key)});
}

void KeyClaims::Free(const base::JobId& job, const base::TeamId& team,
                     std::string_view key) {
  this->queue.push_back({job, ClaimKey(team, key), true});
}

void KeyClaims::Poll(base::Instant now, std::vector<NumberedStoreCall>& calls) {
  if (this->retry_at && now < *this->retry_at) return;
  this->retry_at.reset();
  while (!this->queue.empty() && this->calls.size() < kMaxCallsInFlight) {
    Item item = std::move(this->queue.front());
    this->queue.pop_front();
    platform::StoreCall call;
    call.key = item.key;
    if (!item.free) {
      call.verb = platform::StoreVerb::kCompareAndSwap;
      call.value = item.job.value;
      call.call_class = platform::CallClass::kUrgent;
    } else {
      call.verb = item.revision == 0 ? platform::StoreVerb::kGet
                                     : platform::StoreVerb::kDelete;
      call.expected = item.revision;
      call.call_class = platform::CallClass::kBackground;
    }
    const uint64_t call_id = this->numbers.Take();
    this->calls.emplace(call_id, std::move(item));
    calls.push_back({call_id, std::move(call)});
  }
}

std::optional<KeyClaimResult> KeyClaims::OnReply(
    uint64_t call_id, const platform::StoreReply& reply, base::Instant now) {
  auto node = this->calls.extract(call_id);
  if (node.empty()) return std::nullopt;
  Item item = std::move(node.mapped());
  if (reply.outcome == platform::Outcome::kNotSent ||
      reply.outcome == platform::Outcome::kUnknown) {
    this->Retry(std::move(item), now);
    return std::nullopt;
  }
  this->delay.Reset();
  const platform::StoreEntry entry =
      reply.entries.empty() ? platform::StoreEntry{} : reply.entries.front();
  if (item.free) {
    const bool held = item.revision == 0 && entry.revision != 0 &&
                      entry.value == item.job.value;
    if (!held) return std::nullopt;
    item.revision = entry.revision;
    this->queue.push_back(std::move(item));
    return std::nullopt;
  }
  if (reply.outcome == platform::Outcome::kDone) {
    return KeyClaimResult{item.job, item.job};
  }
  if (entry.revision == 0) {
    // Refused by a value that is gone since: claim again.
    this->Retry(std::move(item), now);
    return std::nullopt;
  }
  // A repeat of this job's own claim whose answer was lost also ends here.
  return KeyClaimResult{item.job, base::JobId(entry.value)};
}

void KeyClaims::Retry(Item item, base::Instant now) {
  this->queue.push_front(std::move(item));
  if (!this->retry_at) this->retry_at = now + this->delay.Next();
}

std::optional<base::Instant> KeyClaims::NextWake() const {
  if (this->queue.empty() || this->calls.size() >= kMaxCallsInFlight) {
    return std::nullopt;
  }
  return this->retry_at.value_or(base::Instant::min());
}

}  // namespace agatepass::jobs
