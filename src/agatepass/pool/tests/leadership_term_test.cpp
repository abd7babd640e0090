// A leadership term ends exactly once.
#include "agatepass/pool/leadership_term.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

TEST(LeadershipTerm, EndsOnce) {
  LeadershipTerm term;
  term.Begin(5);
  EXPECT_TRUE(term.End(5));
  EXPECT_FALSE(term.End(5));
  EXPECT_EQ(term.fence(), 0U);
}

TEST(LeadershipTerm, AReportAfterTheEndHasNoEffect) {
  // A planner that is shut down after its term may learn of a higher fence and
  // report the end again. The fence is 0 by then, and End(0) has no effect.
  LeadershipTerm term;
  term.Begin(5);
  ASSERT_TRUE(term.End(5));
  EXPECT_FALSE(term.End(term.fence()));
}

TEST(LeadershipTerm, AReportOfAnEarlierTermHasNoEffect) {
  LeadershipTerm term;
  term.Begin(5);
  term.End(5);
  term.Begin(9);
  EXPECT_FALSE(term.End(5));
  EXPECT_EQ(term.fence(), 9U);
}

}  // namespace
}  // namespace agatepass::pool
