#include "agatepass/pool/crash_watch.h"

#include <cmath>

namespace agatepass::pool {

namespace {

/** Time in which the weight of a crash halves. */
constexpr base::Duration kHalfLife = std::chrono::seconds(5);

/** Weight from which a queue is contained, and below which no longer. One crash
 * alone may have any cause. */
constexpr double kContainFrom = 1.5;
constexpr double kContainUntil = 0.5;

}  // namespace

double CrashWatch::WeightAt(const Count& count, base::Instant now) {
  return count.weight * std::exp2(-base::ToSeconds(now - count.at) /
                                  base::ToSeconds(kHalfLife));
}

void CrashWatch::OnCrash(const std::string& queue, double weight,
                         base::Instant now) {
  const bool contained = this->IsContained(queue, now);
  Count& count = this->counts[queue];
  count.weight = WeightAt(count, now) + weight;
  count.at = now;
  count.contained = contained || count.weight >= kContainFrom;
}

bool CrashWatch::IsContained(const std::string& queue,
                             base::Instant now) const {
  const auto found = this->counts.find(queue);
  return found != this->counts.end() && found->second.contained &&
         WeightAt(found->second, now) >= kContainUntil;
}

}  // namespace agatepass::pool
