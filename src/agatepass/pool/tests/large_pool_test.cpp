// A pool with more workers than one advice query can name.
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

/** A planner whose workers, store and advice service answer immediately; advice
 * is held back while `hold_advice` is set. */
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
  void Answer(const SyncRequest& request) {
    this->planner.OnSync(request,
                         {.result = WorkerCallResult::kDone,
                          .worker_clock_ms = 1,
                          .started_at_ms = 1,
                          .running = this->running[request.worker]},
                         this->time);
  }
  void Answer(const AdviceQuery& query) {
    if (this->hold_advice) {
      this->pending_queries.push_back(query);
      return;
    }
    this->AnswerAdvice(query);
  }
  void AnswerAdvice(const AdviceQuery& query) {
    ++this->query_count;
    AdviceReply reply{.answered = true, .ticket_lifetime = seconds(60)};
    for (const base::WorkerId& worker : query.workers) {
      this->asked_workers.insert(worker);
      if (this->allowed_workers.contains(worker))
        reply.tickets.push_back({worker, "t"});
    }
    this->planner.OnAdvice(query.job, query.occurrence, query.step, reply,
                           this->time);
  }
  void Answer(const StartRequest& request) {
    this->workers_with_runs.insert(request.worker);
    this->running[request.worker].push_back(
        {.task = request.task, .run = request.run});
    this->planner.OnStart(request.task, request.run,
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
  std::set<base::WorkerId> workers_with_runs;
  std::map<base::WorkerId, std::vector<ReportedRun>> running;
  int query_count = 0;
  bool hold_advice = false;
  std::vector<AdviceQuery> pending_queries;
};

TEST_F(LargePool, StartsMoreTasksThanOneQueryCanNameWorkers) {
  for (size_t i = 0; i < kWorkers; ++i) {
    this->allowed_workers.insert(base::WorkerId(fmt::format("w{:03}", i)));
  }
  for (int i = 0; i < 20; ++i) {
    this->planner.Submit(i + 1,
                         MakePoolJob(std::to_string(i), 10, 8000, seconds(60)),
                         this->time);
    this->Advance(3);
  }
  EXPECT_EQ(this->workers_with_runs.size(), 200U);
}

TEST_F(LargePool, AsksAboutFurtherWorkersUntilOneIsAllowed) {
  this->allowed_workers.insert(base::WorkerId("w239"));
  this->planner.Submit(1, MakePoolJob("a", 1, 8000, seconds(60)), this->time);
  this->Advance(20);
  EXPECT_EQ(this->workers_with_runs, std::set{base::WorkerId("w239")});
  const int queries_until_started = this->query_count;
  this->Advance(20);
  EXPECT_EQ(this->query_count, queries_until_started);
}

// A gang waited to the end of the day for workers that it had reserved, with
// most of the others free.
TEST_F(LargePool, AGangWithAReservationAsksAboutFreeWorkers) {
  constexpr uint32_t kMembers = 30;
  for (size_t i = 0; i < kWorkers; ++i) {
    this->allowed_workers.insert(base::WorkerId(fmt::format("w{:03}", i)));
  }
  Queue plain = this->queues.queues[0];
  plain.name = "plain";
  plain.policy.advice.reset();
  this->queues.queues.push_back(plain);
  this->queues.version = 2;
  this->planner.SetQueues(this->queues, this->time);
  this->hold_advice = true;
  Job gang = MakePoolJob("gang", kMembers, 8000, seconds(5));
  gang.steps[0].gang = true;
  this->planner.Submit(1, gang, this->time);
  this->Advance(3);
  ASSERT_EQ(this->pending_queries.size(), 1U);
  const size_t named = this->pending_queries.front().workers.size();
  Job filler = MakePoolJob("filler", named, 8000, milliseconds(3500));
  filler.queue = "plain";
  this->planner.Submit(2, filler, this->time);
  this->Advance(12);
  ASSERT_EQ(this->workers_with_runs.size(), named);
  this->hold_advice = false;
  for (const AdviceQuery& query : this->pending_queries)
    this->AnswerAdvice(query);
  this->Advance(60);
  EXPECT_EQ(this->workers_with_runs.size(), named + kMembers);
}

TEST_F(LargePool, AJobCancelledWhileAdviceIsAwaitedStartsNothing) {
  this->allowed_workers.insert(base::WorkerId("w000"));
  this->hold_advice = true;
  this->planner.Submit(1, MakePoolJob("a", 1, 8000, seconds(60)), this->time);
  this->Advance(5);
  this->planner.Cancel(2, base::JobId("a"), this->time);
  this->Advance(5);
  for (const AdviceQuery& query : this->pending_queries)
    this->AnswerAdvice(query);
  this->Advance(5);
  EXPECT_TRUE(this->workers_with_runs.empty());
}

TEST_F(LargePool, StopsAskingOnceAllWorkersWereAskedAbout) {
  this->planner.Submit(1, MakePoolJob("a", 1, 8000, seconds(60)), this->time);
  this->Advance(60);
  EXPECT_EQ(this->asked_workers.size(), kWorkers);
  EXPECT_TRUE(this->workers_with_runs.empty());
  const int queries_for_all = this->query_count;
  this->Advance(60);
  EXPECT_EQ(this->query_count, queries_for_all);
}

}  // namespace
}  // namespace agatepass::pool
