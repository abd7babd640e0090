#include "agatepass/pool/advice_dispatcher.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace agatepass::pool {

namespace {

/** One usable host in this many is reserved for short queries: at least one of
 * several, but none if only one host is usable. */
constexpr size_t kHostsPerReservedHost = 4;

}  // namespace

void AdviceDispatcher::OnHostSeen(const base::HostId& host,
                                  const base::Endpoint& endpoint,
                                  base::Instant now) {
  Host& entry = this->hosts[host];
  entry.endpoint = endpoint;
  entry.last_seen = now;
}

void AdviceDispatcher::Add(AdviceQuery query) {
  const auto rank = [](const AdviceQuery& entry) {
    return std::make_tuple(entry.priority,
                           entry.expected_duration > kLongQueryDuration);
  };
  const auto position = std::find_if(
      this->queries.begin(), this->queries.end(),
      [&](const AdviceQuery& other) { return rank(query) < rank(other); });
  this->queries.insert(position, std::move(query));
}

bool AdviceDispatcher::CanStartLongQuery(base::Instant now) const {
  size_t usable = 0;
  size_t busy_with_long = 0;
  for (const auto& [id, host] : this->hosts) {
    if (now > host.last_seen + kHostTimeout || now < host.backoff_until)
      continue;
    ++usable;
    if (host.busy_with_long) ++busy_with_long;
  }
  if (usable <= 1) return true;
  const size_t reserved = std::max<size_t>(1, usable / kHostsPerReservedHost);
  return busy_with_long + reserved < usable;
}

std::optional<AdviceAssignment> AdviceDispatcher::Next(base::Instant now) {
  const auto host =
      std::find_if(this->hosts.begin(), this->hosts.end(), [&](auto& entry) {
        const Host& candidate = entry.second;
        return !candidate.busy && now <= candidate.last_seen + kHostTimeout &&
               now >= candidate.backoff_until;
      });
  if (host == this->hosts.end()) return std::nullopt;
  const bool long_allowed = this->CanStartLongQuery(now);
  const auto query = std::find_if(
      this->queries.begin(), this->queries.end(),
      [&](const AdviceQuery& entry) {
        return long_allowed || entry.expected_duration <= kLongQueryDuration;
      });
  if (query == this->queries.end()) return std::nullopt;
  host->second.busy = true;
  host->second.busy_with_long = query->expected_duration > kLongQueryDuration;
  AdviceAssignment assignment{host->first, host->second.endpoint,
                              std::move(*query)};
  this->queries.erase(query);
  return assignment;
}

base::Duration AdviceDispatcher::OldestWait(base::Instant now) const {
  base::Duration oldest{0};
  for (const AdviceQuery& query : this->queries) {
    oldest = std::max(oldest, now - query.asked_at);
  }
  return oldest;
}

void AdviceDispatcher::OnDone(const base::HostId& host, bool answered,
                              base::Instant now) {
  const auto entry = this->hosts.find(host);
  if (entry == this->hosts.end()) return;
  entry->second.busy = false;
  entry->second.busy_with_long = false;
  if (!answered) entry->second.backoff_until = now + kHostBackoff;
}

}  // namespace agatepass::pool
