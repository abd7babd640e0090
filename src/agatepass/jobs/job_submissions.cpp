// Submissions to a JobKeeper: journalled, then claimed by key, then accepted.
#include <algorithm>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/jobs/job_keeper.h"
#include "fmt/format.h"

namespace agatepass::jobs {
namespace {

using base::ErrorStatus;
using base::ResultCode;

constexpr size_t kMaxKeyBytes = 256;
constexpr base::Duration kRetryAfter = std::chrono::seconds(2);

}  // namespace

absl::Status JobKeeper::CheckSpec(const JobSpec& spec) const {
  const std::string& key = spec.idempotency_key;
  if (key.size() > kMaxKeyBytes) {
    return ErrorStatus(ResultCode::kTooLarge,
                       fmt::format("idempotency key has {} bytes; use at most "
                                   "{}",
                                   key.size(), kMaxKeyBytes));
  }
  if (spec.command.size() > this->options.max_command_bytes) {
    return ErrorStatus(
        ResultCode::kTooLarge,
        fmt::format("command of workload \"{}\" has {} bytes; use at most {}",
                    spec.workload.value, spec.command.size(),
                    this->options.max_command_bytes));
  }
  if (spec.task_count == 0 || spec.task_count > this->options.max_tasks) {
    return ErrorStatus(
        ResultCode::kInvalidRequest,
        fmt::format("job of workload \"{}\" asks for {} tasks; ask for 1 to {}",
                    spec.workload.value, spec.task_count,
                    this->options.max_tasks));
  }
  if (spec.attached && !spec.idempotent) {
    return ErrorStatus(
        ResultCode::kInvalidRequest,
        fmt::format("attached job of workload \"{}\" is not idempotent; submit "
                    "it without \"attached\"",
                    spec.workload.value));
  }
  return absl::OkStatus();
}

ResultCode JobKeeper::admission() const {
  if (this->journal.state() == JournalState::kContentChanged) {
    return ResultCode::kStoreContentChanged;
  }
  if (this->draining || this->journal.state() == JournalState::kFenced) {
    return ResultCode::kStopping;
  }
  return ResultCode::kOk;
}

uint64_t JobKeeper::Submit(const JobSpec& spec, base::Instant now,
                           base::WallTime wall, Effects& effects) {
  const uint64_t id = this->next_answer++;
  const auto refuse = [&](ResultCode code, std::string_view message) {
    const bool retry = base::DescribeResultCode(code).retry_can_help;
    effects.submissions.push_back({id,
                                   code,
                                   {},
                                   std::string(message),
                                   false,
                                   retry ? kRetryAfter : base::Duration{0}});
  };
  if (const absl::Status status = this->CheckSpec(spec); !status.ok()) {
    const auto text = status.message();
    refuse(base::ResultCodeOf(status),
           std::string_view(text.data(), text.size()));
    return id;
  }
  if (this->AnswerRepeat(spec, id, now, effects)) return id;
  if (const ResultCode code = this->admission(); code != ResultCode::kOk) {
    refuse(code, base::DescribeResultCode(code).advice);
    return id;
  }
  JobState& job = this->AddJob(spec, wall);
  job.waiting.push_back({id, now, false});
  if (spec.attached && this->journal.unreachable()) {
    job.attached = true;
    this->Accept(job, now, wall, effects);
    return id;
  }
  // With nothing else on the way a job is written at once; in a burst the
  // records that arrive during one write share the next.
  job.position =
      this->journal.Append(JobRecorded{job.record}, Urgency::kNow, now);
  this->Pump(now, wall, effects);
  return id;
}

bool JobKeeper::AnswerRepeat(const JobSpec& spec, uint64_t id,
                             base::Instant now, Effects& effects) {
  if (spec.idempotency_key.empty()) return false;
  const auto known = this->keys.find({spec.team, spec.idempotency_key});
  if (known == this->keys.end()) return false;
  JobState& job = this->jobs.at(known->second);
  if (!(job.record.spec == spec)) {
    effects.submissions.push_back(
        {id, ResultCode::kInvalidRequest, job.record.id,
         fmt::format("idempotency key \"{}\" belongs to job \"{}\", which "
                     "differs; use a new key",
                     spec.idempotency_key, job.record.id.value)});
  } else if (job.phase == JobPhase::kAccepted) {
    effects.submissions.push_back(
        {id, ResultCode::kAccepted, job.record.id, "", true});
  } else {
    job.waiting.push_back({id, now, true});
  }
  return true;
}

JobState& JobKeeper::AddJob(const JobSpec& spec, base::WallTime wall) {
  const base::JobId id = MakeJobId(this->self, this->next_job++);
  JobState& job = this->jobs[id];
  job.record.id = id;
  job.record.spec = spec;
  job.record.scope = {this->options.data_centre};
  job.record.home = this->self;
  job.record.accepted = wall;
  job.tasks.resize(spec.task_count);
  this->submitting.insert(id);
  if (!spec.idempotency_key.empty()) {
    this->keys[{spec.team, spec.idempotency_key}] = id;
  }
  return job;
}

void JobKeeper::AnswerAll(JobState& job, ResultCode code,
                          std::string_view message, Effects& effects) {
  const bool retry = base::DescribeResultCode(code).retry_can_help;
  for (const WaitingSubmission& waiting : job.waiting) {
    effects.submissions.push_back({waiting.id, code, job.record.id,
                                   std::string(message), waiting.repeated,
                                   retry ? kRetryAfter : base::Duration{0}});
  }
  job.waiting.clear();
}

void JobKeeper::Accept(JobState& job, base::Instant now, base::WallTime wall,
                       Effects& effects) {
  job.phase = JobPhase::kAccepted;
  this->submitting.erase(job.record.id);
  this->AnswerAll(job, ResultCode::kAccepted,
                  job.attached ? "attached; ends with this connection" : "",
                  effects);
  effects.events.push_back({JobEventKind::kAccepted, job.record.id});
  if (job.cancelling || job.record.cancelled) return;
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    if (job.tasks[index].state == TaskState::kWaiting) {
      this->MakeReady(job, index, now, wall, effects);
    }
  }
}

