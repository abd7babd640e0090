/** \file
 * Which workers a query for advice names.
 *
 * Answers pools of more workers than one query can name, and queries whose cost
 * grows with each worker named: enough workers are named that the step should
 * find room on those that may run it, and the ones with room come first.
 */
#ifndef AGATEPASS_POOL_ADVICE_CHOICE_H_
#define AGATEPASS_POOL_ADVICE_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"

namespace agatepass::pool {

/** A worker that has not been asked about. */
struct AdviceCandidate {
  base::WorkerId worker;
  /** Tasks of the step that fit beside what runs there now. */
  uint32_t fits_now = 0;
  /** Tasks that fit once all that runs there has ended. */
  uint32_t fits_when_empty = 0;
};

/** What a query is for. */
struct AdviceDemand {
  /** Tasks that wait for a worker. */
  uint32_t tasks = 0;
  /** Part of the workers named that is expected to be allowed, 0 to 1. */
  double allowed_share = 0;
  /** Fewest and most workers to name. */
  size_t min_workers = 0;
  size_t max_workers = 0;
};

/** Returns the workers to name, those with the most room first.
 *
 * \code
 * ChooseWorkersToAsk({{w1, 0, 2}, {w2, 2, 2}}, {.tasks = 1, .good_share = 1,
 *                    .least_workers = 1, .most_workers = 100});  // {w2}
 * \endcode
 */
std::vector<base::WorkerId> ChooseWorkersToAsk(
    std::vector<AdviceCandidate> candidates, const AdviceDemand& demand);

/** Whether one more query about a step that is known pays: it keeps the step
 * from renewing its tickets meanwhile.
 * \param expected places that the query should find.
 * \param missing places that the step lacks. */
bool IsQueryWorthwhile(double expected, uint32_t missing);

/** Part of the workers named that the advice service allows, for each queue. */
class AllowedShareEstimator {
 public:
  /** A query about `asked` workers of a queue named `good` of them. */
  void OnAnswer(const std::string& queue, size_t asked, size_t allowed);

  /** Returns the share to expect, 0 to 1. */
  double EstimateShare(const std::string& queue) const;

 private:
  std::map<std::string, double> shares;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_ADVICE_CHOICE_H_
