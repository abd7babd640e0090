#include <map>
#include <string>

#include "agatepass/timeline/render.h"
#include "nlohmann/json.hpp"

namespace agatepass::timeline {

namespace {

using Json = nlohmann::ordered_json;

// Phases of the Trace Event format.
constexpr std::string_view kSpanBegin = "b";
constexpr std::string_view kSpanEnd = "e";
constexpr std::string_view kInstant = "i";
constexpr std::string_view kMetadata = "M";

// The format tells processes apart by number.
using HostNumbers = std::map<std::string, int>;

HostNumbers NumberHosts(const Timeline& line) {
  HostNumbers numbers;
  for (const Event& event : line.events) numbers.emplace(event.host.value, 0);
  int next = 1;
  for (auto& [host, number] : numbers) number = next++;
  return numbers;
}

Json HostName(std::string_view host, int number) {
  return {{"name", "process_name"},
          {"ph", kMetadata},
          {"pid", number},
          {"args", {{"name", host}}}};
}

Json Entry(const Event& event, int host, std::string_view phase,
           std::string_view name) {
  return {{"name", name},
          {"cat", event.parent.empty() ? event.subject : event.parent},
          {"ph", phase},
          {"ts", event.time.wall_microseconds},
          {"pid", host},
          {"tid", 0},
          {"args",
           {{"subject", event.subject},
            {"parent", event.parent},
            {"code", base::DescribeResultCode(event.code).name},
            {"detail", event.detail}}}};
}

}  // namespace

std::string RenderTimelineTrace(const Timeline& line) {
  const HostNumbers numbers = NumberHosts(line);
  Json entries = Json::array();
  for (const auto& [host, number] : numbers) {
    entries.push_back(HostName(host, number));
  }
  for (const Event& event : line.events) {
    const int host = numbers.at(event.host.value);
    Json instant = Entry(event, host, kInstant, EventKindName(event.kind));
    instant["s"] = "p";
    entries.push_back(std::move(instant));
    const bool begins = event.kind == EventKind::kStarted;
    if (!begins && event.kind != EventKind::kEnded) continue;
    Json span =
        Entry(event, host, begins ? kSpanBegin : kSpanEnd, event.subject);
    // One category for all spans: begin and end are matched by category and id,
    // also when another host reports the end.
    span["cat"] = "task";
    span["id"] = event.subject;
    entries.push_back(std::move(span));
  }
  const Json trace = {{"traceEvents", std::move(entries)},
                      {"displayTimeUnit", "ms"}};
  return trace.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace agatepass::timeline
