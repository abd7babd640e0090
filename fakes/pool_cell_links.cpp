// What each planner of the simulated pool reaches: workers, the store and the
// other hosts.
#include <algorithm>

#include "fakes/pool_cell.h"

namespace agatepass::fakes {

namespace {

constexpr base::Duration kRoundTrip = std::chrono::milliseconds(10);

/** Period at which a planner learns how busy it was. */
constexpr base::Duration kWorkPeriod = std::chrono::milliseconds(250);

/** Addresses of the hosts other than the planner's. */
std::vector<base::Endpoint> OtherHosts() {
  return {{"10.0.1.1", 1}, {"10.0.1.2", 1}};
}

}  // namespace

PlannerCutOff PoolCell::FindCutOff(const PlannerProcess& planner) const {
  const auto found = this->faults.planner_cut_offs.find(planner.fence);
  return found == this->faults.planner_cut_offs.end() ? PlannerCutOff{}
                                                      : found->second;
}

PoolWorker* PoolCell::FindReachableWorker(const PlannerProcess& planner,
                                          const base::WorkerId& id) {
  if (this->faults.unreachable_workers.contains(id)) return nullptr;
  if (this->FindCutOff(planner).workers.contains(id)) return nullptr;
  return this->FindRunningWorker(id);
}

PoolWorker* PoolCell::FindRunningWorker(const base::WorkerId& id) {
  if (this->restarting_workers.contains(id)) return nullptr;
  if (this->shut_down_workers.contains(id)) return nullptr;
  for (const auto& worker : this->workers) {
    if (worker->record.worker == id) return worker.get();
  }
  return nullptr;
}

void PoolCell::ConfirmLeadership(PlannerProcess& planner) {
  const base::Instant sent_at = this->current_time;
  const PlannerCutOff cut_off = this->FindCutOff(planner);
  const bool is_leader = planner.fence == this->leader_fence;
  if (!cut_off.hosts) {
    for (const base::Endpoint& host : OtherHosts()) {
      planner.evidence.OnHostSeen(host, sent_at);
    }
  }
  if (planner.evidence.ShouldReadKey(sent_at) && !cut_off.store && is_leader) {
    this->Schedule(kRoundTrip, [&planner, sent_at] {
      planner.evidence.OnStoreConfirmation(sent_at);
    });
  }
  for (const base::Endpoint& host : planner.evidence.TakeHostsToAsk(sent_at)) {
    if (cut_off.hosts || !is_leader) continue;
    this->Schedule(kRoundTrip, [&planner, host, sent_at] {
      planner.evidence.OnHostAnswer(host, sent_at);
    });
  }
  planner.planner->SetLeadershipConfirmedAt(
      planner.evidence.ConfirmedAt(this->current_time));
}

void PoolCell::HandleInTurn(PlannerProcess& planner,
                            std::function<void()> handle) {
  const auto handle_if_alive = [&planner, handle = std::move(handle)] {
    if (planner.alive) handle();
  };
  if (this->faults.answer_handling_time.count() == 0) {
    handle_if_alive();
    return;
  }
  planner.busy_until = std::max(planner.busy_until, this->current_time) +
                       this->faults.answer_handling_time;
  planner.work_since_recorded += this->faults.answer_handling_time;
  this->Schedule(planner.busy_until - this->current_time, handle_if_alive);
}

void PoolCell::RecordWork(PlannerProcess& planner) {
  const base::Duration period = this->current_time - planner.work_recorded_at;
  if (period < kWorkPeriod) return;
  const base::Duration busy = std::min(period, planner.work_since_recorded);
  planner.planner->RecordWork(busy, period);
  planner.work_since_recorded -= busy;
  planner.work_recorded_at = this->current_time;
}

void PoolCell::ExecuteAdvice(PlannerProcess& planner,
                             const pool::AdviceQuery& query) {
  this->Schedule(query.expected_duration, [this, &planner, query] {
    pool::AdviceReply reply{.answered = true,
                            .ticket_lifetime = std::chrono::seconds(2)};
    for (const base::WorkerId& worker : query.workers) {
      // w0 and w1 get tickets for every job. Each other worker gets them for
      // about half of the jobs; the hash gives repeated queries the same
      // answer.
      const size_t hash =
          std::hash<std::string>()(query.job.value + worker.value);
      const bool gets_all_tickets =
          worker.value == "w0" || worker.value == "w1";
      if (gets_all_tickets || hash % 2 == 0)
        reply.tickets.push_back({worker, "ticket"});
    }
    this->HandleInTurn(planner, [this, &planner, query, reply] {
      planner.planner->OnAdvice(query.job, query.occurrence, query.step, reply,
                                this->GetPlannerTime());
    });
  });
}

}  // namespace agatepass::fakes
