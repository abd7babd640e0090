#include "agatepass/pool/advice_choice.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Slots to look for per waiting task, a slot being free capacity for one task
 * on a worker; some are taken by other tasks before the answer arrives. */
constexpr double kSlotsPerTask = 3;

/** Weight of a slot in use relative to a free one, as it may become free. */
constexpr double kUsedSlotWeight = 0.2;

/** Minimum number of slots that a further query has to be expected to find, as
 * a share of the number of unplaced tasks. */
constexpr double kMinFoundShare = 0.4;

/** Time after its last query after which a step that cannot start asks about
 * any worker with free capacity. */
constexpr base::Duration kMaxTimeBetweenQueries =
    std::chrono::milliseconds(1000);

/** Estimate before the first answer. */
constexpr double kInitialAllowedShare = 0.4;

/** Weight of the latest answer in the exponential moving average. */
constexpr double kSmoothingFactor = 0.1;

/** Answers without a start after which a step begins to wait between queries:
 * wide steps need several. */
constexpr uint32_t kAnswersWithoutDelay = 3;

/** Delay after the first answer beyond those, and how often it doubles, for a
 * job in time and for a late one. */
constexpr base::Duration kFirstQueryDelay = std::chrono::milliseconds(50);
constexpr uint32_t kMaxDoublings = 1;
constexpr uint32_t kMaxDoublingsIfLate = 5;

/** Returns the expected number of free slots on the worker when the answer
 * arrives. */
double EstimateSlots(const AdviceCandidate& worker) {
  const uint32_t used_slots = worker.fits_when_empty - worker.fits_now;
  return worker.fits_now + kUsedSlotWeight * used_slots;
}

}  // namespace

std::vector<size_t> ChooseWorkersToName(std::vector<AdviceCandidate> candidates,
                                        const AdviceDemand& demand) {
  const auto full = std::stable_partition(
      candidates.begin(), candidates.end(),
      [](const AdviceCandidate& entry) { return entry.fits_now > 0; });
  std::stable_sort(
      candidates.begin(), full,
      [](const AdviceCandidate& left, const AdviceCandidate& right) {
        return left.fits_now > right.fits_now;
      });
  const double wanted = kSlotsPerTask * demand.tasks;
  double slots = 0;
  std::vector<size_t> chosen;
  for (const AdviceCandidate& candidate : candidates) {
    if (chosen.size() >= demand.max_workers) break;
    if (chosen.size() >= demand.min_workers && slots >= wanted) break;
    slots += demand.allowed_share * EstimateSlots(candidate);
    chosen.push_back(candidate.worker);
  }
  return chosen;
}

bool IsQueryWorthwhile(const QueryGain& gain) {
  if (gain.unplaced_tasks == 0) return false;
  if (gain.cannot_start && gain.since_last_query >= kMaxTimeBetweenQueries) {
    return true;
  }
  return gain.expected_slots >= kMinFoundShare * gain.unplaced_tasks;
}

base::Duration DelayBeforeNextQuery(uint32_t answers_without_start,
                                    bool is_late) {
  if (answers_without_start <= kAnswersWithoutDelay) return base::Duration(0);
  const uint32_t doublings =
      std::min(answers_without_start - kAnswersWithoutDelay - 1,
               is_late ? kMaxDoublingsIfLate : kMaxDoublings);
  return kFirstQueryDelay * (1U << doublings);
}

void AllowedShareEstimator::OnAnswer(const std::string& queue, size_t named,
                                     size_t allowed) {
  if (named == 0) return;
  const double share =
      static_cast<double>(allowed) / static_cast<double>(named);
  const auto [entry, inserted] = this->shares.emplace(queue, share);
  if (!inserted) entry->second += kSmoothingFactor * (share - entry->second);
}

double AllowedShareEstimator::EstimateShare(const std::string& queue) const {
  const auto found = this->shares.find(queue);
  return found == this->shares.end() ? kInitialAllowedShare : found->second;
}

}  // namespace agatepass::pool
