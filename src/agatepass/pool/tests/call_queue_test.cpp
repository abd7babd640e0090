// Calls that wait for the planner longer than their hosts do.
#include "agatepass/pool/call_queue.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CallQueueTest : public testing::Test {
 protected:
  base::Instant now{seconds(10)};
  CallQueue<int> queue;
};

TEST_F(CallQueueTest, CallsAreTakenInTheOrderOfTheirArrival) {
  EXPECT_FALSE(this->queue.Take(this->now));
  EXPECT_EQ(this->queue.OldestAge(this->now).count(), 0);
  this->queue.Add(1, 100, seconds(1), this->now);
  this->now += milliseconds(100);
  this->queue.Add(2, 100, seconds(1), this->now);
  EXPECT_EQ(this->queue.OldestAge(this->now), milliseconds(100));
  EXPECT_EQ(this->queue.Take(this->now)->call, 1);
  EXPECT_EQ(this->queue.Take(this->now)->call, 2);
  EXPECT_EQ(this->queue.size(), 0U);
}

// A planner that was behind carried out what its callers had sent again, and so
// fell further behind.
TEST_F(CallQueueTest, ACallThatItsHostHasGivenUpIsMarked) {
  this->queue.Add(1, 100, milliseconds(500), this->now);
  this->queue.Add(2, 100, seconds(3), this->now);
  this->now += milliseconds(500);
  EXPECT_TRUE(this->queue.Take(this->now)->given_up);
  const auto second = this->queue.Take(this->now);
  EXPECT_FALSE(second->given_up);
  EXPECT_EQ(second->patience_left, milliseconds(2500));
  EXPECT_EQ(this->queue.given_up(), 1U);
}

TEST_F(CallQueueTest, ACallThatWouldWaitTooLongIsRejectedWhenItArrives) {
  EXPECT_FALSE(this->queue.MustReject(seconds(3), this->now));
  this->queue.Add(1, 100, seconds(3), this->now);
  this->now += milliseconds(100);
  EXPECT_FALSE(this->queue.MustReject(seconds(3), this->now));
  EXPECT_TRUE(this->queue.MustReject(milliseconds(180), this->now))
      << "its host would give up";
  this->now += CallQueue<int>::kMaxWait;
  EXPECT_TRUE(this->queue.MustReject(seconds(3), this->now));
  this->queue.Take(this->now);
  EXPECT_FALSE(this->queue.MustReject(seconds(3), this->now));
}

TEST_F(CallQueueTest, ItsLengthIsBounded) {
  for (size_t i = 0; i < CallQueue<int>::kMaxCalls; ++i) {
    EXPECT_FALSE(this->queue.MustReject(seconds(3), this->now));
    this->queue.Add(1, 100, seconds(3), this->now);
  }
  EXPECT_TRUE(this->queue.MustReject(seconds(3), this->now));
}

// Guards against a few calls with large bodies that fill the memory.
TEST_F(CallQueueTest, ItsBytesAreBounded) {
  constexpr size_t kLarge = size_t{1} << 20U;
  size_t accepted = 0;
  while (!this->queue.MustReject(seconds(3), this->now)) {
    this->queue.Add(1, kLarge, seconds(3), this->now);
    ++accepted;
  }
  EXPECT_EQ(accepted * kLarge, CallQueue<int>::kMaxBytes);
  this->queue.Take(this->now);
  EXPECT_FALSE(this->queue.MustReject(seconds(3), this->now));
}

}  // namespace
}  // namespace agatepass::pool
