/** \file
 * Conversion of the fields that many messages share: texts, lists, resources
 * and numbered enumerations.
 */
#ifndef AGATEPASS_PEERS_FIELD_CODEC_H_
#define AGATEPASS_PEERS_FIELD_CODEC_H_

#include <capnp/list.h>

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/base/result_code.h"
#include "agatepass/base/time.h"
#include "agatepass/peers/generated/peer.capnp.h"
#include "agatepass/platform/resources.h"

namespace agatepass::peers {

/** A number in a message that this version gives no meaning. */
class UnknownNumber : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline kj::StringPtr ToText(const std::string& text) {
  return {text.c_str(), text.size()};
}

inline std::string FromText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

inline kj::ArrayPtr<const kj::byte> ToData(const std::string& text) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()),
                      text.size());
}

inline std::string FromData(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

/** Returns `duration` in milliseconds, cut off at what the field can hold. */
inline uint32_t ToWireMilliseconds(base::Duration duration) {
  return static_cast<uint32_t>(std::clamp<int64_t>(
      base::ToMilliseconds(duration), 0, std::numeric_limits<uint32_t>::max()));
}

/** Fills a list of structs, one by `write(value, element)` for each value. */
template <typename Builder, typename Value, typename Write>
void WriteList(Builder list, const std::vector<Value>& values, Write write) {
  for (size_t i = 0; i < values.size(); ++i) write(values[i], list[i]);
}

/** Reads a list of structs, each by `read(element)`. */
template <typename Reader, typename Read>
auto ReadList(Reader list, Read read) {
  std::vector<decltype(read(list[0]))> values;
  values.reserve(list.size());
  for (auto element : list) values.push_back(read(element));
  return values;
}

template <typename Id>
void WriteIds(capnp::List<capnp::Text>::Builder list,
              const std::vector<Id>& ids) {
  for (size_t i = 0; i < ids.size(); ++i) list.set(i, ToText(ids[i].value));
}

template <typename Id>
std::vector<Id> ReadIds(capnp::List<capnp::Text>::Reader list) {
  std::vector<Id> ids;
  ids.reserve(list.size());
  for (capnp::Text::Reader text : list) ids.emplace_back(FromText(text));
  return ids;
}

/** Fills a Resources field. */
void WriteResources(const platform::Resources& resources,
                    wire::Resources::Builder builder);

/** Reads a Resources field. */
platform::Resources ReadResources(wire::Resources::Reader reader);

/** Returns the result code numbered `number`.
 *
 * \throws UnknownNumber if there is none.
 */
base::ResultCode ReadResultCode(uint16_t number);

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_FIELD_CODEC_H_
