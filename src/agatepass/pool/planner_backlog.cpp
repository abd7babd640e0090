// What waits in the planner, and for how long: for the log.
#include <algorithm>

#include "agatepass/pool/pool_planner.h"
#include "agatepass/pool/urgency.h"

namespace agatepass::pool {

namespace {

/** Adds the ready steps and queries of a job to the backlog. */
void AddToBacklog(PlannerBacklog& backlog, const JobState& job,
                  base::Instant now) {
  for (const auto& step : job.steps) {
    if (step->advice.in_flight) {
      backlog.queries.Add(now - step->advice.asked_at);
    }
    if (!step->ready_since || step->waiting == 0) continue;
    const auto urgency = static_cast<size_t>(GetUrgency(*step, now));
    backlog.ready_by_urgency[urgency].Add(now - *step->ready_since);
    backlog.ready_by_reason[static_cast<size_t>(step->wait.reason)].Add(
        now - step->wait.since);
  }
}

}  // namespace

PlannerBacklog PoolPlanner::MeasureBacklog(base::Instant now) const {
  PlannerBacklog backlog{
      .open_jobs = this->open.size(),
      .awaited_jobs = this->schedule.size(),
      .held_bytes = this->memory.held(),
      .ready_steps = this->ready_steps,
      .start_limit = this->places.start_limit(),
      .other_start_limit = this->places.other_start_limit(),
      .other_query_limit = this->places.other_query_limit(),
      .starts_per_second = this->capacity.starts_per_second()};
  for (const auto& [id, job] : this->open) {
    if (!job->stored) backlog.unstored_jobs.Add(now - job->accepted_at);
    AddToBacklog(backlog, *job, now);
  }
  for (const auto& [key, run] : this->runs) {
    if (run->phase == RunPhase::kStartRequested) {
      backlog.unconfirmed_starts.Add(now - run->start_requested_at);
    } else if (run->phase == RunPhase::kStopping) {
      backlog.stops.Add(now - run->stop_requested_at);
    }
  }
  backlog.unsynced_workers = {this->unsynced_workers.size(),
                              now - this->term_started_at};
  for (const auto& [id, commit] : this->commits) {
    backlog.commits.Add(now - commit.sent_at);
  }
  for (const auto& [id, worker] : this->workers) {
    for (const UnstoredEnd& end : worker->unstored_ends) {
      backlog.unstored_ends.Add(now - end.read_at);
    }
    if (!worker->sync_in_flight || now <= worker->sync_due_at) continue;
    ++backlog.late_syncs;
    backlog.oldest_late_sync =
        std::max(backlog.oldest_late_sync, now - worker->sync_due_at);
  }
  return backlog;
}

}  // namespace agatepass::pool
