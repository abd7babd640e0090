#include "agatepass/pool/advice_choice.h"

#include <algorithm>
#include <utility>

namespace agatepass::pool {

namespace {

/** Places to look for per waiting task; some are taken by other tasks before
 * the answer arrives. */
constexpr double kPlacesPerTask = 3;

/** Weight of a place in use relative to a free one, as it may become free. */
constexpr double kBusyPlaceWeight = 0.2;

/** Minimum share of the missing places that a further query has to be expected
 * to find. */
constexpr double kMinFoundShare = 0.4;

/** Estimate before the first answer. */
constexpr double kInitialAllowedShare = 0.4;

/** Weight of the latest answer in the exponential moving average. */
constexpr double kSmoothingFactor = 0.1;

double CountExpectedPlaces(const AdviceCandidate& worker) {
  const uint32_t busy = worker.fits_when_empty - worker.fits_now;
  return worker.fits_now + kBusyPlaceWeight * busy;
}

}  // namespace

std::vector<base::WorkerId> ChooseWorkersToAsk(
    std::vector<AdviceCandidate> candidates, const AdviceDemand& demand) {
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const AdviceCandidate& left, const AdviceCandidate& right) {
        return left.fits_now > right.fits_now;
      });
  const double wanted = kPlacesPerTask * demand.tasks;
  double places = 0;
  std::vector<base::WorkerId> chosen;
  for (AdviceCandidate& candidate : candidates) {
    if (chosen.size() >= demand.max_workers) break;
    if (chosen.size() >= demand.min_workers && places >= wanted) break;
    places += demand.allowed_share * CountExpectedPlaces(candidate);
    chosen.push_back(std::move(candidate.worker));
  }
  return chosen;
}

bool IsQueryWorthwhile(double expected, uint32_t missing) {
  return missing > 0 && expected >= kMinFoundShare * missing;
}

void AllowedShareEstimator::OnAnswer(const std::string& queue, size_t asked,
                                     size_t allowed) {
  if (asked == 0) return;
  const double share =
      static_cast<double>(allowed) / static_cast<double>(asked);
  const auto [entry, inserted] = this->shares.emplace(queue, share);
  if (!inserted) entry->second += kSmoothingFactor * (share - entry->second);
}

double AllowedShareEstimator::EstimateShare(const std::string& queue) const {
  const auto found = this->shares.find(queue);
  return found == this->shares.end() ? kInitialAllowedShare : found->second;
}

}  // namespace agatepass::pool
