#include "agatepass/peers/field_codec.h"
#include "agatepass/peers/message_codec.h"

namespace agatepass::peers {
namespace {

LiveHost ReadLiveHost(wire::LiveHost::Reader reader) {
  return {.host = base::HostId(FromText(reader.getHost())),
          .incarnation = reader.getIncarnation(),
          .leaving = reader.getLeaving()};
}

void WriteLiveHost(const LiveHost& host, wire::LiveHost::Builder builder) {
  builder.setHost(ToText(host.host.value));
  builder.setIncarnation(host.incarnation);
  builder.setLeaving(host.leaving);
}

template <typename Builder>
void WriteRoom(const RoomSummary& room, Builder builder) {
  if (room.free != platform::Resources{}) {
    WriteResources(room.free, builder.initFree());
  }
  if (room.largest_free != platform::Resources{}) {
    WriteResources(room.largest_free, builder.initLargestFree());
  }
  builder.setQueuedTasks(room.queued_tasks);
}

template <typename Reader>
RoomSummary ReadRoom(Reader reader) {
  return {.free = ReadResources(reader.getFree()),
          .largest_free = ReadResources(reader.getLargestFree()),
          .queued_tasks = reader.getQueuedTasks()};
}

void WriteSummary(const DataCentreSummary& summary,
                  wire::DataCentreSummary::Builder builder) {
  builder.setDataCentre(ToText(summary.data_centre.value));
  builder.setRepresentative(ToText(summary.representative.value));
  builder.setIncarnation(summary.incarnation);
  builder.setSequence(summary.sequence);
  builder.setConfigRevision(summary.config_revision);
  WriteList(builder.initHosts(summary.hosts.size()), summary.hosts,
            WriteLiveHost);
  WriteRoom(summary.room, builder);
}

DataCentreSummary ReadSummary(wire::DataCentreSummary::Reader reader) {
  return {.data_centre = base::DataCentreId(FromText(reader.getDataCentre())),
          .representative = base::HostId(FromText(reader.getRepresentative())),
          .incarnation = reader.getIncarnation(),
          .sequence = reader.getSequence(),
          .config_revision = reader.getConfigRevision(),
          .hosts = ReadList(reader.getHosts(), ReadLiveHost),
          .room = ReadRoom(reader)};
}

}  // namespace

void WriteHeartbeat(const Heartbeat& heartbeat,
                    wire::Heartbeat::Builder builder) {
  builder.setSequence(heartbeat.sequence);
  builder.setHeardSequence(heartbeat.heard_sequence);
  builder.setDataCentre(ToText(heartbeat.data_centre.value));
  builder.setConfigRevision(heartbeat.config_revision);
  builder.setLeaving(heartbeat.leaving);
  WriteRoom(heartbeat.room, builder);
  // Fields that are not set cost no bytes on the wire.
  if (!heartbeat.relay_state.empty()) {
    builder.setRelayState(ToText(heartbeat.relay_state));
  }
  if (!heartbeat.workers.empty()) {
    WriteIds(builder.initWorkers(heartbeat.workers.size()), heartbeat.workers);
  }
  if (!heartbeat.summaries.empty()) {
    WriteList(builder.initSummaries(heartbeat.summaries.size()),
              heartbeat.summaries, WriteSummary);
  }
}

Heartbeat ReadHeartbeat(wire::Heartbeat::Reader reader) {
  return {.sequence = reader.getSequence(),
          .heard_sequence = reader.getHeardSequence(),
          .data_centre = base::DataCentreId(FromText(reader.getDataCentre())),
          .config_revision = reader.getConfigRevision(),
          .leaving = reader.getLeaving(),
          .room = ReadRoom(reader),
          .relay_state = FromText(reader.getRelayState()),
          .workers = ReadIds<base::WorkerId>(reader.getWorkers()),
          .summaries = ReadList(reader.getSummaries(), ReadSummary)};
}

}  // namespace agatepass::peers
