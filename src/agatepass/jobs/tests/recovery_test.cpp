#include "agatepass/base/result_code.h"
#include "agatepass/jobs/tests/job_cell.h"

namespace agatepass::jobs {
namespace {

using base::ResultCode;
using platform::TaskPhase;

class RecoveryTest : public JobCell {
 protected:
  /** Submits `tasks` letters to the first host, and starts task 0 on w1. */
  base::JobId StartOne(uint32_t tasks, bool idempotent = false) {
    JobSpec spec = Letters(tasks);
    spec.idempotent = idempotent;
    const uint64_t id = this->first.Submit(spec);
    this->Run(milliseconds(20));
    this->started = this->first.seen.ready.front().task;
    EXPECT_EQ(this->Start(this->first, this->started, this->w1, 1),
              StartPermission::kGranted);
    return this->first.Answer(id)->job;
  }

  void AdoptFirst() {
    this->second.SetWorkers("uus-a", {this->w1, this->w2});
    this->second.Adopt(this->first.keeper.incarnation());
    this->Run(milliseconds(50));
  }

  TaskState StateOf(const base::JobId& job, uint32_t index) {
    const auto view = this->second.keeper.Find(job, base::TeamId("notices"));
    return view.ok() ? view->tasks[index].state : TaskState::kFailed;
  }

