// Until when a planner's host knows that no other planner was elected.
#include "agatepass/pool/leadership_evidence.h"

#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Endpoint kHostA{"10.0.0.2", 80};
const base::Endpoint kHostB{"10.0.0.3", 80};
const base::Instant kStart{seconds(100)};

LeadershipEvidence MakeEvidenceWithHosts() {
  LeadershipEvidence evidence(kStart);
  evidence.OnHostSeen(kHostA, kStart);
  evidence.OnHostSeen(kHostB, kStart);
  return evidence;
}

TEST(LeadershipEvidence, IsAsOldAsTheCallThatTheStoreAnswered) {
  LeadershipEvidence evidence = MakeEvidenceWithHosts();
  EXPECT_EQ(evidence.ConfirmedAt(kStart + seconds(9)), kStart);
  evidence.OnStoreConfirmation(kStart + seconds(3));
  evidence.OnStoreConfirmation(kStart + seconds(2));
  EXPECT_EQ(evidence.ConfirmedAt(kStart + seconds(9)), kStart + seconds(3));
}

TEST(LeadershipEvidence, NeedsAllHostsWhileTheStoreIsSilent) {
  // The silent one may be the host that was elected.
  LeadershipEvidence evidence = MakeEvidenceWithHosts();
  evidence.OnHostAnswer(kHostA, kStart + seconds(5));
  EXPECT_EQ(evidence.ConfirmedAt(kStart + seconds(9)), kStart);
  EXPECT_EQ(evidence.CountSilentHosts(kStart), 1U);
  evidence.OnHostAnswer(kHostB, kStart + seconds(4));
  EXPECT_EQ(evidence.ConfirmedAt(kStart + seconds(9)), kStart + seconds(4));
}

TEST(LeadershipEvidence, ACallOfAHostIsNoEvidence) {
  // It may have waited on its way while the host was elected.
  LeadershipEvidence evidence = MakeEvidenceWithHosts();
  evidence.OnHostSeen(kHostA, kStart + seconds(5));
  evidence.OnHostSeen(kHostB, kStart + seconds(5));
  EXPECT_EQ(evidence.ConfirmedAt(kStart + seconds(9)), kStart);
}

TEST(LeadershipEvidence, APoolOfOneHostNeedsNone) {
  LeadershipEvidence evidence(kStart);
  evidence.OnStoreConfirmation(kStart + LeadershipEvidence::kHostsCallWithin);
  EXPECT_EQ(evidence.ConfirmedAt(kStart + seconds(9)), kStart + seconds(9));
}

TEST(LeadershipEvidence, APlannerThatIsCutOffAtOnceMayNotBeTheOnlyHost) {
  // No host could call it yet.
  LeadershipEvidence evidence(kStart);
  evidence.OnStoreConfirmation(kStart + seconds(2));
  EXPECT_EQ(evidence.ConfirmedAt(kStart + seconds(99)), kStart + seconds(2));
}

TEST(LeadershipEvidence, AHostIsLeftOutOnlyOnceTheStoreConfirmsTheTerm) {
  // A planner that is cut off for long must not take all hosts for gone.
  LeadershipEvidence evidence = MakeEvidenceWithHosts();
  const base::Instant later =
      kStart + LeadershipEvidence::kMaxHostAge + seconds(1);
  EXPECT_EQ(evidence.ConfirmedAt(later), kStart);
  EXPECT_EQ(evidence.TakeHostsToAsk(later).size(), 2U);
  evidence.OnHostSeen(kHostA, later);
  evidence.OnStoreConfirmation(later);
  EXPECT_EQ(evidence.host_count(), 1U);
}

TEST(LeadershipEvidence, ReadsTheKeyOnlyWhileNothingElseConfirmsTheTerm) {
  LeadershipEvidence evidence = MakeEvidenceWithHosts();
  const base::Duration period = LeadershipEvidence::kReadKeyPeriod;
  EXPECT_FALSE(evidence.ShouldReadKey(kStart + period - milliseconds(1)));
  EXPECT_TRUE(evidence.ShouldReadKey(kStart + period));
  EXPECT_FALSE(evidence.ShouldReadKey(kStart + 2 * period - milliseconds(1)));
  evidence.OnStoreConfirmation(kStart + 2 * period - milliseconds(1));
  EXPECT_FALSE(evidence.ShouldReadKey(kStart + 2 * period));
}

TEST(LeadershipEvidence, AsksHostsOnlyWhileTheStoreIsSilent) {
  LeadershipEvidence evidence = MakeEvidenceWithHosts();
  const base::Instant due = kStart + LeadershipEvidence::kAskHostsAfter;
  EXPECT_TRUE(evidence.TakeHostsToAsk(due - milliseconds(1)).empty());
  EXPECT_EQ(evidence.TakeHostsToAsk(due).size(), 2U);
  EXPECT_TRUE(evidence.TakeHostsToAsk(due + milliseconds(1)).empty());
  EXPECT_EQ(
      evidence.TakeHostsToAsk(due + LeadershipEvidence::kAskHostsPeriod).size(),
      2U);
  evidence.OnStoreConfirmation(due + seconds(1));
  EXPECT_TRUE(evidence.TakeHostsToAsk(due + seconds(1)).empty());
}

TEST(LeadershipEvidence, StaysFreshWhileAllAreAskedAndOneAnswerIsLost) {
  // The first answer is due before the store's confirmation is too old, also
  // if hosts take the rest of that time to answer.
  EXPECT_LE(
      LeadershipEvidence::kAskHostsAfter + LeadershipEvidence::kAskHostsPeriod,
      LeadershipEvidence::kMaxAge);
  EXPECT_LE(3 * LeadershipEvidence::kAskHostsPeriod,
            LeadershipEvidence::kMaxAge);
}

}  // namespace
}  // namespace agatepass::pool
