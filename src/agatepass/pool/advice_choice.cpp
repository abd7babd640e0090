#include "agatepass/pool/advice_choice.h"

#include <algorithm>
#include <utility>

namespace agatepass::pool {

namespace {

/** Places to find for each waiting task: others start in the meantime. */
constexpr double kPlacesPerTask = 3;

/** Part of the room in use that counts as a place: it may become free. */
constexpr double kBusyPlaceShare = 0.2;

/** Part of the missing places that a further query should find at least. */
constexpr double kWorthAskingShare = 0.4;

/** Expected before the first answer. */
constexpr double kFirstShare = 0.4;

/** Part of an expectation that the latest answer replaces. */
constexpr double kShareGain = 0.1;

double PlacesOn(const AdviceCandidate& worker) {
  const uint32_t busy = worker.fits_when_empty - worker.fits_now;
  return worker.fits_now + kBusyPlaceShare * busy;
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
  std::vector<base::WorkerId> named;
  for (AdviceCandidate& candidate : candidates) {
    if (named.size() >= demand.max_workers) break;
    if (named.size() >= demand.min_workers && places >= wanted) break;
    places += demand.allowed_share * PlacesOn(candidate);
    named.push_back(std::move(candidate.worker));
  }
  return named;
}

bool IsQueryWorthwhile(double expected, uint32_t missing) {
  return missing > 0 && expected >= kWorthAskingShare * missing;
}

void AllowedShareEstimator::OnAnswer(const std::string& queue, size_t asked,
                                     size_t good) {
  if (asked == 0) return;
  const double seen = static_cast<double>(good) / static_cast<double>(asked);
  const auto [entry, first] = this->shares.emplace(queue, seen);
  if (!first) entry->second += kShareGain * (seen - entry->second);
}

double AllowedShareEstimator::EstimateShare(const std::string& queue) const {
  const auto found = this->shares.find(queue);
  return found == this->shares.end() ? kFirstShare : found->second;
}

}  // namespace agatepass::pool
