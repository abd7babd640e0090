// Which host becomes the planner when hosts differ in processor share and
// response time of the store.
#include "agatepass/pool/host_ranking.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;

// The last argument is the random jitter: the better host gets the largest (1),
// the other one none (0).
TEST(HostRanking, AHigherProcessorShareGivesAShorterDelay) {
  EXPECT_LT(ComputeCandidacyDelay(0.5, milliseconds(7), 1),
            ComputeCandidacyDelay(0.12, milliseconds(7), 0));
}

TEST(HostRanking, OfEqualHostsTheOneWithTheFasterStoreHasAShorterDelay) {
  EXPECT_LT(ComputeCandidacyDelay(0.25, milliseconds(6), 1),
            ComputeCandidacyDelay(0.25, milliseconds(20), 0));
}

TEST(HostRanking, ASlowStoreAddsABoundedDelay) {
  EXPECT_LT(ComputeCandidacyDelay(0.25, milliseconds(300), 1),
            milliseconds(150));
}

TEST(HostRanking, ASlightlyBetterHostDoesNotReplaceThePlanner) {
  EXPECT_FALSE(IsMuchBetter({.processor_share = 0.3}, 0.25));
  EXPECT_TRUE(IsMuchBetter({.processor_share = 0.5}, 0.25));
}

TEST(HostRanking, TheBestHostsBecomeStandbys) {
  const std::vector<PlannerCandidate> hosts = {{{"10.0.0.1", 1}, 0.12},
                                               {{"10.0.0.2", 1}, 0.5},
                                               {{"10.0.0.3", 1}, 0.12},
                                               {{"10.0.0.4", 1}, 0.25}};
  EXPECT_EQ(ChooseStandbys(hosts, 2),
            (std::vector<base::Endpoint>{{"10.0.0.2", 1}, {"10.0.0.4", 1}}));
  EXPECT_EQ(ChooseStandbys(hosts, 9).size(), 4U);
}

}  // namespace
}  // namespace agatepass::pool
