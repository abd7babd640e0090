/** \file
 * When a run is expected to end, and what it takes to come free.
 *
 * \code
 * if (const auto at = PredictRelease(run, now)) ReserveUntil(*at);
 * \endcode
 */
#ifndef AGATEPASS_POOL_RUN_PREDICTION_H_
#define AGATEPASS_POOL_RUN_PREDICTION_H_

#include <optional>

#include "agatepass/base/time.h"
#include "agatepass/pool/pool_state.h"

namespace agatepass::pool {

/** Time that a stopped run may take to save its checkpoint and free its
 * resources. */
inline constexpr base::Duration kExpectedStopTime =
    std::chrono::milliseconds(1000);

/** Predicts when a run ends from the progress that this planner has seen it
 * make or, while that is too little, from the caller's estimate. The result may
 * be in the past. */
base::Instant PredictEnd(const RunState& run);

/** Predicts when the resources of a run come free.
 * \return a time from `now` on: a run that is overdue is expected to take as
 * long again as it is overdue; nothing if nothing tells that it will end. */
std::optional<base::Instant> PredictRelease(const RunState& run,
                                            base::Instant now);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_RUN_PREDICTION_H_
