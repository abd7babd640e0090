#include "agatepass/settings/ini_reader.h"

#include <array>
#include <cmath>
#include <fstream>
#include <sstream>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/base/text.h"
#include "boost/property_tree/ini_parser.hpp"
#include "fmt/format.h"

namespace agatepass::settings {

namespace {

struct Unit {
  std::string_view name;
  int64_t microseconds;
};

// The longer names stand first: "ms" also ends in "s".
constexpr auto kUnits = std::to_array<Unit>({{"min", 60'000'000},
                                             {"us", 1},
                                             {"ms", 1'000},
                                             {"s", 1'000'000},
                                             {"h", 3'600'000'000}});

std::string Join(std::span<const std::string_view> words) {
  std::string text;
  for (const std::string_view word : words) {
    if (!text.empty()) text += ", ";
    text += word;
  }
  return text;
}

/** Parses a fraction such as "1.5" of a unit; nothing if it is malformed. */
std::optional<base::Duration> ParseFraction(std::string_view digits,
                                            int64_t unit_microseconds) {
  const std::optional<double> number = base::ParseNumber<double>(digits);
  if (!number || !std::isfinite(*number)) return std::nullopt;
  const double microseconds = *number * static_cast<double>(unit_microseconds);
  constexpr double kMostMicroseconds = 9e18;
  if (std::abs(microseconds) > kMostMicroseconds) return std::nullopt;
  return base::Duration(std::llround(microseconds));
}

}  // namespace

std::optional<base::Duration> ParseDuration(std::string_view text) {
  for (const Unit& unit : kUnits) {
    if (!text.ends_with(unit.name)) continue;
    const std::string_view digits =
        base::TrimBlanks(text.substr(0, text.size() - unit.name.size()));
    if (const auto number = base::ParseNumber<int64_t>(digits)) {
      int64_t microseconds = 0;
      if (__builtin_mul_overflow(*number, unit.microseconds, &microseconds)) {
        return std::nullopt;
      }
      return base::Duration(microseconds);
    }
    return ParseFraction(digits, unit.microseconds);
  }
  return std::nullopt;
}

absl::StatusOr<std::string> ReadSettingsFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    return base::ErrorStatus(
        base::ResultCode::kNotFound,
        fmt::format("settings file \"{}\" cannot be read", path));
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string RenderDuration(base::Duration duration) {
  const int64_t count = duration.count();
  constexpr int64_t kMillisecond = 1'000;
  constexpr int64_t kSecond = 1'000'000;
  if (count % kSecond == 0) return fmt::format("{}s", count / kSecond);
  if (count % kMillisecond == 0) {
    return fmt::format("{}ms", count / kMillisecond);
  }
  return fmt::format("{}us", count);
}

IniReader::IniReader(std::string_view name, std::string_view text)
    : name(name) {
  std::istringstream stream{std::string(text)};
  try {
    boost::property_tree::read_ini(stream, this->tree);
  } catch (const boost::property_tree::ini_parser_error& fault) {
    this->errors.push_back(fmt::format("{}: line {}: {}", this->name,
                                       fault.line(), fault.message()));
  }
}

std::optional<std::string> IniReader::Take(std::string_view section,
                                           std::string_view key,
                                           Presence presence) {
  this->known.insert(fmt::format("{}/{}", section, key));
  const auto part = this->tree.find(std::string(section));
  if (part != this->tree.not_found()) {
    const auto entry = part->second.find(std::string(key));
    if (entry != part->second.not_found()) return entry->second.data();
  }
  if (presence == Presence::kRequired) {
    this->errors.push_back(
        fmt::format("{}: [{}] needs the key \"{}\"", this->name, section, key));
  }
  return std::nullopt;
}

void IniReader::Complain(std::string_view section, std::string_view key,
                         std::string_view value, std::string_view allowed) {
  this->errors.push_back(fmt::format("{}: [{}] {} = \"{}\": {}", this->name,
                                     section, key, value, allowed));
}

void IniReader::ReadText(std::string_view section, std::string_view key,
                         Presence presence, std::string* value) {
  std::optional<std::string> text = this->Take(section, key, presence);
  if (!text) return;
  if (text->empty()) {
    this->Complain(section, key, *text, "must not be empty");
    return;
  }
  *value = *std::move(text);
}

void IniReader::ReadChoice(std::string_view section, std::string_view key,
                           std::span<const std::string_view> allowed,
                           std::string* value) {
  std::optional<std::string> text =
      this->Take(section, key, Presence::kOptional);
  if (!text) return;
  for (const std::string_view choice : allowed) {
    if (*text != choice) continue;
    *value = *std::move(text);
    return;
  }
  this->Complain(section, key, *text,
                 fmt::format("must be one of {}", Join(allowed)));
}

void IniReader::ReadEndpoint(std::string_view section, std::string_view key,
                             Presence presence, base::Endpoint* value) {
  const std::optional<std::string> text = this->Take(section, key, presence);
  if (!text) return;
  if (const auto endpoint = base::ParseEndpoint(*text)) {
    *value = *endpoint;
  } else {
    this->Complain(section, key, *text,
                   "must be IP:PORT, such as 127.0.0.1:7000");
  }
}

void IniReader::ReadDuration(std::string_view section, std::string_view key,
                             const DurationRange& range,
                             base::Duration* value) {
  const std::optional<std::string> text =
      this->Take(section, key, Presence::kOptional);
  if (!text) return;
  const std::optional<base::Duration> duration = ParseDuration(*text);
  if (duration && *duration >= range.least && *duration <= range.most) {
    *value = *duration;
    return;
  }
  this->Complain(
      section, key, *text,
      fmt::format("must be a duration from {} to {}, with a unit "
                  "(us, ms, s, min, h)",
                  RenderDuration(range.least), RenderDuration(range.most)));
}

void IniReader::ReadNumber(std::string_view section, std::string_view key,
                           const NumberRange& range, int64_t* value) {
  const std::optional<std::string> text =
      this->Take(section, key, Presence::kOptional);
  if (!text) return;
  const std::optional<int64_t> number = base::ParseNumber<int64_t>(*text);
  if (number && *number >= range.least && *number <= range.most) {
    *value = *number;
    return;
  }
  this->Complain(section, key, *text,
                 fmt::format("must be a whole number from {} to {}",
                             range.least, range.most));
}

void IniReader::ReadReal(std::string_view section, std::string_view key,
                         const RealRange& range, double* value) {
  const std::optional<std::string> text =
      this->Take(section, key, Presence::kOptional);
  if (!text) return;
  const std::optional<double> number = base::ParseNumber<double>(*text);
  if (number && *number >= range.least && *number <= range.most) {
    *value = *number;
    return;
  }
  this->Complain(
      section, key, *text,
      fmt::format("must be a number from {} to {}", range.least, range.most));
}

absl::Status IniReader::Finish() {
  for (const auto& [section, part] : this->tree) {
    for (const auto& [key, value] : part) {
      if (this->known.contains(fmt::format("{}/{}", section, key))) continue;
      this->Complain(section, key, value.data(), "is not a known key");
    }
    if (part.empty()) this->Complain(section, "", part.data(), "is no section");
  }
  if (this->errors.empty()) return absl::OkStatus();
  return base::ErrorStatus(base::ResultCode::kInvalidRequest,
                           fmt::format("{}", fmt::join(this->errors, "\n")));
}

}  // namespace agatepass::settings
