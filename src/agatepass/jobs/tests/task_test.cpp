#include "agatepass/base/result_code.h"
#include "agatepass/jobs/tests/job_cell.h"

namespace agatepass::jobs {
namespace {

using base::ResultCode;
using fakes::MemoryStoreFault;
using platform::TaskPhase;

class TaskTest : public JobCell {
 protected:
  /** Has a job accepted. \return its id. */
  base::JobId Accepted(uint32_t tasks, bool idempotent = false) {
    JobSpec spec = Letters(tasks);
    spec.idempotent = idempotent;
    const uint64_t id = this->first.Submit(spec);
    this->Run(milliseconds(20));
    return this->first.Answer(id)->job;
  }

  const base::TaskId& Ready(size_t index) {
    return this->first.seen.ready[index].task;
  }

  void StartedOn(const base::TaskId& task, StartOutcome outcome) {
    ASSERT_EQ(this->Start(this->first, task, this->w1, 1),
              StartPermission::kGranted);
    this->first.Do([&](JobKeeper& keeper, Effects& fresh) {
      keeper.OnStartResult(task, outcome, this->time.now, this->time.wall(),
                           fresh);
      return 0;
    });
  }

  void Reported(const platform::TaskReport& report) {
    this->first.Do([&](JobKeeper& keeper, Effects& fresh) {
      keeper.OnTaskReport(this->w1, report, this->time.now, this->time.wall(),
                          fresh);
      return 0;
    });
  }

  uint64_t Cancelled(const base::JobId& job) {
    return this->first.Do([&](JobKeeper& keeper, Effects& fresh) {
      return keeper.Cancel(job, base::TeamId("notices"), this->time.now,
                           this->time.wall(), fresh);
    });
  }

