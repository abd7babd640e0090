#include "agatepass/membership/liveness.h"

#include <functional>
#include <queue>

#include "gtest/gtest.h"

namespace agatepass::membership {
namespace {

using base::DataCentreId;
using base::Duration;
using base::HostId;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLatency = milliseconds(2);
constexpr Duration kStep = milliseconds(100);

/** Entry hosts that exchange heartbeats in virtual time. */
class Cell {
 public:
  /** Adds a host whose name is its data centre and a number. */
  void Add(const std::string& data_centre, int number) {
    const HostId host(data_centre + "-e" + std::to_string(number));
    this->listed.push_back(
        {.host = host, .data_centre = DataCentreId(data_centre)});
    this->Start(host, DataCentreId(data_centre));
  }

  void Start(const HostId& host, const DataCentreId& data_centre) {
    this->hosts.insert_or_assign(
        host, Liveness({.own_host = host,
                        .incarnation = ++this->last_incarnation,
                        .data_centre = data_centre},
                       this->now));
    this->incarnations[host] = this->last_incarnation;
    this->hosts.at(host).OnHostList(this->now, this->listed);
  }

  void Kill(const HostId& host) { this->hosts.erase(host); }

  /** Runs for `time`; a host for which `paused` holds does not run. */
  void Run(Duration time) {
    const Instant end = this->now + time;
    for (; this->now < end; this->now += kStep) {
      while (!this->mail.empty() && this->mail.top().due <= this->now) {
        const Letter letter = this->mail.top();
        this->mail.pop();
        this->Deliver(letter);
      }
      for (auto& [host, liveness] : this->hosts) {
        if (this->paused.contains(host)) continue;
        for (auto& beat : liveness.OnTick(this->now, {}).heartbeats) {
          ++this->sent[host];
          if (this->cut && this->cut(host, beat.to)) continue;
          this->mail.push({.due = this->now + kLatency,
                           .number = ++this->letters,
                           .from = host,
                           .incarnation = this->incarnations[host],
                           .beat = std::move(beat)});
        }
      }
    }
  }

  MemberState StateAt(const char* viewer, const char* host) {
    return this->hosts.at(HostId(viewer)).members().at(HostId(host)).state;
  }

  struct Letter {
    Instant due;
    uint64_t number = 0;
    HostId from;
    peers::Incarnation incarnation = 0;
    OutgoingHeartbeat beat;

    bool operator<(const Letter& other) const {
      return std::tie(this->due, this->number) >
             std::tie(other.due, other.number);
    }
  };

  void Deliver(const Letter& letter) {
    if (this->paused.contains(letter.beat.to)) {
      this->held.push_back(letter);
      return;
    }
    const auto host = this->hosts.find(letter.beat.to);
    if (host == this->hosts.end()) return;
    for (const MemberChange& change :
         host->second
             .OnHeartbeat(this->now, letter.from, letter.incarnation,
                          letter.beat.heartbeat)
             .changes) {
      if (change.restarted) ++this->restarts_seen;
    }
  }

  /** Lets a paused host run again: its timers first, then its mail. */
  void Wake(const HostId& host) {
    this->paused.erase(host);
    for (Letter& letter : this->held) {
      letter.due = this->now + kStep;
      this->mail.push(letter);
    }
    this->held.clear();
  }

