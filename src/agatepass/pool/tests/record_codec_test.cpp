// Encoding and decoding of store records and peer calls without loss.
#include "agatepass/pool/record_codec.h"

#include "agatepass/pool/peer_call.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

Job MakeJobWithAllFields() {
  Job job{.id = base::JobId("5c0e"),
          .queue = "r-1",
          .team = base::TeamId("a"),
          .payload = "text \"with\" quotes",
          .occurrences = 3,
          .first_due_ms = 17,
          .interval_ms = 19,
          .accepted_ms = 23,
          .policy =
              QueuePolicy{.service = base::ServiceId("desk"),
                          .priority = 2,
                          .attempts = 3,
                          .stretch = 1.5,
                          .slack = std::chrono::milliseconds(400),
                          .advice = AdvicePolicy{std::chrono::milliseconds(12),
                                                 std::chrono::microseconds(170),
                                                 std::chrono::seconds(2)}}};
  job.steps.push_back({.count = 4,
                       .need = {1000, 2000, 3},
                       .estimate = std::chrono::milliseconds(900),
                       .uses_checkpoints = true,
                       .gang = true,
                       .same_rack = true,
                       .speculative = true,
                       .long_running = true,
                       .uses_idle_processors = true,
                       .required_label = "a",
                       .data_rack = base::RackId("r1-3"),
                       .max_tasks_per_worker = 2,
                       .image = "i",
                       .latency_target = std::chrono::milliseconds(30),
                       .max_unavailable = 1});
  job.steps.push_back({.count = 1, .depends_on = {0}});
  return job;
}

TEST(RecordCodec, JobsRoundTrip) {
  const absl::StatusOr<Job> decoded =
      DecodeJob(EncodeJob(MakeJobWithAllFields()));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(*decoded, MakeJobWithAllFields());
}

TEST(RecordCodec, ProgressRoundTrips) {
  const JobProgress progress{
      .phase = JobPhase::kFailed,
      .final_ms = 99,
      .succeeded = {{0, 1, 2, 5}},
      .tasks = {{0, 1, 7, 3, {1, 3}, "saved"},
                {.step = 1,
                 .index = 8,
                 .crashed_runs = {{.run = 1}, {2, base::Duration(700), true}},
                 .at_risk_run = 3,
                 .begun_run = 3}}};
  const absl::StatusOr<JobProgress> decoded =
      DecodeProgress(EncodeProgress(progress));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(*decoded, progress);
}

TEST(RecordCodec, ReadsTasksWithoutTheirCrashes) {
  const auto progress = DecodeProgress(
      R"({"phase":"running","tasks":[[0,1,7,3,[1,3],"saved"]]})");
  ASSERT_TRUE(progress.ok()) << progress.status();
  EXPECT_EQ(progress->tasks,
            (std::vector<TaskProgress>{{0, 1, 7, 3, {1, 3}, "saved"}}));
}

// Guards against taking the risk that an older release recorded before a start
// for evidence that the run began.
TEST(RecordCodec, ReadsTasksOfReleasesThatDidNotStoreWhichRunsBegan) {
  const auto progress = DecodeProgress(
      R"({"phase":"running","tasks":[[0,1,7,1,[],"",3,[[2,700,true]]]]})");
  ASSERT_TRUE(progress.ok()) << progress.status();
  EXPECT_EQ(progress->tasks,
            (std::vector<TaskProgress>{
                {0, 1, 7, 1, {}, "", {{2, base::Duration(700), true}}, 3, 0}}));
}

TEST(RecordCodec, RejectsMalformedRecords) {
  EXPECT_FALSE(DecodeJob("{").ok());
  EXPECT_FALSE(DecodeJob("[]").ok());
  EXPECT_FALSE(DecodeProgress(R"({"phase":"odd"})").ok());
}

TEST(RecordCodec, SubmissionCallsRoundTrip) {
  const auto call =
      DecodePeerCall(EncodePeerCall({.verb = PeerVerb::kSubmit,
                                     .submission = MakeJobWithAllFields(),
                                     .configuration_version = 7}));
  ASSERT_TRUE(call);
  EXPECT_EQ(call->submission, MakeJobWithAllFields());
  EXPECT_EQ(call->configuration_version, 7U);
}

TEST(RecordCodec, HelloRepliesRoundTrip) {
  const HelloReply reply{
      .planner = PlannerEntry{base::HostId("a"), {"10.0.0.1", 7000}, "1"},
      .revision = 12,
      .hosts = {{"10.0.0.2", 7000}}};
  const auto decoded = DecodeHelloReply(EncodeHelloReply(reply));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->planner, reply.planner);
  EXPECT_EQ(decoded->revision, 12U);
  EXPECT_EQ(decoded->hosts, reply.hosts);
  EXPECT_FALSE(DecodeHelloReply({.status = 200, .body = "[]"}));
}

TEST(RecordCodec, CallerAnswersRoundTrip) {
  const auto answer = DecodeCallerAnswer(
      EncodeCallerAnswer({.code = base::ResultCode::kOverloaded,
                          .phase = JobPhase::kRunning,
                          .pending = 4,
                          .retry_after = std::chrono::seconds(3),
                          .detail = "why"}));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->code, base::ResultCode::kOverloaded);
  EXPECT_EQ(answer->phase, JobPhase::kRunning);
  EXPECT_EQ(answer->pending, 4U);
  EXPECT_EQ(answer->retry_after, std::chrono::seconds(3));
  EXPECT_EQ(answer->detail, "why");
  EXPECT_FALSE(DecodeCallerAnswer({.status = 200, .body = "{}"}));
}

}  // namespace
}  // namespace agatepass::pool
