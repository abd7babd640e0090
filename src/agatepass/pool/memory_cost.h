/** \file
 * What accepted work takes in memory, as estimates that are not below the truth
 * by much: the sum is bounded, so that no accepted work ends the process.
 */
#ifndef AGATEPASS_POOL_MEMORY_COST_H_
#define AGATEPASS_POOL_MEMORY_COST_H_

#include <cstddef>

#include "agatepass/pool/job.h"
#include "agatepass/pool/pool_state.h"

namespace agatepass::pool {

/** Returns the bytes of a job's definition and of the state that it always
 * has. */
size_t DefinitionCost(const Job& job);

/** Returns the bytes of the steps and tasks of one occurrence. */
size_t OccurrenceCost(const Job& job);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_MEMORY_COST_H_
