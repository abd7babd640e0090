// Recovery of a JobKeeper: adopted journals, proofs by workers, tasks in doubt.
#include <algorithm>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/jobs/job_keeper.h"
#include "fmt/format.h"

namespace agatepass::jobs {
namespace {

using base::ResultCode;

/** Attempts of one generation; a worker never sees an id twice. */
constexpr uint32_t kAttemptsPerGeneration = 1024;

}  // namespace

void JobKeeper::ListJournals(base::Instant now, Effects& effects) {
  if (this->listing || this->journal.state() != JournalState::kOpen) return;
  platform::StoreCall call;
  call.verb = platform::StoreVerb::kList;
  call.key = std::string(kJournalPrefix);
  call.call_class = platform::CallClass::kBackground;
  this->listing = this->numbers.Take();
  this->sent_at[*this->listing] = this->newest;
  effects.store_calls.push_back({*this->listing, std::move(call)});
  this->journal.Poll(now, effects.store_calls);
}

void JobKeeper::AdoptJournalOf(const Incarnation& dead, base::Instant now,
                               Effects& effects) {
  if (this->journal.state() != JournalState::kOpen) return;
  this->wanted_adoptions.try_emplace(dead, now);
  this->journal.Verify(now);
  this->BeginWantedAdoptions();
  const size_t before = effects.store_calls.size();
  this->journal.Poll(now, effects.store_calls);
  this->adoptions.Poll(now, effects.store_calls);
  for (size_t call = before; call < effects.store_calls.size(); ++call) {
    this->sent_at[effects.store_calls[call].call_id] = this->newest;
  }
}

// A host whose own journal was sealed without its notice must not seal another
// one: nobody could then finish either adoption. So it looks at its own first.
void JobKeeper::BeginWantedAdoptions() {
  std::erase_if(this->wanted_adoptions, [this](const auto& wanted) {
    const auto& [dead, since] = wanted;
    if (!this->journal.VerifiedSince(since)) return false;
    this->adoptions.Begin(dead);
    return true;
  });
}

void JobKeeper::FinishSealing(const SealedJournal& sealed, base::Instant now,
                              base::WallTime wall, Effects& effects) {
  if (sealed.lost_to || sealed.malformed) {
    effects.events.push_back(
        {JobEventKind::kAdoptionLost,
         {},
         {},
         sealed.malformed
             ? fmt::format("journal of {} is malformed; repair it by hand",
                           sealed.dead.ToString())
             : fmt::format("journal of {} is sealed by {}",
                           sealed.dead.ToString(),
                           sealed.lost_to->ToString())});
    return;
  }
  std::set<base::DataCentreId> scope;
  // If the adopter before this one had recorded all of it, what is left in the
  // old journal is out of date.
  if (!this->adopted.contains(sealed.dead)) {
    for (const auto& [id, record] : sealed.content.jobs) {
      if (this->jobs.contains(id)) continue;
      this->CarryJob(record, now, effects);
      scope.insert(record.scope.begin(), record.scope.end());
    }
  }
  this->adopted.insert(sealed.dead);
  this->adopted.insert(sealed.content.adopted.begin(),
                       sealed.content.adopted.end());
  for (const Incarnation& from : sealed.content.adopted) {
    this->journal.Append(JournalAdopted{from}, Urgency::kNow, now);
  }
  const uint64_t position =
      this->journal.Append(JournalAdopted{sealed.dead}, Urgency::kNow, now);
  this->discards.emplace(position, sealed.dead);
  effects.proofs_wanted.insert(effects.proofs_wanted.end(), scope.begin(),
                               scope.end());
  effects.events.push_back(
      {JobEventKind::kAdopted, {}, {}, sealed.dead.ToString()});
  this->ResolveUnaccounted(now, wall, effects);
}

void JobKeeper::CarryJob(const JobRecord& record, base::Instant now,
                         Effects& effects) {
  JobState& job = this->jobs[record.id];
  job.record = record;
  ++job.record.generation;
  job.cancelling = record.cancelled;
  job.adopted_at_proof = this->next_proof++;
  job.adopted_at = now;
  job.tasks.resize(record.spec.task_count);
  const uint32_t first_attempt = job.record.generation * kAttemptsPerGeneration;
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    TaskInfo& task = job.tasks[index];
    task.attempt = first_attempt;
    task.state = RecordedState(job.record, index);
    if (task.state != TaskState::kWaiting) continue;
    task.state = TaskState::kInDoubt;
    task.unaccounted = true;
  }
  if (!record.spec.idempotency_key.empty()) {
    this->keys.emplace(std::pair{record.spec.team, record.spec.idempotency_key},
                       record.id);
  }
  // The tasks stay in doubt until this record is in the journal, too.
  job.position =
      this->journal.Append(JobRecorded{job.record}, Urgency::kNow, now);
  this->unproven.insert(record.id);
  const bool unclaimed =
      !record.key_confirmed && !record.spec.idempotency_key.empty();
  job.phase = unclaimed ? JobPhase::kJournalling : JobPhase::kAccepted;
  if (unclaimed) this->submitting.insert(record.id);
  effects.events.push_back({JobEventKind::kAdopted, record.id});
}

