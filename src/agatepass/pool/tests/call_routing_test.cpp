// Calls that a host has routed by another configuration than the planner's.
#include "agatepass/pool/call_routing.h"

#include <string>

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

constexpr char kHost[] = "a.example";
constexpr base::Instant kNow{std::chrono::seconds(10)};

Queue MakeQueue(const std::string& name, const std::string& prefix) {
  return {.name = name,
          .host = kHost,
          .prefix = prefix,
          .policy = {.service = base::ServiceId("s")}};
}

/** The queue "old" is there up to version 9, "new" from version 12 on. */
QueueTable MakeTable(uint64_t version) {
  QueueTable table{.version = version, .queues = {MakeQueue("q", "/q/")}};
  if (version <= 9) table.queues.push_back(MakeQueue("old", "/old/"));
  if (version >= 12) table.queues.push_back(MakeQueue("new", "/q/new/"));
  return table;
}

ConfigurationReplica MakeReplica(uint64_t version) {
  ConfigurationReplica replica;
  EXPECT_TRUE(replica.Apply(MakeTable(version), 100 + version));
  replica.OnNewestAt(version, kNow);
  return replica;
}

/** Returns a call as a host with this version passes it on. */
PeerCall MakeCall(PeerVerb verb, const std::string& path,
                  uint64_t host_version) {
  PeerCall call{.verb = verb,
                .target = {.host = kHost, .path = path},
                .newest_version = host_version};
  RouteCall(QueueIndex(MakeTable(host_version)), call);
  return call;
}

// A host that had not received version 12 in time went on to count the jobs of
// a queue that was gone.
TEST(CallRouting, ThePlannerRejectsACallForAQueueThatItsConfigurationDropped) {
  const ConfigurationReplica planner = MakeReplica(12);
  PeerCall call = MakeCall(PeerVerb::kDescribe, "/old/", 9);
  EXPECT_EQ(call.verb, PeerVerb::kCountPending);
  const auto answer = RouteOnPlanner(planner, call, kNow);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->code, base::ResultCode::kNotFound);
  EXPECT_TRUE(answer->unknown_queue);
}

TEST(CallRouting, ThePlannerRoutesACallAgainThatAnOlderConfigurationRouted) {
  const ConfigurationReplica planner = MakeReplica(12);
  PeerCall call = MakeCall(PeerVerb::kSubmit, "/q/new/5c", 9);
  EXPECT_EQ(call.queue, "q");
  EXPECT_FALSE(RouteOnPlanner(planner, call, kNow));
  EXPECT_EQ(call.queue, "new");
  EXPECT_EQ(call.job.value, "5c");
  EXPECT_EQ(call.submission.id.value, "5c");
  EXPECT_EQ(call.submission.queue, "new");
}

TEST(CallRouting, ThePlannerRoutesACallThatTheHostHasNoQueueFor) {
  const ConfigurationReplica planner = MakeReplica(12);
  PeerCall call{.verb = PeerVerb::kDescribe,
                .target = {.host = kHost, .path = "/q/new/"}};
  EXPECT_FALSE(RouteOnPlanner(planner, call, kNow));
  EXPECT_EQ(call.verb, PeerVerb::kCountPending);
  EXPECT_EQ(call.queue, "new");
}

TEST(CallRouting,
     APlannerWithAnOlderConfigurationThanTheHostKnowsOfServesNone) {
  const ConfigurationReplica planner = MakeReplica(9);
  for (const uint64_t host_version : {9, 12}) {
    PeerCall call = MakeCall(PeerVerb::kDescribe, "/q/5c", host_version);
    call.newest_version = 12;
    const auto answer = RouteOnPlanner(planner, call, kNow);
    ASSERT_TRUE(answer) << host_version;
    EXPECT_EQ(answer->code, base::ResultCode::kPeerUnreachable);
  }
}

// A planner that had not heard of the store for long served by what it had.
TEST(CallRouting, APlannerWhoseConfigurationIsNotConfirmedServesNone) {
  ConfigurationReplica planner = MakeReplica(9);
  const base::Instant later = kNow + std::chrono::seconds(3);
  planner.OnStoreChecked(later, later);
  for (const char* path : {"/q/", "/q/5c", "/old/"}) {
    PeerCall call = MakeCall(PeerVerb::kDescribe, path, 9);
    EXPECT_FALSE(RouteOnPlanner(planner, call, kNow));
    const auto answer = RouteOnPlanner(planner, call, later);
    ASSERT_TRUE(answer) << path;
    EXPECT_EQ(answer->code, base::ResultCode::kPeerUnreachable);
    EXPECT_GT(answer->retry_after, base::Duration(0));
  }
}

TEST(CallRouting, ACallOfTheSameVersionIsLeftAsItIs) {
  const ConfigurationReplica planner = MakeReplica(12);
  PeerCall call = MakeCall(PeerVerb::kDescribe, "/q/5c", 12);
  EXPECT_FALSE(RouteOnPlanner(planner, call, kNow));
  EXPECT_EQ(call.verb, PeerVerb::kDescribe);
  EXPECT_EQ(call.job.value, "5c");
}

