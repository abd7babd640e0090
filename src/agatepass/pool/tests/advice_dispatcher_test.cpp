// Queries for advice spread over the hosts.
#include "agatepass/pool/advice_dispatcher.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AdviceQuery Query(const std::string& job, base::Duration cost,
                  uint32_t priority) {
  return {
      .job = base::JobId(job), .expected_duration = cost, .priority = priority};
}

class AdviceDeskTest : public testing::Test {
 protected:
  void AddHosts(int count) {
    for (int i = 0; i < count; ++i) {
      this->desk.OnHostSeen(base::HostId("h" + std::to_string(i)),
                            {"10.0.0.1", 1}, this->now);
    }
  }

  base::Instant now{seconds(10)};
  AdviceDispatcher desk;
};

TEST_F(AdviceDeskTest, AsksThroughEachHostOneQueryAtATime) {
  this->AddHosts(2);
  for (int i = 0; i < 3; ++i) {
    this->desk.Add(Query(std::to_string(i), milliseconds(20), 0));
  }
  const auto first = this->desk.Next(this->now);
  const auto second = this->desk.Next(this->now);
  ASSERT_TRUE(first && second);
  EXPECT_NE(first->host, second->host);
  EXPECT_FALSE(this->desk.Next(this->now));
  this->desk.OnDone(first->host, true, this->now);
  EXPECT_TRUE(this->desk.Next(this->now));
}

TEST_F(AdviceDeskTest, AShortUrgentQueryNeverWaitsForLongOnes) {
  this->AddHosts(4);
  for (int i = 0; i < 8; ++i) {
    this->desk.Add(Query(std::to_string(i), milliseconds(900), 1));
  }
  int asked = 0;
  while (this->desk.Next(this->now)) ++asked;
  EXPECT_EQ(asked, 3);
  this->desk.Add(Query("urgent", milliseconds(20), 0));
  const auto urgent = this->desk.Next(this->now);
  ASSERT_TRUE(urgent);
  EXPECT_EQ(urgent->query.job.value, "urgent");
}

TEST_F(AdviceDeskTest, AHostThatDidNotAnswerRests) {
  this->AddHosts(1);
  this->desk.Add(Query("a", milliseconds(20), 0));
  this->desk.Add(Query("b", milliseconds(20), 0));
  const auto errand = this->desk.Next(this->now);
  this->desk.OnDone(errand->host, false, this->now);
  EXPECT_FALSE(this->desk.Next(this->now));
  EXPECT_TRUE(this->desk.Next(this->now + AdviceDispatcher::kHostBackoff));
}

TEST_F(AdviceDeskTest, AHostThatIsSilentIsNotUsed) {
  this->AddHosts(1);
  this->desk.Add(Query("a", milliseconds(20), 0));
  EXPECT_FALSE(this->desk.Next(this->now + seconds(60)));
}

}  // namespace
}  // namespace agatepass::pool
