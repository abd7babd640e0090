/** \file
 * How many starts a second a planner can carry, from the time that it spends,
 * and how much of that is spoken for. Deterministic: time comes in as a
 * parameter.
 */
#ifndef AGATEPASS_POOL_START_CAPACITY_H_
#define AGATEPASS_POOL_START_CAPACITY_H_

#include <cmath>
#include <cstdint>
#include <limits>
#include <map>

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Estimates the starts a second that fit into the planner's time, with all
 * that belongs to a start: its call, its end, its share of syncs, advice and
 * commits.
 *
 * \code
 * capacity.OnPeriod(starts, busy, period);  // Several times a second.
 * capacity.OnAccepted(priority, tasks, now);
 * const double rate = capacity.RateFor(priority, now);
 * \endcode
 */
class StartCapacity {
 public:
  /** Records what was done in a period. In one with few starts most of the time
   * went elsewhere, and a planner that waits can carry more than it does: what
   * was known is forgotten little by little.
   * \param busy part of the period in which the planner was not waiting. */
  void OnPeriod(uint64_t starts, base::Duration busy, base::Duration period) {
    if (busy < kMinBusyShare * period || starts < kMinStarts) {
      this->start_cost_s *= kIdleRemainder;
      return;
    }
    const double cost_s = base::ToSeconds(busy) / static_cast<double>(starts);
    if (this->start_cost_s == 0) this->start_cost_s = cost_s;
    // All else that the planner did is counted too: a start costs less at most.
    const double weight =
        cost_s < this->start_cost_s ? kWeightOfLess : kWeightOfMore;
    this->start_cost_s += weight * (cost_s - this->start_cost_s);
  }

  /** Records the tasks of a job that was accepted. */
  void OnAccepted(uint32_t priority, double tasks, base::Instant now) {
    DecayingSum& sum = this->accepted[priority];
    sum.value = sum.At(now) + tasks;
    sum.at = now;
  }

  /** Starts a second that fit into all of the planner's time; infinite while
   * that is unknown. */
  double starts_per_second() const {
    return this->start_cost_s == 0 ? std::numeric_limits<double>::infinity()
                                   : 1 / this->start_cost_s;
  }

  /** Starts a second that queues of higher priority leave to one of this
   * priority, by what was accepted lately; some are always left, as what is
   * accepted may come to an end. */
  double RateFor(uint32_t priority, base::Instant now) const {
    const double usable = kUsableShare * this->starts_per_second();
    double taken = 0;
    for (const auto& [other, sum] : this->accepted) {
      if (other < priority) taken += sum.At(now) / base::ToSeconds(kMemory);
    }
    return std::max(usable - taken, kMinRemainder * usable);
  }

 private:
  static constexpr uint64_t kMinStarts = 20;
  static constexpr double kMinBusyShare = 0.6;
  /** Weight of the latest period if a start cost less or more in it. */
  static constexpr double kWeightOfLess = 0.5;
  static constexpr double kWeightOfMore = 0.2;
  /** Part of the known cost that is left after a period that tells none. */
  static constexpr double kIdleRemainder = 0.8;
  /** Part of the capacity that is counted on, so that a backlog goes. */
  static constexpr double kUsableShare = 0.9;
  static constexpr double kMinRemainder = 0.1;
  /** Time in which what was accepted is forgotten by a factor of e. */
  static constexpr base::Duration kMemory = std::chrono::seconds(2);

  /** A sum of which the older parts count less and less. */
  struct DecayingSum {
    double value = 0;
    base::Instant at;

    double At(base::Instant now) const {
      return this->value * std::exp(-base::ToSeconds(now - this->at) /
                                    base::ToSeconds(kMemory));
    }
  };

  /** Time of the planner for one start; 0 while unknown. */
  double start_cost_s = 0;
  /** Tasks of accepted jobs, by priority. */
  std::map<uint32_t, DecayingSum> accepted;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_START_CAPACITY_H_
