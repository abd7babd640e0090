#include "agatepass/timeline/log.h"

#include <algorithm>
#include <array>
#include <utility>

#include "agatepass/timeline/render.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "spdlog/sinks/stdout_sinks.h"
#include "spdlog/spdlog.h"

namespace agatepass::timeline {

namespace {

using Json = nlohmann::ordered_json;

// In the order of LogLevel.
constexpr std::array<std::string_view, 5> kLevelNames = {
    "debug", "info", "warning", "error", "off"};

// The key that stands in for all others once kMaxKeys are in use.
constexpr std::string_view kOverflowKey = "(other repeating faults)";

std::string_view LevelName(LogLevel level) {
  return kLevelNames[static_cast<size_t>(level)];
}

spdlog::level::level_enum SpdlogLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
    case LogLevel::kOff:
      break;
  }
  return spdlog::level::off;
}

std::string Quoted(std::string_view value) {
  const bool plain =
      !value.empty() && value.find_first_of(" =\"\\\n\r\t") == value.npos;
  if (plain) return std::string(value);
  return Json(value).dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::optional<LogFormat> ParseLogFormat(std::string_view name) {
  if (name == "json") return LogFormat::kJson;
  if (name == "keyvalue") return LogFormat::kKeyValue;
  return std::nullopt;
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  const auto* found = std::find(kLevelNames.begin(), kLevelNames.end(), name);
  if (found == kLevelNames.end()) return std::nullopt;
  return static_cast<LogLevel>(found - kLevelNames.begin());
}

RepeatLimit::Verdict RepeatLimit::Judge(std::string_view key,
                                        base::Instant now) {
  Window& window = this->FindWindow(key, now);
  if (now - window.begin >= this->interval) {
    window.begin = now;
    window.let_through = 0;
  }
  if (window.let_through >= this->burst) {
    ++window.suppressed;
    return {};
  }
  ++window.let_through;
  return {.let_through = true,
          .suppressed = std::exchange(window.suppressed, 0)};
}

RepeatLimit::Window& RepeatLimit::FindWindow(std::string_view key,
                                             base::Instant now) {
  if (const auto found = this->windows.find(key);
      found != this->windows.end()) {
    return found->second;
  }
  if (this->windows.size() >= kMaxKeys) {
    std::erase_if(this->windows, [&](const auto& entry) {
      return now - entry.second.begin >= this->interval &&
             entry.second.suppressed == 0;
    });
  }
  if (this->windows.size() >= kMaxKeys) key = kOverflowKey;
  return this->windows.try_emplace(std::string(key), Window{.begin = now})
      .first->second;
}

Log::Log(const LogSettings& settings)
    : Log(settings, std::make_shared<spdlog::sinks::stderr_sink_mt>()) {}

Log::Log(const LogSettings& settings, std::shared_ptr<spdlog::sinks::sink> sink)
    : settings(settings),
      repeats(settings.repeat_burst, settings.repeat_interval),
      logger(std::make_shared<spdlog::logger>("agatepass", std::move(sink))) {
  this->logger->set_pattern("%v");
  this->logger->flush_on(spdlog::level::debug);
  this->set_level(settings.level);
}

void Log::Write(LogLevel level, std::string_view message, Fields fields) {
  this->WriteLine(level, message, fields, 0);
}

void Log::WriteRepeating(base::Instant now, std::string_view key,
                         LogLevel level, std::string_view message,
                         Fields fields) {
  if (level < this->settings.level) return;
  if (const auto verdict = this->repeats.Judge(key, now); verdict.let_through) {
    this->WriteLine(level, message, fields, verdict.suppressed);
  }
}

void Log::set_level(LogLevel level) {
  this->settings.level = level;
  this->logger->set_level(SpdlogLevel(level));
}

void Log::WriteLine(LogLevel level, std::string_view message, Fields fields,
                    uint64_t suppressed) {
  if (level < this->settings.level || level == LogLevel::kOff) return;
  const std::string time = FormatWallTime(base::ReadWallClock().microseconds);
  if (this->settings.format == LogFormat::kJson) {
    Json line = {{"time", time},
                 {"level", LevelName(level)},
                 {"host", this->settings.host.value},
                 {"message", message}};
    for (const auto& [name, value] : fields) line[std::string(name)] = value;
    if (suppressed > 0) line["suppressed"] = suppressed;
    this->logger->log(
        SpdlogLevel(level),
        line.dump(-1, ' ', false, Json::error_handler_t::replace));
    return;
  }
  std::string line = fmt::format(
      "time={} level={} host={} message={}", Quoted(time), LevelName(level),
      Quoted(this->settings.host.value), Quoted(message));
  for (const auto& [name, value] : fields) {
    line += fmt::format(" {}={}", name, Quoted(value));
  }
  if (suppressed > 0) line += fmt::format(" suppressed={}", suppressed);
  this->logger->log(SpdlogLevel(level), line);
}

}  // namespace agatepass::timeline
