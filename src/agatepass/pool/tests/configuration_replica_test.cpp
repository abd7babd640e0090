// A host's copy of the configuration, and what hosts send each other of it.
#include "agatepass/pool/configuration_replica.h"

#include <string>

#include "agatepass/pool/configuration_fetch.h"
#include "agatepass/pool/peer_call.h"
#include "fmt/format.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Returns a version with this many queues, "q-0" being changed by each. */
QueueTable MakeTable(uint64_t version, int queue_count) {
  QueueTable table{.version = version};
  for (int i = 0; i < queue_count; ++i) {
    table.queues.push_back(
        {.name = fmt::format("q-{}", i),
         .host = "a.example",
         .prefix = fmt::format("/p{}/", i),
         .policy = {.service = base::ServiceId("s"),
                    .priority = 2,
                    .attempts = 3,
                    .stretch = 2.2,
                    .slack = milliseconds(1200),
                    .advice = AdvicePolicy{milliseconds(5), milliseconds(1),
                                           seconds(2)}}});
  }
  table.queues[0].policy.slack = milliseconds(version);
  return table;
}

TEST(ConfigurationReplica, NeverGoesBackToAnOlderVersion) {
  ConfigurationReplica replica;
  EXPECT_TRUE(replica.Apply(MakeTable(12, 3), 112));
  EXPECT_FALSE(replica.Apply(MakeTable(9, 3), 109));
  EXPECT_FALSE(replica.Apply(MakeTable(12, 4), 113));
  EXPECT_EQ(replica.version(), 12U);
  EXPECT_EQ(replica.revision(), 112);
}

constexpr base::Duration kMaxAge = milliseconds(2400);

TEST(ConfigurationReplica, DecidesAloneOnlyWhileConfirmedAsTheNewest) {
  const base::Instant now{seconds(10)};
  ConfigurationReplica replica(kMaxAge);
  replica.OnNewestAt(0, now);
  EXPECT_FALSE(replica.IsCurrent(now)) << "there is no version yet";
  replica.Apply(MakeTable(9, 3), 109);
  EXPECT_TRUE(replica.IsCurrent(now));
  EXPECT_FALSE(replica.IsCurrent(now + kMaxAge + milliseconds(1)));
  replica.OnVersionSeen(12);
  EXPECT_FALSE(replica.IsCurrent(now)) << "a newer version is known";
  replica.Apply(MakeTable(12, 3), 112);
  EXPECT_TRUE(replica.IsCurrent(now));
}

// A planner whose watch was silent went on by its version without a bound.
TEST(ConfigurationReplica, DecidesNothingOnceItIsOldWhileTheStoreAnswers) {
  const base::Instant confirmed{seconds(10)};
  ConfigurationReplica replica(kMaxAge);
  replica.Apply(MakeTable(9, 3), 109);
  EXPECT_FALSE(replica.MayDecide(confirmed)) << "it was never confirmed";
  replica.OnNewestAt(9, confirmed);
  EXPECT_TRUE(replica.MayDecide(confirmed + kMaxAge));
  const base::Instant old = confirmed + kMaxAge + milliseconds(1);
  replica.OnStoreChecked(old - milliseconds(300), old);
  EXPECT_FALSE(replica.MayDecide(old));
  replica.OnNewestAt(9, old - milliseconds(100));
  EXPECT_TRUE(replica.MayDecide(old));
}

/** Checks the store each 100 ms, which has last answered at a time. */
void CheckStore(ConfigurationReplica& replica, base::Instant answered_at,
                base::Instant from, base::Instant until) {
  for (base::Instant now = from; now <= until; now += milliseconds(100)) {
    replica.OnStoreChecked(answered_at, now);
  }
}

TEST(ConfigurationReplica, GoesOnDecidingWhileTheStoreDoesNotAnswer) {
  const base::Instant confirmed{seconds(10)};
  const base::Instant answered = confirmed + seconds(1);
  const base::Instant later = confirmed + seconds(30);
  ConfigurationReplica replica(kMaxAge);
  replica.Apply(MakeTable(9, 3), 109);
  replica.OnNewestAt(9, confirmed);
  CheckStore(replica, answered, answered, later);
  EXPECT_TRUE(replica.MayDecide(later));
  EXPECT_FALSE(replica.IsCurrent(later)) << "but no host alone";
  replica.OnVersionSeen(12);
  EXPECT_FALSE(replica.MayDecide(later)) << "a newer version is known";
}