  Instant now{seconds(1000)};
  std::vector<ListedHost> listed;
  std::map<HostId, Liveness> hosts;
  std::map<HostId, peers::Incarnation> incarnations;
  std::map<HostId, int> sent;
  std::set<HostId> paused;
  std::vector<Letter> held;
  std::function<bool(const HostId&, const HostId&)> cut;
  std::priority_queue<Letter> mail;
  uint64_t letters = 0;
  peers::Incarnation last_incarnation = 0;
  int restarts_seen = 0;
};

Cell TwoDataCentres() {
  Cell cell;
  for (const int number : {1, 2, 3}) cell.Add("uus-a", number);
  for (const int number : {1, 2, 3}) cell.Add("pirk-a", number);
  cell.Run(seconds(8));
  return cell;
}

TEST(LivenessTest, AllHostsSeeOneAnother) {
  Cell cell = TwoDataCentres();
  for (auto& [viewer, liveness] : cell.hosts) {
    EXPECT_EQ(liveness.members().size(), 6);
    for (const auto& [host, member] : liveness.members()) {
      EXPECT_EQ(member.state, MemberState::kAlive) << viewer << host;
      EXPECT_TRUE(member.hears_us) << viewer << host;
    }
    EXPECT_EQ(liveness.Representative(DataCentreId("uus-a")),
              HostId("uus-a-e1"));
    EXPECT_EQ(liveness.Representative(DataCentreId("pirk-a")),
              HostId("pirk-a-e1"));
  }
}

TEST(LivenessTest, DeadHostIsSuspectThenDead) {
  Cell cell = TwoDataCentres();
  cell.Kill(HostId("uus-a-e1"));
  cell.Run(milliseconds(400));
  EXPECT_EQ(cell.StateAt("uus-a-e2", "uus-a-e1"), MemberState::kAlive);
  cell.Run(milliseconds(1200));
  EXPECT_EQ(cell.StateAt("uus-a-e2", "uus-a-e1"), MemberState::kSuspect);
  cell.Run(milliseconds(1500));
  EXPECT_EQ(cell.StateAt("uus-a-e2", "uus-a-e1"), MemberState::kDead);
  EXPECT_TRUE(cell.hosts.at(HostId("uus-a-e2")).is_representative());
  // The other data centre learns it from the new representative's summary.
  cell.Run(seconds(3));
  EXPECT_EQ(cell.StateAt("pirk-a-e3", "uus-a-e1"), MemberState::kDead);
  EXPECT_EQ(
      cell.hosts.at(HostId("pirk-a-e3")).Representative(DataCentreId("uus-a")),
      HostId("uus-a-e2"));
}

TEST(LivenessTest, RestartedHostIsANewOne) {
  Cell cell = TwoDataCentres();
  const auto before = cell.incarnations[HostId("uus-a-e2")];
  cell.Start(HostId("uus-a-e2"), DataCentreId("uus-a"));
  cell.Run(seconds(3));
  EXPECT_GE(cell.restarts_seen, 2);
  const Member& member =
      cell.hosts.at(HostId("uus-a-e1")).members().at(HostId("uus-a-e2"));
  EXPECT_EQ(member.state, MemberState::kAlive);
  EXPECT_GT(member.incarnation, before);
  EXPECT_TRUE(member.hears_us);
  EXPECT_EQ(cell.StateAt("uus-a-e2", "uus-a-e1"), MemberState::kAlive);
}

TEST(LivenessTest, HeartbeatOfAnEarlierLifeIsNoSignOfLife) {
  Cell cell = TwoDataCentres();
  cell.Kill(HostId("uus-a-e2"));
  cell.Run(seconds(4));
  Liveness& viewer = cell.hosts.at(HostId("uus-a-e1"));
  viewer.OnHeartbeat(cell.now, HostId("uus-a-e2"), 1, {.sequence = 1000});
  EXPECT_EQ(cell.StateAt("uus-a-e1", "uus-a-e2"), MemberState::kDead);
}

TEST(LivenessTest, RepeatedHeartbeatIsNoSignOfLife) {
  Cell cell = TwoDataCentres();
  cell.Kill(HostId("uus-a-e2"));
  cell.Run(seconds(4));
  Liveness& viewer = cell.hosts.at(HostId("uus-a-e1"));
  viewer.OnHeartbeat(cell.now, HostId("uus-a-e2"),
                     cell.incarnations[HostId("uus-a-e2")], {.sequence = 2});
  EXPECT_EQ(cell.StateAt("uus-a-e1", "uus-a-e2"), MemberState::kDead);
}

TEST(LivenessTest, LeavingHostIsNotCountedOn) {
  Cell cell = TwoDataCentres();
  cell.hosts.at(HostId("uus-a-e1")).Leave();
  cell.Run(milliseconds(300));
  EXPECT_EQ(cell.StateAt("uus-a-e3", "uus-a-e1"), MemberState::kLeaving);
  EXPECT_EQ(
      cell.hosts.at(HostId("uus-a-e3")).Representative(DataCentreId("uus-a")),
      HostId("uus-a-e2"));
  cell.Run(seconds(3));
  EXPECT_EQ(cell.StateAt("pirk-a-e2", "uus-a-e1"), MemberState::kLeaving);
}

TEST(LivenessTest, HostThatIsNotHeardKnowsIt) {
  Cell cell = TwoDataCentres();
  // e2 hears e1, but nothing of e2 reaches e1.
  cell.cut = [](const HostId& from, const HostId& to) {
    return from == HostId("uus-a-e2") && to == HostId("uus-a-e1");
  };
  cell.Run(seconds(6));
  EXPECT_EQ(cell.StateAt("uus-a-e1", "uus-a-e2"), MemberState::kDead);
  EXPECT_EQ(cell.StateAt("uus-a-e2", "uus-a-e1"), MemberState::kAlive);
  const auto& members = cell.hosts.at(HostId("uus-a-e2")).members();
  EXPECT_FALSE(members.at(HostId("uus-a-e1")).hears_us);
  EXPECT_TRUE(members.at(HostId("uus-a-e3")).hears_us);
  cell.cut = nullptr;
  cell.Run(seconds(3));
  EXPECT_EQ(cell.StateAt("uus-a-e1", "uus-a-e2"), MemberState::kAlive);
  EXPECT_TRUE(members.at(HostId("uus-a-e1")).hears_us);
}

TEST(LivenessTest, PartitionedDataCentreIsOutOfReachAndComesBack) {
  Cell cell = TwoDataCentres();
  cell.cut = [](const HostId& from, const HostId& to) {
    return from.value[0] != to.value[0];
  };
  cell.Run(seconds(9));
  for (const char* viewer : {"uus-a-e1", "uus-a-e3"}) {
    EXPECT_EQ(cell.StateAt(viewer, "pirk-a-e2"), MemberState::kDead);
    EXPECT_EQ(cell.StateAt(viewer, "uus-a-e2"), MemberState::kAlive);
    EXPECT_EQ(cell.hosts.at(HostId(viewer)).OutOfReach(),
              std::vector{DataCentreId("pirk-a")});
    EXPECT_TRUE(cell.hosts.at(HostId(viewer)).Summaries().empty());
  }
  cell.cut = nullptr;
  cell.Run(seconds(5));
  for (const char* viewer : {"uus-a-e1", "uus-a-e3"}) {
    EXPECT_EQ(cell.StateAt(viewer, "pirk-a-e2"), MemberState::kAlive);
    EXPECT_TRUE(cell.hosts.at(HostId(viewer)).OutOfReach().empty());
  }
}

TEST(LivenessTest, PausedHostDoesNotBuryItsPeersWhenItWakes) {
  Cell cell = TwoDataCentres();
  cell.paused.insert(HostId("uus-a-e3"));
  cell.Run(seconds(30));
  EXPECT_EQ(cell.StateAt("uus-a-e1", "uus-a-e3"), MemberState::kDead);
  cell.Wake(HostId("uus-a-e3"));
  cell.Run(milliseconds(100));
  EXPECT_EQ(cell.StateAt("uus-a-e3", "uus-a-e1"), MemberState::kAlive);
  cell.Run(seconds(3));
  EXPECT_EQ(cell.StateAt("uus-a-e1", "uus-a-e3"), MemberState::kAlive);
  EXPECT_EQ(cell.StateAt("uus-a-e3", "uus-a-e1"), MemberState::kAlive);
}

TEST(LivenessTest, StartingHostDoesNotReportItsDataCentreDead) {
  Cell cell = TwoDataCentres();
  cell.Start(HostId("pirk-a-e1"), DataCentreId("pirk-a"));
  for (int i = 0; i < 60; ++i) {
    cell.Run(kStep);
    EXPECT_NE(cell.StateAt("uus-a-e1", "pirk-a-e2"), MemberState::kDead) << i;
  }
}

TEST(LivenessTest, LateSummaryOfAnotherRepresentativeDoesNotOverrule) {
  Cell cell = TwoDataCentres();
  Liveness& viewer = cell.hosts.at(HostId("uus-a-e2"));
  const peers::Heartbeat late{
      .sequence = 1'000'000,
      .data_centre = DataCentreId("uus-a"),
      .summaries = {
          {.data_centre = DataCentreId("pirk-a"),
           .representative = HostId("pirk-a-e3"),
           .incarnation = 99,
           .sequence = 99,
           .hosts = {{.host = HostId("pirk-a-e3"), .incarnation = 99}}}}};
  viewer.OnHeartbeat(cell.now, HostId("uus-a-e3"),
                     cell.incarnations[HostId("uus-a-e3")], late);
  EXPECT_EQ(cell.StateAt("uus-a-e2", "pirk-a-e1"), MemberState::kAlive);
}

TEST(LivenessTest, StaleHostListDoesNotReviveOrKill) {
  Cell cell = TwoDataCentres();
  cell.Kill(HostId("uus-a-e2"));
  cell.Run(seconds(4));
  Liveness& viewer = cell.hosts.at(HostId("uus-a-e1"));
  viewer.OnHostList(cell.now, cell.listed);
  EXPECT_EQ(cell.StateAt("uus-a-e1", "uus-a-e2"), MemberState::kDead);
  viewer.OnHostList(cell.now, {});
  EXPECT_EQ(cell.StateAt("uus-a-e1", "uus-a-e3"), MemberState::kAlive);
}

TEST(LivenessTest, TrafficBetweenDataCentresDoesNotGrowWithHosts) {
  constexpr int kSeconds = 20;
  for (const int hosts : {1, 3, 9}) {
    Cell cell;
    for (int i = 1; i <= hosts; ++i) {
      cell.Add("uus-a", i);
      cell.Add("pirk-a", i);
    }
    cell.Run(seconds(5));
    int across = 0;
    cell.cut = [&](const HostId& from, const HostId& to) {
      if (from.value[0] != to.value[0]) ++across;
      return false;
    };
    cell.Run(seconds(kSeconds));
    // One summary a second each way.
    EXPECT_LE(across, 2 * (kSeconds + 1)) << hosts;
    EXPECT_GE(across, 2 * (kSeconds - 1)) << hosts;
  }
}

TEST(LivenessTest, ShortBudgetLeavesOutWhatCanWait) {
  const Instant now{seconds(1)};
  Liveness liveness({.own_host = HostId("uus-a-e1"),
                     .incarnation = 1,
                     .data_centre = DataCentreId("uus-a"),
                     .bytes_per_second = 1500},
                    now);
  std::vector<ListedHost> listed;
  for (int i = 2; i <= 4; ++i) {
    listed.push_back({.host = HostId("uus-a-e" + std::to_string(i)),
                      .data_centre = DataCentreId("uus-a")});
  }
  liveness.OnHostList(now, listed);
  const OwnReport report{.relay_state = std::string(800, 'x')};
  const LivenessEffects effects = liveness.OnTick(now, report);
  ASSERT_EQ(effects.heartbeats.size(), 3);
  size_t full = 0;
  for (const OutgoingHeartbeat& beat : effects.heartbeats) {
    if (!beat.heartbeat.relay_state.empty()) ++full;
  }
  EXPECT_EQ(full, 1);
}

}  // namespace
}  // namespace agatepass::membership
