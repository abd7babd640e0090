#include "agatepass/node/upstream_shares.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace agatepass::node {
namespace {

using std::chrono::seconds;

const base::DataCentreId kHere("uus-a");
constexpr base::Duration kDelay = seconds(15);

std::vector<platform::HostRecord> MakeList(int entry_hosts) {
  std::vector<platform::HostRecord> list;
  for (int i = 0; i < entry_hosts + 5; ++i) {
    platform::HostRecord host;
    const bool entry = i < entry_hosts;
    host.name =
        entry ? "e" + std::to_string(i) : "u" + std::to_string(i - entry_hosts);
    host.role =
        entry ? platform::HostRole::kEntryHost : platform::HostRole::kUpstream;
    host.data_centre = kHere;
    host.service = base::ServiceId("quoter");
    list.push_back(host);
  }
  return list;
}

const std::vector<relay::ServiceRule> kRules{
    {.service = base::ServiceId("quoter")}};

TEST(UpstreamShares, AddUpToTheLimitsOverAllEntryHosts) {
  for (const int count : {1, 2, 3, 5, 9}) {
    const std::vector<platform::HostRecord> list = MakeList(count);
    std::vector<int> slots(5);
    std::vector<int> connections(5);
    for (int i = 0; i < count; ++i) {
      UpstreamShares shares(base::HostId("e" + std::to_string(i)), kHere,
                            kDelay);
      const auto divided = shares.Divide(list, kRules, base::Instant());
      ASSERT_EQ(divided.size(), 5U);
      for (size_t u = 0; u < divided.size(); ++u) {
        slots[u] += divided[u].slots;
        connections[u] += divided[u].connections;
      }
    }
    EXPECT_EQ(slots, std::vector<int>(5, 8)) << count;
    EXPECT_EQ(connections, std::vector<int>(5, 64)) << count;
  }
}

TEST(UpstreamShares, ShrinkAtOnceAndGrowOnlyAfterTheDelay) {
  UpstreamShares shares(base::HostId("e0"), kHere, kDelay);
  base::Instant now(seconds(100));
  EXPECT_EQ(shares.Divide(MakeList(2), kRules, now)[0].slots, 4);
  now += seconds(1);
  EXPECT_EQ(shares.Divide(MakeList(4), kRules, now)[0].slots, 2);
  now += seconds(1);
  EXPECT_EQ(shares.Divide(MakeList(1), kRules, now)[0].slots, 2);
  now += kDelay;
  EXPECT_EQ(shares.Divide(MakeList(1), kRules, now)[0].slots, 8);
}

TEST(UpstreamShares, HostThatIsNotListedGetsNothing) {
  UpstreamShares shares(base::HostId("stranger"), kHere, kDelay);
  EXPECT_TRUE(shares.Divide(MakeList(2), kRules, base::Instant()).empty());
}

}  // namespace
}  // namespace agatepass::node