bool JobKeeper::ScopeIsProven(const JobState& job, base::Instant now,
                              bool& memory_kept) const {
  memory_kept = true;
  for (const base::DataCentreId& data_centre : job.record.scope) {
    const auto known = this->workers.find(data_centre);
    if (known == this->workers.end()) return false;
    for (const base::WorkerId& worker : known->second) {
      const auto proof = this->proofs.find(worker);
      const bool proven = proof != this->proofs.end() &&
                          proof->second.number > job.adopted_at_proof &&
                          proof->second.asked > job.adopted_at;
      if (proven) {
        memory_kept = memory_kept && proof->second.memory_kept;
        continue;
      }
      // On a silent worker an idempotent task stops with its lease.
      const auto quiet = this->silent.find(worker);
      const bool lapsed = quiet != this->silent.end() &&
                          now >= std::max(quiet->second, job.adopted_at) +
                                     this->options.task_lease;
      if (!lapsed || !job.record.spec.idempotent) return false;
    }
  }
  return true;
}

void JobKeeper::ResolveUnaccounted(base::Instant now, base::WallTime wall,
                                   Effects& effects) {
  if (this->unproven.empty() ||
      this->journal.state() == JournalState::kFenced) {
    return;
  }
  const std::vector<base::JobId> open(this->unproven.begin(),
                                      this->unproven.end());
  for (const base::JobId& id : open) {
    JobState& job = this->jobs.at(id);
    bool memory_kept = true;
    const bool resolvable = job.phase == JobPhase::kAccepted &&
                            job.position <= this->journal.committed() &&
                            this->ScopeIsProven(job, now, memory_kept);
    if (!resolvable) continue;
    for (uint32_t index = 0; index < job.tasks.size(); ++index) {
      if (!job.tasks[index].unaccounted) continue;
      if (memory_kept || job.record.spec.idempotent) {
        this->MakeReady(job, index, now, wall, effects);
      } else {
        this->DoubtTask(job, index, "a worker in scope lost its memory", true,
                        now, wall, effects);
      }
    }
    this->unproven.erase(id);
  }
}

std::optional<base::WallTime> JobKeeper::OldestUnproven() const {
  std::optional<base::WallTime> oldest;
  for (const base::JobId& id : this->unproven) {
    const base::WallTime accepted = this->jobs.at(id).record.accepted;
    if (!oldest || accepted < *oldest) oldest = accepted;
  }
  return oldest;
}

std::vector<base::WorkerId> JobKeeper::WorkersInUse() const {
  std::vector<base::WorkerId> used;
  for (const auto& [worker, tasks] : this->on_worker) {
    if (!tasks.empty()) used.push_back(worker);
  }
  return used;
}

void JobKeeper::SetWorkers(const base::DataCentreId& data_centre,
                           std::span<const base::WorkerId> workers,
                           base::Instant now, base::WallTime wall,
                           Effects& effects) {
  // A worker that left the list may still run what it was given: only its own
  // proof, or an operator, takes it out of the account.
  this->workers[data_centre].insert(workers.begin(), workers.end());
  this->Pump(now, wall, effects);
}

void JobKeeper::OnInventory(const WorkerInventory& inventory, base::Instant now,
                            base::WallTime wall, Effects& effects) {
  this->silent.erase(inventory.worker);
  std::set<TaskKey> reported;
  for (const platform::TaskReport& report : inventory.tasks) {
    if (const auto name = ParseTaskId(report.task)) {
      reported.insert({name->job, name->index});
    }
    this->OnTaskReport(inventory.worker, report, now, wall, effects);
  }
  if (const auto known = this->on_worker.find(inventory.worker);
      known != this->on_worker.end()) {
    const std::set<TaskKey> tasks = known->second;
    for (const auto& [id, index] : tasks) {
      if (reported.contains({id, index})) continue;
      this->ResolveMissing(this->jobs.at(id), index, inventory, now, wall,
                           effects);
    }
  }
  if (inventory.kind != InventoryKind::kRenewal) {
    this->proofs[inventory.worker] = {this->next_proof++,
                                      inventory.kind == InventoryKind::kClaim,
                                      inventory.asked};
    if (inventory.own_claim) {
      this->own_claims.insert_or_assign(inventory.worker, now);
      this->journal.Verify(now);
    }
  }
  this->Pump(now, wall, effects);
}

