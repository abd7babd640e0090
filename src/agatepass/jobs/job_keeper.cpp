#include "agatepass/jobs/job_keeper.h"

#include <algorithm>
#include <utility>

#include "agatepass/base/text.h"

namespace agatepass::jobs {

JobKeeper::JobKeeper(const JobKeeperOptions& options, const Incarnation& self,
                     uint64_t seed)
    : options(options),
      self(self),
      journal(options.journal, self, seed, this->numbers),
      claims(options.journal.first_retry, options.journal.longest_retry,
             seed + 1, this->numbers),
      adoptions(options.journal.first_retry, options.journal.longest_retry,
                self, seed + 2, this->numbers) {}

void JobKeeper::AnswerCommitted(base::Instant now, base::WallTime wall,
                                Effects& effects) {
  const uint64_t committed = this->journal.committed();
  std::erase_if(this->ends, [&](const OpenEnd& end) {
    if (end.position > committed) return false;
    effects.acknowledgements.push_back(end.task);
    return true;
  });
  std::erase_if(this->cancels, [&](const OpenCancel& cancel) {
    if (cancel.position > committed) return false;
    this->AnswerCancel(cancel, effects);
    return true;
  });
  std::erase_if(this->settles, [&](const OpenSettle& settle) {
    if (settle.position > committed) return false;
    this->AnswerSettle(settle, now, wall, effects);
    return true;
  });
  while (!this->discards.empty() &&
         this->discards.begin()->first <= committed) {
    this->adoptions.Discard(this->discards.begin()->second);
    this->discards.erase(this->discards.begin());
  }
  this->AdvanceSubmissions(now, wall, effects);
}

void JobKeeper::CleanJournal(base::Instant now) {
  const auto carried = this->journal.JobsToCarry();
  if (!carried) return;
  for (const base::JobId& id : *carried) {
    if (const JobState* job = this->FindJob(id)) {
      this->journal.Append(JobRecorded{job->record}, Urgency::kEnds, now);
    }
  }
  for (const Incarnation& from : this->adopted) {
    this->journal.Append(JournalAdopted{from}, Urgency::kEnds, now);
  }
  this->journal.CleanOldest();
}

void JobKeeper::ReportJournalState(Effects& effects) {
  if (this->journal.state() == JournalState::kOpen) return;
  effects.fenced = this->journal.state() == JournalState::kFenced;
  if (this->state_reported) return;
  this->state_reported = true;
  effects.events.push_back({effects.fenced ? JobEventKind::kFenced
                                           : JobEventKind::kStoreContentChanged,
                            {},
                            {},
                            this->self.ToString()});
}

void JobKeeper::Pump(base::Instant now, base::WallTime wall, Effects& effects) {
  this->AnswerCommitted(now, wall, effects);
  this->LapseSilentTasks(now, wall, effects);
  this->ResolveUnaccounted(now, wall, effects);
  this->CleanJournal(now);
  this->ExpireWaits(now, effects);
  const size_t before = effects.store_calls.size();
  this->journal.Poll(now, effects.store_calls);
  if (this->journal.state() == JournalState::kOpen) {
    this->claims.Poll(now, effects.store_calls);
    this->BeginWantedAdoptions();
    this->adoptions.Poll(now, effects.store_calls);
  }
  for (size_t call = before; call < effects.store_calls.size(); ++call) {
    this->sent_at[effects.store_calls[call].call_id] = this->newest;
  }
  this->ReportJournalState(effects);
}

void JobKeeper::OnStoreReply(uint64_t call_id,
                             const platform::StoreReply& reply,
                             base::Instant now, base::WallTime wall,
                             Effects& effects) {
  if (const auto sent = this->sent_at.extract(call_id);
      !sent.empty() && reply.store_revision != 0 &&
      reply.store_revision < sent.mapped()) {
    // The store is older than what it had told before this call was sent.
    this->journal.MarkContentChanged();
  }
  this->newest = std::max(this->newest, reply.store_revision);
  if (this->listing == call_id) {
    this->listing.reset();
    for (const platform::StoreEntry& entry : reply.entries) {
      const auto parts = base::SplitList(entry.key, '/');
      if (parts.size() != 4) continue;
      const auto number = base::ParseNumber<uint64_t>(parts[2]);
      if (!number) continue;
      const Incarnation found{base::HostId(parts[1]), *number};
      if (effects.journals.empty() || effects.journals.back() != found) {
        effects.journals.push_back(found);
      }
    }
  } else if (this->journal.state() == JournalState::kContentChanged) {
    // Nothing that this store says is acted on.
  } else if (this->claims.Owns(call_id)) {
    if (const auto result = this->claims.OnReply(call_id, reply, now)) {
      this->OnKeyClaimed(*result, now, wall, effects);
    }
  } else if (this->adoptions.Owns(call_id)) {
    if (const auto sealed = this->adoptions.OnReply(call_id, reply, now)) {
      this->FinishSealing(*sealed, now, wall, effects);
    }
  } else {
    this->journal.OnReply(call_id, reply, now);
  }
  this->Pump(now, wall, effects);
}

void JobKeeper::OnTick(base::Instant now, base::WallTime wall,
                       Effects& effects) {
  this->ForgetEnded(now, wall, effects);
  this->Pump(now, wall, effects);
}

std::optional<base::Instant> JobKeeper::NextWake(base::Instant now) const {
  std::optional<base::Instant> wake;
  const auto consider = [&wake](std::optional<base::Instant> at) {
    if (at && (!wake || *at < *wake)) wake = at;
  };
  consider(this->journal.NextWake());
  consider(this->claims.NextWake());
  consider(this->adoptions.NextWake());
  for (const base::JobId& id : this->submitting) {
    const JobState& job = this->jobs.at(id);
    if (job.waiting.empty()) continue;
    consider(job.waiting.front().since + this->options.submit_wait);
  }
  if (wake) wake = std::max(*wake, now);
  return wake;
}

void JobKeeper::ForgetEnded(base::Instant now, base::WallTime wall,
                            Effects& effects) {
  // A job that a half-finished adoption still holds a copy of is kept.
  if (!this->adoptions.idle() || !this->discards.empty()) return;
  std::vector<base::JobId> old;
  for (const auto& [id, job] : this->jobs) {
    const int64_t ended = job.record.ended.microseconds;
    const bool due = ended != 0 && wall.microseconds - ended >=
                                       this->options.ended_life.count();
    if (due) old.push_back(id);
  }
  for (const base::JobId& id : old) {
    const JobState& job = this->jobs.at(id);
    if (!job.record.spec.idempotency_key.empty() && !job.attached) {
      this->claims.Free(id, job.record.spec.team,
                        job.record.spec.idempotency_key);
    }
    if (!job.attached) {
      this->journal.Append(JobForgotten{id}, Urgency::kEnds, now);
    }
    effects.events.push_back({JobEventKind::kForgotten, id});
    this->DropJob(id);
  }
}

bool JobKeeper::idle() const {
  return this->journal.idle() && this->claims.idle() && this->adoptions.idle();
}

const JobRecord* JobKeeper::FindRecord(const base::JobId& job) const {
  const auto entry = this->jobs.find(job);
  return entry == this->jobs.end() ? nullptr : &entry->second.record;
}

std::vector<base::JobId> JobKeeper::JobIds() const {
  std::vector<base::JobId> ids;
  for (const auto& [id, state] : this->jobs) ids.push_back(id);
  return ids;
}

}  // namespace agatepass::jobs
