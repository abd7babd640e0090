/** \file
 * A time line as text, as JSON, in the Trace Event format and as a page.
 */
#ifndef AGATEPASS_TIMELINE_RENDER_H_
#define AGATEPASS_TIMELINE_RENDER_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "agatepass/timeline/merge.h"

namespace agatepass::timeline {

/** The forms that a time line can be asked for. */
enum class TimelineFormat : uint8_t { kText, kJson, kTrace, kHtml };

/** Returns the format called "text", "json", "trace" or "html", or nothing. */
std::optional<TimelineFormat> ParseTimelineFormat(std::string_view name);

/** Returns the Content-Type of a format. */
std::string_view TimelineContentType(TimelineFormat format);

/** Renders in the form asked for.
 *
 * \code
 * answer.body = RenderTimeline(MergeTimeline(hosts), TimelineFormat::kText);
 * \endcode
 */
std::string RenderTimeline(const Timeline& line, TimelineFormat format);

/** One line for each event, then what may be missing. */
std::string RenderTimelineText(const Timeline& line);

/** The JSON of docs/API.md. ParseTimelineJson reads it back. */
std::string RenderTimelineJson(const Timeline& line);

/** The Trace Event format, which a browser's tracing page opens: one process
 * for each host, a span for each task from start to end. */
std::string RenderTimelineTrace(const Timeline& line);

/** A page that needs no other file: a lane for each host, with the events below
 * it. */
std::string RenderTimelineHtml(const Timeline& line);

/** Reads what RenderTimelineJson wrote.
 * \return kInvalidRequest with the field named if it is malformed.
 */
absl::StatusOr<Timeline> ParseTimelineJson(std::string_view text);

/** Returns a wall time as "2026-12-03 21:28:15.123456" in UTC. */
std::string FormatWallTime(int64_t microseconds);

}  // namespace agatepass::timeline

#endif  // AGATEPASS_TIMELINE_RENDER_H_