void JobKeeper::ResolveMissing(JobState& job, uint32_t index,
                               const WorkerInventory& inventory,
                               base::Instant now, base::WallTime wall,
                               Effects& effects) {
  const TaskInfo& task = job.tasks[index];
  if (inventory.asked <= task.since) return;
  const bool claim = inventory.kind != InventoryKind::kRenewal;
  const bool idempotent = job.record.spec.idempotent;
  const std::string reason = fmt::format(
      "worker \"{}\" does not know it any more", inventory.worker.value);
  if (task.state == TaskState::kRunning) {
    // It had begun, and the worker lost its end.
    if (idempotent) {
      this->MakeReady(job, index, now, wall, effects);
    } else {
      this->DoubtTask(job, index, reason, true, now, wall, effects);
    }
    return;
  }
  // Without a higher epoch the start may still be on its way.
  if (!claim || inventory.epoch <= task.epoch) return;
  if (inventory.kind == InventoryKind::kClaim || idempotent) {
    const bool never_began = task.state == TaskState::kStarting || idempotent;
    if (never_began) this->MakeReady(job, index, now, wall, effects);
  } else if (task.state == TaskState::kStarting) {
    this->DoubtTask(job, index, reason, true, now, wall, effects);
  }
}

void JobKeeper::OnWorkerSilent(const base::WorkerId& worker,
                               base::Instant last_contact, base::Instant now,
                               base::WallTime wall, Effects& effects) {
  this->silent.insert_or_assign(worker, last_contact);
  this->Pump(now, wall, effects);
}

void JobKeeper::LapseSilentTasks(base::Instant now, base::WallTime wall,
                                 Effects& effects) {
  for (const auto& [worker, last_contact] : this->silent) {
    const auto known = this->on_worker.find(worker);
    if (known == this->on_worker.end()) continue;
    const std::set<TaskKey> tasks = known->second;
    for (const auto& [id, index] : tasks) {
      JobState& job = this->jobs.at(id);
      TaskInfo& task = job.tasks[index];
      const base::Instant lapse =
          std::max(last_contact, task.since) + this->options.task_lease;
      const bool open = task.state == TaskState::kStarting ||
                        task.state == TaskState::kRunning;
      if (!open || now < lapse) continue;
      if (job.record.spec.idempotent) {
        this->MakeReady(job, index, now, wall, effects);
      } else {
        this->DoubtTask(job, index,
                        fmt::format("worker \"{}\" is silent", worker.value),
                        false, now, wall, effects);
      }
    }
  }
}

std::vector<DoubtfulTask> JobKeeper::InDoubt() const {
  std::vector<DoubtfulTask> tasks;
  for (const auto& [id, job] : this->jobs) {
    for (uint32_t index = 0; index < job.tasks.size(); ++index) {
      const TaskInfo& task = job.tasks[index];
      if (task.state != TaskState::kInDoubt) continue;
      std::string settled_by = "an operator";
      if (task.unaccounted) {
        settled_by = "claims of all workers in scope, or an operator";
      } else if (!task.worker.empty()) {
        settled_by = fmt::format("the return of worker \"{}\", or an operator",
                                 task.worker.value);
      }
      tasks.push_back({id, index, job.record.spec.idempotent, task.worker,
                       std::move(settled_by)});
    }
  }
  return tasks;
}

uint64_t JobKeeper::Settle(const base::JobId& job, uint32_t index, bool ran,
                           std::string_view who, base::Instant now,
                           base::WallTime wall, Effects& effects) {
  const uint64_t id = this->next_answer++;
  const JobState* state = this->FindJob(job);
  const bool valid = state != nullptr && index < state->tasks.size() &&
                     state->tasks[index].state == TaskState::kInDoubt &&
                     !who.empty();
  if (!valid) {
    effects.settles.push_back(
        {id,
         state == nullptr ? ResultCode::kNotFound : ResultCode::kInvalidRequest,
         fmt::format("task {} of job \"{}\" is not in doubt here, or the "
                     "operator is not named",
                     index, job.value)});
    return id;
  }
  const uint64_t position = this->journal.Append(
      TaskDecided{job, index, ran, std::string(who), wall}, Urgency::kNow, now);
  this->settles.push_back({id, position, job, index, ran, std::string(who)});
  this->Pump(now, wall, effects);
  return id;
}

void JobKeeper::AnswerSettle(const OpenSettle& settle, base::Instant now,
                             base::WallTime wall, Effects& effects) {
  JobState* job = this->FindJob(settle.job);
  if (job == nullptr || job->tasks[settle.index].state != TaskState::kInDoubt) {
    effects.settles.push_back({settle.id, ResultCode::kSuperseded,
                               "a worker has told what became of the task"});
    return;
  }
  effects.events.push_back(
      {JobEventKind::kSettled, settle.job,
       MakeTaskId({settle.job, settle.index, job->tasks[settle.index].attempt}),
       fmt::format("{} says {}", settle.who, settle.ran ? "ran" : "not run")});
  if (settle.ran) {
    this->EndTask(*job, settle.index, TaskState::kSucceeded,
                  fmt::format("settled by {}", settle.who), now, wall, effects);
  } else {
    RemoveFromDoubt(settle.index, job->record);
    this->MakeReady(*job, settle.index, now, wall, effects);
  }
  effects.settles.push_back({settle.id, ResultCode::kOk, ""});
}

}  // namespace agatepass::jobs
