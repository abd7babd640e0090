#include "agatepass/timeline/merge.h"

#include "gtest/gtest.h"

namespace agatepass::timeline {
namespace {

// The receiver's wall clock runs a second behind the sender's.
TEST(Merge, PutsTheReceiptAfterTheSendingInSpiteOfTheClocks) {
  Recorder sender(base::HostId("b-sender"), {});
  Recorder receiver(base::HostId("a-receiver"), {});
  const HybridTime sent = sender.Record({.microseconds = 5'000'000},
                                        {.kind = EventKind::kRequested});
  receiver.Observe(sent, {.microseconds = 4'000'000});
  const HybridTime answered = receiver.Record({.microseconds = 4'000'001},
                                              {.kind = EventKind::kAnswered});
  sender.Observe(answered, {.microseconds = 5'000'000});
  sender.Record({.microseconds = 5'000'000}, {.kind = EventKind::kEnded});

  const Timeline line = MergeTimeline({receiver.Find({}), sender.Find({})});
  ASSERT_EQ(line.events.size(), 3U);
  EXPECT_EQ(line.events[0].kind, EventKind::kRequested);
  EXPECT_EQ(line.events[1].kind, EventKind::kAnswered);
  EXPECT_EQ(line.events[2].kind, EventKind::kEnded);
  EXPECT_FALSE(line.incomplete());
}

TEST(Merge, ShowsAnEventOnceAndSaysWhoIsMissing) {
  Recorder recorder(base::HostId("a"), {});
  recorder.Record({.microseconds = 1}, {.subject = "j-1"});
  const Timeline line = MergeTimeline(
      {recorder.Find({}), recorder.Find({}),
       HostEvents{.host = base::HostId("b"), .fault = "timed out"}});
  EXPECT_EQ(line.events.size(), 1U);
  EXPECT_TRUE(line.incomplete());
}

TEST(HybridClock, IgnoresATimeFarAhead) {
  HybridClock clock;
  const base::WallTime now{.microseconds = 1'000'000};
  const int64_t far = now.microseconds + HybridClock::kMaxLead.count() + 1;
  const HybridTime after = clock.Observe({.wall_microseconds = far}, now);
  EXPECT_EQ(after.wall_microseconds, now.microseconds);
  EXPECT_EQ(clock.ignored(), 1U);
}

TEST(HybridClock, NeverRunsBackwards) {
  HybridClock clock;
  const HybridTime first = clock.Tick({.microseconds = 10});
  const HybridTime second = clock.Tick({.microseconds = 4});
  EXPECT_LT(first, second);
}

}  // namespace
}  // namespace agatepass::timeline