void JobKeeper::OnKeyClaimed(const KeyClaimResult& result, base::Instant now,
                             base::WallTime wall, Effects& effects) {
  JobState* job = this->FindJob(result.job);
  if (job == nullptr) return;
  if (result.holder == result.job) {
    job->record.key_confirmed = true;
    this->journal.Append(KeyConfirmed{result.job}, Urgency::kEnds, now);
    if (job->phase == JobPhase::kClaiming)
      this->Accept(*job, now, wall, effects);
    return;
  }
  // An earlier submission with this key holds it; this one never started.
  for (const WaitingSubmission& waiting : job->waiting) {
    effects.submissions.push_back(
        {waiting.id, ResultCode::kAccepted, result.holder, "", true});
  }
  job->waiting.clear();
  this->journal.Append(JobForgotten{result.job}, Urgency::kEnds, now);
  this->DropJob(result.job);
}

void JobKeeper::DropJob(const base::JobId& job) {
  const auto found = this->jobs.find(job);
  if (found == this->jobs.end()) return;
  const JobSpec& spec = found->second.record.spec;
  const auto key = this->keys.find({spec.team, spec.idempotency_key});
  if (key != this->keys.end() && key->second == job) this->keys.erase(key);
  for (uint32_t index = 0; index < found->second.tasks.size(); ++index) {
    this->AttachTask(found->second, index, {});
  }
  this->submitting.erase(job);
  this->unproven.erase(job);
  this->jobs.erase(found);
}

void JobKeeper::AdvanceSubmissions(base::Instant now, base::WallTime wall,
                                   Effects& effects) {
  const std::vector<base::JobId> open(this->submitting.begin(),
                                      this->submitting.end());
  for (const base::JobId& id : open) {
    JobState& job = this->jobs.at(id);
    if (job.phase != JobPhase::kJournalling || job.attached ||
        job.position > this->journal.committed()) {
      continue;
    }
    if (job.record.spec.idempotency_key.empty()) {
      this->Accept(job, now, wall, effects);
    } else {
      job.phase = JobPhase::kClaiming;
      this->claims.Claim(id, job.record.spec.team,
                         job.record.spec.idempotency_key);
    }
  }
}

void JobKeeper::ExpireWaits(base::Instant now, Effects& effects) {
  const bool closed = this->journal.state() != JournalState::kOpen;
  std::vector<base::JobId> dropped;
  for (const base::JobId& id : this->submitting) {
    JobState& job = this->jobs.at(id);
    if (job.waiting.empty()) continue;
    const bool late =
        now - job.waiting.front().since >= this->options.submit_wait;
    if (!late && !closed) continue;
    const bool unwritten = job.phase == JobPhase::kJournalling &&
                           this->journal.TryWithdraw(job.position);
    if (unwritten) {
      const ResultCode why =
          closed ? this->admission() : ResultCode::kStoreUnreachable;
      this->AnswerAll(job, why, "not accepted, and not run", effects);
      effects.events.push_back({JobEventKind::kRefused, id});
      dropped.push_back(id);
    } else {
      this->AnswerAll(job, ResultCode::kOutcomeUnknown,
                      "may be accepted; ask again with the same key", effects);
    }
  }
  for (const base::JobId& id : dropped) this->DropJob(id);
  for (OpenCancel& cancel : this->cancels) {
    if (now - cancel.since < this->options.submit_wait && !closed) continue;
    effects.cancels.push_back({cancel.id,
                               ResultCode::kOutcomeUnknown,
                               cancel.job,
                               "the cancel is not journalled yet; ask again",
                               {}});
    cancel.id = 0;
  }
  std::erase_if(this->cancels, [](const auto& open) { return open.id == 0; });
}

}  // namespace agatepass::jobs