TEST(ConfigurationReplica, IsOldIfTheStoreAnsweredLongAfterItWasConfirmed) {
  const base::Instant confirmed{seconds(10)};
  const base::Instant answered = confirmed + kMaxAge + milliseconds(1);
  const base::Instant later = confirmed + seconds(30);
  ConfigurationReplica replica(kMaxAge);
  replica.Apply(MakeTable(9, 3), 109);
  replica.OnNewestAt(9, confirmed);
  CheckStore(replica, answered, answered, later);
  EXPECT_FALSE(replica.MayDecide(later));
}

// A planner that was stopped for a while took the pause for an outage of the
// store, and answered what had waited by its old version.
TEST(ConfigurationReplica, APauseOfTheProcessIsNoSilenceOfTheStore) {
  const base::Instant confirmed{seconds(10)};
  ConfigurationReplica replica(kMaxAge);
  replica.Apply(MakeTable(9, 3), 109);
  replica.OnNewestAt(9, confirmed);
  CheckStore(replica, confirmed, confirmed, confirmed + milliseconds(200));
  const base::Instant resumed = confirmed + seconds(30);
  EXPECT_FALSE(replica.MayDecide(resumed));
  CheckStore(replica, confirmed, resumed, resumed + milliseconds(900));
  EXPECT_FALSE(replica.MayDecide(resumed + milliseconds(900)));
  CheckStore(replica, confirmed, resumed + seconds(1),
             resumed + milliseconds(1100));
  EXPECT_TRUE(replica.MayDecide(resumed + milliseconds(1100)));
}

// Each host took the planner's word for as fresh as the hello that brought it.
TEST(ConfigurationReplica, IsAsOldOnAHostAsOnTheHostThatToldIt) {
  const base::Instant now{seconds(10)};
  ConfigurationReplica planner(kMaxAge);
  planner.Apply(MakeTable(9, 3), 109);
  HelloReply reply{.configuration_version = planner.version(),
                   .configuration_age = planner.Age(now)};
  EXPECT_FALSE(DecodeHelloReply(EncodeHelloReply(reply))->configuration_age)
      << "it was never confirmed";
  planner.OnNewestAt(9, now - milliseconds(2000));
  reply.configuration_age = planner.Age(now);
  const auto told = DecodeHelloReply(EncodeHelloReply(reply));
  ASSERT_TRUE(told && told->configuration_age);
  ConfigurationReplica host(kMaxAge);
  host.Apply(MakeTable(9, 3), 109);
  host.OnNewestAt(told->configuration_version, now - *told->configuration_age);
  EXPECT_TRUE(host.IsCurrent(now + milliseconds(400)));
  EXPECT_FALSE(host.IsCurrent(now + milliseconds(401)));
}

TEST(ConfigurationReplica, IsNotConfirmedByWordOfANewerVersion) {
  const base::Instant now{seconds(10)};
  ConfigurationReplica replica(kMaxAge);
  replica.Apply(MakeTable(9, 3), 109);
  replica.OnNewestAt(12, now);
  EXPECT_FALSE(replica.Age(now));
  EXPECT_TRUE(replica.IsBehind());
}

TEST(ConfigurationReplica, AnAgeThatCannotBeIsNone) {
  for (const char* age : {"-1", "9223372036854775807", "3600000001"}) {
    const base::HttpAnswer reply{
        .status = 200,
        .body = fmt::format(
            R"({{"revision":1,"hosts":[],"configuration_age_us":{}}})", age)};
    const auto decoded = DecodeHelloReply(reply);
    ASSERT_TRUE(decoded) << age;
    EXPECT_FALSE(decoded->configuration_age) << age;
  }
}

TEST(ConfigurationUpdate, TurnsOneVersionIntoTheNext) {
  ConfigurationReplica sender;
  sender.Apply(MakeTable(7, 30), 107);
  sender.Apply(MakeTable(9, 20), 109);
  sender.Apply(MakeTable(12, 40), 112);
  for (const uint64_t base : {0, 7, 9}) {
    ConfigurationReplica receiver;
    if (base != 0) receiver.Apply(MakeTable(base, base == 7 ? 30 : 20), base);
    const auto update = DecodeUpdate(sender.EncodeUpdateFrom(base));
    ASSERT_TRUE(update) << base;
    EXPECT_EQ(update->base_version, base);
    EXPECT_EQ(update->revision, 112);
    auto table = ApplyUpdate(receiver.queues().table(), *update);
    ASSERT_TRUE(table) << base;
    ASSERT_TRUE(receiver.Apply(*std::move(table), update->revision));
    EXPECT_EQ(ComputeChecksum(receiver.queues().table()),
              ComputeChecksum(sender.queues().table()));
    for (const Queue& queue : sender.queues().table().queues) {
      const Queue* found = receiver.queues().Find(queue.name);
      ASSERT_NE(found, nullptr) << queue.name;
      EXPECT_EQ(*found, queue);
    }
  }
}

