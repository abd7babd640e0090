#include <rapidcheck.h>

#include <cstdlib>

#include "agatepass/placement/tests/random_history.h"
#include "fmt/ranges.h"
#include "gtest/gtest.h"

namespace agatepass::placement {
namespace {

// The same histories in each run, unless RC_PARAMS in the environment says
// otherwise.
const int kFixedSeed = setenv("RC_PARAMS", "seed=1 max_success=300", 0);

rc::Gen<std::vector<Step>> AnySteps() {
  return rc::gen::scale(
      3.0, rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
               rc::gen::set(&Step::action, rc::gen::arbitrary<uint8_t>()),
               rc::gen::set(&Step::value, rc::gen::arbitrary<uint8_t>()))));
}

TEST(Invariants, HoldInAnyHistory) {
  EXPECT_TRUE(rc::check([] {
    const auto steps = *AnySteps();
    RandomHistory history(1);
    history.Run(steps);
    if (!history.faults().empty()) {
      RC_FAIL(fmt::format("{}", fmt::join(history.faults(), "; ")));
    }
  }));
}

TEST(Invariants, NothingWaitsForGood) {
  EXPECT_TRUE(rc::check([] {
    const auto steps = *AnySteps();
    RandomHistory history(1);
    history.Run(steps);
    RC_ASSERT(history.Drain() == 0U);
  }));
}

TEST(Invariants, EqualInputsGiveEqualDecisions) {
  EXPECT_TRUE(rc::check([] {
    const auto steps = *AnySteps();
    RandomHistory first(9);
    RandomHistory second(9);
    first.Run(steps);
    second.Run(steps);
    RC_ASSERT(first.trace() == second.trace());
  }));
}

}  // namespace
}  // namespace agatepass::placement
