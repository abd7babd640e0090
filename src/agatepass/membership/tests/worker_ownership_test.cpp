#include "agatepass/membership/worker_ownership.h"

#include <optional>
#include <string>
#include <vector>

#include "fakes/worker_model.h"
#include "gtest/gtest.h"

namespace agatepass::membership {
namespace {

using base::HostId;
using base::Instant;
using base::WorkerId;
using std::chrono::milliseconds;
using std::chrono::seconds;

const WorkerId kWorker("w1");

/** One worker and several entry hosts that claim it, in virtual time. */
class WorkerOwnershipTest : public ::testing::Test {
 protected:
  std::unique_ptr<WorkerOwnership> MakeHost(const std::string& name,
                                            std::vector<HostId> live) {
    auto host =
        std::make_unique<WorkerOwnership>(HostId(name), OwnershipOptions{});
    platform::HostRecord record;
    record.name = kWorker.value;
    host->SetWorkers(std::vector{record});
    host->SetLiveHosts(live);
    return host;
  }

  void Carry(WorkerOwnership& host, const OwnershipEffects& effects) {
    for (const OwnershipCall& call : effects.calls) {
      const auto reply = this->worker.Handle(call.command, this->now);
      host.OnReply(call.call, reply, this->now);
    }
  }

  void RunFor(const std::vector<WorkerOwnership*>& hosts,
              base::Duration duration) {
    const Instant end = this->now + duration;
    while (this->now < end) {
      this->now += milliseconds(100);
      for (WorkerOwnership* host : hosts) {
        this->Carry(*host, host->OnTick(this->now));
        this->CheckOneHolder(hosts);
      }
    }
  }

  void CheckOneHolder(const std::vector<WorkerOwnership*>& hosts) {
    int holders_of_newest = 0;
    for (WorkerOwnership* host : hosts) {
      const auto epoch = host->epoch(kWorker);
      if (epoch == this->newest_epoch()) ++holders_of_newest;
    }
    EXPECT_LE(holders_of_newest, 1);
  }

  platform::Epoch newest_epoch() {
    platform::WorkerCall probe;
    probe.holder = HostId("nobody");
    return this->worker.Handle(probe, this->now).epoch;
  }

  Instant now{seconds(100)};
  fakes::WorkerModel worker{kWorker, {4000, 4096, 0}};
  std::vector<HostId> both{HostId("a"), HostId("b")};
  std::vector<HostId> only_a{HostId("a")};
  std::vector<HostId> only_b{HostId("b")};
};

TEST_F(WorkerOwnershipTest, OneOfTwoHostsHoldsTheWorker) {
  auto a = this->MakeHost("a", this->both);
  auto b = this->MakeHost("b", this->both);
  this->RunFor({a.get(), b.get()}, seconds(20));
  EXPECT_EQ(a->held() + b->held(), 1U);
  EXPECT_EQ(this->newest_epoch(), 1U);
}

TEST_F(WorkerOwnershipTest, HostsWithDifferentViewsDoNotPassItBackAndForth) {
  auto a = this->MakeHost("a", this->only_a);
  auto b = this->MakeHost("b", this->only_b);
  this->RunFor({a.get(), b.get()}, seconds(60));
  EXPECT_EQ(a->held(), 1U);
  EXPECT_EQ(this->newest_epoch(), 1U);
}

TEST_F(WorkerOwnershipTest, DeadHolderIsReplacedWithinFiveSeconds) {
  auto a = this->MakeHost("a", this->only_a);
  this->RunFor({a.get()}, seconds(10));
  ASSERT_EQ(a->held(), 1U);
  auto b = this->MakeHost("b", this->only_b);
  b->SetDeadHosts(this->only_a);
  this->RunFor({b.get()}, seconds(5));
  EXPECT_EQ(b->held(), 1U);
}

TEST_F(WorkerOwnershipTest, PausedHolderIsFencedWhenItWakes) {
  auto a = this->MakeHost("a", this->only_a);
  this->RunFor({a.get()}, seconds(2));
  const auto old_epoch = a->epoch(kWorker);
  ASSERT_TRUE(old_epoch);
  auto b = this->MakeHost("b", this->only_b);
  this->RunFor({b.get()}, seconds(10));
  ASSERT_EQ(b->held(), 1U);
  platform::WorkerCall start;
  start.verb = platform::WorkerVerb::kStart;
  start.holder = HostId("a");
  start.epoch = *old_epoch;
  start.starts.push_back({base::TaskId("t"), {}, {1000, 1, 0}, "run 5"});
  EXPECT_EQ(this->worker.Handle(start, this->now).outcome,
            platform::Outcome::kRefused);
  a->OnTick(this->now);
  EXPECT_FALSE(a->epoch(kWorker));
}

TEST_F(WorkerOwnershipTest, PlannedStopHandsOverWithinOneSecond) {
  auto a = this->MakeHost("a", this->only_a);
  this->RunFor({a.get()}, seconds(2));
  auto b = this->MakeHost("b", this->only_b);
  this->Carry(*a, a->Drain(this->now));
  this->RunFor({a.get(), b.get()}, seconds(1));
  EXPECT_EQ(a->held(), 0U);
  EXPECT_EQ(b->held(), 1U);
}

TEST_F(WorkerOwnershipTest, LateGrantIsNotUsed) {
  auto a = this->MakeHost("a", this->only_a);
  const OwnershipEffects effects = a->OnTick(this->now);
  ASSERT_EQ(effects.calls.size(), 1U);
  const auto reply = this->worker.Handle(effects.calls[0].command, this->now);
  this->now += seconds(5);
  EXPECT_TRUE(
      a->OnReply(effects.calls[0].call, reply, this->now).gained.empty());
  EXPECT_FALSE(a->epoch(kWorker));
}

TEST_F(WorkerOwnershipTest, AcknowledgementIsRepeatedAfterALostReply) {
  auto a = this->MakeHost("a", this->only_a);
  this->RunFor({a.get()}, seconds(1));
  a->Acknowledge(kWorker, base::TaskId("t"));
  this->now += seconds(2);
  OwnershipEffects effects = a->OnTick(this->now);
  ASSERT_EQ(effects.calls.size(), 1U);
  ASSERT_EQ(effects.calls[0].command.tasks.size(), 1U);
  a->OnReply(effects.calls[0].call, {.outcome = platform::Outcome::kUnknown},
             this->now);
  effects = a->OnTick(this->now);
  ASSERT_EQ(effects.calls.size(), 1U);
  EXPECT_EQ(effects.calls[0].command.tasks.size(), 1U);
}

}  // namespace
}  // namespace agatepass::membership
