/** \file
 * Structured log lines by spdlog, with limits on repeating faults.
 */
#ifndef AGATEPASS_TIMELINE_LOG_H_
#define AGATEPASS_TIMELINE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"

namespace spdlog {
class logger;
namespace sinks {
class sink;
}  // namespace sinks
}  // namespace spdlog

namespace agatepass::timeline {

/** How a log line is written. */
enum class LogFormat : uint8_t { kJson, kKeyValue };

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError, kOff };

/** Returns the format called "json" or "keyvalue", or nothing. */
std::optional<LogFormat> ParseLogFormat(std::string_view name);

/** Returns the level called "debug", "info", "warning", "error" or "off", or
 * nothing. */
std::optional<LogLevel> ParseLogLevel(std::string_view name);

/** One field of a line, such as {"job", "j-7"}. */
struct LogField {
  std::string_view name;
  std::string value;
};

/** How a log is set up. */
struct LogSettings {
  LogFormat format = LogFormat::kJson;
  LogLevel level = LogLevel::kInfo;
  /** The entry host, a field of every line. */
  base::HostId host;
  /** Lines with one key that are let through in each repeat_interval. */
  uint32_t repeat_burst = 5;
  base::Duration repeat_interval = std::chrono::seconds(10);
};

/** Decides which lines of a repeating fault are let through, and counts the
 * rest. */
class RepeatLimit {
 public:
  RepeatLimit(uint32_t burst, base::Duration interval)
      : burst(burst), interval(interval) {}

  /** What to do with one line. */
  struct Verdict {
    bool let_through = false;
    /** Lines with this key suppressed since the last one let through. */
    uint64_t suppressed = 0;
  };

  /** Judges a line with `key` at `now`. Beyond kMaxKeys keys at once, new keys
   * share one. */
  Verdict Judge(std::string_view key, base::Instant now);

  static constexpr size_t kMaxKeys = 1024;

 private:
  struct Window {
    base::Instant begin;
    uint32_t let_through = 0;
    uint64_t suppressed = 0;
  };

  Window& FindWindow(std::string_view key, base::Instant now);

  uint32_t burst;
  base::Duration interval;
  std::map<std::string, Window, std::less<>> windows;
};

/** Writes structured lines. Belongs to one task.
 *
 * \code
 * Log log({.host = settings.host});
 * log.Write(LogLevel::kInfo, "job accepted", {{"job", job.value}});
 * log.WriteRepeating(now, "store", LogLevel::kWarning, "store unreachable",
 *                    {{"endpoint", endpoint.ToString()}});
 * \endcode
 */
class Log {
 public:
  using Fields = std::initializer_list<LogField>;

  /** Writes to standard error. */
  explicit Log(const LogSettings& settings);
  /** Writes to `sink`. */
  Log(const LogSettings& settings, std::shared_ptr<spdlog::sinks::sink> sink);

  void Write(LogLevel level, std::string_view message, Fields fields = {});

  /** Writes unless `key` has had its lines for now; the next line with that key
   * says how many were suppressed. */
  void WriteRepeating(base::Instant now, std::string_view key, LogLevel level,
                      std::string_view message, Fields fields = {});

  /** Changes the lowest level written, from the next line on. */
  void set_level(LogLevel level);
  LogLevel level() const { return this->settings.level; }

 private:
  void WriteLine(LogLevel level, std::string_view message, Fields fields,
                 uint64_t suppressed);

  LogSettings settings;
  RepeatLimit repeats;
  std::shared_ptr<spdlog::logger> logger;
};

}  // namespace agatepass::timeline

#endif  // AGATEPASS_TIMELINE_LOG_H_
