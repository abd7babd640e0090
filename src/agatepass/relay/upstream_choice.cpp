#include "agatepass/relay/upstream_choice.h"

#include <algorithm>
#include <vector>

namespace agatepass::relay {

namespace {

double Pull(const Candidate& candidate) {
  return candidate.share * candidate.weight;
}

double Filled(const Candidate& candidate) {
  return (candidate.outstanding + 1) / Pull(candidate);
}

std::vector<Candidate> NearestWithRoom(std::span<const Candidate> candidates) {
  std::vector<Candidate> nearest;
  for (const Candidate& candidate : candidates) {
    if (candidate.outstanding >= candidate.share) continue;
    if (!nearest.empty() && candidate.distance < nearest[0].distance)
      nearest.clear();
    if (nearest.empty() || candidate.distance == nearest[0].distance)
      nearest.push_back(candidate);
  }
  return nearest;
}

const Candidate& Draw(std::span<const Candidate> candidates, double total,
                      std::mt19937_64& random) {
  double point = static_cast<double>(random() >> 11U) * 0x1.0p-53 * total;
  for (const Candidate& candidate : candidates) {
    point -= Pull(candidate);
    if (point < 0) return candidate;
  }
  return candidates.back();
}

}  // namespace

std::optional<size_t> ChooseUpstream(std::span<const Candidate> candidates,
                                     std::mt19937_64& random) {
  const std::vector<Candidate> nearest = NearestWithRoom(candidates);
  if (nearest.empty()) return std::nullopt;
  double total = 0;
  for (const Candidate& candidate : nearest) total += Pull(candidate);
  const Candidate& first = Draw(nearest, total, random);
  const Candidate& second = Draw(nearest, total, random);
  return Filled(second) < Filled(first) ? second.index : first.index;
}

}  // namespace agatepass::relay
