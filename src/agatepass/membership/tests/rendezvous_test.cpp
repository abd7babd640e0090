#include "agatepass/membership/rendezvous.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace agatepass::membership {
namespace {

using base::HostId;

std::vector<std::string> MakeNames(int count) {
  std::vector<std::string> names;
  names.reserve(count);
  for (int i = 0; i < count; ++i)
    names.push_back("uus-a-w" + std::to_string(i));
  return names;
}

TEST(Rendezvous, SpreadGivesEverybodyAnEvenShare) {
  for (const int count : {1, 8, 50, 540}) {
    const std::vector<std::string> names = MakeNames(count);
    const std::vector<std::string_view> items(names.begin(), names.end());
    const std::vector<HostId> hosts{HostId("a"), HostId("b"), HostId("c")};
    std::map<HostId, int> held;
    for (const HostId& host : SpreadByRendezvous(items, hosts)) ++held[host];
    EXPECT_FALSE(held.contains(HostId()));
    for (const HostId& host : hosts) {
      EXPECT_GE(held[host], count / 3) << host << " of " << count;
      EXPECT_LE(held[host], (count + 2) / 3) << host << " of " << count;
    }
  }
}

TEST(Rendezvous, OrderOfItemsAndHostsDoesNotMatter) {
  const std::vector<std::string> names = MakeNames(20);
  std::vector<std::string_view> items(names.begin(), names.end());
  std::vector<HostId> hosts{HostId("a"), HostId("b"), HostId("c")};
  const std::vector<HostId> forward = SpreadByRendezvous(items, hosts);
  std::reverse(items.begin(), items.end());
  std::reverse(hosts.begin(), hosts.end());
  std::vector<HostId> backward = SpreadByRendezvous(items, hosts);
  std::reverse(backward.begin(), backward.end());
  EXPECT_EQ(forward, backward);
}

TEST(Rendezvous, DeathOfAHostLeavesMostItemsInPlace) {
  const std::vector<std::string> names = MakeNames(540);
  const std::vector<std::string_view> items(names.begin(), names.end());
  std::vector<HostId> hosts;
  hosts.reserve(9);
  for (int i = 0; i < 9; ++i) hosts.emplace_back("host" + std::to_string(i));
  const std::vector<HostId> before = SpreadByRendezvous(items, hosts);
  hosts.pop_back();
  const std::vector<HostId> after = SpreadByRendezvous(items, hosts);
  int moved = 0;
  for (size_t i = 0; i < items.size(); ++i) {
    if (before[i] != after[i]) ++moved;
  }
  // The dead host's 60 have to move; as many again may follow from the caps.
  EXPECT_LE(moved, 120);
}

TEST(Rendezvous, NoHostsHoldNothing) {
  const std::vector<std::string_view> items{"w1"};
  EXPECT_TRUE(SpreadByRendezvous(items, {}).front().empty());
  EXPECT_TRUE(ChooseByRendezvous("w1", {}).empty());
}

}  // namespace
}  // namespace agatepass::membership
