#include "agatepass/peers/field_codec.h"
#include "agatepass/peers/message_codec.h"

namespace agatepass::peers {

void WriteTicketQuery(const TicketQuery& query,
                      wire::TicketQuery::Builder builder) {
  builder.setTicket(ToText(query.ticket));
  builder.setService(ToText(query.service.value));
  builder.setTeam(ToText(query.team.value));
  builder.setMethod(ToText(query.method));
  builder.setPath(ToText(query.path));
  builder.setBody(ToData(query.body));
  builder.setDeadlineMs(ToWireMilliseconds(query.deadline));
  builder.setIdempotent(query.idempotent);
}

TicketQuery ReadTicketQuery(wire::TicketQuery::Reader reader) {
  return {.ticket = FromText(reader.getTicket()),
          .service = base::ServiceId(FromText(reader.getService())),
          .team = base::TeamId(FromText(reader.getTeam())),
          .method = FromText(reader.getMethod()),
          .path = FromText(reader.getPath()),
          .body = FromData(reader.getBody()),
          .deadline = std::chrono::milliseconds(reader.getDeadlineMs()),
          .idempotent = reader.getIdempotent()};
}

void WriteTicketAnswer(const TicketAnswer& answer,
                       wire::TicketAnswer::Builder builder) {
  builder.setCode(static_cast<uint16_t>(answer.code));
  builder.setStatus(answer.status);
  builder.setMessage(ToText(answer.message));
  builder.setBody(ToData(answer.body));
}

TicketAnswer ReadTicketAnswer(wire::TicketAnswer::Reader reader) {
  return {.code = ReadResultCode(reader.getCode()),
          .status = reader.getStatus(),
          .message = FromText(reader.getMessage()),
          .body = FromData(reader.getBody())};
}

}  // namespace agatepass::peers
