#include "agatepass/config/config_keeper.h"

#include <algorithm>

#include "agatepass/config/tests/config_cell.h"
#include "fmt/format.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace agatepass::config {
namespace {

using base::HostId;
using base::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;

std::string Text(int weight) {
  return fmt::format(
      "[presets]\nin_force = day\n[preset day]\npacking_weight = {}\n", weight);
}

ConfigCell NineHosts() {
  ConfigCell cell;
  for (const char* data_centre : {"uus-a", "uus-b", "pirk-a"}) {
    for (const int number : {1, 2, 3}) cell.Add(data_centre, number);
  }
  return cell;
}

/** Nine hosts with revision 1 in force everywhere. */
void Settle(ConfigCell& cell) {
  cell.StartAll();
  cell.Run(seconds(8));
  cell.Put("uus-a-e1", 1, Text(1), 0, "anna");
  cell.Run(seconds(3));
  ASSERT_TRUE(cell.InForceEverywhere(1));
  ASSERT_EQ(cell.host("uus-a-e1").answers.size(), 1);
  ASSERT_EQ(cell.host("uus-a-e1").answers[0].code, ResultCode::kOk);
}

void ExpectOnlyForward(const ConfigCell& cell) {
  for (const auto& [name, host] : cell.hosts) {
    EXPECT_TRUE(std::is_sorted(host.applied.begin(), host.applied.end()));
    EXPECT_EQ(std::adjacent_find(host.applied.begin(), host.applied.end()),
              host.applied.end());
  }
}

bool HasEvent(const ConfigCell::Host& host, KeeperEventKind kind) {
  return std::any_of(host.events.begin(), host.events.end(),
                     [&](const auto& event) { return event.kind == kind; });
}

TEST(ConfigKeeperTest, ChangeIsInForceEverywhereWithinTwoSeconds) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.Put("pirk-a-e2", 2, Text(2), 1, "bert");
  cell.Run(seconds(2));
  EXPECT_TRUE(cell.InForceEverywhere(2));
  const PutAnswer& answer = cell.host("pirk-a-e2").answers.back();
  EXPECT_EQ(answer.code, ResultCode::kOk);
  EXPECT_EQ(answer.revision, 2);
  EXPECT_THAT(answer.lines, ElementsAre("[preset day] packing_weight: 1 -> 2"));
  const KeeperStatus status = cell.host("uus-b-e3").keeper.Status();
  EXPECT_EQ(status.author, "bert");
  EXPECT_EQ(status.changes.size(), 2);
  ExpectOnlyForward(cell);
}

TEST(ConfigKeeperTest, LoserOfARaceIsToldWhoWonAndWhatChanged) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.Put("uus-a-e1", 2, Text(2), 1, "anna");
  cell.Put("pirk-a-e1", 3, Text(3), 1, "bert");
  cell.Run(seconds(3));
  const PutAnswer& first = cell.host("uus-a-e1").answers.back();
  const PutAnswer& second = cell.host("pirk-a-e1").answers.back();
  const bool anna_won = first.code == ResultCode::kOk;
  const PutAnswer& winner = anna_won ? first : second;
  const PutAnswer& loser = anna_won ? second : first;
  EXPECT_EQ(winner.code, ResultCode::kOk);
  EXPECT_EQ(loser.code, ResultCode::kSuperseded);
  EXPECT_EQ(loser.revision, 2);
  EXPECT_NE(loser.message.find(anna_won ? "\"anna\"" : "\"bert\""),
            std::string::npos);
  EXPECT_THAT(loser.lines,
              ElementsAre(anna_won ? "[preset day] packing_weight: 3 -> 2"
                                   : "[preset day] packing_weight: 2 -> 3"));
  EXPECT_TRUE(cell.InForceEverywhere(2));
  EXPECT_EQ(cell.store.writes(), 2);
}

TEST(ConfigKeeperTest, ChangesOnOneHostAreMadeInTurn) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.Put("uus-a-e1", 2, Text(2), 1, "anna");
  cell.Put("uus-a-e1", 3, Text(3), 2, "anna");
  cell.Run(seconds(3));
  EXPECT_TRUE(cell.InForceEverywhere(3));
}

TEST(ConfigKeeperTest, LostAnswerIsReadBackBeforeTheOperatorIsTold) {
  for (const int lost : {1, 3}) {
    ConfigCell cell = NineHosts();
    Settle(cell);
    cell.lose_write_answers = lost;
    cell.Put("uus-a-e2", 2, Text(2), 1, "anna");
    cell.Run(milliseconds(40));
    EXPECT_TRUE(cell.host("uus-a-e2").answers.empty());
    cell.Run(seconds(10));
    ASSERT_EQ(cell.host("uus-a-e2").answers.size(), 1);
    EXPECT_EQ(cell.host("uus-a-e2").answers[0].code, ResultCode::kOk);
    EXPECT_EQ(cell.host("uus-a-e2").answers[0].revision, 2);
    EXPECT_EQ(cell.store.writes(), 2);
    EXPECT_TRUE(cell.InForceEverywhere(2));
  }
}

