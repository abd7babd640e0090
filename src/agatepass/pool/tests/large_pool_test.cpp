// A pool with more workers than one advice query can ask about.
#include <map>
#include <set>
#include <vector>

#include "agatepass/pool/pool_planner.h"
#include "fakes/pool_cell.h"
#include "fmt/format.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A planner whose workers, store and advice service answer immediately. */
class LargePool : public testing::Test {
 protected:
  static constexpr size_t kWorkers = 240;
  static constexpr int64_t kWallMs = 1'700'000'000'000;

  void SetUp() override {
    this->queues.queues[0].policy.advice =
        AdvicePolicy{.call_duration = milliseconds(10),
                     .duration_per_worker = milliseconds(1),
                     .ticket_lifetime = seconds(60)};
    this->planner.SetQueues(this->queues, this->time);
    this->planner.Load({}, {}, this->time);
    for (size_t i = 0; i < kWorkers; ++i) {
      this->planner.OnWorker(
          {.worker = base::WorkerId(fmt::format("w{:03}", i)),
           .service = base::ServiceId("desk"),
           .total = {.millicores = 8000, .memory_mib = 8000},
           .started_at_ms = 1},
          this->time);
    }
    this->Advance(20);
  }

  /** Advances time in steps of 30 ms and answers the planner's requests. */
  void Advance(int times) {
    for (int i = 0; i < times; ++i) {
      this->time.now += milliseconds(30);
      for (const Effect& effect : this->planner.Advance(this->time)) {
        std::visit([this](const auto& value) { this->Answer(value); }, effect);
      }
    }
  }

  void Answer(const StoreCommit& commit) {
    this->planner.OnCommit(commit.id, {.outcome = platform::Outcome::kDone},
                           this->time);
  }
  void Answer(const SyncRequest& order) {
    this->planner.OnSync(order,
                         {.result = WorkerCallResult::kDone,
                          .worker_clock_ms = 1,
                          .started_at_ms = 1,
                          .running = this->running[order.worker]},
                         this->time);
  }
  void Answer(const AdviceQuery& query) {
    if (this->advice_is_slow) {
      this->pending_queries.push_back(query);
      return;
    }
    this->AnswerAdvice(query);
  }
  void AnswerAdvice(const AdviceQuery& query) {
    ++this->queries;
    AdviceReply reply{.answered = true, .ticket_lifetime = seconds(60)};
    for (const base::WorkerId& worker : query.workers) {
      this->asked_workers.insert(worker);
      if (this->allowed_workers.contains(worker))
        reply.tickets.push_back({worker, "t"});
    }
    this->planner.OnAdvice(query.job, query.occurrence, query.step, reply,
                           this->time);
  }
  void Answer(const StartRequest& order) {
    this->started.insert(order.worker);
    this->running[order.worker].push_back(
        {.task = order.task, .run = order.run});
    this->planner.OnStart(order.task, order.run,
                          {.result = WorkerCallResult::kDone}, this->time);
  }
  template <typename Other>
  void Answer(const Other& /*effect*/) {}

  QueueTable queues = fakes::MakePoolQueues();
  timeline::DecisionLog log{"test"};
  PlannerTime time{base::Instant(seconds(100)), kWallMs};
  PoolPlanner planner{{.fence = 9}, this->log, this->time};
  std::set<base::WorkerId> allowed_workers;
  std::set<base::WorkerId> asked_workers;
  std::set<base::WorkerId> started;
  std::map<base::WorkerId, std::vector<ReportedRun>> running;
  int queries = 0;
  bool advice_is_slow = false;
  std::vector<AdviceQuery> pending_queries;
};

TEST_F(LargePool, WorkIsSpreadOverAllWorkers) {
  for (size_t i = 0; i < kWorkers; ++i) {
    this->allowed_workers.insert(base::WorkerId(fmt::format("w{:03}", i)));
  }
  for (int i = 0; i < 20; ++i) {
    this->planner.Submit(i + 1,
                         MakePoolJob(std::to_string(i), 10, 8000, seconds(60)),
                         this->time);
    this->Advance(3);
  }
  EXPECT_EQ(this->started.size(), 200U);
}

TEST_F(LargePool, AsksAboutMoreWorkersWhenNoneIsAllowed) {
  this->allowed_workers.insert(base::WorkerId("w239"));
  this->planner.Submit(1, MakePoolJob("a", 1, 8000, seconds(60)), this->time);
  this->Advance(20);
  EXPECT_EQ(this->started, std::set{base::WorkerId("w239")});
  const int queries_until_started = this->queries;
  this->Advance(20);
  EXPECT_EQ(this->queries, queries_until_started);
}

TEST_F(LargePool, AJobCancelledWhileAdviceIsAwaitedStartsNothing) {
  this->allowed_workers.insert(base::WorkerId("w000"));
  this->advice_is_slow = true;
  this->planner.Submit(1, MakePoolJob("a", 1, 8000, seconds(60)), this->time);
  this->Advance(5);
  this->planner.Cancel(2, base::JobId("a"), this->time);
  this->Advance(5);
  for (const AdviceQuery& query : this->pending_queries)
    this->AnswerAdvice(query);
  this->Advance(5);
  EXPECT_TRUE(this->started.empty());
}

TEST_F(LargePool, NoWorkerIsAskedAboutTwiceForAStep) {
  this->planner.Submit(1, MakePoolJob("a", 1, 8000, seconds(60)), this->time);
  this->Advance(60);
  EXPECT_EQ(this->asked_workers.size(), kWorkers);
  EXPECT_TRUE(this->started.empty());
  const int queries_for_all = this->queries;
  this->Advance(60);
  EXPECT_EQ(this->queries, queries_for_all);
}

}  // namespace
}  // namespace agatepass::pool
