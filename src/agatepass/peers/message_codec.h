/** \file
 * Conversion of each kind of message, one pair of functions for each: Write
 * fills a builder, Read returns the value and throws UnknownNumber.
 */
#ifndef AGATEPASS_PEERS_MESSAGE_CODEC_H_
#define AGATEPASS_PEERS_MESSAGE_CODEC_H_

#include "agatepass/peers/generated/peer.capnp.h"
#include "agatepass/peers/messages.h"

namespace agatepass::peers {

void WriteHeartbeat(const Heartbeat& heartbeat,
                    wire::Heartbeat::Builder builder);
Heartbeat ReadHeartbeat(wire::Heartbeat::Reader reader);

void WriteTicketQuery(const TicketQuery& query,
                      wire::TicketQuery::Builder builder);
TicketQuery ReadTicketQuery(wire::TicketQuery::Reader reader);

void WriteTicketAnswer(const TicketAnswer& answer,
                       wire::TicketAnswer::Builder builder);
TicketAnswer ReadTicketAnswer(wire::TicketAnswer::Reader reader);

void WriteReserve(const Reserve& reserve, wire::Reserve::Builder builder);
Reserve ReadReserve(wire::Reserve::Reader reader);

void WriteReserveAnswer(const ReserveAnswer& answer,
                        wire::ReserveAnswer::Builder builder);
ReserveAnswer ReadReserveAnswer(wire::ReserveAnswer::Reader reader);

void WriteCommit(const Commit& commit, wire::Commit::Builder builder);
Commit ReadCommit(wire::Commit::Reader reader);

void WriteCommitAnswer(const CommitAnswer& answer,
                       wire::CommitAnswer::Builder builder);
CommitAnswer ReadCommitAnswer(wire::CommitAnswer::Reader reader);

void WriteLocatedReports(const std::vector<LocatedReport>& reports,
                         capnp::List<wire::TaskReport>::Builder builder);
std::vector<LocatedReport> ReadLocatedReports(
    capnp::List<wire::TaskReport>::Reader reader);

void WriteHandover(const Handover& handover, wire::Handover::Builder builder);
Handover ReadHandover(wire::Handover::Reader reader);

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_MESSAGE_CODEC_H_
