#include "agatepass/peers/codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

#include "agatepass/peers/envelope_codec.h"
#include "fmt/format.h"

namespace agatepass::peers {
namespace {

constexpr size_t kWordBytes = sizeof(capnp::word);

absl::Status Malformed(std::string_view fault) {
  return base::ErrorStatus(base::ResultCode::kInvalidRequest,
                           fmt::format("envelope is malformed: {}", fault));
}

absl::StatusOr<Envelope> DecodeWords(kj::ArrayPtr<const capnp::word> words) {
  capnp::ReaderOptions options;
  // Pointers may overlap in hostile bytes; this bounds what reading them costs.
  options.traversalLimitInWords = 2 * kMaximumEnvelopeBytes / kWordBytes;
  capnp::FlatArrayMessageReader message(words, options);
  return ReadEnvelope(message.getRoot<wire::Envelope>());
}

}  // namespace

std::vector<std::byte> EncodeEnvelope(const Envelope& envelope) {
  capnp::MallocMessageBuilder message;
  WriteEnvelope(envelope, message.initRoot<wire::Envelope>());
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
  const auto* first = reinterpret_cast<const std::byte*>(bytes.begin());
  return {first, first + bytes.size()};
}

absl::StatusOr<Envelope> DecodeEnvelope(std::span<const std::byte> bytes) {
  if (bytes.size() > kMaximumEnvelopeBytes) {
    return Malformed(fmt::format("{} bytes, at most {} are allowed",
                                 bytes.size(), kMaximumEnvelopeBytes));
  }
  if (bytes.empty() || bytes.size() % kWordBytes != 0) {
    return Malformed(
        fmt::format("{} bytes are no whole number of words", bytes.size()));
  }
  const kj::Array<capnp::word> words =
      kj::heapArray<capnp::word>(bytes.size() / kWordBytes);
  std::memcpy(const_cast<capnp::word*>(words.begin()), bytes.data(),
              bytes.size());
  try {
    return DecodeWords(words);
  } catch (const kj::Exception& fault) {
    return Malformed(fault.getDescription().cStr());
  }
}

}  // namespace agatepass::peers
