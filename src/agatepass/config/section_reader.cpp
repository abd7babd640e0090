#include "agatepass/config/section_reader.h"

#include <algorithm>
#include <cmath>

#include "agatepass/base/text.h"
#include "agatepass/settings/ini_reader.h"
#include "fmt/format.h"
#include "fmt/ranges.h"

namespace agatepass::config {

const std::string* SectionReader::Find(std::string_view key) {
  this->known.emplace_back(key);
  const auto entry = this->tree.find(std::string(key));
  return entry == this->tree.not_found() ? nullptr : &entry->second.data();
}

void SectionReader::Complain(std::string_view key, std::string_view value,
                             std::string allowed) {
  this->errors.push_back({.section = this->name,
                          .key = std::string(key),
                          .value = std::string(value),
                          .allowed = std::move(allowed)});
}

void SectionReader::Text(std::string_view key, std::string& value) {
  if (const std::string* text = this->Find(key)) value = *text;
}

void SectionReader::Secret(std::string_view key, std::string& value) {
  constexpr size_t kLeastSecret = 8;
  const std::string* text = this->Find(key);
  if (text == nullptr || text->size() < kLeastSecret) {
    // The value itself stays out of logs and answers.
    this->Complain(
        key, "",
        fmt::format("is needed, with at least {} characters", kLeastSecret));
    return;
  }
  value = *text;
}

void SectionReader::Number(std::string_view key, int64_t& value,
                           const Bounds<int64_t>& bounds) {
  const std::string* text = this->Find(key);
  if (text == nullptr) return;
  const auto number = base::ParseNumber<int64_t>(*text);
  if (number && *number >= bounds.least && *number <= bounds.most) {
    value = *number;
    return;
  }
  this->Complain(key, *text,
                 fmt::format("must be a whole number from {} to {}",
                             bounds.least, bounds.most));
}

void SectionReader::Limit(std::string_view key, int64_t& value) {
  const std::string* text = this->Find(key);
  if (text == nullptr) return;
  const auto number = base::ParseNumber<int64_t>(*text);
  if (*text == "unlimited") {
    value = kUnlimited;
  } else if (number && *number >= 0 && *number < kUnlimited) {
    value = *number;
  } else {
    this->Complain(key, *text,
                   "must be a whole number from 0, or \"unlimited\"");
  }
}

void SectionReader::Real(std::string_view key, double& value,
                         const Bounds<double>& bounds) {
  const std::string* text = this->Find(key);
  if (text == nullptr) return;
  const auto number = base::ParseNumber<double>(*text);
  if (number && std::isfinite(*number) && *number >= bounds.least &&
      *number <= bounds.most) {
    value = *number;
    return;
  }
  this->Complain(
      key, *text,
      fmt::format("must be a number from {} to {}", bounds.least, bounds.most));
}

void SectionReader::Flag(std::string_view key, bool& value) {
  const std::string* text = this->Find(key);
  if (text == nullptr) return;
  if (*text == "yes" || *text == "no") {
    value = *text == "yes";
  } else {
    this->Complain(key, *text, "must be yes or no");
  }
}

void SectionReader::Span(std::string_view key, base::Duration& value,
                         const Bounds<base::Duration>& bounds) {
  const std::string* text = this->Find(key);
  if (text == nullptr) return;
  const auto duration = settings::ParseDuration(*text);
  if (duration && *duration >= bounds.least && *duration <= bounds.most) {
    value = *duration;
    return;
  }
  this->Complain(key, *text,
                 fmt::format("must be a duration from {} to {}, with a unit "
                             "(us, ms, s, min, h)",
                             settings::RenderDuration(bounds.least),
                             settings::RenderDuration(bounds.most)));
}

void SectionReader::List(std::string_view key,
                         std::vector<std::string>& value) {
  const std::string* text = this->Find(key);
  if (text == nullptr) return;
  value.clear();
  for (const std::string_view piece : base::SplitList(*text, ',')) {
    if (std::find(value.begin(), value.end(), piece) != value.end()) {
      this->Complain(key, *text,
                     fmt::format("must name \"{}\" only once", piece));
    }
    value.emplace_back(piece);
  }
}

void SectionReader::ChooseIndex(std::string_view key, size_t& index,
                                std::span<const std::string_view> names) {
  const std::string* text = this->Find(key);
  if (text == nullptr) return;
  const auto name = std::find(names.begin(), names.end(), *text);
  if (name != names.end()) {
    index = static_cast<size_t>(name - names.begin());
    return;
  }
  this->Complain(key, *text,
                 fmt::format("must be one of {}", fmt::join(names, ", ")));
}

void SectionReader::ReportUnknownKeys() {
  for (const auto& [key, value] : this->tree) {
    const bool read = std::find(this->known.begin(), this->known.end(), key) !=
                      this->known.end();
    if (read) continue;
    this->Complain(key, value.data(),
                   fmt::format("is not a key of this section; it has {}",
                               fmt::join(this->known, ", ")));
  }
}

}  // namespace agatepass::config
