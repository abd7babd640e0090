/** \file
 * Selects the workers that a query to the advice service names.
 *
 * For pools with more workers than one query can name, and for queries that
 * take longer with each worker named: a query names as many workers as are
 * expected to yield enough capacity for the step after the service has ruled
 * some of them out. Workers with free capacity are named first.
 */
#ifndef AGATEPASS_POOL_ADVICE_CHOICE_H_
#define AGATEPASS_POOL_ADVICE_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** A worker that the next query about the step could name. */
struct AdviceCandidate {
  /** Index of the worker in the planner. */
  size_t worker = 0;
  /** Number of the step's tasks that fit beside the current runs. */
  uint32_t fits_now = 0;
  /** Number of tasks that would fit if nothing ran there. */
  uint32_t fits_when_empty = 0;
};

/** Requirements on the workers that a query names. */
struct AdviceDemand {
  /** Number of tasks that wait for a worker. */
  uint32_t tasks = 0;
  /** Expected share of the named workers that the service allows, 0 to 1. */
  double allowed_share = 0;
  /** Minimum and maximum number of workers to name. */
  size_t min_workers = 0;
  size_t max_workers = 0;
};

/** Returns the indices of the workers to name, those with the most free
 * capacity first.
 *
 * \code
 * ChooseWorkersToName({{4, 0, 2}, {7, 2, 2}},
 *                     {.tasks = 1, .allowed_share = 1,
 *                      .min_workers = 1, .max_workers = 100});  // {7, 4}
 * \endcode
 */
std::vector<size_t> ChooseWorkersToName(std::vector<AdviceCandidate> candidates,
                                        const AdviceDemand& demand);

/** Gain from a further query about a step. */
struct QueryGain {
  /** Expected number of tasks that fit on the workers which the service is
   * likely to allow. */
  double expected_slots = 0;
  /** Number of waiting tasks that fit on no allowed worker. */
  uint32_t unplaced_tasks = 0;
  /** Whether no task of the step can start on the workers allowed so far. */
  bool cannot_start = false;
  /** Time since the step's last query. */
  base::Duration since_last_query{0};
};

/** Returns whether another query is worthwhile for a step that already has
 * tickets. The step cannot renew these while the query is in flight, so the
 * query should find workers for many of the unplaced tasks. A step that cannot
 * start anyway asks for fewer, after a while. */
bool IsQueryWorthwhile(const QueryGain& gain);

/** Returns how long a step waits after an answer before it asks again. Each
 * answer that has not led to a start makes the next one less likely to.
 * \param answers_without_start number of answers since a task of the step
 *     started.
 * \param is_late whether the job is past its objective. */
base::Duration DelayBeforeNextQuery(uint32_t answers_without_start,
                                    bool is_late);

/** Estimates, per queue, which share of the named workers the advice service
 * allows. */
class AllowedShareEstimator {
 public:
  /** Updates the estimate with the answer to a query.
   * \param queue queue of the job that the query was for.
   * \param named number of workers that the query named.
   * \param allowed number of them that the service allowed. */
  void OnAnswer(const std::string& queue, size_t named, size_t allowed);

  /** Returns the expected share of allowed workers, 0 to 1.
   * \param queue queue of the job that the query is for. */
  double EstimateShare(const std::string& queue) const;

 private:
  std::map<std::string, double> shares;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_ADVICE_CHOICE_H_
