#include "agatepass/jobs/store_budget.h"

#include <chrono>

#include "gtest/gtest.h"

namespace agatepass::jobs {
namespace {

using platform::CallClass;
using platform::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Instant kStart{seconds(100)};

NumberedStoreCall Call(uint64_t id, CallClass call_class) {
  NumberedStoreCall call{id, {}};
  call.call.call_class = call_class;
  return call;
}

TEST(StoreBudget, KeepsToTheRateWhateverIsAsked) {
  StoreBudgetOptions options;
  options.calls_per_second = 50;
  options.burst = 20;
  StoreBudget budget(options, 1);
  size_t sent = 0;
  for (int step = 0; step < 10'000; ++step) {
    budget.Add(Call(static_cast<uint64_t>(step), CallClass::kNormal));
    sent += budget.TakeDue(kStart + milliseconds(step)).size();
  }
  EXPECT_LE(sent, 50U * 10 + 20);
  EXPECT_GE(sent, 50U * 10 - 20);
}

TEST(StoreBudget, UrgentCallsGoFirstAndHaveAReserve) {
  StoreBudgetOptions options;
  options.burst = 12;
  options.urgent_reserve = 10;
  StoreBudget budget(options, 1);
  for (uint64_t id = 0; id < 5; ++id) {
    budget.Add(Call(id, CallClass::kBackground));
  }
  EXPECT_EQ(budget.TakeDue(kStart).size(), 2U);
  budget.Add(Call(9, CallClass::kUrgent));
  const auto due = budget.TakeDue(kStart);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].call_id, 9U);
}

TEST(StoreBudget, UnansweredCallPausesAllButUrgentOnes) {
  StoreBudget budget({}, 1);
  budget.OnOutcome(Outcome::kUnknown, kStart);
  budget.Add(Call(1, CallClass::kNormal));
  budget.Add(Call(2, CallClass::kUrgent));
  ASSERT_EQ(budget.TakeDue(kStart).size(), 1U);
  const auto wake = budget.NextWake(kStart);
  ASSERT_TRUE(wake);
  EXPECT_GT(*wake, kStart);
  EXPECT_EQ(budget.TakeDue(*wake).size(), 1U);
}

TEST(StoreBudget, HostsThatFailedTogetherDoNotRetryTogether) {
  StoreBudget one({}, 1);
  StoreBudget two({}, 2);
  for (StoreBudget* budget : {&one, &two}) {
    budget->OnOutcome(Outcome::kNotSent, kStart);
    budget->Add(Call(1, CallClass::kNormal));
    budget->TakeDue(kStart);
  }
  EXPECT_NE(one.NextWake(kStart), two.NextWake(kStart));
}

TEST(StoreBudget, FullQueueDropsTheLeastUrgentCall) {
  StoreBudgetOptions options;
  options.queue_limit = 1;
  StoreBudget budget(options, 1);
  EXPECT_FALSE(budget.Add(Call(1, CallClass::kBackground)));
  const auto dropped = budget.Add(Call(2, CallClass::kUrgent));
  ASSERT_TRUE(dropped);
  EXPECT_EQ(dropped->call_id, 1U);
}

}  // namespace
}  // namespace agatepass::jobs
