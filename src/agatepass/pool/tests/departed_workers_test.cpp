// Steps whose allowed workers have left, are leaving or are full, while another
// worker has free capacity for a few of their tasks. Such a step did not ask
// for advice about that worker, as the query was likely to find too little, and
// its tasks never started.
#include <set>
#include <string>
#include <vector>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/worker_fence.h"
#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A planner whose workers, store and advice service answer immediately. Runs
 * end only when a test ends them. The service allows one worker of the first
 * four, and "new", which joins later. */
class DepartedWorkers : public testing::Test {
 protected:
  static constexpr int64_t kWallMs = 1'700'000'000'000;
  static constexpr base::Duration kPassInterval = milliseconds(30);
  static constexpr platform::Resources kWorkerResources{.millicores = 8000,
                                                        .memory_mib = 8000};

  void SetUp() override {
    this->queues.queues[0].policy.advice =
        AdvicePolicy{.call_duration = milliseconds(10),
                     .duration_per_worker = milliseconds(1),
                     .ticket_lifetime = seconds(2)};
    this->planner.SetQueues(this->queues, this->time);
    this->planner.Load({}, {}, this->time);
    for (const char* id : {"w0", "w1", "w2", "w3"}) this->AddWorker(id);
    this->allowed_workers = {base::WorkerId("w0"), base::WorkerId("new")};
    this->RunFor(milliseconds(600));
  }

  WorkerRecord MakeRecord(const std::string& id) const {
    return {.worker = base::WorkerId(id),
            .service = base::ServiceId("desk"),
            .total = kWorkerResources,
            .started_at_ms = 1};
  }
  void AddWorker(const std::string& id) {
    this->planner.OnWorker(this->MakeRecord(id), this->time);
  }
  void DrainWorker(const std::string& id) {
    WorkerRecord record = this->MakeRecord(id);
    record.draining = true;
    record.remaining = milliseconds(4500);
    this->planner.OnWorker(record, this->time);
  }
  void RemoveWorker(const std::string& id) {
    this->planner.OnWorkerUnlisted(base::WorkerId(id), this->time);
    this->gone_workers.insert(base::WorkerId(id));
  }

  void Submit(const std::string& id, uint32_t tasks, int64_t millicores) {
    this->planner.Submit(this->next_call++,
                         MakePoolJob(id, tasks, millicores, seconds(20)),
                         this->time);
    this->RunFor(milliseconds(600));
  }

  /** Lets every run of a worker end as failed. */
  void FailRuns(const std::string& id) {
    const base::WorkerId worker(id);
    std::vector<ReportedEnd> ended;
    for (const ReportedRun& run : this->running[worker]) {
      ended.push_back({.sequence_number = ++this->ends,
                       .task = run.task,
                       .run = run.run,
                       .end = RunEnd::kFailed});
    }
    this->running[worker].clear();
    this->planner.OnSync({.worker = worker, .fence = FenceOfIncarnation(9, 0)},
                         {.result = WorkerCallResult::kDone,
                          .worker_clock_ms = 1,
                          .started_at_ms = 1,
                          .ended = std::move(ended)},
                         this->time);
  }

  void RunFor(base::Duration length) {
    for (const base::Instant end = this->time.now + length;
         this->time.now < end; this->time.now += kPassInterval) {
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
    SyncReply reply{.result = WorkerCallResult::kNotSent};
    if (!this->gone_workers.contains(request.worker)) {
      reply = {.result = WorkerCallResult::kDone,
               .worker_clock_ms = 1,
               .started_at_ms = 1,
               .running = this->running[request.worker]};
    }
    this->planner.OnSync(request, reply, this->time);
  }
  void Answer(const AdviceQuery& query) {
    ++this->query_count;
    AdviceReply reply{.answered = true, .ticket_lifetime = seconds(2)};
    for (const base::WorkerId& worker : query.workers) {
      if (this->allowed_workers.contains(worker)) {
        reply.tickets.push_back({worker, "t"});
      }
    }
    this->planner.OnAdvice(query.job, query.occurrence, query.step, reply,
                           this->time);
  }
  void Answer(const StartRequest& request) {
    this->running[request.worker].push_back(
        {.task = request.task, .run = request.run});
    this->planner.OnStart(request.task, request.run,
                          {.result = WorkerCallResult::kDone}, this->time);
  }
  template <typename Other>
  void Answer(const Other& /*effect*/) {}

  size_t CountRuns(const std::string& worker) {
    return this->running[base::WorkerId(worker)].size();
  }

  QueueTable queues = fakes::MakePoolQueues();
  timeline::DecisionLog log{"test"};
  PlannerTime time{base::Instant(seconds(100)), kWallMs};
  PoolPlanner planner{{.fence = 9}, this->log, this->time};
  std::set<base::WorkerId> allowed_workers;
  std::set<base::WorkerId> gone_workers;
  std::map<base::WorkerId, std::vector<ReportedRun>> running;
  CallId next_call = 1;
  uint64_t ends = 0;
  int query_count = 0;
};

TEST_F(DepartedWorkers, AsksAboutAnotherWorkerWhileTheAllowedOneDrains) {
  this->Submit("a", 1, 1000);
  ASSERT_EQ(this->CountRuns("w0"), 1U);
  this->AddWorker("new");
  this->DrainWorker("w0");
  this->FailRuns("w0");
  this->RunFor(seconds(2));
  EXPECT_EQ(this->CountRuns("new"), 1U);
}

TEST_F(DepartedWorkers, AsksAboutAnotherWorkerAfterTheAllowedOneHasLeft) {
  // One worker has free capacity for 8 of the 22 tasks.
  this->Submit("a", 22, 1000);
  ASSERT_EQ(this->CountRuns("w0"), 8U);
  this->DrainWorker("w0");
  this->FailRuns("w0");
  this->RunFor(milliseconds(4500));
  this->RemoveWorker("w0");
  this->RunFor(seconds(12));
  this->AddWorker("new");
  this->RunFor(seconds(2));
  EXPECT_EQ(this->CountRuns("new"), 8U);
}

TEST_F(DepartedWorkers, AsksAboutAnotherWorkerWhileTheAllowedOneIsFull) {
  this->Submit("long", 8, 1000);
  ASSERT_EQ(this->CountRuns("w0"), 8U);
  this->Submit("a", 22, 1000);
  this->AddWorker("new");
  this->RunFor(seconds(2));
  EXPECT_EQ(this->CountRuns("new"), 8U);
}

TEST_F(DepartedWorkers, AsksAboutAnotherWorkerForAGangThatDoesNotFit) {
  Job gang = MakePoolJob("gang", 8, 2000, seconds(20));
  gang.steps[0].gang = true;
  this->planner.Submit(this->next_call++, gang, this->time);
  this->RunFor(milliseconds(600));
  ASSERT_EQ(this->CountRuns("w0"), 0U) << "only four members fit on a worker";
  this->AddWorker("new");
  this->RunFor(seconds(2));
  EXPECT_EQ(this->CountRuns("w0") + this->CountRuns("new"), 8U);
}

TEST_F(DepartedWorkers, AsksOnlyOnceAboutEachWorker) {
  this->Submit("long", 8, 1000);
  this->Submit("a", 22, 1000);
  this->allowed_workers.erase(base::WorkerId("new"));
  this->AddWorker("new");
  this->RunFor(seconds(2));
  const int queries_before = this->query_count;
  this->RunFor(seconds(10));
  EXPECT_EQ(this->query_count, queries_before);
}

}  // namespace
}  // namespace agatepass::pool
