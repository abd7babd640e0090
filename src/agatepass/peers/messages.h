/** \file
 * The messages between entry hosts as plain values. The decision code sees
 * these and never the library that carries them.
 */
#ifndef AGATEPASS_PEERS_MESSAGES_H_
#define AGATEPASS_PEERS_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/result_code.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/resources.h"
#include "agatepass/platform/store.h"
#include "agatepass/platform/worker.h"

namespace agatepass::peers {

/** Number of one life of an entry host; a restarted host has a higher one. */
using Incarnation = uint64_t;

/** An entry host as its own data centre sees it. */
struct LiveHost {
  base::HostId host;
  Incarnation incarnation = 0;
  bool leaving = false;

  bool operator==(const LiveHost&) const = default;
};

/** Free room: of one entry host's workers, or of a whole data centre. */
struct RoomSummary {
  platform::Resources free;
  /** The most that is free on any one worker. */
  platform::Resources largest_free;
  uint32_t queued_tasks = 0;

  bool operator==(const RoomSummary&) const = default;
};

/** What one data centre tells the others about itself; its size does not grow
 * with the cell. */
struct DataCentreSummary {
  base::DataCentreId data_centre;
  /** The entry host that made the summary. */
  base::HostId representative;
  Incarnation incarnation = 0;
  /** Rises with each summary of one representative's incarnation. */
  uint64_t sequence = 0;
  platform::Revision config_revision = 0;
  std::vector<LiveHost> hosts;
  RoomSummary room;

  bool operator==(const DataCentreSummary&) const = default;
};

/** Periodic sign of life of an entry host. */
struct Heartbeat {
  uint64_t sequence = 0;
  /** The receiver's highest sequence seen by the sender; 0 for none. */
  uint64_t heard_sequence = 0;
  base::DataCentreId data_centre;
  platform::Revision config_revision = 0;
  bool leaving = false;
  RoomSummary room;
  /** Shares and loans of upstream slots, as the relay slice wrote them. */
  std::string relay_state;
  std::vector<base::WorkerId> workers;
  std::vector<DataCentreSummary> summaries;

  bool operator==(const Heartbeat&) const = default;
};

/** A configuration and its revision. */
struct ConfigText {
  platform::Revision revision = 0;
  std::string text;

  bool operator==(const ConfigText&) const = default;
};

/** Asks for the configuration if the receiver's revision is higher. */
struct ConfigQuery {
  platform::Revision held_revision = 0;

  bool operator==(const ConfigQuery&) const = default;
};

/** Asks for a job's record, or acts on it; the body is the JSON of the HTTP
 * interface. */
struct JobQuery {
  base::JobId job;
  std::string body;

  bool operator==(const JobQuery&) const = default;
};

struct JobAnswer {
  base::ResultCode code = base::ResultCode::kOk;
  std::string body;

  bool operator==(const JobAnswer&) const = default;
};

/** A repeated request under a ticket, passed on to the host that minted it. */
struct TicketQuery {
  std::string ticket;
  base::ServiceId service;
  base::TeamId team;
  std::string method;
  std::string path;
  std::string body;
  /** Time left until the caller's deadline. */
  base::Duration deadline{0};
  bool idempotent = false;

  bool operator==(const TicketQuery&) const = default;
};

/** The first answer under the ticket. */
struct TicketAnswer {
  base::ResultCode code = base::ResultCode::kOk;
  /** HTTP status of the upstream's answer; 0 if there is none. */
  uint16_t status = 0;
  std::string message;
  std::string body;

  bool operator==(const TicketAnswer&) const = default;
};

/** Asks for the recorded decisions on `id`. */
struct WhyQuery {
  std::string id;
  std::string body;

  bool operator==(const WhyQuery&) const = default;
};

struct WhyAnswer {
  base::ResultCode code = base::ResultCode::kOk;
  std::string body;

  bool operator==(const WhyAnswer&) const = default;
};

/** Asks for events, by the id or by the window that the body names. */
struct TimelineQuery {
  std::string id;
  std::string body;

  bool operator==(const TimelineQuery&) const = default;
};

struct TimelineAnswer {
  base::ResultCode code = base::ResultCode::kOk;
  std::string body;

  bool operator==(const TimelineAnswer&) const = default;
};

/** A task to reserve room for. */
struct TaskRequest {
  base::TaskId task;
  platform::Resources declared;

