// Calls that a host has routed by another configuration than the planner's.
#include "agatepass/pool/call_routing.h"

#include <string>

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

constexpr char kHost[] = "a.example";

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
  const auto answer = RouteOnPlanner(planner, call);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->code, base::ResultCode::kNotFound);
  EXPECT_TRUE(answer->unknown_queue);
}

TEST(CallRouting, ThePlannerRoutesACallAgainThatAnOlderConfigurationRouted) {
  const ConfigurationReplica planner = MakeReplica(12);
  PeerCall call = MakeCall(PeerVerb::kSubmit, "/q/new/5c", 9);
  EXPECT_EQ(call.queue, "q");
  EXPECT_FALSE(RouteOnPlanner(planner, call));
  EXPECT_EQ(call.queue, "new");
  EXPECT_EQ(call.job.value, "5c");
  EXPECT_EQ(call.submission.id.value, "5c");
  EXPECT_EQ(call.submission.queue, "new");
}

TEST(CallRouting, ThePlannerRoutesACallThatTheHostHasNoQueueFor) {
  const ConfigurationReplica planner = MakeReplica(12);
  PeerCall call{.verb = PeerVerb::kDescribe,
                .target = {.host = kHost, .path = "/q/new/"}};
  EXPECT_FALSE(RouteOnPlanner(planner, call));
  EXPECT_EQ(call.verb, PeerVerb::kCountPending);
  EXPECT_EQ(call.queue, "new");
}

TEST(CallRouting,
     APlannerWithAnOlderConfigurationThanTheHostKnowsOfServesNone) {
  const ConfigurationReplica planner = MakeReplica(9);
  for (const uint64_t host_version : {9, 12}) {
    PeerCall call = MakeCall(PeerVerb::kDescribe, "/q/5c", host_version);
    call.newest_version = 12;
    const auto answer = RouteOnPlanner(planner, call);
    ASSERT_TRUE(answer) << host_version;
    EXPECT_EQ(answer->code, base::ResultCode::kPeerUnreachable);
  }
}

TEST(CallRouting, ACallOfTheSameVersionIsLeftAsItIs) {
  const ConfigurationReplica planner = MakeReplica(12);
  PeerCall call = MakeCall(PeerVerb::kDescribe, "/q/5c", 12);
  EXPECT_FALSE(RouteOnPlanner(planner, call));
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

}  // namespace
}  // namespace agatepass::pool
