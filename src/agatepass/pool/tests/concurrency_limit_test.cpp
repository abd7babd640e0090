// The number of calls in flight follows from how late their answers are.
#include "agatepass/pool/concurrency_limit.h"

#include <algorithm>
#include <deque>

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Calls to a server that handles one every `service_time`, as many in flight
 * as the limit allows. */
class SingleServer {
 public:
  /** Serves calls for a while. \return the longest time that a call waited. */
  base::Duration Serve(base::Duration service_time, base::Duration duration) {
    base::Duration longest{0};
    const base::Instant end = this->now + duration;
    while (this->now < end) {
      while (this->limit.HasRoom(Lane::kOther)) {
        this->limit.OnSent(Lane::kOther);
        this->sent_at.push_back(this->now);
      }
      this->now += service_time;
      const base::Duration delay = this->now - this->sent_at.front();
      this->sent_at.pop_front();
      longest = std::max(longest, delay);
      this->limit.OnDone(Lane::kOther, delay, this->now);
      ++this->served;
    }
    return longest;
  }

  ConcurrencyLimit limit;
  std::deque<base::Instant> sent_at;
  base::Instant now{seconds(100)};
  size_t served = 0;
};

TEST(ConcurrencyLimit, CallsToAnOverloadedServerWaitLittle) {
  SingleServer server;
  server.Serve(milliseconds(5), seconds(5));
  EXPECT_LT(server.Serve(milliseconds(5), seconds(20)), milliseconds(200));
  EXPECT_GT(server.limit.limit(), 10);
}

TEST(ConcurrencyLimit, GrowsAgainSoonAfterAnOverload) {
  SingleServer server;
  server.Serve(milliseconds(50), seconds(10));
  EXPECT_LT(server.limit.limit(), 10);
  server.Serve(std::chrono::microseconds(300), seconds(2));
  EXPECT_GT(server.limit.limit(), 50);
}

TEST(ConcurrencyLimit, AMinorityOfSilentReceiversLeavesItAsItIs) {
  ConcurrencyLimit limit;
  base::Instant now{seconds(100)};
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(1);
    limit.OnSent(Lane::kOther);
    limit.OnDone(Lane::kOther, milliseconds(i % 3 == 0 ? 400 : 5), now);
  }
  EXPECT_GE(limit.limit(), ConcurrencyBounds{}.initial);
}

// Queries for urgent steps waited for gangs, whose queries take a second.
TEST(ConcurrencyLimit, UrgentCallsNeedNoPlaceThatOthersHold) {
  ConcurrencyLimit limit;
  while (limit.HasRoom(Lane::kOther)) limit.OnSent(Lane::kOther);
  size_t urgent = 0;
  for (; limit.HasRoom(Lane::kUrgent); ++urgent) limit.OnSent(Lane::kUrgent);
  EXPECT_EQ(static_cast<double>(urgent), limit.limit());
  EXPECT_FALSE(limit.HasRoom(Lane::kOther));
}

}  // namespace
}  // namespace agatepass::pool
