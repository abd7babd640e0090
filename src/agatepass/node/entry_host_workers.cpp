// What an entry host does with what its workers tell: gains, losses, reports.
#include <algorithm>
#include <utility>

#include "agatepass/node/entry_host.h"
#include "fmt/format.h"

namespace agatepass::node {

using base::Instant;
using base::WallTime;
using base::WorkerId;
using platform::TaskPhase;
using timeline::EventKind;

void EntryHost::SetHosts(std::span<const platform::HostRecord> hosts,
                         Instant now, WallTime wall, Effects& effects) {
  std::vector<platform::HostRecord> own;
  std::map<base::DataCentreId, std::vector<WorkerId>> by_data_centre;
  for (const platform::HostRecord& host : hosts) {
    if (host.role != platform::HostRole::kWorker) continue;
    const WorkerId worker(host.name);
    by_data_centre[host.data_centre].push_back(worker);
    if (host.data_centre != this->options.data_centre) continue;
    own.push_back(host);
    this->places[worker] = {host.rack, host.label, host.state, host.total};
  }
  this->ownership.SetWorkers(own);
  this->TakeEntryHosts(hosts, now, effects);
  for (const auto& [worker, place] : this->places) this->ShowWorker(worker);
  jobs::Effects job_effects;
  for (const auto& [data_centre, workers] : by_data_centre) {
    this->keeper.SetWorkers(data_centre, workers, now, wall, job_effects);
  }
  this->TakeJobEffects(job_effects, now, wall, effects);
}

void EntryHost::ShowWorker(const WorkerId& worker) {
  const WorkerPlace& place = this->places[worker];
  const auto own = this->held.find(worker);
  placement::WorkerView view;
  view.worker = worker;
  view.rack = place.rack;
  view.data_centre = this->options.data_centre;
  view.label = place.label;
  if (own == this->held.end()) {
    // Others place on it; what it has still says what could ever run.
    view.total = place.total;
    view.state = placement::WorkerState::kUnowned;
  } else {
    view.total = own->second;
    view.state = place.state == platform::HostState::kLeaving
                     ? placement::WorkerState::kLeaving
                     : placement::WorkerState::kLive;
  }
  this->planner.UpsertWorker(view);
}

void EntryHost::OnWorkerReply(uint64_t call_id,
                              const platform::WorkerReply& reply, Instant now,
                              WallTime wall, Effects& effects) {
  if (const auto entry = this->ownership_calls.find(call_id);
      entry != this->ownership_calls.end()) {
    const uint64_t number = entry->second;
    this->ownership_calls.erase(entry);
    membership::OwnershipEffects owner_effects =
        this->ownership.OnReply(number, reply, now);
    this->TakeOwnershipEffects(owner_effects, now, wall, effects);
    return;
  }
  const auto entry = this->commands.find(call_id);
  if (entry == this->commands.end()) return;
  const platform::WorkerCall call = std::move(entry->second);
  this->commands.erase(entry);
  if (call.verb == platform::WorkerVerb::kStart) {
    this->TakeStartReply(call, reply, now, wall, effects);
  }
  if (reply.outcome == platform::Outcome::kRefused) {
    membership::OwnershipEffects owner_effects =
        this->ownership.OnStaleEpoch(call.worker, call.epoch);
    this->TakeOwnershipEffects(owner_effects, now, wall, effects);
  }
}

void EntryHost::TakeOwnershipEffects(membership::OwnershipEffects& from,
                                     Instant now, WallTime wall,
                                     Effects& effects) {
  for (membership::OwnershipCall& call : from.calls) {
    const uint64_t number = this->next_call++;
    this->ownership_calls[number] = call.call;
    effects.worker_calls.push_back({number, std::move(call.command)});
  }
  for (const membership::WorkerLost& lost : from.lost) {
    this->TakeLoss(lost, effects);
  }
  for (const membership::WorkerGained& gained : from.gained) {
    this->TakeGain(gained, now, wall, effects);
  }
  for (const membership::WorkerReported& report : from.reports) {
    this->SendProofs(report, effects);
    this->TakeReports(report.worker, report.tasks, now, wall, effects);
    jobs::Effects job_effects;
    this->keeper.OnInventory(
        {.worker = report.worker,
         .kind = jobs::InventoryKind::kRenewal,
         .epoch = this->ownership.epoch(report.worker).value_or(0),
         .asked = report.asked,
         .tasks = report.tasks},
        now, wall, job_effects);
    this->TakeJobEffects(job_effects, now, wall, effects);
    this->DropAbsent(report.worker, report.tasks, report.asked, now);
  }
}

void EntryHost::TakeGain(const membership::WorkerGained& gained, Instant now,
                         WallTime wall, Effects& effects) {
  const bool is_new = this->held.emplace(gained.worker, gained.total).second;
  this->held[gained.worker] = gained.total;
  if (is_new) {
    effects.events.push_back({EventKind::kLeaseGranted, gained.worker.value, "",
                              base::ResultCode::kOk,
                              fmt::format("epoch {}", gained.epoch)});
  }
  this->ShowWorker(gained.worker);
  this->TakeReports(gained.worker, gained.tasks, now, wall, effects);
  jobs::Effects job_effects;
  this->keeper.OnInventory({.worker = gained.worker,
                            .kind = this->ClaimKind(gained.memory_age, wall),
                            .epoch = gained.epoch,
                            .asked = gained.asked,
                            .own_claim = true,
                            .tasks = gained.tasks},
                           now, wall, job_effects);
  this->TakeJobEffects(job_effects, now, wall, effects);
  this->DropAbsent(gained.worker, gained.tasks, gained.asked, now);
  this->Decide(now, wall, effects);
}

void EntryHost::TakeLoss(const membership::WorkerLost& lost, Effects& effects) {
  this->held.erase(lost.worker);
  // Whoever holds the worker next finds its tasks in the inventory.
  for (const base::TaskId& task : this->running.On(lost.worker)) {
    this->running.Remove(task);
  }
  this->planner.RemoveWorker(lost.worker);
  this->ShowWorker(lost.worker);
  effects.events.push_back({EventKind::kLeaseLost, lost.worker.value, "",
                            base::ResultCode::kOk,
                            fmt::format("epoch {}", lost.epoch)});
}

void EntryHost::TakeReports(const WorkerId& worker,
                            std::span<const platform::TaskReport> reports,
                            Instant now, WallTime wall, Effects& effects) {
  this->NoteForeignTasks(worker, reports);
  for (const platform::TaskReport& report : reports) {
    jobs::Effects job_effects;
    this->keeper.OnTaskReport(worker, report, now, wall, job_effects);
    this->TakeJobEffects(job_effects, now, wall, effects);
    if (report.phase == TaskPhase::kRunning) {
      if (this->running.Find(report.task) == nullptr) {
        this->AdoptOnWorker(worker, report, now);
      }
      this->planner.OnUsage(worker, report.task, report.used);
    } else {
      const auto ended = this->running.Remove(report.task);
      const base::Duration run_time = ended ? now - ended->since : now - now;
      this->planner.OnEnded(report.task, report.phase != TaskPhase::kFailed,
                            report.used, run_time, now);
    }
  }
}

void EntryHost::AdoptOnWorker(const WorkerId& worker,
                              const platform::TaskReport& report, Instant now) {
  this->running.Add(report.task, {worker, now, false});
  placement::TaskRequest request;
  const auto name = jobs::ParseTaskId(report.task);
  const jobs::JobRecord* record =
      name ? this->keeper.FindRecord(name->job) : nullptr;
  if (record != nullptr) {
    request = this->MakeRequest(report.task, *record, now);
  } else {
    // A job of another entry host: its size counts, nothing else is known.
    request.task = report.task;
    if (name) request.job = name->job;
    request.declared = report.declared;
  }
  this->planner.Adopt(request, worker, report.declared, now);
}

void EntryHost::DropAbsent(const WorkerId& worker,
                           std::span<const platform::TaskReport> reports,
                           Instant asked, Instant now) {
  for (const base::TaskId& task : this->running.On(worker)) {
    const bool reported =
        std::any_of(reports.begin(), reports.end(),
                    [&task](const platform::TaskReport& entry) {
                      return entry.task == task;
                    });
    const RunningTask* entry = this->running.Find(task);
    // What started after the question may be missing from the answer.
    if (reported || entry->starting || entry->since >= asked) continue;
    this->running.Remove(task);
    this->planner.OnStartFailed(task, worker, placement::StartFailure::kNotSent,
                                now);
    this->planner.Cancel(task);
  }
}

}  // namespace agatepass::node