TEST(ConfigKeeperTest, LostAnswerIsFoundUnderALaterChange) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.lose_write_answers = 1;
  cell.Put("uus-a-e2", 2, Text(2), 1, "anna");
  cell.Run(milliseconds(40));
  ASSERT_EQ(cell.store.writes(), 2);
  cell.Put("pirk-a-e1", 3, Text(3), 2, "bert");
  cell.Run(seconds(5));
  EXPECT_EQ(cell.host("uus-a-e2").answers.back().code, ResultCode::kOk);
  EXPECT_EQ(cell.host("uus-a-e2").answers.back().revision, 2);
  EXPECT_EQ(cell.host("pirk-a-e1").answers.back().revision, 3);
  EXPECT_TRUE(cell.InForceEverywhere(3));
}

TEST(ConfigKeeperTest, StoreDownIsNotARefusal) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.store_down = true;
  cell.Run(seconds(10));
  cell.Put("uus-a-e2", 2, Text(2), 1, "anna");
  cell.Run(seconds(5));
  const PutAnswer& answer = cell.host("uus-a-e2").answers.back();
  EXPECT_EQ(answer.code, ResultCode::kStoreUnreachable);
  EXPECT_EQ(answer.revision, 1);
  EXPECT_TRUE(cell.InForceEverywhere(1));
  EXPECT_FALSE(cell.host("uus-a-e1").keeper.Status().store_reachable);
  EXPECT_TRUE(
      HasEvent(cell.host("uus-a-e1"), KeeperEventKind::kStoreUnreachable));
  cell.store_down = false;
  cell.Run(seconds(6));
  EXPECT_TRUE(cell.host("uus-a-e1").keeper.Status().store_reachable);
}

TEST(ConfigKeeperTest, OutcomeThatStaysUnknownIsToldAsUnknown) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.lose_write_answers = 1000;
  cell.Put("uus-a-e2", 2, Text(2), 1, "anna");
  cell.Run(milliseconds(40));
  cell.store_down = true;
  cell.Run(seconds(30));
  ASSERT_EQ(cell.host("uus-a-e2").answers.size(), 1);
  EXPECT_EQ(cell.host("uus-a-e2").answers[0].code, ResultCode::kOutcomeUnknown);
}

TEST(ConfigKeeperTest, OlderStoreRevertsNothing) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  const fakes::StoreModel old = cell.store.Snapshot();
  cell.Put("uus-a-e1", 2, Text(2), 1, "anna");
  cell.Run(seconds(2));
  cell.store_down = true;
  cell.Run(seconds(3));
  cell.store = old;
  cell.store_down = false;
  cell.Run(seconds(8));
  EXPECT_TRUE(cell.InForceEverywhere(2));
  ConfigCell::Host& holder = cell.host("uus-a-e1");
  EXPECT_TRUE(holder.keeper.Status().store_older);
  EXPECT_EQ(holder.keeper.Status().stored_revision, 1);
  EXPECT_TRUE(HasEvent(holder, KeeperEventKind::kStoreOlder));

  cell.Put("uus-a-e1", 3, Text(3), 2, "anna");
  cell.Run(seconds(1));
  EXPECT_EQ(holder.answers.back().code, ResultCode::kStoreContentChanged);
  EXPECT_EQ(cell.store.writes(), old.writes());

  cell.Put("uus-a-e1", 4, Text(3), 2, "anna", true);
  cell.Run(seconds(3));
  EXPECT_EQ(holder.answers.back().code, ResultCode::kOk);
  EXPECT_TRUE(cell.InForceEverywhere(3));
  EXPECT_FALSE(holder.keeper.Status().store_older);
  ExpectOnlyForward(cell);
}

TEST(ConfigKeeperTest, EmptyStoreRevertsNothing) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.store_down = true;
  cell.Run(seconds(3));
  cell.store = {};
  cell.store_down = false;
  cell.Run(seconds(8));
  EXPECT_TRUE(cell.InForceEverywhere(1));
  EXPECT_TRUE(cell.host("uus-a-e1").keeper.Status().store_older);
}

TEST(ConfigKeeperTest, WatchHolderThatDiesIsReplaced) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.hosts.erase(HostId("uus-b-e1"));
  cell.Put("uus-a-e1", 2, Text(2), 1, "anna");
  cell.Run(seconds(13));
  EXPECT_TRUE(cell.InForceEverywhere(2));
  cell.Put("uus-a-e1", 3, Text(3), 2, "anna");
  cell.Run(seconds(2));
  EXPECT_TRUE(cell.InForceEverywhere(3));
}

