#include "agatepass/peers/envelope_codec.h"

#include "agatepass/peers/field_codec.h"
#include "agatepass/peers/message_codec.h"
#include "fmt/format.h"

namespace agatepass::peers {
namespace {

void WriteQuery(const std::string& id, const std::string& body,
                wire::Query::Builder builder) {
  builder.setId(ToText(id));
  builder.setBody(ToText(body));
}

void WriteAnswer(base::ResultCode code, const std::string& body,
                 wire::Answer::Builder builder) {
  builder.setCode(static_cast<uint16_t>(code));
  builder.setBody(ToText(body));
}

template <typename Answer>
void WriteTaskAnswer(const Answer& answer, wire::TaskReports::Builder builder) {
  builder.setComplete(answer.complete);
  WriteLocatedReports(answer.reports,
                      builder.initReports(answer.reports.size()));
  WriteIds(builder.initSilentWorkers(answer.silent_workers.size()),
           answer.silent_workers);
}

/** Fills the field of the union that belongs to each kind of message. */
struct MessageWriter {
  wire::Envelope::Builder builder;

  void operator()(const Heartbeat& message) {
    WriteHeartbeat(message, this->builder.initHeartbeat());
  }
  void operator()(const ConfigText& message) {
    auto field = this->builder.initConfigText();
    field.setRevision(message.revision);
    field.setText(ToText(message.text));
  }
  void operator()(const ConfigQuery& message) {
    this->builder.initConfigQuery().setHeldRevision(message.held_revision);
  }
  void operator()(const JobQuery& message) {
    WriteQuery(message.job.value, message.body, this->builder.initJobQuery());
  }
  void operator()(const JobAnswer& message) {
    WriteAnswer(message.code, message.body, this->builder.initJobAnswer());
  }
  void operator()(const TicketQuery& message) {
    WriteTicketQuery(message, this->builder.initTicketQuery());
  }
  void operator()(const TicketAnswer& message) {
    WriteTicketAnswer(message, this->builder.initTicketAnswer());
  }
  void operator()(const WhyQuery& message) {
    WriteQuery(message.id, message.body, this->builder.initWhyQuery());
  }
  void operator()(const WhyAnswer& message) {
    WriteAnswer(message.code, message.body, this->builder.initWhyAnswer());
  }
  void operator()(const TimelineQuery& message) {
    WriteQuery(message.id, message.body, this->builder.initTimelineQuery());
  }
  void operator()(const TimelineAnswer& message) {
    WriteAnswer(message.code, message.body, this->builder.initTimelineAnswer());
  }
  void operator()(const Reserve& message) {
    WriteReserve(message, this->builder.initReserve());
  }
  void operator()(const ReserveAnswer& message) {
    WriteReserveAnswer(message, this->builder.initReserveAnswer());
  }
  void operator()(const Commit& message) {
    WriteCommit(message, this->builder.initCommit());
  }
  void operator()(const CommitAnswer& message) {
    WriteCommitAnswer(message, this->builder.initCommitAnswer());
  }
  void operator()(const Release& message) {
    this->builder.initRelease().setReservation(ToText(message.reservation));
  }
  void operator()(const ReleaseAnswer& message) {
    auto field = this->builder.initReleaseAnswer();
    field.setReservation(ToText(message.reservation));
    field.setCode(static_cast<uint16_t>(message.code));
  }
  void operator()(const TaskReports& message) {
    WriteLocatedReports(
        message.reports,
        this->builder.initTaskReports().initReports(message.reports.size()));
  }
  void operator()(const TaskReportsAnswer& message) {
    auto field = this->builder.initTaskReportsAnswer();
    WriteIds(field.initTasks(message.tasks.size()), message.tasks);
  }
  void operator()(const TaskStop& message) {
    auto field = this->builder.initTaskStop();
    WriteIds(field.initTasks(message.tasks.size()), message.tasks);
  }
  void operator()(const TaskStopAnswer& message) {
    WriteTaskAnswer(message, this->builder.initTaskStopAnswer());
  }
  void operator()(const TaskQuery& message) {
    this->builder.initTaskQuery().setJob(ToText(message.job.value));
  }
  void operator()(const TaskAnswer& message) {
    WriteTaskAnswer(message, this->builder.initTaskAnswer());
  }
  void operator()(const Handover& message) {
    WriteHandover(message, this->builder.initHandover());
  }
};

template <typename Answer>
Answer ReadAnswer(wire::Answer::Reader reader) {
  return {.code = ReadResultCode(reader.getCode()),
          .body = FromText(reader.getBody())};
}

template <typename Answer>
Answer ReadTaskAnswer(wire::TaskReports::Reader reader) {
  return {.complete = reader.getComplete(),
          .reports = ReadLocatedReports(reader.getReports()),
          .silent_workers = ReadIds<base::WorkerId>(reader.getSilentWorkers())};
}

Message ReadMessage(wire::Envelope::Reader reader) {
  switch (reader.which()) {
    case wire::Envelope::HEARTBEAT:
      return ReadHeartbeat(reader.getHeartbeat());
    case wire::Envelope::CONFIG_TEXT:
      return ConfigText{reader.getConfigText().getRevision(),
                        FromText(reader.getConfigText().getText())};
    case wire::Envelope::CONFIG_QUERY:
      return ConfigQuery{reader.getConfigQuery().getHeldRevision()};
    case wire::Envelope::JOB_QUERY:
      return JobQuery{base::JobId(FromText(reader.getJobQuery().getId())),
                      FromText(reader.getJobQuery().getBody())};
    case wire::Envelope::JOB_ANSWER:
      return ReadAnswer<JobAnswer>(reader.getJobAnswer());
    case wire::Envelope::TICKET_QUERY:
      return ReadTicketQuery(reader.getTicketQuery());
    case wire::Envelope::TICKET_ANSWER:
      return ReadTicketAnswer(reader.getTicketAnswer());
    case wire::Envelope::WHY_QUERY:
      return WhyQuery{FromText(reader.getWhyQuery().getId()),
                      FromText(reader.getWhyQuery().getBody())};
    case wire::Envelope::WHY_ANSWER:
      return ReadAnswer<WhyAnswer>(reader.getWhyAnswer());
    case wire::Envelope::TIMELINE_QUERY:
      return TimelineQuery{FromText(reader.getTimelineQuery().getId()),
                           FromText(reader.getTimelineQuery().getBody())};
    case wire::Envelope::TIMELINE_ANSWER:
      return ReadAnswer<TimelineAnswer>(reader.getTimelineAnswer());
    case wire::Envelope::RESERVE:
      return ReadReserve(reader.getReserve());
    case wire::Envelope::RESERVE_ANSWER:
      return ReadReserveAnswer(reader.getReserveAnswer());
    case wire::Envelope::COMMIT:
      return ReadCommit(reader.getCommit());
    case wire::Envelope::COMMIT_ANSWER:
      return ReadCommitAnswer(reader.getCommitAnswer());
    case wire::Envelope::RELEASE:
      return Release{FromText(reader.getRelease().getReservation())};
    case wire::Envelope::RELEASE_ANSWER:
      return ReleaseAnswer{FromText(reader.getReleaseAnswer().getReservation()),
                           ReadResultCode(reader.getReleaseAnswer().getCode())};
    case wire::Envelope::TASK_REPORTS:
      return TaskReports{
          ReadLocatedReports(reader.getTaskReports().getReports())};
    case wire::Envelope::TASK_REPORTS_ANSWER:
      return TaskReportsAnswer{
          ReadIds<base::TaskId>(reader.getTaskReportsAnswer().getTasks())};
    case wire::Envelope::TASK_STOP:
      return TaskStop{ReadIds<base::TaskId>(reader.getTaskStop().getTasks())};
    case wire::Envelope::TASK_STOP_ANSWER:
      return ReadTaskAnswer<TaskStopAnswer>(reader.getTaskStopAnswer());
    case wire::Envelope::TASK_QUERY:
      return TaskQuery{base::JobId(FromText(reader.getTaskQuery().getJob()))};
    case wire::Envelope::TASK_ANSWER:
      return ReadTaskAnswer<TaskAnswer>(reader.getTaskAnswer());
    case wire::Envelope::HANDOVER:
      return ReadHandover(reader.getHandover());
  }
  throw UnknownNumber(fmt::format("message kind {} is not known",
                                  fmt::underlying(reader.which())));
}

}  // namespace

void WriteEnvelope(const Envelope& envelope, wire::Envelope::Builder builder) {
  builder.setSender(ToText(envelope.sender.value));
  builder.setIncarnation(envelope.incarnation);
  builder.setRequestId(envelope.request_id);
  std::visit(MessageWriter{builder}, envelope.message);
}

absl::StatusOr<Envelope> ReadEnvelope(wire::Envelope::Reader reader) {
  try {
    return Envelope{.sender = base::HostId(FromText(reader.getSender())),
                    .incarnation = reader.getIncarnation(),
                    .request_id = reader.getRequestId(),
                    .message = ReadMessage(reader)};
  } catch (const UnknownNumber& fault) {
    return base::ErrorStatus(
        base::ResultCode::kInvalidRequest,
        fmt::format("envelope from host \"{}\" is malformed: {}",
                    FromText(reader.getSender()), fault.what()));
  }
}

}  // namespace agatepass::peers
