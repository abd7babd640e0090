#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "agatepass/relay/share_holder.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace agatepass::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The same cases in each run, unless RC_PARAMS says otherwise.
const int kFixedSeed = setenv("RC_PARAMS", "seed=2026", 0);

constexpr int kSlots = 8;
constexpr size_t kHosts = 4;
const base::UpstreamId kUpstreamId("u1");

base::HostId Host(size_t i) { return base::HostId("e" + std::to_string(i)); }

/** One entry host that uses all it may of one upstream. */
struct Model {
  ShareHolder holder;
  std::vector<base::Instant> ends;
  bool paused = false;
  bool cut_from_store = false;
};

/** Entry hosts, the store's view and the links between them. */
class World {
 public:
  explicit World(uint64_t seed) : random(seed) {
    for (size_t i = 0; i < kHosts; ++i)
      this->hosts.push_back({ShareHolder(Host(i), this->times)});
    this->view = {1, {Host(0), Host(1)}, {}};
  }

  void Step() {
    this->now += milliseconds(200);
    if (this->disturbed) this->Disturb();
    for (size_t i = 0; i < kHosts; ++i) {
      if (!this->hosts[i].paused) this->Run(i);
    }
    this->most = std::max(this->most, this->InFlight());
  }

  void Heal() {
    this->disturbed = false;
    this->parted = false;
    for (Model& host : this->hosts) host.paused = host.cut_from_store = false;
  }

  int Limits() const {
    int sum = 0;
    for (const Model& host : this->hosts)
      sum += host.holder.SlotsOf(kUpstreamId, kSlots, this->now);
    return sum;
  }

  int most = 0;

 private:
  void Disturb() {
    const size_t i = this->random() % kHosts;
    switch (this->random() % 40) {
      case 0:
        this->hosts[i].paused = !this->hosts[i].paused;
        break;
      case 1:
        this->hosts[i].cut_from_store = !this->hosts[i].cut_from_store;
        break;
      case 2:
        this->parted = !this->parted;
        break;
      case 3:
        this->ChangeView(i);
        break;
      default:
        break;
    }
  }

  // A change by compare-and-swap: drops one member or takes one in.
  void ChangeView(size_t i) {
    std::vector<base::HostId> live = this->view.members;
    if (std::erase(live, Host(i)) == 0) live.push_back(Host(i));
    this->view = NextView(this->view, live, {});
  }

  bool Linked(size_t i, size_t j) const {
    return !this->parted || (i < 2) == (j < 2);
  }

