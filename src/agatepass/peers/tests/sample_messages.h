/** \file
 * One message of each kind, with every field set.
 */
#ifndef AGATEPASS_PEERS_TESTS_SAMPLE_MESSAGES_H_
#define AGATEPASS_PEERS_TESTS_SAMPLE_MESSAGES_H_

#include <vector>

#include "agatepass/peers/messages.h"

namespace agatepass::peers {

inline constexpr platform::Resources kSmallResources{
    .millicores = 500, .memory_mib = 256, .accelerators = 1};
inline constexpr platform::Resources kLargeResources{
    .millicores = 64000, .memory_mib = 131072, .accelerators = 4};

/** Returns the heartbeat with every field set. */
inline Heartbeat SampleHeartbeat() {
  const RoomSummary room{.free = kLargeResources,
                         .largest_free = kSmallResources,
                         .queued_tasks = 9};
  const DataCentreSummary summary{.data_centre = base::DataCentreId("pirk-a"),
                                  .representative = base::HostId("pirk-a-e1"),
                                  .incarnation = 4,
                                  .sequence = 17,
                                  .config_revision = 88,
                                  .hosts = {{.host = base::HostId("pirk-a-e1"),
                                             .incarnation = 4,
                                             .leaving = true}},
                                  .room = room};
  const std::vector<base::WorkerId> workers{base::WorkerId("w17")};
  return Heartbeat{.sequence = 5,
                   .heard_sequence = 4,
                   .data_centre = base::DataCentreId("uus-a"),
                   .config_revision = 88,
                   .leaving = true,
                   .room = room,
                   .relay_state = "{\"desk\":3}",
                   .workers = workers,
                   .summaries = {summary}};
}

/** Returns the messages on configuration, jobs, tickets and records. */
inline std::vector<Message> SampleQueries() {
  using std::chrono::milliseconds;
  return {
      SampleHeartbeat(),
      ConfigText{.revision = 89, .text = "[presets]\nin_force = peak\n"},
      ConfigQuery{.held_revision = 88},
      JobQuery{.job = base::JobId("j-1"), .body = "{}"},
      JobAnswer{.code = base::ResultCode::kNotFound, .body = "{\"a\":1}"},
      TicketQuery{.ticket = "uus-a-e1.7.42",
                  .service = base::ServiceId("notice-desk"),
                  .team = base::TeamId("alerts"),
                  .method = "POST",
                  .path = "/alert",
                  .body = std::string("a\0b", 3),
                  .deadline = milliseconds(750),
                  .idempotent = true},
      TicketAnswer{.code = base::ResultCode::kOutcomeUnknown,
                   .status = 200,
                   .message = "the host that minted it has restarted",
                   .body = std::string("a\0b", 3)},
      WhyQuery{.id = "j-1", .body = "{}"},
      WhyAnswer{.code = base::ResultCode::kNotFound, .body = "[]"},
      TimelineQuery{.id = "j-1", .body = "{}"},
      TimelineAnswer{.code = base::ResultCode::kNotFound, .body = "[]"},
  };
}

/** Returns the messages on room and tasks. */
inline std::vector<Message> SamplePlacements() {
  using std::chrono::milliseconds;
  const LocatedReport report{
      .worker = base::WorkerId("w17"),
      .report = {.task = base::TaskId("j-1.0"),
                 .phase = platform::TaskPhase::kFailed,
                 .declared = kLargeResources,
                 .used = kSmallResources,
                 .result = std::string("exit 3\0tail", 11)}};
  const std::vector<base::TaskId> tasks{base::TaskId("j-1.0"),
                                        base::TaskId("j-1.1")};
  const std::vector<base::WorkerId> workers{base::WorkerId("w17")};
  return {
      Reserve{.reservation = "uus-a-e1.7.3",
              .job = base::JobId("j-1"),
              .team = base::TeamId("alerts"),
              .workload = base::WorkloadId("route-packs"),
              .priority = -3,
              .all_at_once = true,
              .separation = "estate",
              .expiry = milliseconds(4000),
              .tasks = {{.task = base::TaskId("j-1.0"),
                         .declared = kSmallResources}}},
      ReserveAnswer{.reservation = "uus-a-e1.7.3",
                    .code = base::ResultCode::kNoRoomNow,
                    .reason = "worker \"w17\" lacks 2 of 4 accelerators",
                    .placements = {{.task = base::TaskId("j-1.0"),
                                    .worker = base::WorkerId("w17")}}},
      Commit{.reservation = "uus-a-e1.7.3",
             .starts = {{.task = base::TaskId("j-1.0"),
                         .team = base::TeamId("alerts"),
                         .declared = kSmallResources,
                         .command = "route-pack 7",
                         .lease = milliseconds(9000),
                         .on_lapse = platform::LapseAction::kStop}}},
      CommitAnswer{.reservation = "uus-a-e1.7.3",
                   .code = base::ResultCode::kWorkerUnreachable,
                   .results = {{.task = base::TaskId("j-1.0"),
                                .worker = base::WorkerId("w17"),
                                .started = true,
                                .reason = "no room"}}},
      Release{.reservation = "uus-a-e1.7.3"},
      ReleaseAnswer{.reservation = "uus-a-e1.7.3",
                    .code = base::ResultCode::kNotFound},
      TaskReports{.reports = {report}},
      TaskReportsAnswer{.tasks = tasks},
      TaskStop{.tasks = tasks},
      TaskStopAnswer{
          .complete = true, .reports = {report}, .silent_workers = workers},
      TaskQuery{.job = base::JobId("j-1")},
      TaskAnswer{
          .complete = true, .reports = {report}, .silent_workers = workers},
      Handover{.workers = {{.worker = base::WorkerId("w17"), .epoch = 12}}},
  };
}

/** Returns one message of each kind, in the order of the variant. */
inline std::vector<Message> SampleMessages() {
  std::vector<Message> messages = SampleQueries();
  for (const Message& message : SamplePlacements()) messages.push_back(message);
  return messages;
}

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_TESTS_SAMPLE_MESSAGES_H_
