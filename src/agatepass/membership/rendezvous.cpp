#include "agatepass/membership/rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace agatepass::membership {

namespace {

// FNV-1a with a final mix: every process has to compute the same value, which
// rules out hashes that are seeded for each process.
uint64_t HashText(std::string_view text, uint64_t hash) {
  constexpr uint64_t kPrime = 0x100000001b3;
  for (const char letter : text) {
    hash ^= static_cast<unsigned char>(letter);
    hash *= kPrime;
  }
  return hash;
}

uint64_t Mix(uint64_t hash) {
  constexpr uint64_t kFirst = 0xff51afd7ed558ccd;
  constexpr uint64_t kSecond = 0xc4ceb9fe1a85ec53;
  constexpr unsigned kShift = 33;
  hash = (hash ^ (hash >> kShift)) * kFirst;
  hash = (hash ^ (hash >> kShift)) * kSecond;
  return hash ^ (hash >> kShift);
}

constexpr uint64_t kOffset = 0xcbf29ce484222325;

uint64_t Weigh(std::string_view item, const base::HostId& host) {
  return Mix(HashText(host.value, HashText(item, kOffset)));
}

}  // namespace

base::HostId ChooseByRendezvous(std::string_view item,
                                std::span<const base::HostId> hosts) {
  base::HostId best;
  uint64_t best_weight = 0;
  for (const base::HostId& host : hosts) {
    const uint64_t weight = Weigh(item, host);
    const bool wins = best.empty() || weight > best_weight ||
                      (weight == best_weight && host < best);
    if (!wins) continue;
    best = host;
    best_weight = weight;
  }
  return best;
}

std::vector<base::HostId> SpreadByRendezvous(
    std::span<const std::string_view> items,
    std::span<const base::HostId> hosts) {
  std::vector<base::HostId> result(items.size());
  if (hosts.empty()) return result;
  struct Bid {
    uint64_t weight = 0;
    size_t item = 0;
    size_t host = 0;
  };
  std::vector<Bid> bids;
  bids.reserve(items.size() * hosts.size());
  for (size_t item = 0; item < items.size(); ++item) {
    for (size_t host = 0; host < hosts.size(); ++host) {
      bids.push_back({Weigh(items[item], hosts[host]), item, host});
    }
  }
  std::sort(bids.begin(), bids.end(), [&](const Bid& left, const Bid& right) {
    if (left.weight != right.weight) return left.weight > right.weight;
    if (items[left.item] != items[right.item]) {
      return items[left.item] < items[right.item];
    }
    return hosts[left.host] < hosts[right.host];
  });
  const size_t even = items.size() / hosts.size();
  size_t larger_shares = items.size() % hosts.size();
  std::vector<size_t> taken(hosts.size());
  for (const Bid& bid : bids) {
    if (!result[bid.item].empty() || taken[bid.host] > even) continue;
    if (taken[bid.host] == even) {
      if (larger_shares == 0) continue;
      --larger_shares;
    }
    result[bid.item] = hosts[bid.host];
    ++taken[bid.host];
  }
  return result;
}

}  // namespace agatepass::membership
