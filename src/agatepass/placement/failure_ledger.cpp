#include "agatepass/placement/failure_ledger.h"

#include <algorithm>

namespace agatepass::placement {
namespace {

// Jobs with failures that are remembered.
constexpr size_t kJobsRemembered = 4096;
// Workers on which a job fails before it stops counting against workers.
constexpr size_t kSuspectJobWorkers = 3;

}  // namespace

FailureLedger::JobRow& FailureLedger::RowOf(const base::JobId& job) {
  const auto [found, is_new] = this->jobs.try_emplace(job);
  if (is_new) {
    found->second.number = this->next_job++;
    this->job_age.emplace(found->second.number, job);
    if (this->job_age.size() > kJobsRemembered) {
      this->jobs.erase(this->job_age.begin()->second);
      this->job_age.erase(this->job_age.begin());
    }
  }
  return found->second;
}

base::Duration FailureLedger::ProbationTime(uint32_t repeats,
                                            const Limits& limits) {
  constexpr uint32_t kMostDoublings = 20;
  const base::Duration time = std::min(
      limits.longest_probation,
      limits.probation * (int64_t{1} << std::min(repeats, kMostDoublings)));
  // Up to a tenth more, so that workers do not come back all at once.
  this->random = this->random * 6364136223846793005ULL + 1442695040888963407ULL;
  return time + time * static_cast<int64_t>(this->random >> 54) / 10240;
}

std::optional<base::Instant> FailureLedger::OnFailure(
    const base::WorkerId& worker, const base::JobId& job, const Limits& limits,
    base::Instant now) {
  JobRow& job_row = this->RowOf(job);
  WorkerRow& row = this->workers[worker];
  const bool blames_worker = job_row.failed_on.size() < kSuspectJobWorkers ||
                             job_row.failed_on.contains(worker);
  job_row.failed_on.insert(worker);
  if (blames_worker) row.failed_jobs.insert(job);
  // After a probation one failure is enough for the next.
  const uint32_t allowed = row.probations > 0 ? 1 : limits.worker_failures;
  if (row.failed_jobs.size() < allowed || row.until) return std::nullopt;
  row.until = now + this->ProbationTime(row.probations++, limits);
  return row.until;
}

void FailureLedger::OnSuccess(const base::WorkerId& worker,
                              const base::JobId& job) {
  this->workers.erase(worker);
  if (const auto found = this->jobs.find(job); found != this->jobs.end()) {
    found->second.succeeded = true;
    found->second.failed_on.clear();
  }
}

uint32_t FailureLedger::FailedWorkers(const base::JobId& job) const {
  const auto found = this->jobs.find(job);
  if (found == this->jobs.end() || found->second.succeeded) return 0;
  return static_cast<uint32_t>(std::ranges::count_if(
      found->second.failed_on, [&](const base::WorkerId& worker) {
        const auto row = this->workers.find(worker);
        return row == this->workers.end() || row->second.probations == 0;
      }));
}

std::vector<base::WorkerId> FailureLedger::EndProbations(base::Instant now) {
  std::vector<base::WorkerId> ended;
  for (auto& [worker, row] : this->workers) {
    if (!row.until || *row.until > now) continue;
    row.until.reset();
    row.failed_jobs.clear();
    ended.push_back(worker);
  }
  return ended;
}

}  // namespace agatepass::placement