  void Run(size_t i) {
    Model& host = this->hosts[i];
    std::erase_if(host.ends, [&](base::Instant end) { return end <= now; });
    if (!host.cut_from_store) {
      host.holder.OnView(this->view, this->now);
      host.holder.OnContact(this->view.number, this->now);
    }
    this->MeetPeers(i);
    const int used = static_cast<int>(host.ends.size());
    host.holder.OnInFlight(used <= host.holder.TargetOf(kUpstreamId, kSlots),
                           this->now);
    const int limit = host.holder.SlotsOf(kUpstreamId, kSlots, this->now);
    while (static_cast<int>(host.ends.size()) < limit) {
      host.ends.push_back(this->now + milliseconds(this->random() % 10'000));
    }
  }

  void MeetPeers(size_t i) {
    ShareHolder& holder = this->hosts[i].holder;
    for (size_t j = 0; j < kHosts; ++j) {
      if (j == i || this->hosts[j].paused || !this->Linked(i, j)) continue;
      holder.OnReport(this->hosts[j].holder.Report(), this->now);
    }
  }

  int InFlight() const {
    int sum = 0;
    for (const Model& host : this->hosts) {
      sum += static_cast<int>(
          std::count_if(host.ends.begin(), host.ends.end(),
                        [&](base::Instant end) { return end > this->now; }));
    }
    return sum;
  }

  std::mt19937_64 random;
  ShareTimes times;
  base::Instant now{seconds(100)};
  std::vector<Model> hosts;
  ShareView view;
  bool parted = false;
  bool disturbed = true;
};

RC_GTEST_PROP(Shares, NeverSumAboveTheSlots, (uint64_t seed)) {
  World world(seed);
  for (int i = 0; i < 1500; ++i) world.Step();
  RC_ASSERT(world.most <= kSlots);
  // After a quiet time every slot is in use again.
  world.Heal();
  for (int i = 0; i < 300; ++i) world.Step();
  RC_ASSERT(world.most <= kSlots);
  RC_ASSERT(world.Limits() == kSlots);
}

RC_GTEST_PROP(Shares, AnyViewDividesAtMostTheSlots,
              (uint8_t members, uint8_t departed,
               const std::string& upstream)) {
  ShareView view{3, {}, {}};
  for (size_t i = 0; i < members % 12; ++i) view.members.push_back(Host(i));
  for (size_t i = 0; i < departed % 12; ++i)
    view.departed.push_back({Host(100 + i), 2});
  int sum = 0;
  for (size_t i = 0; i < 200; ++i)
    sum += SlotsUnder(view, Host(i), base::UpstreamId(upstream), kSlots);
  RC_ASSERT(sum <= kSlots);
  if (!view.members.empty()) RC_ASSERT(sum == kSlots);
}

TEST(Shares, FirstViewIsUsedAsSoonAsAllKeepToIt) {
  const base::Instant now{seconds(1)};
  const ShareView view{1, {Host(0), Host(1)}, {}};
  ShareHolder holder(Host(0), {});
  holder.OnView(view, now);
  holder.OnContact(1, now);
  holder.OnInFlight(true, now);
  EXPECT_EQ(holder.SlotsOf(kUpstreamId, kSlots, now), 0);
  holder.OnReport({Host(1), 1, 0}, now);
  EXPECT_EQ(holder.SlotsOf(kUpstreamId, kSlots, now), 4);
  EXPECT_EQ(holder.SlotsOf(kUpstreamId, kSlots, now + seconds(3)), 1);
}

TEST(Shares, HostThatCameAndWentAgainNeedsAHandOver) {
  const base::Instant now{seconds(1)};
  ShareHolder holder(Host(0), {});
  const ShareView first{5, {Host(0)}, {{Host(1), 4}}};
  holder.OnView(first, now);
  holder.OnReport({Host(0), 5, 5}, now);
  holder.OnContact(5, now);
  EXPECT_EQ(holder.SlotsOf(kUpstreamId, kSlots, now), 7);
  // Host 1 joined with view 6, which this host has missed, and left with 7.
  holder.OnView({7, {Host(0)}, {{Host(1), 7}, {Host(2), 7}}}, now);
  holder.OnInFlight(true, now);
  holder.OnView({8, {Host(0)}, {{Host(1), 7}}}, now);
  holder.OnInFlight(true, now);
  holder.OnContact(8, now);
  EXPECT_EQ(holder.SlotsOf(kUpstreamId, kSlots, now), 1);
  holder.OnTick(now + seconds(14));
  holder.OnContact(8, now + seconds(14));
  EXPECT_EQ(holder.SlotsOf(kUpstreamId, kSlots, now + seconds(14)), 7);
}

TEST(Shares, MemberThatSkippedAViewDoesNotSettleIt) {
  const base::Instant now{seconds(1)};
  ShareHolder holder(Host(3), {});
  holder.OnView({6, {Host(0), Host(3)}, {}}, now);
  holder.OnInFlight(true, now);
  holder.OnContact(6, now);
  holder.OnReport({Host(0), 7, 0}, now);
  holder.OnTick(now + seconds(14));
  EXPECT_EQ(holder.SlotsOf(kUpstreamId, kSlots, now + seconds(14)), 0);
}

TEST(Shares, AfterAMissedViewOneSlotIsUsedUntilTheNextIsSettled) {
  const base::Instant now{seconds(1)};
  ShareHolder holder(Host(0), {});
  holder.OnView({1, {Host(0), Host(1)}, {}}, now);
  holder.OnInFlight(true, now);
  holder.OnReport({Host(1), 1, 0}, now);
  // It departed with view 2 and was taken in again with view 3.
  holder.OnView({3, {Host(0), Host(1)}, {}}, now);
  holder.OnContact(3, now);
  EXPECT_EQ(holder.SlotsOf(kUpstreamId, kSlots, now), 1);
  holder.OnInFlight(true, now);
  holder.OnReport({Host(1), 3, 0}, now);
  EXPECT_EQ(holder.SlotsOf(kUpstreamId, kSlots, now), 4);
}

TEST(Shares, MinorityCannotTakeOver) {
  const ShareView view{4, {Host(0), Host(1), Host(2)}, {}};
  const std::vector<base::HostId> alone = {Host(0)};
  EXPECT_EQ(NextView(view, alone, {}), view);
  const std::vector<base::HostId> ended = {Host(1), Host(2)};
  EXPECT_EQ(NextView(view, alone, ended).number, 5U);
}

}  // namespace
}  // namespace agatepass::relay
