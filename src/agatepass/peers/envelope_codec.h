/** \file
 * Conversion between envelopes and Cap'n Proto's builders and readers, for the
 * codec and the network task only.
 */
#ifndef AGATEPASS_PEERS_ENVELOPE_CODEC_H_
#define AGATEPASS_PEERS_ENVELOPE_CODEC_H_

#include "absl/status/statusor.h"
#include "agatepass/peers/generated/peer.capnp.h"
#include "agatepass/peers/messages.h"

namespace agatepass::peers {

/** Fills `builder` from `envelope`. */
void WriteEnvelope(const Envelope& envelope, wire::Envelope::Builder builder);

/** Reads an envelope.
 *
 * \return kInvalidRequest if a message or number is not known.
 * \throws kj::Exception if the bytes behind `reader` are malformed.
 */
absl::StatusOr<Envelope> ReadEnvelope(wire::Envelope::Reader reader);

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_ENVELOPE_CODEC_H_
