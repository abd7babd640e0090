#include "agatepass/pool/waiting_submissions.h"

#include <algorithm>
#include <utility>

namespace agatepass::pool {

WaitingSubmissions::OrderKey WaitingSubmissions::KeyOf(
    const WaitingSubmission& submission) {
  base::Instant last = submission.calls.front().given_up_at;
  for (const SubmitCall& call : submission.calls) {
    last = std::max(last, call.given_up_at);
  }
  return {submission.priority, last, submission.job.id};
}

void WaitingSubmissions::Add(WaitingSubmission submission) {
  for (const SubmitCall& call : submission.calls) {
    this->next_expiry =
        std::min(this->next_expiry, call.given_up_at - kAnswerMargin);
  }
  this->call_count += submission.calls.size();
  this->bytes += submission.bytes;
  this->order.insert(KeyOf(submission));
  const base::JobId id = submission.job.id;
  this->jobs.emplace(id, std::move(submission));
}

bool WaitingSubmissions::Join(const base::JobId& id, const SubmitCall& call) {
  if (this->call_count >= kMaxCalls) return false;
  WaitingSubmission joined = *this->Take(id);
  joined.calls.push_back(call);
  this->Add(std::move(joined));
  return true;
}

WaitingSubmissions::Expired WaitingSubmissions::TakeExpired(base::Instant now) {
  Expired expired;
  if (now < this->next_expiry) return expired;
  const auto has_expired = [now](const SubmitCall& call) {
    return now >= call.given_up_at - kAnswerMargin;
  };
  std::vector<base::JobId> affected;
  this->next_expiry = base::Instant::max();
  for (const auto& [id, submission] : this->jobs) {
    for (const SubmitCall& call : submission.calls) {
      if (!has_expired(call)) {
        this->next_expiry =
            std::min(this->next_expiry, call.given_up_at - kAnswerMargin);
      } else if (affected.empty() || affected.back() != id) {
        affected.push_back(id);
      }
    }
  }
  for (const base::JobId& id : affected) {
    WaitingSubmission submission = *this->Take(id);
    if (std::all_of(submission.calls.begin(), submission.calls.end(),
                    has_expired)) {
      expired.dropped.push_back(std::move(submission));
      continue;
    }
    std::erase_if(submission.calls, [&](const SubmitCall& call) {
      if (!has_expired(call)) return false;
      expired.left_early.push_back(call.call);
      return true;
    });
    this->Add(std::move(submission));
  }
  return expired;
}

std::optional<WaitingSubmission> WaitingSubmissions::TakeFirst() {
  if (this->order.empty()) return std::nullopt;
  const base::JobId id = std::get<base::JobId>(*this->order.begin());
  return this->Take(id);
}

std::optional<WaitingSubmission> WaitingSubmissions::Take(
    const base::JobId& id) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) return std::nullopt;
  WaitingSubmission taken = std::move(found->second);
  this->order.erase(KeyOf(taken));
  this->jobs.erase(found);
  this->call_count -= taken.calls.size();
  this->bytes -= taken.bytes;
  return taken;
}

}  // namespace agatepass::pool