  base::TaskId started;
};

TEST_F(RecoveryTest, OnlyProvenTasksStartAgain) {
  const base::JobId job = this->StartOne(2);
  this->first.Pause();
  this->AdoptFirst();
  EXPECT_EQ(this->StateOf(job, 0), TaskState::kInDoubt);
  this->Claimed(this->second, this->w1, 2,
                {Report(this->started, TaskPhase::kRunning)});
  EXPECT_TRUE(this->second.seen.ready.empty());
  this->Claimed(this->second, this->w2, 2, {});
  ASSERT_EQ(this->second.seen.ready.size(), 1U);
  EXPECT_EQ(this->second.seen.ready[0].index, 1U);
  EXPECT_EQ(this->StateOf(job, 0), TaskState::kRunning);
}

TEST_F(RecoveryTest, RenewalsAndOldClaimsProveNothing) {
  this->StartOne(1);
  this->first.Pause();
  const base::Instant before = this->time.now;
  this->AdoptFirst();
  this->Claimed(this->second, this->w1, 2, {}, InventoryKind::kRenewal);
  this->Claimed(this->second, this->w2, 2, {});
  this->second.Inventory(
      {this->w1, InventoryKind::kClaim, 2, before, false, {}});
  EXPECT_TRUE(this->second.seen.ready.empty());
  this->Claimed(this->second, this->w1, 3, {});
  EXPECT_EQ(this->second.seen.ready.size(), 1U);
}

TEST_F(RecoveryTest, PausedHostIsFencedAndStartsNothing) {
  this->StartOne(3);
  this->first.Pause();
  this->AdoptFirst();
  this->first.Resume();
  const uint64_t id = this->first.Submit(Letters(1, "k2"));
  this->Run(seconds(4));
  EXPECT_TRUE(this->first.seen.fenced);
  EXPECT_NE(this->first.Answer(id)->code, ResultCode::kAccepted);
  EXPECT_EQ(
      this->Start(this->first, this->first.seen.ready[1].task, this->w1, 1),
      StartPermission::kDenied);
}

TEST_F(RecoveryTest, PausedHostThatClaimsAgainAsksTheStoreFirst) {
  this->StartOne(3);
  this->first.Pause();
  this->AdoptFirst();
  this->first.Resume();
  this->first.Inventory({this->w2,
                         InventoryKind::kClaim,
                         9,
                         this->time.now,
                         /*own_claim=*/true,
                         {}});
  EXPECT_EQ(
      this->Start(this->first, this->first.seen.ready[1].task, this->w2, 9),
      StartPermission::kNotYet);
  this->Run(milliseconds(20));
  EXPECT_TRUE(this->first.seen.fenced);
}

TEST_F(RecoveryTest, OneOfTwoAdoptersWins) {
  this->StartOne(2);
  this->first.Pause();
  fakes::JobHost third{
      Options(), {base::HostId("e3"), 1}, this->store, this->time};
  third.Adopt(this->first.keeper.incarnation());
  this->second.Adopt(this->first.keeper.incarnation());
  fakes::RunFor(seconds(1), this->store, this->time, {&this->second, &third});
  EXPECT_EQ(this->second.keeper.job_count() + third.keeper.job_count(), 1U);
}

TEST_F(RecoveryTest, AdopterThatDiesIsAdoptedInTurn) {
  const base::JobId job = this->StartOne(2);
  this->first.Pause();
  // The second host seals, and dies before it has recorded the jobs.
  this->second.Adopt(this->first.keeper.incarnation());
  this->Run(milliseconds(10));
  this->second.Pause();
  this->Run(milliseconds(50));
  fakes::JobHost third{
      Options(), {base::HostId("e3"), 1}, this->store, this->time};
  const auto run = [&] {
    fakes::RunFor(seconds(1), this->store, this->time, {&third});
  };
  third.Submit(Letters(1, "k3"));
  run();
  third.Adopt(this->second.keeper.incarnation());
  run();
  third.Adopt(this->first.keeper.incarnation());
  run();
  EXPECT_TRUE(third.keeper.Find(job, base::TeamId("notices")).ok());
  this->second.Resume();
  this->second.SetWorkers("uus-a", {this->w1});
  this->Run(seconds(1));
  this->Claimed(this->second, this->w1, 9, {});
  this->Run(seconds(1));
  EXPECT_TRUE(this->second.seen.ready.empty());
}

TEST_F(RecoveryTest, RepeatAfterADeathGivesTheFirstJob) {
  const base::JobId job = this->StartOne(1);
  this->first.Pause();
  this->AdoptFirst();
  const uint64_t repeat = this->second.Submit(Letters(1));
  this->Run(milliseconds(50));
  EXPECT_EQ(this->second.Answer(repeat)->job, job);
}

TEST_F(RecoveryTest, JournalledAndUnclaimedJobIsFinishedByTheAdopter) {
  const uint64_t id = this->first.Submit(Letters(1));
  this->Run(milliseconds(3));
  this->first.Pause();
  this->Run(milliseconds(10));
  EXPECT_FALSE(this->first.Answer(id));
  this->AdoptFirst();
  this->Claimed(this->second, this->w1, 2, {});
  this->Claimed(this->second, this->w2, 2, {});
  this->Run(milliseconds(50));
  EXPECT_EQ(this->second.seen.ready.size(), 1U);
}

TEST_F(RecoveryTest, AdoptedJournalIsDeletedButForItsSeal) {
  this->StartOne(1);
  this->first.Pause();
  this->AdoptFirst();
  this->Run(seconds(2));
  platform::StoreCall list;
  list.verb = platform::StoreVerb::kList;
  list.key = JournalKeyPrefix(this->first.keeper.incarnation());
  EXPECT_EQ(this->store.model().Handle(list, this->time.now).entries.size(),
            1U);
}

TEST_F(RecoveryTest, EmptyStoreStopsAdmissionAndIsNotWritten) {
  this->StartOne(1);
  this->store.model() = fakes::StoreModel();
  const uint64_t id = this->first.Submit(Letters(1, "k2"));
  this->Run(seconds(1));
  EXPECT_EQ(this->first.Answer(id)->code, ResultCode::kOutcomeUnknown);
  EXPECT_EQ(this->first.Answer(this->first.Submit(Letters(1, "k3")))->code,
            ResultCode::kStoreContentChanged);
  EXPECT_EQ(this->store.model().writes(), 0U);
}

TEST_F(RecoveryTest, OlderStoreStopsAdmission) {
  this->StartOne(1);
  const fakes::StoreModel old = this->store.model().Snapshot();
  this->first.Submit(Letters(1, "k2"));
  this->Run(milliseconds(50));
  this->store.model() = old;
  this->first.Submit(Letters(1, "k3"));
  this->Run(milliseconds(50));
  EXPECT_EQ(this->first.keeper.admission(), ResultCode::kStoreContentChanged);
}

TEST_F(RecoveryTest, LostMemoryLeavesNonIdempotentTasksInDoubt) {
  const base::JobId job = this->StartOne(1);
  this->first.Pause();
  this->AdoptFirst();
  this->Claimed(this->second, this->w1, 1, {},
                InventoryKind::kClaimWithoutMemory);
  this->Claimed(this->second, this->w2, 2, {});
  EXPECT_TRUE(this->second.seen.ready.empty());
  EXPECT_EQ(this->StateOf(job, 0), TaskState::kInDoubt);
  ASSERT_EQ(this->second.keeper.InDoubt().size(), 1U);
}

TEST_F(RecoveryTest, SilentWorkerHoldsIdempotentTasksUntilTheirLeaseLapses) {
  this->StartOne(1, /*idempotent=*/true);
  this->first.Pause();
  this->AdoptFirst();
  this->Claimed(this->second, this->w2, 2, {});
  Effects fresh;
  this->second.keeper.OnWorkerSilent(this->w1, this->time.now, this->time.now,
                                     this->time.wall(), fresh);
  this->Run(seconds(14));
  EXPECT_TRUE(this->second.seen.ready.empty());
  this->Run(seconds(2));
  EXPECT_EQ(this->second.seen.ready.size(), 1U);
}

}  // namespace
}  // namespace agatepass::jobs
