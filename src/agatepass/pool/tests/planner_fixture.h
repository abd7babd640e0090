/** \file
 * Fixture that drives a planner by hand: the test plays its workers and decides
 * which requests are answered, when, and by which incarnation.
 */
#ifndef AGATEPASS_POOL_TESTS_PLANNER_FIXTURE_H_
#define AGATEPASS_POOL_TESTS_PLANNER_FIXTURE_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fakes/pool_cell.h"
#include "gtest/gtest.h"

namespace agatepass::pool {

/** A planner whose commits succeed immediately and whose other requests wait in
 * `starts`, `stops` and `syncs` for the test to answer them. */
class PlannerFixture : public testing::Test {
 protected:
  static constexpr int64_t kWallMs = 1'700'000'000'000;

  /** Begins the term, with the jobs of earlier terms and the workers that may
   * have runs of them. */
  void Load(const std::vector<StoredJob>& jobs = {},
            const std::vector<std::string>& roster = {}) {
    this->planner.SetQueues(fakes::MakePoolQueues(), this->time);
    WorkerRoster loaded;
    for (const std::string& id : roster) loaded.workers.emplace_back(id);
    this->planner.Load(jobs, loaded, this->time);
  }

  /** Begins the term with a roster of workers whose incarnations with these
   * start times are settled. */
  void LoadSettled(std::map<base::WorkerId, int64_t> settled,
                   const std::vector<StoredJob>& jobs = {}) {
    this->planner.SetQueues(fakes::MakePoolQueues(), this->time);
    WorkerRoster loaded{.settled = std::move(settled)};
    for (const auto& [id, start] : loaded.settled) loaded.workers.push_back(id);
    this->planner.Load(jobs, loaded, this->time);
  }

  /** Lists a worker in the incarnation with this start time. */
  void ListWorker(const std::string& worker, int64_t started_at_ms) {
    this->planner.OnWorker({.worker = base::WorkerId(worker),
                            .endpoint = {"10.0.0.1", 1},
                            .service = base::ServiceId("desk"),
                            .total = {.millicores = 8000, .memory_mib = 8000},
                            .started_at_ms = started_at_ms},
                           this->time);
  }

  void Submit(const Job& job) {
    this->planner.Submit(this->next_call++, job, this->time);
  }

  /** Advances the planner for a time, in steps of 10 ms. */
  void RunFor(base::Duration duration) {
    const base::Instant end = this->time.now + duration;
    while (this->time.now < end) {
      this->time.now += std::chrono::milliseconds(10);
      for (Effect& effect : this->planner.Advance(this->time)) {
        if (const auto* commit = std::get_if<StoreCommit>(&effect)) {
          for (const StoreWrite& write : commit->writes) {
            if (write.key == kWorkerRosterKey) this->roster = *write.value;
          }
          if (!this->commits_succeed) {
            this->planner.OnCommit(commit->id,
                                   {.outcome = platform::Outcome::kNotSent},
                                   this->time);
          } else {
            this->planner.OnCommit(commit->id,
                                   {.outcome = platform::Outcome::kDone,
                                    .revision = ++this->revision},
                                   this->time);
          }
        } else if (auto* start = std::get_if<StartRequest>(&effect)) {
          this->starts.push_back(std::move(*start));
        } else if (auto* stop = std::get_if<StopRequest>(&effect)) {
          this->stops.push_back(std::move(*stop));
        } else if (auto* sync = std::get_if<SyncRequest>(&effect)) {
          this->syncs.push_back(std::move(*sync));
        }
      }
    }
  }

  /** Takes the oldest sync that waits for an answer of the worker. */
  SyncRequest TakeSync(const std::string& worker) {
    const auto found = std::find_if(
        this->syncs.begin(), this->syncs.end(), [&](const SyncRequest& sync) {
          return sync.worker == base::WorkerId(worker);
        });
    if (found == this->syncs.end()) {
      ADD_FAILURE() << "no sync waits for an answer of " << worker;
      return {};
    }
    SyncRequest request = *found;
    this->syncs.erase(found);
    return request;
  }

  /** Answers the sync with the runs and ends of an incarnation, whose clock
   * shows `clock_ms`. */
  void AnswerSync(const SyncRequest& request, int64_t started_at_ms,
                  std::vector<ReportedRun> running = {},
                  std::vector<ReportedEnd> ended = {},
                  int64_t clock_ms = 1000) {
    this->planner.OnSync(request,
                         {.result = WorkerCallResult::kDone,
                          .worker_clock_ms = clock_ms,
                          .started_at_ms = started_at_ms,
                          .running = std::move(running),
                          .ended = std::move(ended)},
                         this->time);
  }

  /** Starts a task of the job "a" on w0, which confirms the start. */
  void StartOnW0(int64_t started_at_ms) {
    this->ListWorker("w0", started_at_ms);
    this->RunFor(kStep);
    this->AnswerSync(this->TakeSync("w0"), started_at_ms);
    this->Submit(fakes::MakePoolJob("a", 1, 1000, std::chrono::seconds(5)));
    this->RunFor(std::chrono::milliseconds(200));
    ASSERT_EQ(this->starts.size(), 1U);
    this->planner.OnStart(
        this->task, 1,
        {.result = WorkerCallResult::kDone, .worker_clock_ms = 1200},
        this->time);
    this->starts.clear();
  }

  static constexpr base::Duration kStep = std::chrono::milliseconds(10);

  timeline::DecisionLog log{"test"};
  PlannerTime time{base::Instant(std::chrono::seconds(100)), kWallMs};
  PoolPlanner planner{{.fence = 9}, this->log, this->time};
  const TaskName task{base::JobId("a"), 0, 0, 0};
  /** Whether commits succeed; otherwise they are not sent. */
  bool commits_succeed = true;
  /** The roster of workers as written last. */
  std::string roster;
  std::vector<StartRequest> starts;
  std::vector<StopRequest> stops;
  std::vector<SyncRequest> syncs;

 private:
  CallId next_call = 1;
  platform::Revision revision = 1;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_TESTS_PLANNER_FIXTURE_H_
