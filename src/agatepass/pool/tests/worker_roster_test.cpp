// The stored roster of workers: its record, and what a successor takes from it.
#include "agatepass/pool/worker_roster.h"

#include "agatepass/pool/tests/planner_fixture.h"

namespace agatepass::pool {
namespace {

using fakes::MakePoolJob;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::WorkerId kW0("w0");
const base::WorkerId kW1("w1");

TEST(WorkerRosterRecord, KeepsWorkersAndSettledIncarnations) {
  const WorkerRoster roster{.workers = {kW0, kW1}, .settled = {{kW1, -5}}};
  EXPECT_EQ(DecodeWorkerRoster(EncodeWorkerRoster(roster)), roster);
  EXPECT_EQ(DecodeWorkerRoster(""), WorkerRoster());
}

// Guards against a rolling start of this release that finds the roster of an
// older one, and against one that cannot be read in parts.
TEST(WorkerRosterRecord, TakesWhatItCannotReadForNotSettled) {
  const WorkerRoster expected{.workers = {kW0, kW1}};
  EXPECT_EQ(DecodeWorkerRoster("w0\nw1\n"), expected);
  EXPECT_EQ(DecodeWorkerRoster("w0\t\nw1\t12x\n"), expected);
}

class SettledWorker : public PlannerFixture {
 protected:
  /** Lets time pass in which the worker answers all syncs. */
  void RunWithAnswers(base::Duration duration, int64_t started_at_ms) {
    constexpr base::Duration kAnswerDelay = milliseconds(100);
    for (base::Duration passed{0}; passed < duration; passed += kAnswerDelay) {
      this->RunFor(kAnswerDelay);
      for (const SyncRequest& sync : std::exchange(this->syncs, {})) {
        this->AnswerSync(
            sync, started_at_ms, {}, {},
            base::ToMilliseconds(this->time.now.time_since_epoch()));
      }
    }
  }

  std::map<base::WorkerId, int64_t> StoredSettled() const {
    return DecodeWorkerRoster(this->roster).settled;
  }
};

// Guards against a roster that vouches for an incarnation which may still have
// the lease that a call to a former one brought.
TEST_F(SettledWorker, IsInTheRosterOnceNoFormerLeaseCanBeLeft) {
  this->Load();
  this->ListWorker("w0", 7);
  this->RunWithAnswers(seconds(10), 7);
  EXPECT_EQ(this->StoredSettled().size(), 0U);
  this->RunWithAnswers(seconds(2), 7);
  EXPECT_EQ(this->StoredSettled(),
            (std::map<base::WorkerId, int64_t>{{kW0, 7}}));
}

// Guards against a successor that holds work for longer than it must: what the
// roster vouches for counts, whatever the time of day.
TEST_F(SettledWorker, IsBelievedToHaveTheUsualLeaseByASuccessor) {
  const Job job = MakePoolJob("a", 1, 1000, seconds(30));
  this->LoadSettled({{kW0, 7}},
                    {{job, JobProgress{.phase = JobPhase::kRunning}}});
  this->ListWorker("w0", 7);
  this->ListWorker("w1", 1);
  this->RunFor(kStep);
  this->AnswerSync(this->TakeSync("w0"), 7, {{this->task, 1}});
  for (int i = 0; i < 64; ++i) {
    this->RunFor(milliseconds(100));
    for (const SyncRequest& sync : std::exchange(this->syncs, {})) {
      if (sync.worker == kW1) this->AnswerSync(sync, 1);
    }
  }
  EXPECT_EQ(this->starts.size(), 0U);
  this->RunFor(milliseconds(500));
  EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against a successor that waits longer than it must for a worker which
// is gone: what the roster vouches for had the usual lease at the most.
TEST_F(SettledWorker, HoldsWorkOfEarlierTermsNoLongerIfItIsNeverReached) {
  const Job job = MakePoolJob("a", 1, 1000, seconds(30));
  this->LoadSettled({{kW0, 7}},
                    {{job, JobProgress{.phase = JobPhase::kRunning}}});
  this->ListWorker("w1", 1);
  this->RunWithAnswers(milliseconds(8500), 1);
  EXPECT_EQ(this->starts.size(), 0U);
  this->RunWithAnswers(milliseconds(300), 1);
  EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against a run on an incarnation that is not settled while the roster
// vouches for the one before it: a successor that never reaches the worker
// would believe in too short a lease.
TEST_F(SettledWorker, GetsNoStartOnceItIsBackBeforeTheRosterKnows) {
  this->LoadSettled({{kW0, 7}});
  this->ListWorker("w0", 7);
  this->RunWithAnswers(seconds(1), 7);
  // The second job waits for the capacity that the first one has.
  this->Submit(MakePoolJob("a", 1, 8000, seconds(5)));
  this->Submit(MakePoolJob("b", 1, 8000, seconds(5)));
  this->RunFor(milliseconds(200));
  ASSERT_EQ(this->starts.size(), 1U);
  this->starts.clear();
  this->commits_succeed = false;
  this->ListWorker("w0", 8);
  this->RunWithAnswers(seconds(1), 8);
  EXPECT_EQ(this->starts.size(), 0U);
  this->commits_succeed = true;
  this->RunWithAnswers(seconds(1), 8);
  EXPECT_EQ(this->starts.size(), 1U);
  EXPECT_EQ(this->StoredSettled().size(), 0U);
}

}  // namespace
}  // namespace agatepass::pool
