#include "agatepass/base/result_code.h"
#include "agatepass/jobs/tests/job_cell.h"

namespace agatepass::jobs {
namespace {

using base::ResultCode;
using fakes::MemoryStoreFault;
using SubmitTest = JobCell;

TEST_F(SubmitTest, AcceptedOnlyAfterTheStoreHasIt) {
  const uint64_t id = this->first.Submit(Letters(2));
  EXPECT_FALSE(this->first.Answer(id));
  EXPECT_TRUE(this->first.seen.ready.empty());
  this->Run(milliseconds(20));
  ASSERT_TRUE(this->first.Answer(id));
  EXPECT_EQ(this->first.Answer(id)->code, ResultCode::kAccepted);
  EXPECT_EQ(this->first.seen.ready.size(), 2U);
}

TEST_F(SubmitTest, RepeatGivesTheFirstJobThroughAnyHost) {
  const uint64_t id = this->first.Submit(Letters(2));
  this->Run(milliseconds(20));
  const uint64_t here = this->first.Submit(Letters(2));
  const uint64_t there = this->second.Submit(Letters(2));
  this->Run(milliseconds(20));
  const base::JobId job = this->first.Answer(id)->job;
  EXPECT_EQ(this->first.Answer(here)->job, job);
  EXPECT_EQ(this->second.Answer(there)->job, job);
  EXPECT_TRUE(this->second.Answer(there)->repeated);
  EXPECT_TRUE(this->second.seen.ready.empty());
  EXPECT_EQ(this->second.keeper.job_count(), 0U);
}

TEST_F(SubmitTest, TwoHostsAtOnceAcceptOneJob) {
  const uint64_t one = this->first.Submit(Letters(1));
  const uint64_t two = this->second.Submit(Letters(1));
  this->Run(milliseconds(20));
  EXPECT_EQ(this->first.Answer(one)->job, this->second.Answer(two)->job);
  EXPECT_EQ(this->first.seen.ready.size() + this->second.seen.ready.size(), 1U);
}

TEST_F(SubmitTest, SameKeyForAnotherJobIsRefused) {
  this->first.Submit(Letters(1));
  const uint64_t other = this->first.Submit(Letters(3));
  EXPECT_EQ(this->first.Answer(other)->code, ResultCode::kInvalidRequest);
}

TEST_F(SubmitTest, UnreachableStoreIsNotRunAndLeavesNothing) {
  this->store.SetFault(MemoryStoreFault::kDown);
  const uint64_t id = this->first.Submit(Letters(1));
  this->Run(seconds(4));
  ASSERT_TRUE(this->first.Answer(id));
  EXPECT_EQ(this->first.Answer(id)->code, ResultCode::kStoreUnreachable);
  this->store.SetFault(MemoryStoreFault::kNone);
  this->Run(seconds(10));
  EXPECT_TRUE(this->first.seen.ready.empty());
  EXPECT_EQ(this->store.model().writes(), 0U);
}

TEST_F(SubmitTest, LostAnswerIsUnknownAndRunsOnce) {
  this->store.SetFault(MemoryStoreFault::kLoseAnswers);
  const uint64_t id = this->first.Submit(Letters(1));
  this->Run(seconds(4));
  ASSERT_TRUE(this->first.Answer(id));
  EXPECT_EQ(this->first.Answer(id)->code, ResultCode::kOutcomeUnknown);
  this->store.SetFault(MemoryStoreFault::kNone);
  this->Run(seconds(10));
  const uint64_t repeat = this->first.Submit(Letters(1));
  this->Run(seconds(1));
  EXPECT_EQ(this->first.Answer(repeat)->code, ResultCode::kAccepted);
  EXPECT_EQ(this->first.Answer(repeat)->job, this->first.Answer(id)->job);
  EXPECT_EQ(this->first.seen.ready.size(), 1U);
}

TEST_F(SubmitTest, LostCallIsSentAgainUnchanged) {
  this->store.SetFault(MemoryStoreFault::kLoseCalls);
  const uint64_t id = this->first.Submit(Letters(1));
  this->Run(milliseconds(10));
  this->store.SetFault(MemoryStoreFault::kNone);
  this->Run(milliseconds(2900));
  ASSERT_TRUE(this->first.Answer(id));
  EXPECT_EQ(this->first.Answer(id)->code, ResultCode::kAccepted);
}

TEST_F(SubmitTest, AttachedJobRunsWithoutTheStore) {
  this->store.SetFault(MemoryStoreFault::kDown);
  this->first.Submit(Letters(1, "other"));
  this->Run(milliseconds(10));
  JobSpec spec = Letters(1);
  spec.attached = true;
  EXPECT_EQ(this->first.Answer(this->first.Submit(spec))->code,
            ResultCode::kInvalidRequest);
  spec.idempotent = true;
  EXPECT_EQ(this->first.Answer(this->first.Submit(spec))->code,
            ResultCode::kAccepted);
  EXPECT_EQ(this->first.seen.ready.size(), 1U);
}

TEST_F(SubmitTest, AnotherTeamIsToldNothing) {
  const uint64_t id = this->first.Submit(Letters(1));
  this->Run(milliseconds(20));
  const auto view = this->first.keeper.Find(this->first.Answer(id)->job,
                                            base::TeamId("other"));
  EXPECT_EQ(base::ResultCodeOf(view.status()), ResultCode::kForbidden);
}

}  // namespace
}  // namespace agatepass::jobs
