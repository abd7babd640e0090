#include "agatepass/timeline/render.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"

namespace agatepass::timeline {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

Timeline MakeLine() {
  Timeline line;
  line.events = {
      Event{.time = {.wall_microseconds = 1'764'800'000'000'000},
            .host = base::HostId("uus-a-1"),
            .sequence = 1,
            .kind = EventKind::kStarted,
            .subject = "j-7.0",
            .parent = "j-7",
            .detail = "on worker <w17>"},
      Event{.time = {.wall_microseconds = 1'764'800'002'500'000, .counter = 3},
            .host = base::HostId("pirk-a-1"),
            .sequence = 9,
            .kind = EventKind::kEnded,
            .subject = "j-7.0",
            .parent = "j-7",
            .code = base::ResultCode::kRanAndFailed}};
  line.hosts = {{.host = base::HostId("pirk-a-1"),
                 .recorded = 12,
                 .dropped = 3,
                 .oldest = {.wall_microseconds = 1'764'800'000'000'000}},
                {.host = base::HostId("uus-b-1"), .fault = "timed out"}};
  return line;
}

TEST(Render, TextNamesTheEventsAndWhatIsMissing) {
  EXPECT_EQ(
      RenderTimelineText(MakeLine()),
      "2025-12-03 22:13:20.000000  uus-a-1   started         j-7.0 of j-7: on "
      "worker <w17>\n"
      "2025-12-03 22:13:22.500000  pirk-a-1  ended           j-7.0 of j-7 "
      "[ran_and_failed]\n"
      "missing: host \"pirk-a-1\" dropped 3 of 12 events; its records begin at "
      "2025-12-03 22:13:20.000000\n"
      "missing: host \"uus-b-1\" gave no answer: timed out\n");
}

TEST(Render, JsonReadsBackAsItWas) {
  const auto parsed = ParseTimelineJson(RenderTimelineJson(MakeLine()));
  ASSERT_TRUE(parsed.ok()) << parsed.status();
  EXPECT_EQ(*parsed, MakeLine());
}

TEST(Render, JsonStandsBytesThatAreNotUtf8) {
  Timeline line = MakeLine();
  line.events[0].detail = "\xff";
  EXPECT_TRUE(ParseTimelineJson(RenderTimelineJson(line)).ok());
}

TEST(Render, MalformedJsonIsAnErrorThatNamesTheField) {
  const auto parsed = ParseTimelineJson(R"({"events":[]})");
  EXPECT_THAT(std::string(parsed.status().message()), HasSubstr("hosts"));
  EXPECT_FALSE(ParseTimelineJson("[").ok());
}

TEST(Render, TraceHasOneSpanATaskAcrossHosts) {
  const auto trace = nlohmann::json::parse(RenderTimelineTrace(MakeLine()));
  int begins = 0;
  int ends = 0;
  for (const auto& entry : trace.at("traceEvents")) {
    if (entry.at("ph") == "b") begins += entry.at("id") == "j-7.0" ? 1 : 0;
    if (entry.at("ph") == "e") ends += entry.at("id") == "j-7.0" ? 1 : 0;
  }
  EXPECT_EQ(begins, 1);
  EXPECT_EQ(ends, 1);
}

TEST(Render, HtmlEscapesWhatCallersWrote) {
  const std::string page = RenderTimelineHtml(MakeLine());
  EXPECT_THAT(page, HasSubstr("on worker &lt;w17&gt;"));
  EXPECT_THAT(page, Not(HasSubstr("<w17>")));
  EXPECT_THAT(page, HasSubstr("timed out"));
}

TEST(EventKind, EveryNameReadsBack) {
  for (size_t index = 0; index < kEventKindCount; ++index) {
    const auto kind = static_cast<EventKind>(index);
    EXPECT_EQ(ParseEventKind(EventKindName(kind)), kind);
  }
}

}  // namespace
}  // namespace agatepass::timeline
