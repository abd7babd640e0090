#include "agatepass/pool/pace.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

/** Shortest look: a run restores its saved progress before it goes on. */
constexpr base::Duration kShortestLook = std::chrono::milliseconds(1200);

/** Part of the estimate that a look takes: a run that needs ten times its
 * estimate still moves by a percent then. */
constexpr int kLooksInEstimate = 8;

constexpr int kWhole = 100;

}  // namespace

PaceVerdict JudgePace(const RunPace& pace) {
  // A gang's member whose work is done waits for the others.
  if (pace.percent >= kWhole || pace.percent > pace.percent_before) {
    return PaceVerdict::kMoves;
  }
  const base::Duration look =
      std::max(kShortestLook, pace.estimate / kLooksInEstimate);
  return pace.elapsed < look ? PaceVerdict::kTooEarly
                             : PaceVerdict::kStandsStill;
}

}  // namespace agatepass::pool
