/** \file
 * Envelopes as bytes, for everything that needs them outside the network task:
 * tests, accounts of bytes, files.
 */
#ifndef AGATEPASS_PEERS_CODEC_H_
#define AGATEPASS_PEERS_CODEC_H_

#include <cstddef>
#include <span>
#include <vector>

#include "absl/status/statusor.h"
#include "agatepass/peers/messages.h"

namespace agatepass::peers {

/** Longest encoded envelope that is sent or taken in, in bytes. */
inline constexpr size_t kMaximumEnvelopeBytes = 2 * 1024 * 1024;

/** Returns `envelope` in Cap'n Proto's stream format.
 *
 * \code
 * std::vector<std::byte> bytes = EncodeEnvelope({.sender = HostId("uus-a-e1"),
 *                                                .message = ConfigQuery{7}});
 * absl::StatusOr<Envelope> same = DecodeEnvelope(bytes);
 * \endcode
 */
std::vector<std::byte> EncodeEnvelope(const Envelope& envelope);

/** Reads an envelope; never trusts the bytes.
 *
 * \return kInvalidRequest, with the fault named, if the bytes are no envelope,
 * hold a message or number that this version does not know, or exceed
 * kMaximumEnvelopeBytes.
 */
absl::StatusOr<Envelope> DecodeEnvelope(std::span<const std::byte> bytes);

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_CODEC_H_
