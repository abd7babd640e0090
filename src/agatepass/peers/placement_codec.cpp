#include "agatepass/peers/field_codec.h"
#include "agatepass/peers/message_codec.h"
#include "fmt/format.h"

namespace agatepass::peers {
namespace {

void WriteTaskRequest(const TaskRequest& request,
                      wire::TaskRequest::Builder builder) {
  builder.setTask(ToText(request.task.value));
  WriteResources(request.declared, builder.initDeclared());
}

TaskRequest ReadTaskRequest(wire::TaskRequest::Reader reader) {
  return {.task = base::TaskId(FromText(reader.getTask())),
          .declared = ReadResources(reader.getDeclared())};
}

void WritePlacement(const TaskPlacement& placement,
                    wire::TaskPlacement::Builder builder) {
  builder.setTask(ToText(placement.task.value));
  builder.setWorker(ToText(placement.worker.value));
}

TaskPlacement ReadPlacement(wire::TaskPlacement::Reader reader) {
  return {.task = base::TaskId(FromText(reader.getTask())),
          .worker = base::WorkerId(FromText(reader.getWorker()))};
}

void WriteStart(const platform::TaskStart& start,
                wire::TaskStart::Builder builder) {
  builder.setTask(ToText(start.task.value));
  builder.setTeam(ToText(start.team.value));
  WriteResources(start.declared, builder.initDeclared());
  builder.setCommand(ToText(start.command));
  builder.setLeaseMs(ToWireMilliseconds(start.lease));
  builder.setStopOnLapse(start.on_lapse == platform::LapseAction::kStop);
}

platform::TaskStart ReadStart(wire::TaskStart::Reader reader) {
  return {.task = base::TaskId(FromText(reader.getTask())),
          .team = base::TeamId(FromText(reader.getTeam())),
          .declared = ReadResources(reader.getDeclared()),
          .command = FromText(reader.getCommand()),
          .lease = std::chrono::milliseconds(reader.getLeaseMs()),
          .on_lapse = reader.getStopOnLapse()
                          ? platform::LapseAction::kStop
                          : platform::LapseAction::kKeepRunning};
}

void WriteCommitResult(const CommitResult& result,
                       wire::StartResult::Builder builder) {
  builder.setTask(ToText(result.task.value));
  builder.setWorker(ToText(result.worker.value));
  builder.setStarted(result.started);
  builder.setReason(ToText(result.reason));
}

CommitResult ReadCommitResult(wire::StartResult::Reader reader) {
  return {.task = base::TaskId(FromText(reader.getTask())),
          .worker = base::WorkerId(FromText(reader.getWorker())),
          .started = reader.getStarted(),
          .reason = FromText(reader.getReason())};
}

platform::TaskPhase ReadPhase(uint8_t number) {
  if (number > static_cast<uint8_t>(platform::TaskPhase::kStopped)) {
    throw UnknownNumber(fmt::format("task phase {} is not known", number));
  }
  return static_cast<platform::TaskPhase>(number);
}

void WriteReport(const LocatedReport& located,
                 wire::TaskReport::Builder builder) {
  const platform::TaskReport& report = located.report;
  builder.setTask(ToText(report.task.value));
  builder.setWorker(ToText(located.worker.value));
  builder.setPhase(static_cast<uint8_t>(report.phase));
  WriteResources(report.declared, builder.initDeclared());
  WriteResources(report.used, builder.initUsed());
  builder.setResult(ToData(report.result));
}

LocatedReport ReadReport(wire::TaskReport::Reader reader) {
  return {.worker = base::WorkerId(FromText(reader.getWorker())),
          .report = {.task = base::TaskId(FromText(reader.getTask())),
                     .phase = ReadPhase(reader.getPhase()),
                     .declared = ReadResources(reader.getDeclared()),
                     .used = ReadResources(reader.getUsed()),
                     .result = FromData(reader.getResult())}};
}

}  // namespace

void WriteReserve(const Reserve& reserve, wire::Reserve::Builder builder) {
  builder.setReservation(ToText(reserve.reservation));
  builder.setJob(ToText(reserve.job.value));
  builder.setTeam(ToText(reserve.team.value));
  builder.setWorkload(ToText(reserve.workload.value));
  builder.setPriority(reserve.priority);
  builder.setAllAtOnce(reserve.all_at_once);
  builder.setSeparation(ToText(reserve.separation));
  builder.setExpiryMs(ToWireMilliseconds(reserve.expiry));
  WriteList(builder.initTasks(reserve.tasks.size()), reserve.tasks,
            WriteTaskRequest);
}

Reserve ReadReserve(wire::Reserve::Reader reader) {
  return {.reservation = FromText(reader.getReservation()),
          .job = base::JobId(FromText(reader.getJob())),
          .team = base::TeamId(FromText(reader.getTeam())),
          .workload = base::WorkloadId(FromText(reader.getWorkload())),
          .priority = reader.getPriority(),
          .all_at_once = reader.getAllAtOnce(),
          .separation = FromText(reader.getSeparation()),
          .expiry = std::chrono::milliseconds(reader.getExpiryMs()),
          .tasks = ReadList(reader.getTasks(), ReadTaskRequest)};
}

void WriteReserveAnswer(const ReserveAnswer& answer,
                        wire::ReserveAnswer::Builder builder) {
  builder.setReservation(ToText(answer.reservation));
  builder.setCode(static_cast<uint16_t>(answer.code));
  builder.setReason(ToText(answer.reason));
  WriteList(builder.initPlacements(answer.placements.size()), answer.placements,
            WritePlacement);
}

ReserveAnswer ReadReserveAnswer(wire::ReserveAnswer::Reader reader) {
  return {.reservation = FromText(reader.getReservation()),
          .code = ReadResultCode(reader.getCode()),
          .reason = FromText(reader.getReason()),
          .placements = ReadList(reader.getPlacements(), ReadPlacement)};
}

void WriteCommit(const Commit& commit, wire::Commit::Builder builder) {
  builder.setReservation(ToText(commit.reservation));
  WriteList(builder.initStarts(commit.starts.size()), commit.starts,
            WriteStart);
}

Commit ReadCommit(wire::Commit::Reader reader) {
  return {.reservation = FromText(reader.getReservation()),
          .starts = ReadList(reader.getStarts(), ReadStart)};
}

void WriteCommitAnswer(const CommitAnswer& answer,
                       wire::CommitAnswer::Builder builder) {
  builder.setReservation(ToText(answer.reservation));
  builder.setCode(static_cast<uint16_t>(answer.code));
  WriteList(builder.initResults(answer.results.size()), answer.results,
            WriteCommitResult);
}

CommitAnswer ReadCommitAnswer(wire::CommitAnswer::Reader reader) {
  return {.reservation = FromText(reader.getReservation()),
          .code = ReadResultCode(reader.getCode()),
          .results = ReadList(reader.getResults(), ReadCommitResult)};
}

void WriteLocatedReports(const std::vector<LocatedReport>& reports,
                         capnp::List<wire::TaskReport>::Builder builder) {
  WriteList(builder, reports, WriteReport);
}

std::vector<LocatedReport> ReadLocatedReports(
    capnp::List<wire::TaskReport>::Reader reader) {
  return ReadList(reader, ReadReport);
}

void WriteHandover(const Handover& handover, wire::Handover::Builder builder) {
  WriteList(builder.initWorkers(handover.workers.size()), handover.workers,
            [](const WorkerGrant& grant, wire::WorkerGrant::Builder element) {
              element.setWorker(ToText(grant.worker.value));
              element.setEpoch(grant.epoch);
            });
}

Handover ReadHandover(wire::Handover::Reader reader) {
  return {.workers = ReadList(
              reader.getWorkers(), [](wire::WorkerGrant::Reader element) {
                return WorkerGrant{
                    .worker = base::WorkerId(FromText(element.getWorker())),
                    .epoch = element.getEpoch()};
              })};
}

}  // namespace agatepass::peers
