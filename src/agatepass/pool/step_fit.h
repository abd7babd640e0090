/** \file
 * How many tasks of a step fit into given resources.
 */
#ifndef AGATEPASS_POOL_STEP_FIT_H_
#define AGATEPASS_POOL_STEP_FIT_H_

#include <cstdint>

#include "agatepass/platform/resources.h"
#include "agatepass/pool/job.h"

namespace agatepass::pool {

/** Counts the tasks of a step that fit into given resources.
 * \param available the free resources.
 * \param max_tasks upper bound of the result.
 * \return the number of tasks, 0 to `max_tasks`. */
inline uint32_t CountFits(const Step& step, platform::Resources available,
                          uint32_t max_tasks) {
  const platform::Resources taken = TakenResources(step);
  uint32_t fits = 0;
  while (fits < max_tasks && taken.FitsIn(available)) {
    available -= taken;
    ++fits;
  }
  return fits;
}

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_STEP_FIT_H_
