#include "agatepass/node/upstream_shares.h"

#include <algorithm>

namespace agatepass::node {

namespace {

/** Even parts of `total`; the first ranks get one more. */
int PartOf(int total, size_t rank, size_t parts) {
  const int even = total / static_cast<int>(parts);
  const auto rest = static_cast<size_t>(total) % parts;
  return even + (rank < rest ? 1 : 0);
}

}  // namespace

std::vector<relay::UpstreamShare> UpstreamShares::Divide(
    std::span<const platform::HostRecord> hosts,
    std::span<const relay::ServiceRule> rules, base::Instant now) {
  std::vector<base::HostId> entry_hosts;
  std::vector<const platform::HostRecord*> upstreams;
  for (const platform::HostRecord& host : hosts) {
    if (host.data_centre != this->data_centre) continue;
    if (host.role == platform::HostRole::kEntryHost) {
      entry_hosts.emplace_back(host.name);
    } else if (host.role == platform::HostRole::kUpstream) {
      upstreams.push_back(&host);
    }
  }
  std::sort(entry_hosts.begin(), entry_hosts.end());
  std::sort(upstreams.begin(), upstreams.end(),
            [](const auto* left, const auto* right) {
              return left->name < right->name;
            });
  const auto own =
      std::find(entry_hosts.begin(), entry_hosts.end(), this->self);
  std::vector<relay::UpstreamShare> shares;
  if (own == entry_hosts.end()) return shares;
  const auto own_rank = static_cast<size_t>(own - entry_hosts.begin());
  for (size_t number = 0; number < upstreams.size(); ++number) {
    const auto rule = std::find_if(
        rules.begin(), rules.end(), [&](const relay::ServiceRule& entry) {
          return entry.service == upstreams[number]->service;
        });
    if (rule == rules.end()) continue;
    // Ranks turn with the upstream, so that nobody gets every remainder.
    const size_t rank = (own_rank + number) % entry_hosts.size();
    const base::UpstreamId id(upstreams[number]->name);
    const relay::UpstreamShare target{
        id, PartOf(rule->slots, rank, entry_hosts.size()),
        PartOf(rule->connections, rank, entry_hosts.size())};
    const auto [entry, is_new] =
        this->by_upstream.try_emplace(id, Held{target, target, now});
    if (!is_new) this->Settle(entry->second, target, now);
    shares.push_back(entry->second.share);
  }
  return shares;
}

void UpstreamShares::Settle(Held& held, const relay::UpstreamShare& target,
                            base::Instant now) const {
  if (held.target != target) {
    held.target = target;
    held.target_since = now;
  }
  held.share.slots = std::min(held.share.slots, target.slots);
  held.share.connections = std::min(held.share.connections, target.connections);
  if (now - held.target_since >= this->growth_delay) held.share = target;
}

}  // namespace agatepass::node
