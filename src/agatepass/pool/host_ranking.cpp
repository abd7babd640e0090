#include "agatepass/pool/host_ranking.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Candidacy delay of a host with one core; the delay is inversely proportional
 * to the processor share. */
constexpr double kWholeCoreDelaySeconds = 0.012;

/** Smaller processor shares count as this one, so that the delay stays bounded.
 */
constexpr double kMinProcessorShare = 0.05;

/** Number of store response times that are added to the delay: a decision of
 * the planner takes several store calls. */
constexpr int kStoreResponseTimesInDelay = 2;

/** Upper bound of the part of the delay that comes from the response time of
 * the store: a store this slow is slow for all hosts. */
constexpr base::Duration kMaxStoreDelay = std::chrono::milliseconds(60);

/** Maximum random delay, to separate equal hosts. */
constexpr double kJitterSeconds = 0.015;

/** Minimum ratio of processor shares for a host to count as much better. */
constexpr double kMuchBetterRatio = 1.5;

}  // namespace

base::Duration ComputeCandidacyDelay(double processor_share,
                                     base::Duration store_response_time,
                                     double jitter) {
  const double seconds =
      kWholeCoreDelaySeconds / std::max(processor_share, kMinProcessorShare) +
      kJitterSeconds * jitter;
  return std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double>(seconds)) +
         std::min(kStoreResponseTimesInDelay * store_response_time,
                  kMaxStoreDelay);
}

bool IsMuchBetter(const PlannerCandidate& other, double own_processor_share) {
  return other.processor_share >= kMuchBetterRatio * own_processor_share;
}

std::vector<base::Endpoint> ChooseStandbys(
    std::span<const PlannerCandidate> hosts, size_t max_count) {
  std::vector<PlannerCandidate> ranked(hosts.begin(), hosts.end());
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const PlannerCandidate& left, const PlannerCandidate& right) {
        return left.processor_share > right.processor_share;
      });
  if (ranked.size() > max_count) ranked.resize(max_count);
  std::vector<base::Endpoint> standbys;
  standbys.reserve(ranked.size());
  for (const PlannerCandidate& host : ranked) standbys.push_back(host.endpoint);
  return standbys;
}

}  // namespace agatepass::pool
