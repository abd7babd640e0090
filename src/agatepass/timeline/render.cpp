#include "agatepass/timeline/render.h"

#include <algorithm>
#include <chrono>
#include <exception>

#include "fmt/chrono.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::timeline {

namespace {

using Json = nlohmann::ordered_json;

constexpr int64_t kMicrosecondsPerSecond = 1'000'000;

Json TimeToJson(HybridTime time) {
  return {{"wall_us", time.wall_microseconds}, {"counter", time.counter}};
}

HybridTime TimeFromJson(const Json& json) {
  return {.wall_microseconds = json.at("wall_us").get<int64_t>(),
          .counter = json.at("counter").get<uint32_t>()};
}

Json EventToJson(const Event& event) {
  return {{"time", TimeToJson(event.time)},
          {"host", event.host.value},
          {"sequence", event.sequence},
          {"kind", EventKindName(event.kind)},
          {"subject", event.subject},
          {"parent", event.parent},
          {"code", base::DescribeResultCode(event.code).name},
          {"detail", event.detail}};
}

Event EventFromJson(const Json& json) {
  Event event{.time = TimeFromJson(json.at("time")),
              .host = base::HostId(json.at("host").get<std::string>()),
              .sequence = json.at("sequence").get<uint64_t>(),
              .subject = json.at("subject").get<std::string>(),
              .parent = json.at("parent").get<std::string>(),
              .detail = json.at("detail").get<std::string>()};
  // A newer host may know kinds and codes that this one does not.
  event.kind = ParseEventKind(json.at("kind").get<std::string>())
                   .value_or(EventKind::kFaultSeen);
  event.code = base::ParseResultCode(json.at("code").get<std::string>())
                   .value_or(base::ResultCode::kInternal);
  return event;
}

Json CoverageToJson(const HostCoverage& host) {
  return {{"host", host.host.value},           {"recorded", host.recorded},
          {"dropped", host.dropped},           {"omitted", host.omitted},
          {"oldest", TimeToJson(host.oldest)}, {"fault", host.fault}};
}

HostCoverage CoverageFromJson(const Json& json) {
  return {.host = base::HostId(json.at("host").get<std::string>()),
          .recorded = json.at("recorded").get<uint64_t>(),
          .dropped = json.at("dropped").get<uint64_t>(),
          .omitted = json.at("omitted").get<uint64_t>(),
          .oldest = TimeFromJson(json.at("oldest")),
          .fault = json.at("fault").get<std::string>()};
}

std::string Dump(const Json& json) {
  // Texts may hold bytes of callers that are not UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string CoverageText(const HostCoverage& host) {
  if (!host.fault.empty()) {
    return fmt::format("missing: host \"{}\" gave no answer: {}\n",
                       host.host.value, host.fault);
  }
  std::string text;
  if (host.dropped > 0) {
    text += fmt::format(
        "missing: host \"{}\" dropped {} of {} events; its records begin at "
        "{}\n",
        host.host.value, host.dropped, host.recorded,
        FormatWallTime(host.oldest.wall_microseconds));
  }
  if (host.omitted > 0) {
    text += fmt::format(
        "missing: host \"{}\" left out {} older events; narrow the window or "
        "raise the limit\n",
        host.host.value, host.omitted);
  }
  return text;
}

}  // namespace

std::optional<TimelineFormat> ParseTimelineFormat(std::string_view name) {
  if (name == "text") return TimelineFormat::kText;
  if (name == "json") return TimelineFormat::kJson;
  if (name == "trace") return TimelineFormat::kTrace;
  if (name == "html") return TimelineFormat::kHtml;
  return std::nullopt;
}

std::string_view TimelineContentType(TimelineFormat format) {
  switch (format) {
    case TimelineFormat::kText:
      return "text/plain; charset=utf-8";
    case TimelineFormat::kHtml:
      return "text/html; charset=utf-8";
    case TimelineFormat::kJson:
    case TimelineFormat::kTrace:
      break;
  }
  return "application/json";
}

std::string RenderTimeline(const Timeline& line, TimelineFormat format) {
  switch (format) {
    case TimelineFormat::kText:
      return RenderTimelineText(line);
    case TimelineFormat::kTrace:
      return RenderTimelineTrace(line);
    case TimelineFormat::kHtml:
      return RenderTimelineHtml(line);
    case TimelineFormat::kJson:
      break;
  }
  return RenderTimelineJson(line);
}

std::string RenderTimelineText(const Timeline& line) {
  size_t host_width = 0;
  for (const Event& event : line.events) {
    host_width = std::max(host_width, event.host.value.size());
  }
  std::string text;
  for (const Event& event : line.events) {
    text += fmt::format(
        "{}  {:<{}}  {:<14}  {}", FormatWallTime(event.time.wall_microseconds),
        event.host.value, host_width, EventKindName(event.kind), event.subject);
    if (!event.parent.empty()) text += fmt::format(" of {}", event.parent);
    if (event.code != base::ResultCode::kOk) {
      text += fmt::format(" [{}]", base::DescribeResultCode(event.code).name);
    }
    if (!event.detail.empty()) text += fmt::format(": {}", event.detail);
    text += '\n';
  }
  if (line.events.empty()) text += "no events\n";
  for (const HostCoverage& host : line.hosts) text += CoverageText(host);
  return text;
}

std::string RenderTimelineJson(const Timeline& line) {
  Json events = Json::array();
  for (const Event& event : line.events) events.push_back(EventToJson(event));
  Json hosts = Json::array();
  for (const HostCoverage& host : line.hosts) {
    hosts.push_back(CoverageToJson(host));
  }
  return Dump({{"events", std::move(events)}, {"hosts", std::move(hosts)}});
}

absl::StatusOr<Timeline> ParseTimelineJson(std::string_view text) {
  // The library reports missing and mistyped fields by exceptions.
  try {
    const Json json = Json::parse(text);
    Timeline line;
    for (const Json& event : json.at("events")) {
      line.events.push_back(EventFromJson(event));
    }
    for (const Json& host : json.at("hosts")) {
      line.hosts.push_back(CoverageFromJson(host));
    }
    return line;
  } catch (const Json::exception& error) {
    return base::ErrorStatus(
        base::ResultCode::kInvalidRequest,
        fmt::format("the time line is not of the form of docs/API.md: {}",
                    error.what()));
  }
}

std::string FormatWallTime(int64_t microseconds) {
  int64_t seconds = microseconds / kMicrosecondsPerSecond;
  int64_t rest = microseconds % kMicrosecondsPerSecond;
  if (rest < 0) {
    rest += kMicrosecondsPerSecond;
    --seconds;
  }
  const auto time = static_cast<std::time_t>(seconds);
  return fmt::format("{:%Y-%m-%d %H:%M:%S}.{:06}", fmt::gmtime(time), rest);
}

}  // namespace agatepass::timeline