  bool operator==(const TaskRequest&) const = default;
};

/** Asks the owner of workers to hold room until it is committed, released or
 * expired. */
struct Reserve {
  /** Names the reservation; a repeat under the same name changes nothing. */
  std::string reservation;
  base::JobId job;
  base::TeamId team;
  base::WorkloadId workload;
  int32_t priority = 0;
  /** Whether room for some of the tasks only is of no use. */
  bool all_at_once = false;
  /** Separation label of the tasks; empty for none. */
  std::string separation;
  base::Duration expiry{0};
  std::vector<TaskRequest> tasks;

  bool operator==(const Reserve&) const = default;
};

struct TaskPlacement {
  base::TaskId task;
  base::WorkerId worker;

  bool operator==(const TaskPlacement&) const = default;
};

/** What could be reserved; a refusal gives the owner's reason. */
struct ReserveAnswer {
  std::string reservation;
  base::ResultCode code = base::ResultCode::kOk;
  std::string reason;
  std::vector<TaskPlacement> placements;

  bool operator==(const ReserveAnswer&) const = default;
};

/** Starts the tasks of a reservation. */
struct Commit {
  std::string reservation;
  std::vector<platform::TaskStart> starts;
};

/** What became of one task of a Commit. */
struct CommitResult {
  base::TaskId task;
  base::WorkerId worker;
  bool started = false;
  std::string reason;

  bool operator==(const CommitResult&) const = default;
};

struct CommitAnswer {
  std::string reservation;
  base::ResultCode code = base::ResultCode::kOk;
  std::vector<CommitResult> results;

  bool operator==(const CommitAnswer&) const = default;
};

/** Gives a reservation up. */
struct Release {
  std::string reservation;

  bool operator==(const Release&) const = default;
};

struct ReleaseAnswer {
  std::string reservation;
  base::ResultCode code = base::ResultCode::kOk;

  bool operator==(const ReleaseAnswer&) const = default;
};

/** A worker's report on a task, with the worker's name. */
struct LocatedReport {
  base::WorkerId worker;
  platform::TaskReport report;
};

/** Progress and ends of tasks, from the workers' owner to the jobs' host. */
struct TaskReports {
  std::vector<LocatedReport> reports;
};

/** Acknowledges that the reports of these tasks' ends are kept. */
struct TaskReportsAnswer {
  std::vector<base::TaskId> tasks;

  bool operator==(const TaskReportsAnswer&) const = default;
};

/** Asks the owner of the tasks' workers to stop them. */
struct TaskStop {
  std::vector<base::TaskId> tasks;

  bool operator==(const TaskStop&) const = default;
};

/** What a stop found. */
struct TaskStopAnswer {
  /** Whether every worker concerned has answered. */
  bool complete = false;
  std::vector<LocatedReport> reports;
  std::vector<base::WorkerId> silent_workers;
};

/** Asks an owner what its workers run or have finished of a job. */
struct TaskQuery {
  base::JobId job;

  bool operator==(const TaskQuery&) const = default;
};

struct TaskAnswer {
  /** Whether every worker of the owner has answered. */
  bool complete = false;
  std::vector<LocatedReport> reports;
  std::vector<base::WorkerId> silent_workers;
};

/** An owner lease that is given up. */
struct WorkerGrant {
  base::WorkerId worker;
  platform::Epoch epoch = 0;

  bool operator==(const WorkerGrant&) const = default;
};

/** Workers that the sender, about to stop, leaves to the receiver. */
struct Handover {
  std::vector<WorkerGrant> workers;

  bool operator==(const Handover&) const = default;
};

/** Any message between entry hosts. */
using Message =
    std::variant<Heartbeat, ConfigText, ConfigQuery, JobQuery, JobAnswer,
                 TicketQuery, TicketAnswer, WhyQuery, WhyAnswer, TimelineQuery,
                 TimelineAnswer, Reserve, ReserveAnswer, Commit, CommitAnswer,
                 Release, ReleaseAnswer, TaskReports, TaskReportsAnswer,
                 TaskStop, TaskStopAnswer, TaskQuery, TaskAnswer, Handover>;

/** Returns the name of the message's kind for logs, such as "heartbeat". */
std::string_view MessageName(const Message& message);

/** A message with its sender. */
struct Envelope {
  base::HostId sender;
  Incarnation incarnation = 0;
  /** Pairs an answer with its query; 0 where there is no answer. */
  uint64_t request_id = 0;
  Message message;
};

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_MESSAGES_H_