// Each host read the whole record again for each change of some routes.
TEST(ConfigurationUpdate, GrowsWithWhatHasChangedAndNotWithAllQueues) {
  ConfigurationReplica sender;
  sender.Apply(MakeTable(7, 4000), 107);
  sender.Apply(MakeTable(9, 4001), 109);
  EXPECT_LT(sender.EncodeUpdateFrom(7).size(), 600U);
  EXPECT_LT(sender.EncodeUpdateFrom(0).size(), 4001U * 40U);
}

TEST(ConfigurationUpdate, IsNotAppliedToAnotherVersionOrWithAWrongChecksum) {
  const QueueTable base = MakeTable(7, 3);
  ConfigurationUpdate update = MakeUpdate(base, MakeTable(9, 3), 109);
  EXPECT_TRUE(ApplyUpdate(base, update));
  EXPECT_FALSE(ApplyUpdate(MakeTable(8, 3), update));
  EXPECT_FALSE(ApplyUpdate(MakeTable(7, 4), update));
  ++update.checksum;
  EXPECT_FALSE(ApplyUpdate(base, update));
}

/** Returns a version with a team that has this key, and a public queue. */
QueueTable MakeTableWithTeam(uint64_t version, const std::string& key) {
  QueueTable table = MakeTable(version, 3);
  table.queues[1].is_public = true;
  table.teams = {{.id = base::TeamId("a"),
                  .api_keys = {key},
                  .weight = 2.5,
                  .cap = {.millicores = 4000, .memory_mib = 8000}}};
  return table;
}

// A host that got its configuration from a peer kept a key that was revoked.
TEST(ConfigurationUpdate, CarriesTeamsAndPublicQueues) {
  const QueueTable none = MakeTable(5, 3);
  const QueueTable first = MakeTableWithTeam(7, "k-1");
  const QueueTable same = MakeTableWithTeam(8, "k-1");
  const QueueTable revoked = MakeTableWithTeam(9, "k-2");
  const auto send = [](const QueueTable& base, const QueueTable& table) {
    const auto update = DecodeUpdate(EncodeUpdate(MakeUpdate(base, table, 1)));
    return update ? ApplyUpdate(base, *update) : std::nullopt;
  };
  for (const auto& [base, table] :
       {std::pair(QueueTable{}, first), std::pair(none, first),
        std::pair(first, same), std::pair(same, revoked),
        std::pair(revoked, none)}) {
    const auto received = send(base, table);
    ASSERT_TRUE(received) << base.version;
    EXPECT_EQ(received->teams, table.teams) << base.version;
    EXPECT_EQ(QueueIndex(*received).Find("q-1")->is_public,
              table.queues[1].is_public);
  }
  EXPECT_NE(ComputeChecksum(first), ComputeChecksum(revoked));
  EXPECT_TRUE(MakeUpdate(first, same, 1).same_teams);
}

TEST(ConfigurationUpdate, AMalformedOneIsRejected) {
  ConfigurationReplica sender;
  sender.Apply(MakeTable(7, 2), 107);
  const std::string good = sender.EncodeUpdateFrom(0);
  ASSERT_TRUE(DecodeUpdate(good));
  for (const std::string& bad :
       {std::string(), std::string("{}"), std::string("[1]"),
        good.substr(0, good.size() / 2)}) {
    EXPECT_FALSE(DecodeUpdate(bad)) << bad;
  }
  std::string text = good;
  text.replace(text.find("/p1/\",0,"), 8, "/p1/\",7,");
  EXPECT_FALSE(DecodeUpdate(text)) << "a queue names a host that is not listed";
}

// Each newer version ignored the transfer under way and began it again, so that
// none ended while changes came.
TEST(ConfigurationFetch, ATransferIsNotGivenUpForAVersionThatIsNewerStill) {
  const base::Endpoint planner{"10.0.0.1", 7000};
  base::Instant now{seconds(10)};
  ConfigurationFetch fetch;
  EXPECT_FALSE(fetch.Begin(9, now));
  fetch.OnReported(12, planner);
  EXPECT_EQ(fetch.Begin(9, now), planner);
  fetch.OnReported(14, planner);
  EXPECT_FALSE(fetch.Begin(9, now)) << "one is under way";
  fetch.End(true, now);
  EXPECT_EQ(fetch.Begin(12, now), planner);
  fetch.End(false, now);
  EXPECT_FALSE(fetch.Begin(12, now)) << "it has failed just now";
  now += ConfigurationFetch::kRetryDelay;
  EXPECT_EQ(fetch.Begin(12, now), planner);
  fetch.End(true, now);
  EXPECT_FALSE(fetch.Begin(14, now));
}

}  // namespace
}  // namespace agatepass::pool