  uint64_t Settled(const base::JobId& job, bool ran) {
    return this->first.Do([&](JobKeeper& keeper, Effects& fresh) {
      return keeper.Settle(job, 0, ran, "mari", this->time.now,
                           this->time.wall(), fresh);
    });
  }
};

TEST_F(TaskTest, EndIsAcknowledgedOnlyOnceJournalled) {
  const base::JobId job = this->Accepted(1);
  this->StartedOn(this->Ready(0), StartOutcome::kStarted);
  this->store.SetFault(MemoryStoreFault::kDown);
  platform::TaskReport end = Report(this->Ready(0), TaskPhase::kSucceeded);
  end.result = "412 sent";
  this->Reported(end);
  this->Run(seconds(5));
  EXPECT_TRUE(this->first.seen.acknowledgements.empty());
  this->store.SetFault(MemoryStoreFault::kNone);
  this->Run(seconds(6));
  EXPECT_EQ(this->first.seen.acknowledgements.size(), 1U);
  const auto view = this->first.keeper.Find(job, base::TeamId("notices"));
  EXPECT_EQ(view->tasks[0].result, "412 sent");
  EXPECT_NE(view->record.ended.microseconds, 0);
}

TEST_F(TaskTest, StartIsGrantedOnce) {
  this->Accepted(1);
  this->StartedOn(this->Ready(0), StartOutcome::kStarted);
  EXPECT_EQ(this->Start(this->first, this->Ready(0), this->w2, 1),
            StartPermission::kDenied);
}

TEST_F(TaskTest, RefusedStartIsReadyUnderANewId) {
  this->Accepted(1);
  this->StartedOn(this->Ready(0), StartOutcome::kNotStarted);
  ASSERT_EQ(this->first.seen.ready.size(), 2U);
  EXPECT_NE(this->Ready(0), this->Ready(1));
}

TEST_F(TaskTest, UnknownStartWaitsForAHigherEpoch) {
  this->Accepted(1);
  this->StartedOn(this->Ready(0), StartOutcome::kUnknown);
  EXPECT_EQ(this->first.seen.claims_wanted.size(), 1U);
  this->Claimed(this->first, this->w1, 1, {}, InventoryKind::kRenewal);
  EXPECT_EQ(this->first.seen.ready.size(), 1U);
  this->Claimed(this->first, this->w1, 2, {});
  EXPECT_EQ(this->first.seen.ready.size(), 2U);
}

TEST_F(TaskTest, InventoryAskedBeforeTheStartProvesNothing) {
  this->Accepted(1, /*idempotent=*/true);
  const base::Instant asked = this->time.now;
  this->Run(milliseconds(1));
  this->StartedOn(this->Ready(0), StartOutcome::kStarted);
  this->first.Inventory(
      {this->w1, InventoryKind::kRenewal, 1, asked, false, {}});
  EXPECT_EQ(this->first.seen.ready.size(), 1U);
}

TEST_F(TaskTest, NonIdempotentTaskThatItsWorkerLostIsSettledByAnOperator) {
  const base::JobId job = this->Accepted(1);
  this->StartedOn(this->Ready(0), StartOutcome::kStarted);
  this->Claimed(this->first, this->w1, 2, {});
  EXPECT_EQ(this->first.seen.ready.size(), 1U);
  ASSERT_EQ(this->first.keeper.InDoubt().size(), 1U);
  this->Settled(job, /*ran=*/false);
  EXPECT_EQ(this->first.seen.ready.size(), 1U);
  this->Run(milliseconds(100));
  EXPECT_EQ(this->first.seen.ready.size(), 2U);
}

TEST_F(TaskTest, DoubtIsJournalledBeforeAnAdopterCouldTakeSilenceForProof) {
  const base::JobId job = this->Accepted(1);
  this->StartedOn(this->Ready(0), StartOutcome::kStarted);
  this->Claimed(this->first, this->w1, 2, {});
  this->Run(seconds(1));
  this->first.Pause();
  this->second.SetWorkers("uus-a", {this->w1});
  this->second.Adopt(this->first.keeper.incarnation());
  this->Run(milliseconds(50));
  this->Claimed(this->second, this->w1, 3, {});
  this->Run(seconds(1));
  EXPECT_TRUE(this->second.seen.ready.empty());
  EXPECT_EQ(this->second.keeper.InDoubt().size(), 1U);
}

TEST_F(TaskTest, CancelIsAnsweredOnceJournalledAndTellsEachTask) {
  const base::JobId job = this->Accepted(3);
  this->StartedOn(this->Ready(0), StartOutcome::kStarted);
  this->StartedOn(this->Ready(1), StartOutcome::kUnknown);
  this->Cancelled(job);
  EXPECT_TRUE(this->first.seen.cancels.empty());
  EXPECT_EQ(this->Start(this->first, this->Ready(2), this->w1, 1),
            StartPermission::kDenied);
  this->Run(milliseconds(20));
  ASSERT_EQ(this->first.seen.cancels.size(), 1U);
  EXPECT_EQ(
      this->first.seen.cancels[0].fates,
      (std::vector{TaskFate::kRunning, TaskFate::kUnknown, TaskFate::kNotRun}));
  EXPECT_EQ(this->first.seen.stops.size(), 2U);
}

TEST_F(TaskTest, CancelledTasksStayCancelledAfterAnAdoption) {
  const base::JobId job = this->Accepted(2);
  this->Cancelled(job);
  this->Run(milliseconds(20));
  this->first.Pause();
  this->second.SetWorkers("uus-a", {this->w1});
  this->second.Adopt(this->first.keeper.incarnation());
  this->Run(milliseconds(50));
  this->Claimed(this->second, this->w1, 2, {});
  this->Run(seconds(2));
  EXPECT_TRUE(this->second.seen.ready.empty());
}

TEST_F(TaskTest, AnotherDataCentreIsJournalledBeforeAStartThere) {
  const base::JobId job = this->Accepted(1);
  this->first.SetWorkers("uus-b", {this->w2});
  const base::TaskId task = this->Ready(0);
  EXPECT_EQ(this->Start(this->first, task, this->w2, 1),
            StartPermission::kNotYet);
  this->Run(milliseconds(20));
  EXPECT_EQ(this->Start(this->first, task, this->w2, 1),
            StartPermission::kGranted);
  this->first.Pause();
  this->second.Adopt(this->first.keeper.incarnation());
  this->Run(milliseconds(50));
  const auto view = this->second.keeper.Find(job, base::TeamId("notices"));
  EXPECT_EQ(view->record.scope.size(), 2U);
}

TEST_F(TaskTest, CancelWithoutTheStoreIsNotAcknowledged) {
  const base::JobId job = this->Accepted(1);
  this->store.SetFault(MemoryStoreFault::kDown);
  this->Cancelled(job);
  this->Run(seconds(4));
  ASSERT_EQ(this->first.seen.cancels.size(), 1U);
  EXPECT_EQ(this->first.seen.cancels[0].code, ResultCode::kOutcomeUnknown);
}

}  // namespace
}  // namespace agatepass::jobs
