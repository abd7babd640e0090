// The kinds of work sum up to the time that has passed.
#include "agatepass/base/work_meter.h"

#include "agatepass/base/event_loop.h"
#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

using std::chrono::milliseconds;

TEST(WorkMeter, AllKindsTogetherGiveTheTimeThatHasPassed) {
  WorkMeter meter;
  const Instant start{std::chrono::seconds(100)};
  meter.OnWait(start);
  meter.OnEvent(start + milliseconds(7));
  meter.Switch(WorkKind::kDeciding, start + milliseconds(8));
  meter.Switch(WorkKind::kSending, start + milliseconds(11));
  meter.Switch(WorkKind::kDeciding, start + milliseconds(13));
  meter.Switch(WorkKind::kOther, start + milliseconds(20));
  EXPECT_EQ(meter.Total(WorkKind::kWaiting), milliseconds(7));
  EXPECT_EQ(meter.Total(WorkKind::kOther), milliseconds(1));
  EXPECT_EQ(meter.Total(WorkKind::kDeciding), milliseconds(10));
  EXPECT_EQ(meter.Total(WorkKind::kSending), milliseconds(2));
}

TEST(WorkMeter, AnEventInTheMiddleOfWorkEndsNoWaiting) {
  WorkMeter meter;
  const Instant start{std::chrono::seconds(100)};
  meter.Switch(WorkKind::kCalls, start);
  meter.OnEvent(start + milliseconds(5));
  meter.OnWait(start + milliseconds(9));
  EXPECT_EQ(meter.Total(WorkKind::kCalls), milliseconds(9));
}

TEST(WorkMeter, ALoopThatHasNothingToDoWaits) {
  EventLoop loop;
  const auto stop = loop.After(milliseconds(30), [&loop] { loop.Stop(); });
  loop.Run();
  EXPECT_GT(loop.work().Total(WorkKind::kWaiting), Duration(0));
}

}  // namespace
}  // namespace agatepass::base
