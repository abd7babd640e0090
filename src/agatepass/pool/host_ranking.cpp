#include "agatepass/pool/host_ranking.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Wait of a host with a whole core; one with half a core waits twice this. */
constexpr double kWholeCoreDelaySeconds = 0.012;

/** Host shares below this are all alike. */
constexpr double kLeastShare = 0.05;

/** Store answers that a host waits: planning takes several calls each time. */
constexpr int kStoreAnswers = 2;

/** Longest wait for that: a store that is slow is slow for all hosts. */
constexpr base::Duration kLongestStoreDelay = std::chrono::milliseconds(60);

/** Spread of the waits of equal hosts. */
constexpr double kDrawSeconds = 0.015;

/** Times the planner's processor that a much better host has. */
constexpr double kMuchBetter = 1.5;

}  // namespace

base::Duration ComputeCandidacyDelay(double processor_share,
                                     base::Duration store_answer, double draw) {
  const double seconds =
      kWholeCoreDelaySeconds / std::max(processor_share, kLeastShare) +
      kDrawSeconds * draw;
  return std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double>(seconds)) +
         std::min(kStoreAnswers * store_answer, kLongestStoreDelay);
}

bool IsMuchBetter(const PlannerCandidate& other, double own_processor_share) {
  return other.processor_share >= kMuchBetter * own_processor_share;
}

std::vector<base::Endpoint> ChooseStandbys(
    std::span<const PlannerCandidate> hosts, size_t most) {
  std::vector<PlannerCandidate> ranked(hosts.begin(), hosts.end());
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const PlannerCandidate& left, const PlannerCandidate& right) {
        return left.processor_share > right.processor_share;
      });
  if (ranked.size() > most) ranked.resize(most);
  std::vector<base::Endpoint> deputies;
  deputies.reserve(ranked.size());
  for (const PlannerCandidate& host : ranked) deputies.push_back(host.endpoint);
  return deputies;
}

}  // namespace agatepass::pool