TEST(ConfigKeeperTest, DataCentreWithoutTheStoreGetsChangesFromPeers) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.store_cut = [](const HostId& host) { return host.value[0] == 'p'; };
  cell.Run(seconds(5));
  cell.Put("uus-a-e1", 2, Text(2), 1, "anna");
  cell.Run(seconds(6));
  EXPECT_TRUE(cell.InForceEverywhere(2));
}

TEST(ConfigKeeperTest, CutOffDataCentreKeepsWhatItHasAndCatchesUp) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.store_cut = [](const HostId& host) { return host.value[0] == 'p'; };
  cell.cut = [](const HostId& from, const HostId& to) {
    return from.value[0] != to.value[0];
  };
  cell.Run(seconds(10));
  cell.Put("uus-a-e1", 2, Text(2), 1, "anna");
  cell.Run(seconds(10));
  EXPECT_EQ(cell.host("uus-b-e3").keeper.revision(), 2);
  EXPECT_EQ(cell.host("pirk-a-e3").keeper.revision(), 1);
  EXPECT_FALSE(cell.host("pirk-a-e1").keeper.Status().store_reachable);
  cell.cut = nullptr;
  cell.store_cut = nullptr;
  cell.Run(seconds(6));
  EXPECT_TRUE(cell.InForceEverywhere(2));
  ExpectOnlyForward(cell);
}

TEST(ConfigKeeperTest, RestartOfAllHostsReadsTheStore) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.hosts.clear();
  cell.StartAll();
  cell.Run(seconds(3));
  EXPECT_TRUE(cell.InForceEverywhere(1));
}

TEST(ConfigKeeperTest, StartingHostAsksItsPeersWhileTheStoreIsDown) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.store_down = true;
  cell.Run(seconds(3));
  cell.Start(HostId("pirk-a-e1"));
  cell.Run(seconds(4));
  EXPECT_TRUE(cell.InForceEverywhere(1));
}

TEST(ConfigKeeperTest, PausedHostThatWakesDoesNotBringAnOldRevisionBack) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  cell.paused.insert(HostId("uus-a-e1"));
  cell.Run(seconds(5));
  cell.Put("uus-b-e1", 2, Text(2), 1, "bert");
  cell.Run(seconds(5));
  EXPECT_EQ(cell.host("uus-a-e1").keeper.revision(), 1);
  cell.paused.clear();
  cell.Put("uus-a-e1", 3, Text(9), 1, "anna");
  cell.Run(seconds(3));
  EXPECT_EQ(cell.host("uus-a-e1").answers.back().code, ResultCode::kSuperseded);
  EXPECT_TRUE(cell.InForceEverywhere(2));
  ExpectOnlyForward(cell);
}

TEST(ConfigKeeperTest, DryRunAndWrongTextTouchNoStore) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  const uint64_t writes = cell.store.writes();
  ConfigKeeper& keeper = cell.host("uus-a-e1").keeper;
  const KeeperEffects dry =
      keeper.Put(cell.now, {.id = 5, .text = Text(7), .dry_run = true});
  ASSERT_EQ(dry.answers.size(), 1);
  EXPECT_TRUE(dry.store_calls.empty());
  EXPECT_THAT(dry.answers[0].lines,
              ElementsAre("[preset day] packing_weight: 1 -> 7"));
  const KeeperEffects wrong =
      keeper.Put(cell.now, {.id = 6, .text = "[presets]\nin_force = x\n"});
  EXPECT_EQ(wrong.answers.at(0).code, ResultCode::kInvalidRequest);
  EXPECT_TRUE(wrong.store_calls.empty());
  EXPECT_EQ(cell.store.writes(), writes);
}

TEST(ConfigKeeperTest, MalformedMessageChangesNothing) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  ConfigCell::Host& host = cell.host("uus-a-e1");
  for (const char* text :
       {"", "{}", "{\"revision\":9,\"text\":3}", "\xff",
        "{\"revision\":9,\"text\":\"[x]\",\"changes\":[]}"}) {
    const KeeperEffects effects = host.keeper.OnConfigText(
        cell.now, HostId("uus-a-e2"), {.revision = 9, .text = text});
    EXPECT_FALSE(effects.applied);
    ASSERT_EQ(effects.events.size(), 1) << text;
    EXPECT_EQ(effects.events[0].kind, KeeperEventKind::kContentRefused);
  }
  EXPECT_EQ(host.keeper.revision(), 1);
}

TEST(ConfigKeeperTest, HistoryStaysBounded) {
  ConfigCell cell = NineHosts();
  Settle(cell);
  for (int i = 2; i <= 30; ++i) {
    cell.Put("uus-a-e1", i, Text(i), i - 1, "anna");
    cell.Run(milliseconds(200));
  }
  EXPECT_EQ(cell.host("uus-a-e1").keeper.Status().changes.size(),
            kRememberedChanges);
  cell.Run(seconds(2));
  EXPECT_TRUE(cell.InForceEverywhere(30));
}

}  // namespace
}  // namespace agatepass::config
