#include "agatepass/jobs/journal.h"

#include <algorithm>
#include <iterator>

#include "agatepass/jobs/record_codec.h"

namespace agatepass::jobs {
namespace {

/** The job that a record is about; empty for none. */
base::JobId JobOf(const JournalRecord& record) {
  return std::visit(
      [](const auto& value) -> base::JobId {
        if constexpr (requires { value.from; }) {
          return {};
        } else if constexpr (requires { value.job.id; }) {
          return value.job.id;
        } else {
          return value.job;
        }
      },
      record);
}

platform::StoreEntry FirstEntry(const platform::StoreReply& reply) {
  return reply.entries.empty() ? platform::StoreEntry{} : reply.entries.front();
}

}  // namespace

Journal::Journal(const JournalOptions& options, const Incarnation& self,
                 uint64_t seed, CallNumbers& numbers)
    : options(options),
      self(self),
      numbers(numbers),
      delay(options.first_retry, options.longest_retry, seed) {}

uint64_t Journal::Append(JournalRecord record, Urgency urgency,
                         base::Instant now) {
  if (auto merged = this->MergeEnds(record)) return *merged;
  base::Duration wait{0};
  if (urgency == Urgency::kInterval) wait = this->options.interval;
  if (urgency == Urgency::kEnds) wait = this->options.end_interval;
  const uint64_t position = this->next_position++;
  const base::JobId job = JobOf(record);
  // An end may not move ahead of another record of its job.
  for (int state = 0; state <= static_cast<int>(TaskState::kInDoubt); ++state) {
    this->open_ends.erase({job, static_cast<TaskState>(state)});
  }
  if (const auto* ends = std::get_if<TasksSettled>(&record)) {
    this->open_ends[{job, ends->state}] = position;
  }
  this->pending.push_back({position, std::move(record), now + wait});
  return position;
}

std::optional<uint64_t> Journal::MergeEnds(const JournalRecord& record) {
  const auto* ends = std::get_if<TasksSettled>(&record);
  if (ends == nullptr) return std::nullopt;
  const auto open = this->open_ends.find({ends->job, ends->state});
  if (open == this->open_ends.end()) return std::nullopt;
  const uint64_t position = open->second;
  const auto found = std::find_if(
      this->pending.begin(), this->pending.end(),
      [&](const Pending& item) { return item.position == position; });
  if (found == this->pending.end()) return std::nullopt;
  auto& target = std::get<TasksSettled>(found->record);
  for (const auto& [first, last] : ends->tasks.entries()) {
    target.tasks.AddRange(first, last);
  }
  target.results.insert(ends->results.begin(), ends->results.end());
  target.at = std::max(target.at, ends->at);
  return position;
}

bool Journal::TryWithdraw(uint64_t position) {
  const auto found = std::find_if(
      this->pending.begin(), this->pending.end(),
      [&](const Pending& item) { return item.position == position; });
  if (found == this->pending.end()) return false;
  this->pending.erase(found);
  return true;
}

void Journal::MarkContentChanged() {
  if (this->condition == JournalState::kOpen) {
    this->condition = JournalState::kContentChanged;
  }
}

void Journal::TakeBatch(Write& write) {
  while (!this->pending.empty()) {
    const std::string text = EncodeRecord(this->pending.front().record);
    if (!write.records.empty()) {
      if (write.records.size() + text.size() > this->options.write_bytes) break;
      write.records += ',';
    }
    write.records += text;
    write.batch.push_back(std::move(this->pending.front()));
    this->pending.pop_front();
  }
  this->open_ends.clear();
}

void Journal::BeginWrite() {
  Write next;
  next.number = ++this->writes;
  this->TakeBatch(next);
  const bool fits = !this->segments.empty() &&
                    this->tail_records.size() + next.records.size() <=
                        std::max(this->options.segment_bytes, size_t{1});
  if (fits) {
    next.segment = this->segments.rbegin()->first;
    next.expected = this->segments.rbegin()->second.revision;
    next.records = this->tail_records + "," + next.records;
  } else {
    next.segment =
        this->segments.empty() ? 1 : this->segments.rbegin()->first + 1;
  }
  this->write = std::move(next);
}

platform::StoreCall Journal::WriteCall() const {
  platform::StoreCall swap;
  swap.verb = platform::StoreVerb::kCompareAndSwap;
  swap.key = SegmentKey(this->self, this->write->segment);
  swap.value = EncodeSegmentOf(
      {this->self, this->write->segment, this->write->number, {}, {}},
      this->write->records);
  swap.expected = this->write->expected;
  swap.call_class = platform::CallClass::kUrgent;
  return swap;
}

bool Journal::WriteIsDue(base::Instant now) const {
  if (this->write) return true;
  return std::any_of(this->pending.begin(), this->pending.end(),
                     [&](const Pending& item) { return item.due <= now; });
}

void Journal::Poll(base::Instant now, std::vector<NumberedStoreCall>& calls) {
  if (this->condition != JournalState::kOpen || this->call) return;
  if (this->suspect && now < this->retry_at) return;
  platform::StoreCall next;
  CallKind kind = CallKind::kWrite;
  const bool cleaning =
      this->clean_after && *this->clean_after <= this->committed_position;
  const bool has_tail = !this->segments.empty();
  const bool check = this->verify_wanted && has_tail && !this->WriteIsDue(now);
  if (this->tail_missing) {
    next.verb = platform::StoreVerb::kList;
    next.key = JournalKeyPrefix(this->self);
    kind = CallKind::kSealCheck;
  } else if (check || (this->suspect && (this->WriteIsDue(now) || has_tail))) {
    // A cheap read tells whether the store is back, and still the same one.
    const uint64_t segment =
        this->segments.empty() ? 1 : this->segments.rbegin()->first;
    next.key = SegmentKey(this->self, segment);
    kind = CallKind::kProbe;
  } else if (this->WriteIsDue(now)) {
    if (!this->write) this->BeginWrite();
    next = this->WriteCall();
  } else if (cleaning && this->segments.size() > 1) {
    next.verb = platform::StoreVerb::kDelete;
    next.key = SegmentKey(this->self, this->segments.begin()->first);
    next.expected = this->segments.begin()->second.revision;
    next.call_class = platform::CallClass::kBackground;
    kind = CallKind::kDelete;
  } else {
    return;
  }
  this->call = {this->numbers.Take(), kind, now};
  this->verify_wanted = false;
  calls.push_back({this->call->id, std::move(next)});
}

bool Journal::OnReply(uint64_t call_id, const platform::StoreReply& reply,
                      base::Instant now) {
  if (!this->call || this->call->id != call_id) return false;
  const auto [id, kind, sent] = *this->call;
  this->call.reset();
  if (this->condition != JournalState::kOpen) return true;
  const auto unsure = [this] {
    return this->suspect || this->tail_missing ||
           this->condition != JournalState::kOpen;
  };
  switch (kind) {
    case CallKind::kWrite:
      this->OnWriteReply(reply, now);
      break;
    case CallKind::kProbe:
      this->OnProbeReply(reply, now);
      break;
    case CallKind::kDelete:
      this->OnDeleteReply(reply, now);
      return true;
    case CallKind::kSealCheck:
      this->OnSealCheckReply(reply, now);
      return true;
  }
  // A refused write that was this journal's own proves as much as a new one.
  if (!unsure()) this->verified = sent;
  return true;
}

void Journal::Verify(base::Instant now) {
  if (!this->VerifiedSince(now)) this->verify_wanted = true;
}

bool Journal::VerifiedSince(base::Instant since) const {
  // Without a segment there is nothing that another host could adopt.
  if (this->segments.empty() && !this->write) return true;
  return this->verified && *this->verified >= since;
}

void Journal::OnWriteReply(const platform::StoreReply& reply,
                           base::Instant now) {
  switch (reply.outcome) {
    case platform::Outcome::kDone:
      this->Commit(FirstEntry(reply));
      break;
    case platform::Outcome::kRefused:
      this->Judge(reply);
      break;
    case platform::Outcome::kNotSent:
      if (!this->write->uncertain) {
        auto& batch = this->write->batch;
        this->pending.insert(this->pending.begin(),
                             std::make_move_iterator(batch.begin()),
                             std::make_move_iterator(batch.end()));
        this->write.reset();
      }
      this->Suspect(now);
      break;
    case platform::Outcome::kUnknown:
      this->write->uncertain = true;
      this->Suspect(now);
      break;
  }
}

void Journal::Judge(const platform::StoreReply& reply) {
  const platform::StoreEntry entry = FirstEntry(reply);
  const auto found = DecodeSegment(entry.value);
  if (entry.revision == 0) {
    this->tail_missing = true;
    return;
  }
  if (!found.ok()) {
    this->condition = JournalState::kContentChanged;
    return;
  }
  if (found->sealed_by) {
    this->condition = JournalState::kFenced;
    return;
  }
  const bool ours = found->writer == this->self && this->write &&
                    found->number == this->write->segment &&
                    found->write == this->write->number;
  if (ours) {
    this->Commit(entry);
  } else {
    this->condition = JournalState::kContentChanged;
  }
}

void Journal::Commit(const platform::StoreEntry& entry) {
  const bool went_back =
      !this->segments.empty() &&
      entry.revision <= this->segments.rbegin()->second.revision;
  if (went_back) {
    this->condition = JournalState::kContentChanged;
    return;
  }
  Write done = *std::move(this->write);
  this->write.reset();
  this->suspect = false;
  this->delay.Reset();
  SegmentInfo& info = this->segments[done.segment];
  this->total_bytes += done.records.size() - info.bytes;
  info = {entry.revision, done.records.size()};
  this->tail_records = std::move(done.records);
  for (const Pending& item : done.batch) {
    this->committed_position =
        std::max(this->committed_position, item.position);
    this->NoteHome(item.record, done.segment);
  }
}

void Journal::NoteHome(const JournalRecord& record, uint64_t segment) {
  const bool whole = std::holds_alternative<JobRecorded>(record);
  if (!whole && !std::holds_alternative<JobForgotten>(record)) return;
  const base::JobId job = JobOf(record);
  if (const auto old = this->homes.extract(job); !old.empty()) {
    this->live_bytes -= old.mapped().second;
  }
  if (!whole) return;
  const size_t bytes = EncodeRecord(record).size();
  this->homes[job] = {segment, bytes};
  this->live_bytes += bytes;
}

void Journal::OnProbeReply(const platform::StoreReply& reply,
                           base::Instant now) {
  if (reply.outcome != platform::Outcome::kDone) {
    this->Suspect(now);
    return;
  }
  const platform::StoreEntry entry = FirstEntry(reply);
  const platform::Revision known =
      this->segments.empty() ? 0 : this->segments.rbegin()->second.revision;
  if (entry.revision != known) {
    this->Judge(reply);
    if (this->tail_missing || this->condition != JournalState::kOpen) return;
  }
  this->suspect = false;
  this->delay.Reset();
}

void Journal::OnSealCheckReply(const platform::StoreReply& reply,
                               base::Instant now) {
  if (reply.outcome != platform::Outcome::kDone) {
    this->Suspect(now);
    return;
  }
  this->condition = JournalState::kContentChanged;
  for (const platform::StoreEntry& entry : reply.entries) {
    const auto segment = DecodeSegment(entry.value);
    if (segment.ok() && segment->sealed_by) {
      this->condition = JournalState::kFenced;
    }
  }
}

void Journal::OnDeleteReply(const platform::StoreReply& reply,
                            base::Instant now) {
  if (reply.outcome == platform::Outcome::kDone ||
      reply.outcome == platform::Outcome::kRefused) {
    // Refused: an earlier attempt whose answer was lost has deleted it.
    this->total_bytes -= this->segments.begin()->second.bytes;
    this->segments.erase(this->segments.begin());
    this->clean_after.reset();
  } else {
    this->Suspect(now);
  }
}

void Journal::Suspect(base::Instant now) {
  this->suspect = true;
  this->retry_at = now + this->delay.Next();
}

std::optional<std::vector<base::JobId>> Journal::JobsToCarry() const {
  if (this->clean_after || this->segments.size() < 3 || this->suspect) {
    return std::nullopt;
  }
  if (this->total_bytes <
      2 * this->live_bytes + 2 * this->options.segment_bytes) {
    return std::nullopt;
  }
  std::vector<base::JobId> jobs;
  for (const auto& [job, home] : this->homes) {
    if (home.first == this->segments.begin()->first) jobs.push_back(job);
  }
  return jobs;
}

std::optional<base::Instant> Journal::NextWake() const {
  if (this->condition != JournalState::kOpen || this->call) return std::nullopt;
  if (this->suspect) return this->retry_at;
  const bool check = this->verify_wanted && !this->segments.empty();
  if (this->write || check || this->tail_missing) return base::Instant::min();
  std::optional<base::Instant> wake;
  for (const Pending& item : this->pending) {
    if (!wake || item.due < *wake) wake = item.due;
  }
  return wake;
}

}  // namespace agatepass::jobs
