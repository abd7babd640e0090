// Outages of the store: submissions that wait for its return, and the commits
// that probe for it.
#include <algorithm>
#include <utility>

#include "agatepass/pool/memory_cost.h"
#include "agatepass/pool/pool_planner.h"
#include "fmt/format.h"

namespace agatepass::pool {

namespace {

/** Delay after which a host that finds no next planner has its caller retry. */
constexpr base::Duration kNextPlannerRetryDelay = std::chrono::seconds(1);

}  // namespace

CallerAnswer PoolPlanner::MakeNextPlannerAnswer(CallId call) {
  return {.call = call,
          .code = base::ResultCode::kPeerUnreachable,
          .term_ended = true,
          .retry_after = kNextPlannerRetryDelay,
          .detail = "the planner leaves office"};
}

void PoolPlanner::BeginHandover() {
  this->handing_over = true;
  for (CallerAnswer& answer : this->EndWaitingSubmissions()) {
    this->effects.emplace_back(std::move(answer));
  }
}

std::vector<CallerAnswer> PoolPlanner::EndWaitingSubmissions() {
  std::vector<CallerAnswer> answers;
  while (const auto submission = this->waiting.TakeFirst()) {
    for (const SubmitCall& submit : submission->calls) {
      answers.push_back(MakeNextPlannerAnswer(submit.call));
    }
  }
  return answers;
}

void PoolPlanner::WaitForStore(std::span<const SubmitCall> calls,
                               const Job& job, uint32_t priority,
                               std::string_view reason,
                               const PlannerTime& time) {
  if (this->handing_over || this->superseded) {
    for (const SubmitCall& submit : calls) {
      this->effects.emplace_back(MakeNextPlannerAnswer(submit.call));
    }
    return;
  }
  WaitingSubmission submission{
      .priority = priority, .since = time.now, .bytes = DefinitionCost(job)};
  std::vector<SubmitCall> without_time;
  for (const SubmitCall& submit : calls) {
    const bool waits = WaitingSubmissions::LeavesTime(submit, time.now);
    (waits ? submission.calls : without_time).push_back(submit);
  }
  const bool fits =
      this->waiting.Fits(submission.bytes, submission.calls.size());
  if (submission.calls.empty() || !fits) {
    this->Reject(calls, job, base::ResultCode::kStoreUnreachable,
                 this->store_health.RetryAfter(time.now),
                 fmt::format("{}, and {}", reason,
                             fits ? "the caller leaves no time to wait"
                                  : "too many submissions wait already"),
                 time);
    return;
  }
  // The job may yet be accepted for the calls that wait.
  for (const SubmitCall& submit : without_time) {
    this->Answer(submit.call, base::ResultCode::kOutcomeUnknown,
                 "the job waits for the store");
  }
  ++this->totals.submissions_delayed;
  this->log.Add(time.now, "job waits for the store",
                "job={} queue={} priority={} failing_ms={} waiting={} "
                "waiting_bytes={} reason=\"{}\"",
                job.id.value, job.queue, priority,
                base::ToMilliseconds(this->store_health.FailingTime(time.now)),
                this->waiting.size() + 1,
                this->waiting.held_bytes() + submission.bytes, reason);
  submission.job = job;
  this->waiting.Add(std::move(submission));
}

void PoolPlanner::JoinWaiting(const SubmitCall& call, const base::JobId& id,
                              const PlannerTime& time) {
  // The job may yet be accepted for its first call: a rejection as "not run"
  // would be wrong.
  if (!WaitingSubmissions::LeavesTime(call, time.now) ||
      !this->waiting.Join(id, call)) {
    this->Answer(call.call, base::ResultCode::kOutcomeUnknown,
                 "the job waits for the store");
  }
}

void PoolPlanner::WithdrawUnstored(JobState& job, std::string_view reason,
                                   const PlannerTime& time) {
  const std::vector<SubmitCall> calls = std::move(job.waiting_submits);
  const Job definition = job.job;
  const uint32_t priority = job.policy.priority;
  const bool is_cancelled = !job.IsOpen();
  this->RemoveUnstored(job, time);
  if (is_cancelled) {
    this->Reject(calls, definition, base::ResultCode::kStoreUnreachable,
                 this->store_health.RetryAfter(time.now), std::string(reason),
                 time);
  } else if (!calls.empty()) {
    this->WaitForStore(calls, definition, priority, reason, time);
  }
}

void PoolPlanner::WithdrawUnsent(const PlannerTime& time) {
  std::vector<JobState*> unsent;
  for (const auto& [urgency, arrival, id] : this->unwritten_jobs.entries()) {
    JobState* job = this->FindJob(id);
    if (job == nullptr || job->stored || job->may_be_stored ||
        this->being_written.contains(id)) {
      continue;
    }
    unsent.push_back(job);
  }
  this->log.Add(time.now, "store is down",
                "failing_ms={} commits={} unsent_jobs={}",
                base::ToMilliseconds(this->store_health.FailingTime(time.now)),
                this->commits.size(), unsent.size());
  for (JobState* job : unsent) {
    this->WithdrawUnstored(*job, "the store does not take writes now", time);
  }
}

void PoolPlanner::AdvanceWaiting(const PlannerTime& time) {
  const WaitingSubmissions::Expired expired =
      this->waiting.TakeExpired(time.now);
  for (const WaitingSubmission& submission : expired.dropped) {
    ++this->totals.submissions_expired;
    this->Reject(submission.calls, submission.job,
                 base::ResultCode::kStoreUnreachable,
                 this->store_health.RetryAfter(time.now),
                 fmt::format("the store did not return within {} ms",
                             base::ToMilliseconds(time.now - submission.since)),
                 time);
  }
  for (const CallId call : expired.left_early) {
    this->Answer(call, base::ResultCode::kOutcomeUnknown,
                 "the job waits for the store");
  }
  if (this->waiting.empty() || !this->store_health.IsAnswering()) return;
  // No more than the commits carry at once: if the store fails again, what is
  // left can still be rejected.
  const size_t max_unwritten = this->options.max_commits_in_flight *
                               this->options.max_entries_per_commit / 2;
  size_t unwritten = 0;
  for (const auto& [urgency, arrival, id] : this->unwritten_jobs.entries()) {
    if (urgency.is_progress || unwritten >= max_unwritten) break;
    ++unwritten;
  }
  size_t taken = 0;
  base::Duration longest_wait{0};
  for (; unwritten + taken < max_unwritten; ++taken) {
    auto next = this->waiting.TakeFirst();
    if (!next) break;
    ++this->totals.submissions_taken;
    longest_wait = std::max(longest_wait, time.now - next->since);
    if (const Queue* queue = this->queues.Find(next->job.queue)) {
      this->Admit(next->calls, std::move(next->job), *queue, time);
    } else {
      this->Reject(next->calls, next->job, base::ResultCode::kNotFound,
                   base::Duration(0), "no such queue", time);
    }
  }
  if (taken == 0) return;
  this->log.Add(time.now, "waiting submissions taken",
                "jobs={} longest_wait_ms={} left={}", taken,
                base::ToMilliseconds(longest_wait), this->waiting.size());
}

void PoolPlanner::SendProbe(const PlannerTime& time) {
  if (this->commits.size() >= this->options.max_probes_in_flight ||
      time.now < this->last_commit + this->options.probe_interval) {
    return;
  }
  StoreCommit commit{.id = this->next_commit_id++};
  SentCommit sent;
  // One probe at a time carries writes: each may stay without an answer. The
  // others only have the condition that the planner is the leader.
  const bool writes_in_flight = std::any_of(
      this->commits.begin(), this->commits.end(), [](const auto& entry) {
        const SentCommit& other = entry.second;
        return other.roster || !other.created.empty() ||
               !other.progress_written.empty();
      });
  if (!writes_in_flight) this->FillCommit(commit, sent, time);
  sent.sent_at = time.now;
  this->commits.emplace(commit.id, std::move(sent));
  ++this->totals.commits;
  this->last_commit = time.now;
  this->backlog_left = this->HasWriteBacklog();
  this->effects.emplace_back(std::move(commit));
}

void PoolPlanner::OnStoreAnswer(base::Instant sent_at, base::Instant now) {
  const bool was_probing = this->IsProbing();
  const base::Duration failing_time = this->store_health.FailingTime(now);
  this->store_health.OnAnswer(sent_at);
  if (!was_probing) return;
  this->next_commit = now;
  this->log.Add(now, "store answers again",
                "failing_ms={} waiting={} waiting_calls={}",
                base::ToMilliseconds(failing_time), this->waiting.size(),
                this->waiting.calls());
}

}  // namespace agatepass::pool
