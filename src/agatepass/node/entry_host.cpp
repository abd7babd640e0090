#include "agatepass/node/entry_host.h"

#include <iterator>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/placement/explanation.h"
#include "fmt/format.h"

namespace agatepass::node {

using base::Instant;
using base::WallTime;
using timeline::EventKind;

namespace {

EventKind ToEventKind(jobs::JobEventKind kind) {
  switch (kind) {
    case jobs::JobEventKind::kAccepted:
      return EventKind::kAccepted;
    case jobs::JobEventKind::kRefused:
      return EventKind::kRefused;
    case jobs::JobEventKind::kEnded:
      return EventKind::kEnded;
    case jobs::JobEventKind::kCancelled:
      return EventKind::kCancelled;
    case jobs::JobEventKind::kInDoubt:
      return EventKind::kInDoubt;
    case jobs::JobEventKind::kSettled:
      return EventKind::kSettled;
    case jobs::JobEventKind::kAdopted:
      return EventKind::kAdopted;
    default:
      return EventKind::kFaultSeen;
  }
}

membership::LivenessOptions MakeLivenessOptions(
    const EntryHostOptions& options) {
  membership::LivenessOptions result;
  result.own_host = options.self.host;
  result.incarnation = options.self.number;
  result.data_centre = options.data_centre;
  return result;
}

template <typename Item>
void MoveTo(std::vector<Item>& from, std::vector<Item>& to) {
  to.insert(to.end(), std::make_move_iterator(from.begin()),
            std::make_move_iterator(from.end()));
  from.clear();
}

}  // namespace

EntryHost::EntryHost(const EntryHostOptions& options, Instant now)
    : options(options),
      keeper(options.jobs, options.self, options.seed),
      planner(options.seed),
      ownership(options.self.host, options.ownership),
      liveness(MakeLivenessOptions(options), now) {}

void EntryHost::SetPolicy(const placement::Policy& policy) {
  this->planner.SetPolicy(policy);
}

uint64_t EntryHost::Submit(const jobs::JobSpec& spec, Instant now,
                           WallTime wall, Effects& effects) {
  jobs::Effects job_effects;
  const uint64_t number = this->keeper.Submit(spec, now, wall, job_effects);
  this->TakeJobEffects(job_effects, now, wall, effects);
  return number;
}

uint64_t EntryHost::Cancel(const base::JobId& job, const base::TeamId& team,
                           Instant now, WallTime wall, Effects& effects) {
  jobs::Effects job_effects;
  const uint64_t number =
      this->keeper.Cancel(job, team, now, wall, job_effects);
  this->TakeJobEffects(job_effects, now, wall, effects);
  return number;
}

uint64_t EntryHost::Settle(const base::JobId& job, uint32_t index, bool ran,
                           std::string_view who, Instant now, WallTime wall,
                           Effects& effects) {
  jobs::Effects job_effects;
  const uint64_t number =
      this->keeper.Settle(job, index, ran, who, now, wall, job_effects);
  this->TakeJobEffects(job_effects, now, wall, effects);
  return number;
}

void EntryHost::Adopt(const jobs::Incarnation& dead, Instant now, WallTime wall,
                      Effects& effects) {
  jobs::Effects job_effects;
  this->keeper.AdoptJournalOf(dead, now, job_effects);
  this->TakeJobEffects(job_effects, now, wall, effects);
}

void EntryHost::OnStoreReply(uint64_t call_id,
                             const platform::StoreReply& reply, Instant now,
                             WallTime wall, Effects& effects) {
  jobs::Effects job_effects;
  this->keeper.OnStoreReply(call_id, reply, now, wall, job_effects);
  this->TakeJobEffects(job_effects, now, wall, effects);
}

void EntryHost::OnTick(Instant now, WallTime wall, Effects& effects) {
  membership::OwnershipEffects owner_effects = this->ownership.OnTick(now);
  this->TakeOwnershipEffects(owner_effects, now, wall, effects);
  jobs::Effects job_effects;
  this->keeper.OnTick(now, wall, job_effects);
  this->TakeJobEffects(job_effects, now, wall, effects);
  this->TickPeers(now, wall, effects);
  if (this->planner.waiting() > 0) {
    // Work waits for room: learn soon of the tasks that have ended.
    this->ownership.RenewSoon(this->options.busy_renew_period, now);
  }
  this->Decide(now, wall, effects);
}

void EntryHost::Drain(Instant now, WallTime wall, Effects& effects) {
  this->draining = true;
  this->liveness.Leave();
  this->keeper.Drain();
  this->starts.clear();
  membership::OwnershipEffects owner_effects = this->ownership.Drain(now);
  this->TakeOwnershipEffects(owner_effects, now, wall, effects);
}

bool EntryHost::idle() const {
  return this->commands.empty() && this->starts.empty() && this->keeper.idle();
}

absl::StatusOr<std::string> EntryHost::Explain(std::string_view id,
                                               Instant now) const {
  std::optional<placement::Explanation> why =
      this->planner.Explain(base::TaskId(id), now);
  if (!why) why = this->planner.Explain(base::JobId(id), now);
  if (why) return placement::Render(*why);
  return base::ErrorStatus(
      base::ResultCode::kNotFound,
      fmt::format("entry host \"{}\" has no decision on \"{}\"",
                  this->options.self.host.value, id));
}

void EntryHost::TakeJobEffects(jobs::Effects& from, Instant now, WallTime wall,
                               Effects& effects) {
  MoveTo(from.store_calls, effects.store_calls);
  MoveTo(from.submissions, effects.submissions);
  MoveTo(from.cancels, effects.cancels);
  MoveTo(from.settles, effects.settles);
  effects.fenced = effects.fenced || from.fenced;
  this->TakeJobEvents(from, effects);
  for (const base::TaskId& task : from.withdrawn) this->planner.Cancel(task);
  for (const jobs::TaskOnWorker& stop : from.stops) {
    this->StopTask(stop, now, effects);
  }
  for (const jobs::TaskOnWorker& done : from.acknowledgements) {
    this->AcknowledgeEnd(done, effects);
  }
  for (const jobs::ReadyTask& ready : from.ready) {
    this->EnqueueReady(ready, now, effects);
  }
  for (const base::WorkerId& worker : from.claims_wanted) {
    membership::OwnershipEffects claim = this->ownership.Reclaim(worker, now);
    this->TakeOwnershipEffects(claim, now, wall, effects);
  }
  if (!from.proofs_wanted.empty()) this->AskForProofs(now, wall, effects);
  if (!from.journals.empty()) {
    jobs::Effects adoption;
    this->AdoptOrphans(from.journals, now, adoption);
    this->TakeJobEffects(adoption, now, wall, effects);
  }
  if (!from.ready.empty()) this->Decide(now, wall, effects);
}

void EntryHost::TakeJobEvents(const jobs::Effects& from, Effects& effects) {
  for (const jobs::JobEvent& event : from.events) {
    const std::string& task = event.task.value;
    effects.events.push_back({ToEventKind(event.kind),
                              task.empty() ? event.job.value : task,
                              task.empty() ? "" : event.job.value,
                              base::ResultCode::kOk, event.detail});
  }
}

void EntryHost::EnqueueReady(const jobs::ReadyTask& ready, Instant now,
                             Effects& effects) {
  const jobs::JobRecord* record = this->keeper.FindRecord(ready.job);
  if (record == nullptr) return;
  const absl::Status status =
      this->planner.Enqueue(this->MakeRequest(ready.task, *record, now), now);
  if (status.ok()) return;
  effects.events.push_back({EventKind::kDelayed, ready.task.value,
                            ready.job.value, base::ResultCodeOf(status),
                            std::string(status.message())});
}

void EntryHost::StopTask(const jobs::TaskOnWorker& stop, Instant /*now*/,
                         Effects& effects) {
  const auto epoch = this->ownership.epoch(stop.worker);
  if (!epoch) return;
  platform::WorkerCall call;
  call.verb = platform::WorkerVerb::kStop;
  call.worker = stop.worker;
  call.epoch = *epoch;
  call.tasks.push_back(stop.task);
  this->SendCall(std::move(call), effects);
}

void EntryHost::Decide(Instant now, WallTime /*wall*/, Effects& effects) {
  if (this->draining) return;
  const std::vector<placement::Decision> decisions =
      this->planner.Decide(now, this->options.decisions_at_once);
  for (const placement::Decision& decision : decisions) {
    this->CarryDecision(decision, now, effects);
  }
  this->SendStarts(now, effects);
}

}  // namespace agatepass::node
