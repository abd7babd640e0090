#include "agatepass/membership/rendezvous.h"

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

}  // namespace

base::HostId ChooseByRendezvous(std::string_view item,
                                std::span<const base::HostId> hosts) {
  constexpr uint64_t kOffset = 0xcbf29ce484222325;
  const uint64_t item_hash = HashText(item, kOffset);
  base::HostId best;
  uint64_t best_weight = 0;
  for (const base::HostId& host : hosts) {
    const uint64_t weight = Mix(HashText(host.value, item_hash));
    const bool wins = best.empty() || weight > best_weight ||
                      (weight == best_weight && host < best);
    if (!wins) continue;
    best = host;
    best_weight = weight;
  }
  return best;
}

}  // namespace agatepass::membership
