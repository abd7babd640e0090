#include <algorithm>
#include <map>
#include <string>

#include "agatepass/timeline/render.h"
#include "fmt/format.h"

namespace agatepass::timeline {

namespace {

constexpr double kLaneLeft = 140;
constexpr double kLaneWidth = 1000;
constexpr double kLaneHeight = 28;
constexpr double kMarkRadius = 4;

constexpr std::string_view kHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>agatepass time line</title>
<style>
body { font: 14px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
td, th { padding: 2px 8px; text-align: left; vertical-align: top; }
tr:nth-child(even) { background: #f3f3f3; }
circle { fill: #2a6; } circle.fault { fill: #c33; }
line { stroke: #bbb; }
</style></head><body><h1>Time line</h1>
)";

std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

bool IsFault(const Event& event) {
  return event.kind == EventKind::kFaultSeen ||
         event.kind == EventKind::kLeaseLost ||
         event.kind == EventKind::kPeerLost ||
         event.kind == EventKind::kInDoubt;
}

std::string Lanes(const Timeline& line) {
  std::map<std::string, double> lanes;
  for (const Event& event : line.events) lanes.emplace(event.host.value, 0);
  double next = kLaneHeight;
  for (auto& [host, height] : lanes) {
    height = next;
    next += kLaneHeight;
  }
  std::string svg = fmt::format(R"(<svg width="{}" height="{}">)",
                                kLaneLeft + kLaneWidth + kLaneHeight, next);
  for (const auto& [host, height] : lanes) {
    svg += fmt::format(
        R"(<text x="0" y="{}">{}</text><line x1="{}" y1="{}" x2="{}" y2="{}"/>)",
        height + kMarkRadius, Escape(host), kLaneLeft, height,
        kLaneLeft + kLaneWidth, height);
  }
  const int64_t begin = line.events.front().time.wall_microseconds;
  const int64_t end = line.events.back().time.wall_microseconds;
  const auto span = static_cast<double>(std::max<int64_t>(end - begin, 1));
  for (const Event& event : line.events) {
    const auto offset =
        static_cast<double>(event.time.wall_microseconds - begin);
    svg += fmt::format(
        R"(<circle class="{}" cx="{:.1f}" cy="{}" r="{}"><title>{} {} {}: {}</title></circle>)",
        IsFault(event) ? "fault" : "event",
        kLaneLeft + kLaneWidth * offset / span, lanes.at(event.host.value),
        kMarkRadius, FormatWallTime(event.time.wall_microseconds),
        EventKindName(event.kind), Escape(event.subject), Escape(event.detail));
  }
  return svg + "</svg>\n";
}

std::string Rows(const Timeline& line) {
  std::string rows =
      "<table><tr><th>time (UTC)</th><th>host</th><th>event</th>"
      "<th>of</th><th>result</th><th>detail</th></tr>\n";
  for (const Event& event : line.events) {
    const std::string subject = event.parent.empty()
                                    ? event.subject
                                    : event.subject + " of " + event.parent;
    rows += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
        "<td>{}</td></tr>\n",
        FormatWallTime(event.time.wall_microseconds), Escape(event.host.value),
        EventKindName(event.kind), Escape(subject),
        base::DescribeResultCode(event.code).name, Escape(event.detail));
  }
  return rows + "</table>\n";
}

std::string Missing(const Timeline& line) {
  // The text form ends with what is missing; without events it is just that.
  return fmt::format("<pre>{}</pre>\n",
                     Escape(RenderTimelineText({.hosts = line.hosts})));
}

}  // namespace

std::string RenderTimelineHtml(const Timeline& line) {
  std::string page(kHead);
  if (!line.events.empty()) page += Lanes(line) + Rows(line);
  if (line.events.empty() || line.incomplete()) page += Missing(line);
  return page + "</body></html>\n";
}

}  // namespace agatepass::timeline
