// The lag of an event loop, by which calls are not given up whose answers wait.
#include "agatepass/base/loop_lag_meter.h"

#include <memory>
#include <vector>

#include "gtest/gtest.h"

namespace agatepass::base {
namespace {

using std::chrono::milliseconds;

TEST(LagEstimate, RisesAtOnceAndFallsSlowly) {
  LagEstimate estimate;
  EXPECT_EQ(estimate.value(), Duration(0));
  estimate.OnProbe(milliseconds(200));
  EXPECT_EQ(estimate.value(), milliseconds(200));
  estimate.OnProbe(milliseconds(0));
  EXPECT_LT(estimate.value(), milliseconds(200));
  EXPECT_GT(estimate.value(), milliseconds(100));
  estimate.OnProbe(milliseconds(300));
  EXPECT_EQ(estimate.value(), milliseconds(300));
}

TEST(LagEstimate, IsGoneSomeTimeAfterTheLoad) {
  LagEstimate estimate;
  estimate.OnProbe(milliseconds(400));
  for (int i = 0; i < 80; ++i) estimate.OnProbe(Duration(0));
  EXPECT_LT(estimate.value(), milliseconds(1));
}

TEST(LoopLagMeter, ControlEventsDoNotWaitForAllBulkEvents) {
  EventLoop loop;
  constexpr int kBulkEvents = 1000;
  int bulk_before_control = 0;
  int bulk = 0;
  auto control = std::make_unique<LoopEvent>(
      loop, -1, 0, [&] { bulk_before_control = bulk; });
  control->SetPriority(EventPriority::kControl);
  // The control event becomes due while bulk events run.
  auto first = loop.After(Duration(0), [&] { control->Arm(Duration(0)); });
  std::vector<std::unique_ptr<LoopEvent>> events;
  events.reserve(kBulkEvents);
  for (int i = 0; i < kBulkEvents; ++i) {
    events.push_back(loop.After(Duration(0), [&bulk] { ++bulk; }));
  }
  while (bulk < kBulkEvents) loop.RunDueHandlers();
  EXPECT_LT(bulk_before_control, kBulkEvents);
}

}  // namespace
}  // namespace agatepass::base
