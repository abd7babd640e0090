// The order in which changed jobs are written to the store, in WriteBacklog
// alone and through the planner.
#include "agatepass/pool/write_backlog.h"

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/worker_fence.h"
#include "fakes/pool_cell.h"
#include "fmt/format.h"
#include "gtest/gtest.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> GetOrder(const WriteBacklog& backlog) {
  std::vector<std::string> ids;
  for (const auto& [urgency, arrival, id] : backlog.entries()) {
    ids.push_back(id.value);
  }
  return ids;
}

TEST(WriteBacklog, AwaitedChangesGoBeforeProgress) {
  WriteBacklog backlog;
  backlog.Add(base::JobId("a"), {.is_progress = true, .priority = 0});
  backlog.Add(base::JobId("c"), {.priority = 2});
  backlog.Add(base::JobId("b"), {.priority = 2});
  backlog.Add(base::JobId("d"), {.priority = 0});
  EXPECT_EQ(GetOrder(backlog), (std::vector<std::string>{"d", "c", "b", "a"}));
}

TEST(WriteBacklog, AJobIsListedOnceAtItsMostUrgentPosition) {
  WriteBacklog backlog;
  backlog.Add(base::JobId("a"), {.is_progress = true});
  backlog.Add(base::JobId("b"), {.is_progress = true});
  backlog.Add(base::JobId("b"), {.is_progress = false});
  backlog.Add(base::JobId("b"), {.is_progress = true});
  EXPECT_EQ(GetOrder(backlog), (std::vector<std::string>{"b", "a"}));
  backlog.Remove(base::JobId("b"));
  backlog.Remove(base::JobId("b"));
  EXPECT_EQ(backlog.size(), 1U);
}

/** A planner with 300 jobs whose progress changes at the same time. */
class WriteBurst : public testing::Test {
 protected:
  void SetUp() override {
    this->planner.SetQueues(this->queues, this->time);
    std::vector<StoredJob> jobs;
    jobs.reserve(kJobs);
    for (int i = 0; i < kJobs; ++i) {
      // These ids sort before those of the jobs that are submitted later.
      jobs.push_back(
          {MakePoolJob(fmt::format("a{:03}", i), 40, 100, seconds(1)), {}});
    }
    this->planner.Load(jobs, {}, this->time);
    this->planner.OnWorker(
        {.worker = this->worker,
         .service = base::ServiceId("desk"),
         .total = {.millicores = 1 << 30, .memory_mib = 1 << 30},
         .started_at_ms = 1},
        this->time);
  }

  /** Reports the end of one task of each job. */
  void ReportOneEndPerJob() {
    std::vector<ReportedEnd> ended;
    ended.reserve(kJobs);
    for (int i = 0; i < kJobs; ++i) {
      ended.push_back({.sequence_number = ++this->last_sequence_number,
                       .task = {base::JobId(fmt::format("a{:03}", i)), 0, 0,
                                this->next_task_index},
                       .run = 1,
                       .end = RunEnd::kSucceeded});
    }
    ++this->next_task_index;
    this->planner.OnSync(
        {.worker = this->worker, .fence = FenceOfIncarnation(9, 0)},
        {.result = WorkerCallResult::kDone,
         .worker_clock_ms = 1,
         .started_at_ms = 1,
         .ended = std::move(ended)},
        this->time);
  }

  static constexpr int kJobs = 300;
  const base::WorkerId worker{"w0"};
  QueueTable queues = fakes::MakePoolQueues();
  timeline::DecisionLog log{"test"};
  PlannerTime time{base::Instant(seconds(100)), 1'700'000'000'000};
  PoolPlanner planner{{.fence = 9}, this->log, this->time};
  uint64_t last_sequence_number = 0;
  uint32_t next_task_index = 0;
};

TEST_F(WriteBurst, ANewJobIsInTheNextCommit) {
  this->ReportOneEndPerJob();
  this->planner.Submit(1, MakePoolJob("z", 1, 100, seconds(1)), this->time);
  const std::vector<Effect> effects = this->planner.Advance(this->time);
  const StoreCommit* first_commit = nullptr;
  for (const Effect& effect : effects) {
    if (first_commit == nullptr)
      first_commit = std::get_if<StoreCommit>(&effect);
  }
  ASSERT_NE(first_commit, nullptr);
  bool creates_job = false;
  for (const StoreWrite& write : first_commit->writes) {
    if (write.key == JobKey(base::JobId("z"))) creates_job = true;
  }
  EXPECT_TRUE(creates_job);
}

TEST_F(WriteBurst, WritesABacklogInCommits5MsApart) {
  this->ReportOneEndPerJob();
  int commits = 0;
  for (int i = 0; i < 20; ++i) {
    for (const Effect& effect : this->planner.Advance(this->time)) {
      const auto* commit = std::get_if<StoreCommit>(&effect);
      if (commit == nullptr) continue;
      ++commits;
      this->planner.OnCommit(commit->id, {.outcome = platform::Outcome::kDone},
                             this->time);
    }
    this->time.now += milliseconds(5);
  }
  // A commit has 31 entries. Each of the jobs takes two, but is added only
  // while at least four are free, because the largest write of a job takes
  // four. A commit therefore holds at most 14 jobs, the 300 jobs need more than
  // 20 commits, and each of the 20 steps of 5 ms sends one commit.
  EXPECT_EQ(commits, 20);
}

}  // namespace
}  // namespace agatepass::pool
