#include <random>

#include "agatepass/jobs/record_codec.h"
#include "agatepass/jobs/tests/job_cell.h"

namespace agatepass::jobs {
namespace {

using platform::TaskPhase;

class JournalTest : public JobCell {
 protected:
  /** Has a job with one task run to its end on the first host. */
  void RunOneJob(std::string key) {
    const size_t before = this->first.seen.ready.size();
    this->first.Submit(Letters(1, std::move(key)));
    this->Run(milliseconds(20));
    ASSERT_EQ(this->first.seen.ready.size(), before + 1);
    const base::TaskId task = this->first.seen.ready.back().task;
    this->Start(this->first, task, this->w1, 1);
    this->first.Inventory({this->w1, InventoryKind::kRenewal, 1, this->time.now,
                           false,
                           std::vector{Report(task, TaskPhase::kSucceeded)}});
    this->Run(seconds(1));
  }

  /** Lists what a prefix holds in the store. */
  std::vector<platform::StoreEntry> Stored(std::string prefix) {
    platform::StoreCall list;
    list.verb = platform::StoreVerb::kList;
    list.key = std::move(prefix);
    return this->store.model().Handle(list, this->time.now).entries;
  }
};

TEST_F(JournalTest, EndedJobsAreForgottenAndTheirSegmentsDeleted) {
  this->RunOneJob("long ago");
  for (int job = 0; job < 40; ++job) {
    this->RunOneJob("k" + std::to_string(job));
  }
  const size_t full = this->Stored("journal/").size();
  // The wall clock and the keys' life move on by a day; one job is live.
  this->time.now += std::chrono::hours(24);
  this->store.RunUntil(this->time.now);
  const uint64_t live = this->first.Submit(Letters(1, "live"));
  this->Run(seconds(60));
  EXPECT_EQ(this->first.keeper.job_count(), 1U);
  EXPECT_LT(this->Stored("journal/").size(), full / 3);
  EXPECT_EQ(this->Stored("jobkey/").size(), 1U);
  // What is left is enough to find the live job again, and only that one.
  this->first.Pause();
  this->second.Adopt(this->first.keeper.incarnation());
  this->Run(seconds(1));
  EXPECT_EQ(this->second.keeper.job_count(), 1U);
  EXPECT_TRUE(this->second.keeper
                  .Find(this->first.Answer(live)->job, base::TeamId("notices"))
                  .ok());
}

TEST_F(JournalTest, EndsOfManyTasksShareOneWrite) {
  this->first.Submit(Letters(500));
  this->Run(milliseconds(20));
  const uint64_t before = this->store.calls();
  for (const ReadyTask& ready : this->first.seen.ready) {
    this->Start(this->first, ready.task, this->w1, 1);
  }
  std::vector<platform::TaskReport> reports;
  for (const ReadyTask& ready : this->first.seen.ready) {
    reports.push_back(Report(ready.task, TaskPhase::kSucceeded));
  }
  this->first.Inventory(
      {this->w1, InventoryKind::kRenewal, 1, this->time.now, false, reports});
  this->Run(seconds(2));
  EXPECT_EQ(this->first.seen.acknowledgements.size(), 500U);
  EXPECT_EQ(this->store.calls() - before, 1U);
}

/** Draws a job record with every field set at random. */
JobRecord DrawJob(std::mt19937_64& random) {
  const auto text = [&random] { return std::to_string(random() % 1000); };
  JobRecord job;
  job.id = base::JobId("e1-1-" + text());
  job.spec.idempotency_key = random() % 2 == 0 ? "" : "k\"\n" + text();
  job.spec.team = base::TeamId(text());
  job.spec.workload = base::WorkloadId(text());
  job.spec.kind = static_cast<JobKind>(random() % 3);
  job.spec.priority = static_cast<int32_t>(random() % 9) - 4;
  job.spec.task_count = static_cast<uint32_t>(random() % 900) + 1;
  job.spec.declared = {1, 2, static_cast<int64_t>(random() % 4)};
  job.spec.command = text();
  job.spec.idempotent = random() % 2 == 0;
  job.spec.checkpointable = random() % 2 == 0;
  job.spec.label = text();
  job.spec.deadline = base::Duration(random() % 99);
  job.spec.expected_run_time = base::Duration(random() % 99);
  job.scope = {base::DataCentreId(text()), base::DataCentreId("x")};
  job.home = {base::HostId("e1"), random() % 9};
  job.accepted = {static_cast<int64_t>(random() % 99)};
  job.generation = static_cast<uint32_t>(random() % 3);
  job.key_confirmed = random() % 2 == 0;
  job.cancelled = random() % 2 == 0;
  job.ended = {static_cast<int64_t>(random() % 3)};
  for (int range = 0; range < 5; ++range) {
    job.settled[TaskState::kSucceeded].Add(
        static_cast<uint32_t>(random() % 900));
  }
  job.results[7] = text();
  return job;
}

TEST(RecordCodec, EveryRecordComesBackWhole) {
  std::mt19937_64 random(20261203);
  for (int round = 0; round < 300; ++round) {
    Segment segment{{base::HostId("e1"), 4}, 2, 9, std::nullopt, {}};
    if (round % 2 == 0) segment.sealed_by = Incarnation{base::HostId("e2"), 1};
    const base::JobId job("e1-4-1");
    IndexRanges tasks;
    tasks.AddRange(3, 8);
    segment.records = {
        JobRecorded{DrawJob(random)},
        TasksSettled{job, TaskState::kInDoubt, tasks, {{3, "r"}}, {5}},
        TaskDecided{job, 3, true, "mari", {6}},
        KeyConfirmed{job},
        JobCancelled{job, {7}},
        JobForgotten{job},
        JournalAdopted{{base::HostId("e3"), 2}}};
    const auto decoded = DecodeSegment(EncodeSegment(segment));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    ASSERT_EQ(*decoded, segment);
  }
}

TEST(RecordCodec, DamagedTextIsRefusedWhole) {
  Segment segment{{base::HostId("e1"), 4}, 2, 9, std::nullopt, {}};
  segment.records = {KeyConfirmed{base::JobId("e1-4-1")}};
  const std::string text = EncodeSegment(segment);
  for (size_t length = 0; length < text.size(); ++length) {
    EXPECT_FALSE(DecodeSegment(text.substr(0, length)).ok()) << length;
  }
}

TEST(IndexRangesTest, AgreesWithAPlainSet) {
  std::mt19937_64 random(7);
  IndexRanges ranges;
  std::set<uint32_t> plain;
  for (int round = 0; round < 2000; ++round) {
    const auto first = static_cast<uint32_t>(random() % 100);
    const uint32_t last = first + static_cast<uint32_t>(random() % 4);
    const bool add = random() % 2 == 0;
    for (uint32_t index = first; index <= last; ++index) {
      if (add) {
        plain.insert(index);
      } else {
        plain.erase(index);
      }
    }
    if (add) {
      ranges.AddRange(first, last);
    } else {
      ranges.RemoveRange(first, last);
    }
    ASSERT_EQ(ranges.size(), plain.size());
    ASSERT_EQ(ranges.Contains(first), plain.contains(first));
    ASSERT_EQ(IndexRanges::Parse(ranges.ToText()), ranges);
  }
}

}  // namespace
}  // namespace agatepass::jobs
