// Distribution of advice queries over the hosts.
#include "agatepass/pool/advice_dispatcher.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AdviceQuery MakeQuery(const std::string& job, base::Duration expected_duration,
                      uint32_t priority) {
  return {.job = base::JobId(job),
          .expected_duration = expected_duration,
          .priority = priority};
}

class AdviceDispatcherTest : public testing::Test {
 protected:
  void AddHosts(int count) {
    for (int i = 0; i < count; ++i) {
      this->dispatcher.OnHostSeen(base::HostId("h" + std::to_string(i)),
                                  {"10.0.0.1", 1}, this->now);
    }
  }

  base::Instant now{seconds(10)};
  AdviceDispatcher dispatcher;
};

TEST_F(AdviceDispatcherTest, SendsOneQueryAtATimeThroughEachHost) {
  this->AddHosts(2);
  for (int i = 0; i < 3; ++i) {
    this->dispatcher.Add(MakeQuery(std::to_string(i), milliseconds(20), 0));
  }
  const auto first = this->dispatcher.Next(this->now);
  const auto second = this->dispatcher.Next(this->now);
  ASSERT_TRUE(first && second);
  EXPECT_NE(first->host, second->host);
  EXPECT_FALSE(this->dispatcher.Next(this->now));
  this->dispatcher.OnDone(first->host, true, this->now);
  EXPECT_TRUE(this->dispatcher.Next(this->now));
}

TEST_F(AdviceDispatcherTest, AShortUrgentQueryNeverWaitsForLongOnes) {
  this->AddHosts(4);
  for (int i = 0; i < 8; ++i) {
    this->dispatcher.Add(MakeQuery(std::to_string(i), milliseconds(900), 1));
  }
  int assigned = 0;
  while (this->dispatcher.Next(this->now)) ++assigned;
  // One of four hosts is reserved for short queries.
  EXPECT_EQ(assigned, 3);
  this->dispatcher.Add(MakeQuery("urgent", milliseconds(20), 0));
  const auto urgent = this->dispatcher.Next(this->now);
  ASSERT_TRUE(urgent);
  EXPECT_EQ(urgent->query.job.value, "urgent");
}

TEST_F(AdviceDispatcherTest, BacksOffFromAHostThatDidNotAnswer) {
  this->AddHosts(1);
  this->dispatcher.Add(MakeQuery("a", milliseconds(20), 0));
  this->dispatcher.Add(MakeQuery("b", milliseconds(20), 0));
  const auto assignment = this->dispatcher.Next(this->now);
  this->dispatcher.OnDone(assignment->host, false, this->now);
  EXPECT_FALSE(this->dispatcher.Next(this->now));
  EXPECT_TRUE(
      this->dispatcher.Next(this->now + AdviceDispatcher::kHostBackoff));
}

TEST_F(AdviceDispatcherTest, DoesNotUseAHostThatWasNotSeenRecently) {
  this->AddHosts(1);
  this->dispatcher.Add(MakeQuery("a", milliseconds(20), 0));
  EXPECT_FALSE(this->dispatcher.Next(this->now + seconds(60)));
}

}  // namespace
}  // namespace agatepass::pool
