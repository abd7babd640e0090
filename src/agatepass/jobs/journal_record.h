/** \file
 * What an entry host's journal is made of: segments of records.
 */
#ifndef AGATEPASS_JOBS_JOURNAL_RECORD_H_
#define AGATEPASS_JOBS_JOURNAL_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "agatepass/jobs/index_ranges.h"
#include "agatepass/jobs/job.h"

namespace agatepass::jobs {

/** The whole state of a job; replaces what was recorded of it before. */
struct JobRecorded {
  JobRecord job;

  bool operator==(const JobRecorded&) const = default;
};

/** Tasks of one job that reached one state, ended or in doubt. */
struct TasksSettled {
  base::JobId job;
  TaskState state = TaskState::kInDoubt;
  IndexRanges tasks;
  std::map<uint32_t, std::string> results;
  /** The time of the last end in the record. */
  base::WallTime at;

  bool operator==(const TasksSettled&) const = default;
};

/** An operator's decision on one task in doubt. */
struct TaskDecided {
  base::JobId job;
  uint32_t index = 0;
  bool ran = false;
  /** Who decided. */
  std::string who;
  base::WallTime at;

  bool operator==(const TaskDecided&) const = default;
};

/** The claim on the job's idempotency key is known to be this job's. */
struct KeyConfirmed {
  base::JobId job;

  bool operator==(const KeyConfirmed&) const = default;
};

/** No task of the job that has not started ever will. */
struct JobCancelled {
  base::JobId job;
  base::WallTime at;

  bool operator==(const JobCancelled&) const = default;
};

/** Nothing of the job is needed any more. */
struct JobForgotten {
  base::JobId job;

  bool operator==(const JobForgotten&) const = default;
};

/** Every job of another incarnation's journal has been recorded in this one. */
struct JournalAdopted {
  Incarnation from;

  bool operator==(const JournalAdopted&) const = default;
};

using JournalRecord =
    std::variant<JobRecorded, TasksSettled, TaskDecided, KeyConfirmed,
                 JobCancelled, JobForgotten, JournalAdopted>;

/** One value in the store: part of an incarnation's journal. */
struct Segment {
  Incarnation writer;
  /** Number of the segment within the journal, from 1. */
  uint64_t number = 0;
  /** Number of the write within the journal; tells a write whose answer was
   * lost from another's. */
  uint64_t write = 0;
  /** The incarnation that has closed the journal and adopts its jobs. */
  std::optional<Incarnation> sealed_by;
  std::vector<JournalRecord> records;

  bool operator==(const Segment&) const = default;
};

/** Prefix of all journal keys in the store. */
inline constexpr std::string_view kJournalPrefix = "journal/";

/** Returns the prefix of the keys of one journal. */
std::string JournalKeyPrefix(const Incarnation& writer);

/** Returns the store key of a segment; keys sort by segment number. */
std::string SegmentKey(const Incarnation& writer, uint64_t number);

/** What a journal says in the end, after all its records. */
struct JournalContent {
  std::map<base::JobId, JobRecord> jobs;
  /** Journals whose jobs are all in this one. */
  std::vector<Incarnation> adopted;
};

/** Applies `record` to `content`. */
void ApplyRecord(const JournalRecord& record, JournalContent& content);

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_JOURNAL_RECORD_H_
