#include "agatepass/config/config_record.h"

#include <algorithm>

#include "agatepass/base/result_code.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::config {
namespace {

using nlohmann::json;

json EncodeChange(const ConfigChange& change) {
  return {{"revision", change.revision},
          {"author", change.author},
          {"time_us", change.time.microseconds},
          {"nonce", change.nonce},
          {"lines", change.lines}};
}

ConfigChange DecodeChange(const json& value) {
  return {.revision = value.at("revision").get<platform::Revision>(),
          .author = value.at("author").get<std::string>(),
          .time = {.microseconds = value.at("time_us").get<int64_t>()},
          .nonce = value.at("nonce").get<std::string>(),
          .lines = value.at("lines").get<std::vector<std::string>>()};
}

}  // namespace

const ConfigChange* ConfigRecord::FindChange(std::string_view nonce) const {
  const auto change =
      std::find_if(this->changes.begin(), this->changes.end(),
                   [&](const auto& known) { return known.nonce == nonce; });
  return change == this->changes.end() ? nullptr : &*change;
}

std::string EncodeConfigRecord(const ConfigRecord& record) {
  json changes = json::array();
  for (const ConfigChange& change : record.changes) {
    changes.push_back(EncodeChange(change));
  }
  const json value = {{"revision", record.revision},
                      {"text", record.text},
                      {"changes", std::move(changes)}};
  // Authors are free text; bytes that are not UTF-8 must not throw.
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<ConfigRecord> DecodeConfigRecord(std::string_view text) {
  try {
    const json value = json::parse(text);
    ConfigRecord record{
        .revision = value.at("revision").get<platform::Revision>(),
        .text = value.at("text").get<std::string>()};
    for (const json& change : value.at("changes")) {
      record.changes.push_back(DecodeChange(change));
    }
    return record;
  } catch (const json::exception& fault) {
    return base::ErrorStatus(
        base::ResultCode::kStoreContentChanged,
        fmt::format("the stored configuration is malformed: {}", fault.what()));
  }
}

}  // namespace agatepass::config