TEST(CallRouting, APathWithoutAJobIsNoSubmission) {
  PeerCall call{.verb = PeerVerb::kSubmit,
                .target = {.host = kHost, .path = "/q/"}};
  EXPECT_EQ(RouteCall(QueueIndex(MakeTable(9)), call), Routing::kNoJob);
}

TEST(CallRouting, TargetAndVersionsTravelWithACall) {
  PeerCall call = MakeCall(PeerVerb::kDescribe, "/q/new/5c%20d", 12);
  call.newest_version = 13;
  const auto decoded = DecodePeerCall(EncodePeerCall(call));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->target.host, kHost);
  EXPECT_EQ(decoded->target.path, "/q/new/5c%20d");
  EXPECT_EQ(decoded->configuration_version, 12U);
  EXPECT_EQ(decoded->newest_version, 13U);
  const auto answer = DecodeCallerAnswer(
      EncodeCallerAnswer({.code = base::ResultCode::kNotFound,
                          .unknown_queue = true,
                          .configuration_version = 12}));
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->unknown_queue);
  EXPECT_EQ(answer->configuration_version, 12U);
}

/** Version 9 has the key "old-key" of team "a", from version 12 on it is
 * revoked and "new-key" is there; "/open/" is public. */
QueueTable MakeTableWithTeams(uint64_t version) {
  QueueTable table = MakeTable(version);
  table.queues.push_back(MakeQueue("open", "/open/"));
  table.queues.back().is_public = true;
  table.teams = {{.id = base::TeamId("a"),
                  .api_keys = {"key", version <= 9 ? "old-key" : "new-key"}}};
  return table;
}

PeerCall MakeCallWithKey(const std::string& path, const std::string& key) {
  return {.verb = PeerVerb::kSubmit,
          .target = {.host = kHost, .path = path, .api_key = key},
          .submission = {.steps = {{.count = 1}}}};
}

// Jobs ran whose key no configuration had ever held.
TEST(TeamKeys, ACallWithoutAKnownKeyIsNotRouted) {
  const QueueIndex index(MakeTableWithTeams(9));
  for (const char* key : {"", "other", "KEY", "key ", "new-key"}) {
    PeerCall call = MakeCallWithKey("/q/5c", key);
    EXPECT_EQ(RouteCall(index, call), Routing::kUnauthenticated) << key;
    EXPECT_TRUE(call.job.empty()) << "the call must stay unrouted";
  }
  PeerCall call = MakeCallWithKey("/q/5c", "key");
  EXPECT_EQ(RouteCall(index, call), Routing::kRouted);
  EXPECT_EQ(call.submission.team.value, "a");
  PeerCall unknown_path = MakeCallWithKey("/else/5c", "");
  EXPECT_EQ(RouteCall(index, unknown_path), Routing::kNoQueue);
}

TEST(TeamKeys, APublicQueueAndAConfigurationWithoutTeamsNeedNoKey) {
  PeerCall open = MakeCallWithKey("/open/5c", "other");
  EXPECT_EQ(RouteCall(QueueIndex(MakeTableWithTeams(9)), open),
            Routing::kRouted);
  EXPECT_TRUE(open.submission.team.empty());
  PeerCall call = MakeCallWithKey("/q/5c", "");
  EXPECT_EQ(RouteCall(QueueIndex(MakeTable(9)), call), Routing::kRouted);
  QueueTable no_team = MakeTable(9);
  no_team.teams.emplace();
  EXPECT_EQ(RouteCall(QueueIndex(no_team), call), Routing::kUnauthenticated);
}

// A host with an older version ran a request by a revoked key, or refused one
// whose key had been added.
TEST(TeamKeys, ThePlannerDecidesByItsNewerVersion) {
  ConfigurationReplica planner;
  planner.Apply(MakeTableWithTeams(12), 112);
  planner.OnNewestAt(12, kNow);
  const QueueIndex host(MakeTableWithTeams(9));
  PeerCall revoked = MakeCallWithKey("/q/5c", "old-key");
  ASSERT_EQ(RouteCall(host, revoked), Routing::kRouted);
  const auto answer = RouteOnPlanner(planner, revoked, kNow);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->code, base::ResultCode::kUnauthenticated);
  PeerCall added = MakeCallWithKey("/q/5c", "new-key");
  ASSERT_EQ(RouteCall(host, added), Routing::kUnauthenticated);
  const auto forwarded = DecodePeerCall(EncodePeerCall(added));
  ASSERT_TRUE(forwarded);
  added = *forwarded;
  EXPECT_FALSE(RouteOnPlanner(planner, added, kNow));
  EXPECT_EQ(added.submission.team.value, "a");
  EXPECT_EQ(added.submission.id.value, "5c");
}

}  // namespace
}  // namespace agatepass::pool
