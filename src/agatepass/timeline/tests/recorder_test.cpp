#include "agatepass/timeline/recorder.h"

#include <deque>
#include <random>

#include "gtest/gtest.h"

namespace agatepass::timeline {
namespace {

constexpr base::WallTime kNow{.microseconds = 1'000'000};

TEST(Recorder, FindsByIdAndByParent) {
  Recorder recorder(base::HostId("uus-a-1"), {});
  recorder.Record(kNow, {.kind = EventKind::kAccepted, .subject = "j-7"});
  recorder.Record(
      kNow, {.kind = EventKind::kStarted, .subject = "j-7.0", .parent = "j-7"});
  recorder.Record(kNow, {.kind = EventKind::kAccepted, .subject = "j-8"});
  const HostEvents found = recorder.Find({.id = "j-7"});
  ASSERT_EQ(found.events.size(), 2U);
  EXPECT_EQ(found.events[0].kind, EventKind::kAccepted);
  EXPECT_EQ(found.events[1].subject, "j-7.0");
  EXPECT_EQ(found.events[1].host.value, "uus-a-1");
  EXPECT_LT(found.events[0].time, found.events[1].time);
}

TEST(Recorder, FindsByWindowAndAfterSequence) {
  Recorder recorder(base::HostId("h"), {});
  for (int64_t second = 0; second < 5; ++second) {
    recorder.Record({.microseconds = second}, {.subject = "s"});
  }
  const HostEvents window =
      recorder.Find({.from_microseconds = 2, .to_microseconds = 4});
  ASSERT_EQ(window.events.size(), 2U);
  EXPECT_EQ(window.events[0].sequence, 3U);
  const HostEvents newer = recorder.Find({.after_sequence = 4});
  ASSERT_EQ(newer.events.size(), 1U);
  EXPECT_EQ(newer.events[0].sequence, 5U);
  const HostEvents limited = recorder.Find({.limit = 2});
  ASSERT_EQ(limited.events.size(), 2U);
  EXPECT_EQ(limited.events[1].sequence, 5U);
  EXPECT_EQ(limited.omitted, 3U);
}

TEST(Recorder, CountsWhatItDropped) {
  Recorder recorder(base::HostId("h"), {.events = 3});
  for (int number = 0; number < 10; ++number) {
    recorder.Record(kNow, {.subject = "s"});
  }
  const HostEvents found = recorder.Find({});
  EXPECT_EQ(found.events.size(), 3U);
  EXPECT_EQ(found.recorded, 10U);
  EXPECT_EQ(found.dropped, 7U);
  EXPECT_EQ(found.oldest, found.events[0].time);
}

TEST(Recorder, CutsLongTextBetweenCharacters) {
  Recorder recorder(base::HostId("h"), {});
  // Two-byte characters, so that the limit falls inside one of them.
  std::string subject = "x";
  while (subject.size() < 2 * kMaxIdentifierBytes) subject += "\xC3\xA4";
  recorder.Record(kNow, {.subject = subject});
  const std::string kept = recorder.Find({}).events[0].subject;
  EXPECT_EQ(kept.size(), kMaxIdentifierBytes - 1);
  EXPECT_EQ(kept, subject.substr(0, kept.size()));
}

// Random lengths, empty texts included, against a plain copy of every event.
TEST(Recorder, KeepsTextsWholeWhileTheyWrap) {
  Recorder recorder(base::HostId("h"), {.events = 50, .text_bytes = 1});
  std::mt19937 random(7);
  std::deque<std::string> all;
  for (int number = 0; number < 20000; ++number) {
    const size_t most = number % 3 == 0 ? 3000 : 4;
    const std::string detail(random() % most,
                             static_cast<char>('a' + number % 26));
    all.push_back(detail);
    recorder.Record(kNow, {.kind = EventKind::kDecided, .detail = detail});
    const HostEvents found = recorder.Find({});
    ASSERT_FALSE(found.events.empty());
    ASSERT_EQ(found.events.size() + found.dropped, all.size());
    for (const Event& event : found.events) {
      ASSERT_EQ(event.detail, all[event.sequence - 1]);
    }
  }
}

}  // namespace
}  // namespace agatepass::timeline
