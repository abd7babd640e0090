// What a team may start under its cap, and which of its jobs are within its
// share.
#include "agatepass/pool/team_usage.h"

#include "agatepass/pool/team_shares.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::TeamId kTeam("a");
const platform::Resources kNeed{.millicores = 1000, .memory_mib = 100};
const TaskName kStep{base::JobId("j"), 0, 0, 0};
const TaskName kGang{base::JobId("g"), 0, 0, 0};

TeamUsage MakeUsage(const platform::Resources& cap) {
  TeamUsage usage;
  usage.SetTeams(std::vector<Team>{{.id = kTeam, .cap = cap}});
  return usage;
}

uint32_t CountRoom(const TeamUsage& usage, const TaskName& holder = kStep) {
  return usage.CountRoom(
      {.team = kTeam, .need = kNeed, .tasks = 10, .holder = holder});
}

TEST(TeamUsage, AllRunsCountUntilTheyHaveEnded) {
  TeamUsage usage = MakeUsage({.millicores = 4500});
  EXPECT_EQ(CountRoom(usage), 4U);
  usage.Add({.team = kTeam, .amount = kNeed});
  EXPECT_EQ(CountRoom(usage), 3U);
  usage.Add({.amount = {.millicores = 2000}, .unattributed = true});
  EXPECT_EQ(CountRoom(usage), 1U) << "a run of an unknown job may be of any";
  usage.SetUnknownRuns({{kTeam, {.millicores = 1000}}});
  EXPECT_EQ(CountRoom(usage), 0U);
  usage.SetUnknownRuns({});
  usage.Remove({.amount = {.millicores = 2000}, .unattributed = true});
  usage.Remove({.team = kTeam, .amount = kNeed});
  EXPECT_EQ(CountRoom(usage), 4U);
}

TEST(TeamUsage, EachResourceLimitsAndZeroIsNoLimit) {
  EXPECT_EQ(CountRoom(MakeUsage({.memory_mib = 250})), 2U);
  EXPECT_EQ(CountRoom(MakeUsage({.millicores = 9000, .memory_mib = 250})), 2U);
  EXPECT_EQ(CountRoom(MakeUsage({})), 10U);
  EXPECT_EQ(CountRoom(TeamUsage()), 10U) << "the team is not configured";
}

// A cap that is lowered below what runs must not free room.
TEST(TeamUsage, ALoweredCapLeavesNoRoomUntilEnoughHasEnded) {
  TeamUsage usage = MakeUsage({.millicores = 4000});
  for (int i = 0; i < 4; ++i) usage.Add({.team = kTeam, .amount = kNeed});
  usage.SetTeams(std::vector<Team>{{.id = kTeam, .cap = {.millicores = 2000}}});
  usage.Remove({.team = kTeam, .amount = kNeed});
  usage.Remove({.team = kTeam, .amount = kNeed});
  EXPECT_EQ(CountRoom(usage), 0U);
  usage.Remove({.team = kTeam, .amount = kNeed});
  EXPECT_EQ(CountRoom(usage), 1U);
  usage.SetTeams({});
  EXPECT_EQ(CountRoom(usage), 1U) << "a team that is removed keeps its cap";
}

// Small steps of a team took each place that came free, and its gang waited.
TEST(TeamUsage, RoomHeldBackIsThereForItsHolderAlone) {
  TeamUsage usage = MakeUsage({.millicores = 4000});
  usage.HoldBack(kTeam, kGang, {.millicores = 3000});
  EXPECT_EQ(CountRoom(usage), 1U);
  EXPECT_EQ(CountRoom(usage, kGang), 4U);
  usage.HoldBack(kTeam, kStep, {.millicores = 1000});
  EXPECT_EQ(CountRoom(usage, kGang), 4U) << "what comes later takes nothing";
  usage.ReleaseHeldBack();
  EXPECT_EQ(CountRoom(usage), 4U);
}

TEST(TeamUsage, TellsWhatCanNeverRun) {
  const TeamUsage usage = MakeUsage({.millicores = 4500});
  EXPECT_TRUE(usage.FitsCap(kTeam, kNeed, 4));
  EXPECT_FALSE(usage.FitsCap(kTeam, kNeed, 5));
  EXPECT_TRUE(usage.FitsCap(base::TeamId(), kNeed, 5));
}

class TeamSharesTest : public testing::Test {
 protected:
  TeamSharesTest() {
    this->shares.SetTeams(std::vector<Team>{{.id = kTeam, .weight = 2}});
  }

  TeamShares shares;
  base::Instant now{seconds(100)};
};

// A team that sends several times its share still gets the share itself.
TEST_F(TeamSharesTest, ATeamThatSendsTooMuchKeepsItsShare) {
  int within = 0;
  for (int i = 0; i < 200; ++i) {  // 10 jobs a second for 20 s.
    this->now += milliseconds(100);
    if (!this->shares.IsWithin(kTeam, this->now)) continue;
    this->shares.OnAcceptedWithin(kTeam, this->now);
    ++within;
  }
  EXPECT_EQ(within, 40);
}

TEST_F(TeamSharesTest, TellsWhenTheWindowHasRoomAgain) {
  for (int i = 0; i < 10; ++i) {
    this->shares.OnAcceptedWithin(kTeam, this->now);
  }
  EXPECT_FALSE(this->shares.IsWithin(kTeam, this->now));
  EXPECT_EQ(this->shares.TimeUntilWithin(kTeam, this->now + seconds(2)),
            seconds(3));
  EXPECT_TRUE(this->shares.IsWithin(kTeam, this->now + seconds(5)));
}

TEST_F(TeamSharesTest, WithoutAWeightNothingIsWithinAndWithoutATeamAllIs) {
  EXPECT_FALSE(this->shares.IsWithin(base::TeamId("b"), this->now));
  EXPECT_TRUE(this->shares.IsWithin(base::TeamId(), this->now));
  this->shares.SetTeams(std::vector<Team>{{.id = kTeam, .weight = 0.01}});
  EXPECT_TRUE(this->shares.IsWithin(kTeam, this->now))
      << "any weight is a job in each window";
}

}  // namespace
}  // namespace agatepass::pool
