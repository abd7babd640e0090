/** \file
 * The journal of one incarnation: records written to the store in groups.
 */
#ifndef AGATEPASS_JOBS_JOURNAL_H_
#define AGATEPASS_JOBS_JOURNAL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/jobs/effects.h"
#include "agatepass/jobs/journal_record.h"
#include "agatepass/jobs/retry_delay.h"
#include "agatepass/platform/store.h"

namespace agatepass::jobs {

/** Settings of a Journal. */
struct JournalOptions {
  /** Longest wait of a record of the usual kind for others to share its write.
   */
  base::Duration interval = std::chrono::milliseconds(50);
  /** The same for ends of tasks, which nobody waits for. */
  base::Duration end_interval = std::chrono::seconds(1);
  /** Size at which a new segment is begun. */
  size_t segment_bytes = 1024;
  /** Most bytes of records in one write. */
  size_t write_bytes = 256 * 1024;
  base::Duration first_retry = std::chrono::milliseconds(200);
  base::Duration longest_retry = std::chrono::seconds(4);
};

/** How long a record may wait for others to share its write. */
enum class Urgency : uint8_t { kNow, kInterval, kEnds };

enum class JournalState : uint8_t {
  kOpen,
  /** Another incarnation has sealed the journal and adopts its jobs. */
  kFenced,
  /** The store lost or changed what was written; nothing more is written. */
  kContentChanged,
};

/** Numbers the store calls of one keeper. */
class CallNumbers {
 public:
  uint64_t Take() { return this->next++; }

 private:
  uint64_t next = 1;
};

/** Writes records in order, one compare-and-swap at a time.
 *
 * Only the newest segment is written. A write without an answer is probed for
 * and sent again unchanged, so it takes effect once. Old segments are deleted
 * oldest first, after the jobs recorded in them are recorded anew.
 *
 * \code
 * uint64_t position = journal.Append(record, Urgency::kNow, now);
 * journal.Poll(now, calls);
 * // After journal.OnReply(...): journal.committed() >= position.
 * \endcode
 */
class Journal {
 public:
  Journal(const JournalOptions& options, const Incarnation& self, uint64_t seed,
          CallNumbers& numbers);

  /** Adds a record. \return its position, see committed(). */
  uint64_t Append(JournalRecord record, Urgency urgency, base::Instant now);

  /** Takes a record back that surely was not and will not be written.
   * \return false if it may have been written.
   */
  bool TryWithdraw(uint64_t position);

  /** Appends the calls that are due to `calls`. */
  void Poll(base::Instant now, std::vector<NumberedStoreCall>& calls);

  /** Takes a reply. \return false if the call is not the journal's. */
  bool OnReply(uint64_t call_id, const platform::StoreReply& reply,
               base::Instant now);

  /** All records up to this position are in the store. */
  uint64_t committed() const { return this->committed_position; }

  /** The position of the newest record. */
  uint64_t appended() const { return this->next_position - 1; }

  /** Whether every record is in the store. */
  bool idle() const { return this->pending.empty() && !this->write; }

  JournalState state() const { return this->condition; }

  /** Asks for a call that tells whether the journal is still this
   * incarnation's, unless a write does. */
  void Verify(base::Instant now);

  /** Whether a call sent at or after `since` found the journal unsealed. */
  bool VerifiedSince(base::Instant since) const;

  /** Whether the last call got no answer. */
  bool unreachable() const { return this->suspect; }

  /** Stops all writing, as the store is not what it was. */
  void MarkContentChanged();

  /** Returns the jobs to record anew so that the oldest segment can be deleted;
   * nothing if there is too little to gain. After their records are appended,
   * CleanOldest is to be called. */
  std::optional<std::vector<base::JobId>> JobsToCarry() const;

  /** Deletes the oldest segment once all that was appended is committed. */
  void CleanOldest() { this->clean_after = this->appended(); }

  /** When Poll has something to do next. */
  std::optional<base::Instant> NextWake() const;

 private:
  struct Pending {
    uint64_t position = 0;
    JournalRecord record;
    base::Instant due;
  };
  struct Write {
    uint64_t segment = 0;
    uint64_t number = 0;
    platform::Revision expected = 0;
    std::string records;
    std::vector<Pending> batch;
    /** Whether an earlier attempt may yet take effect. */
    bool uncertain = false;
  };
  struct SegmentInfo {
    platform::Revision revision = 0;
    size_t bytes = 0;
  };
  enum class CallKind : uint8_t { kWrite, kProbe, kDelete, kSealCheck };
  struct OpenCall {
    uint64_t id = 0;
    CallKind kind = CallKind::kWrite;
    base::Instant sent;
  };

  std::optional<uint64_t> MergeEnds(const JournalRecord& record);
  void TakeBatch(Write& write);
  void BeginWrite();
  platform::StoreCall WriteCall() const;
  bool WriteIsDue(base::Instant now) const;
  void OnWriteReply(const platform::StoreReply& reply, base::Instant now);
  void OnProbeReply(const platform::StoreReply& reply, base::Instant now);
  void OnDeleteReply(const platform::StoreReply& reply, base::Instant now);
  void Judge(const platform::StoreReply& reply);
  void OnSealCheckReply(const platform::StoreReply& reply, base::Instant now);
  void Commit(const platform::StoreEntry& entry);
  void Suspect(base::Instant now);
  void NoteHome(const JournalRecord& record, uint64_t segment);

  JournalOptions options;
  Incarnation self;
  CallNumbers& numbers;
  RetryDelay delay;
  JournalState condition = JournalState::kOpen;
  std::deque<Pending> pending;
  /** Where ends of a job in one state can still be merged into. */
  std::map<std::pair<base::JobId, TaskState>, uint64_t> open_ends;
  uint64_t next_position = 1;
  uint64_t committed_position = 0;
  std::optional<Write> write;
  uint64_t writes = 0;
  std::map<uint64_t, SegmentInfo> segments;
  std::string tail_records;
  /** The segment of each job's newest whole record, and that record's size. */
  std::map<base::JobId, std::pair<uint64_t, size_t>> homes;
  /** Bytes of all segments, and of the newest whole records of all jobs. */
  size_t total_bytes = 0;
  size_t live_bytes = 0;
  std::optional<uint64_t> clean_after;
  std::optional<OpenCall> call;
  /** When the last call was sent that found the journal unsealed. */
  std::optional<base::Instant> verified;
  bool verify_wanted = false;
  /** The newest segment is gone: either adopted and deleted, or lost. */
  bool tail_missing = false;
  bool suspect = false;
  base::Instant retry_at;
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_JOURNAL_H_
