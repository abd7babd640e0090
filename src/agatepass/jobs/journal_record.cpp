#include "agatepass/jobs/journal_record.h"

#include "fmt/format.h"

namespace agatepass::jobs {
namespace {

/** Applies one kind of record each. */
struct RecordApplier {
  JournalContent& content;

  JobRecord* Find(const base::JobId& job) const {
    const auto found = this->content.jobs.find(job);
    return found == this->content.jobs.end() ? nullptr : &found->second;
  }

  void operator()(const JobRecorded& record) const {
    this->content.jobs[record.job.id] = record.job;
  }

  void operator()(const TasksSettled& record) const {
    JobRecord* job = this->Find(record.job);
    if (job == nullptr) return;
    SettleTasks(record.state, record.tasks, *job);
    for (const auto& [index, result] : record.results) {
      job->results[index] = result;
    }
    CloseIfEnded(record.at, *job);
  }

  void operator()(const TaskDecided& record) const {
    JobRecord* job = this->Find(record.job);
    if (job == nullptr) return;
    if (record.ran) {
      IndexRanges one;
      one.Add(record.index);
      SettleTasks(TaskState::kSucceeded, one, *job);
      CloseIfEnded(record.at, *job);
    } else {
      RemoveFromDoubt(record.index, *job);
    }
  }

  void operator()(const KeyConfirmed& record) const {
    if (JobRecord* job = this->Find(record.job)) job->key_confirmed = true;
  }

  void operator()(const JobCancelled& record) const {
    if (JobRecord* job = this->Find(record.job)) job->cancelled = true;
  }

  void operator()(const JobForgotten& record) const {
    this->content.jobs.erase(record.job);
  }

  void operator()(const JournalAdopted& record) const {
    this->content.adopted.push_back(record.from);
  }
};

}  // namespace

std::string JournalKeyPrefix(const Incarnation& writer) {
  return fmt::format("{}{}/{}/", kJournalPrefix, writer.host.value,
                     writer.number);
}

std::string SegmentKey(const Incarnation& writer, uint64_t number) {
  return fmt::format("{}{:010}", JournalKeyPrefix(writer), number);
}

void ApplyRecord(const JournalRecord& record, JournalContent& content) {
  std::visit(RecordApplier{content}, record);
}

}  // namespace agatepass::jobs
