// What entry hosts do for each other: signs of life, taking over from the dead,
// reports of tasks whose job another host keeps.
#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "agatepass/base/text.h"
#include "agatepass/node/entry_host.h"
#include "fmt/format.h"

namespace agatepass::node {

using base::HostId;
using base::Instant;
using base::WallTime;
using base::WorkerId;
using membership::MemberState;
using timeline::EventKind;

namespace {

constexpr base::Duration kJournalListPeriod = std::chrono::seconds(3);
constexpr size_t kProofQueriesKept = 16;
constexpr size_t kProofWords = 3;
constexpr base::Duration kClockMargin = std::chrono::seconds(5);
constexpr base::Duration kEvenSplitWait = std::chrono::seconds(30);
constexpr base::Duration kProofQueryPeriod = std::chrono::seconds(1);
constexpr base::Duration kForeignReportPeriod = std::chrono::seconds(1);

EventKind ToEventKind(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return EventKind::kPeerSeen;
    case MemberState::kSuspect:
      return EventKind::kPeerSuspected;
    default:
      return EventKind::kPeerLost;
  }
}

}  // namespace

void EntryHost::TakeEntryHosts(std::span<const platform::HostRecord> hosts,
                               Instant now, Effects& effects) {
  std::vector<membership::ListedHost> listed;
  for (const platform::HostRecord& host : hosts) {
    if (host.role != platform::HostRole::kEntryHost) continue;
    listed.push_back({HostId(host.name), host.data_centre,
                      host.state == platform::HostState::kLeaving});
  }
  membership::LivenessEffects changes = this->liveness.OnHostList(now, listed);
  this->TakeLiveness(changes, effects);
}

void EntryHost::TakeLiveness(membership::LivenessEffects& from,
                             Effects& effects) {
  for (membership::OutgoingHeartbeat& beat : from.heartbeats) {
    effects.peer_sends.push_back({beat.to, std::move(beat.heartbeat)});
  }
  for (const membership::MemberChange& change : from.changes) {
    effects.events.push_back(
        {ToEventKind(change.after), change.host.value, "",
         base::ResultCode::kOk,
         fmt::format("{}{}", membership::MemberStateName(change.after),
                     change.restarted ? ", restarted" : "")});
  }
  if (!from.changes.empty()) this->ShareWorkers();
}

void EntryHost::ShareWorkers() {
  std::vector<HostId> live;
  std::vector<HostId> dead;
  for (const auto& [host, member] : this->liveness.members()) {
    if (member.data_centre != this->options.data_centre) continue;
    (member.live() ? live : dead).push_back(host);
  }
  this->ownership.SetLiveHosts(live);
  this->ownership.SetDeadHosts(dead);
}

membership::OwnReport EntryHost::MakeReport() const {
  membership::OwnReport report;
  report.config_revision = this->config.revision();
  report.room.queued_tasks = static_cast<uint32_t>(this->planner.waiting());
  for (const auto& [worker, total] : this->held) {
    report.workers.push_back(worker);
    const auto slot = this->planner.cell().Find(worker);
    if (!slot) continue;
    report.room.free += this->planner.cell().worker(*slot).Room();
  }
  return report;
}

void EntryHost::TickPeers(Instant now, WallTime wall, Effects& effects) {
  membership::LivenessEffects beats =
      this->liveness.OnTick(now, this->MakeReport());
  this->TakeLiveness(beats, effects);
  jobs::Effects job_effects;
  if (this->liveness.is_representative() && now >= this->next_journal_list) {
    this->next_journal_list = now + kJournalListPeriod;
    this->keeper.ListJournals(now, job_effects);
  }
  this->TakeJobEffects(job_effects, now, wall, effects);
  if (now >= this->next_proof_query && this->NeedsProofs()) {
    this->AskForProofs(now, wall, effects);
  }
  this->AskForRoom(now, effects);
  if (now >= this->next_foreign_report) {
    this->next_foreign_report = now + kForeignReportPeriod;
    this->TellForeignTasks(effects);
  }
}

// Two hosts that are cut off from each other must not adopt each other's
// journals: both would be fenced, and each one's jobs would wait for the other.
// So only the side with most of the data centre's hosts adopts; of two equal
// sides the one with the lowest name, the other much later.
bool EntryHost::MayAdopt(const membership::Member& dead, Instant now) const {
  size_t live = 0;
  size_t total = 0;
  HostId lowest;
  for (const auto& [host, member] : this->liveness.members()) {
    if (member.data_centre != this->options.data_centre) continue;
    if (member.state == MemberState::kLeaving) continue;
    ++total;
    if (member.live()) ++live;
    if (lowest.empty()) lowest = host;
  }
  if (live * 2 != total) return live * 2 > total;
  const bool speaks_for_half = lowest == this->options.self.host;
  return speaks_for_half || now - dead.since >= kEvenSplitWait;
}

void EntryHost::AdoptOrphans(std::span<const jobs::Incarnation> journals,
                             Instant now, jobs::Effects& job_effects) {
  for (const jobs::Incarnation& journal : journals) {
    if (journal == this->options.self) continue;
    const auto entry = this->liveness.members().find(journal.host);
    // A journal of a host that nobody knows has no data centre to run in here.
    if (entry == this->liveness.members().end()) continue;
    const membership::Member& member = entry->second;
    if (member.data_centre != this->options.data_centre) continue;
    const bool own_earlier_life = journal.host == this->options.self.host;
    const bool is_dead =
        member.state == MemberState::kDead && this->MayAdopt(member, now);
    const bool restarted = member.incarnation > journal.number;
    if (own_earlier_life || is_dead || restarted) {
      this->keeper.AdoptJournalOf(journal, now, job_effects);
    }
  }
}

// Adopted tasks need proofs of all workers; a task on a worker that another
// host holds by now needs that host's word.
bool EntryHost::NeedsProofs() const {
  if (this->keeper.awaits_proofs()) return true;
  const std::vector<WorkerId> used = this->keeper.WorkersInUse();
  return std::any_of(used.begin(), used.end(), [this](const WorkerId& worker) {
    return !this->ownership.epoch(worker);
  });
}

void EntryHost::AskForProofs(Instant now, WallTime wall, Effects& effects) {
  this->next_proof_query = now + kProofQueryPeriod;
  if (this->keeper.awaits_proofs()) {
    for (const auto& [worker, total] : std::map(this->held)) {
      membership::OwnershipEffects claim = this->ownership.Reclaim(worker, now);
      this->TakeOwnershipEffects(claim, now, wall, effects);
    }
  }
  const uint64_t number = this->next_proof_query_number++;
  this->proof_queries[number] = now;
  if (this->proof_queries.size() > kProofQueriesKept) {
    this->proof_queries.erase(this->proof_queries.begin());
  }
  const peers::TaskQuery query{base::JobId(std::to_string(number))};
  for (const HostId& peer : this->liveness.LocalPeers()) {
    effects.peer_sends.push_back({peer, query});
  }
}

void EntryHost::OnPeerMessage(const peers::Envelope& envelope, Instant now,
                              WallTime wall, Effects& effects) {
  if (const auto* beat = std::get_if<peers::Heartbeat>(&envelope.message)) {
    membership::LivenessEffects changes = this->liveness.OnHeartbeat(
        now, envelope.sender, envelope.incarnation, *beat);
    this->TakeLiveness(changes, effects);
    this->TakeConfigEffects(this->config.OnPeerRevision(now, envelope.sender,
                                                        beat->config_revision),
                            effects);
  } else if (this->TakeConfigMessage(envelope, now, effects)) {
    return;
  } else if (const auto* query =
                 std::get_if<peers::TaskQuery>(&envelope.message)) {
    this->proof_seekers[envelope.sender] = {now, query->job.value};
    this->ownership.RenewSoon(base::Duration(0), now);
  } else if (const auto* answer =
                 std::get_if<peers::TaskAnswer>(&envelope.message)) {
    this->TakeProof(*answer, now, wall, effects);
  } else if (const auto* reports =
                 std::get_if<peers::TaskReports>(&envelope.message)) {
    this->TakeForeignReports(envelope.sender, *reports, now, wall, effects);
  } else if (const auto* kept =
                 std::get_if<peers::TaskReportsAnswer>(&envelope.message)) {
    this->ForgetForeignTasks(*kept);
  } else if (const auto* request =
                 std::get_if<peers::Reserve>(&envelope.message)) {
    this->LendWorker(envelope.sender, *request, now, wall, effects);
  } else if (const auto* handover =
                 std::get_if<peers::Handover>(&envelope.message)) {
    this->BorrowWorkers(*handover, now, wall, effects);
  }
}

// An inventory of a renewal proves what an earlier owner's starts came to: the
// epoch held here is above all of theirs.
void EntryHost::SendProofs(const membership::WorkerReported& report,
                           Effects& effects) {
  if (this->proof_seekers.empty()) return;
  const platform::Epoch epoch =
      this->ownership.epoch(report.worker).value_or(0);
  for (const auto& [peer, seeker] : this->proof_seekers) {
    if (report.asked < seeker.since) continue;
    peers::TaskAnswer answer;
    // The first row has no task: it names the worker that is covered, and says
    // how long it remembers in milliseconds, its epoch and the query answered.
    platform::TaskReport covered;
    covered.result =
        fmt::format("{} {} {}", base::ToMilliseconds(report.memory_age), epoch,
                    seeker.query);
    answer.reports.push_back({report.worker, std::move(covered)});
    for (const platform::TaskReport& task : report.tasks) {
      answer.reports.push_back({report.worker, task});
    }
    effects.peer_sends.push_back({peer, std::move(answer)});
  }
}

// A worker that forgot everything after a job was accepted proves nothing about
// that job. The margin is for wall clocks of entry hosts that differ.
jobs::InventoryKind EntryHost::ClaimKind(base::Duration memory_age,
                                         WallTime wall) const {
  const std::optional<WallTime> oldest = this->keeper.OldestUnproven();
  if (!oldest) return jobs::InventoryKind::kClaim;
  const base::Duration job_age(wall.microseconds - oldest->microseconds);
  return memory_age >= job_age + kClockMargin
             ? jobs::InventoryKind::kClaim
             : jobs::InventoryKind::kClaimWithoutMemory;
}

void EntryHost::TakeProof(const peers::TaskAnswer& answer, Instant now,
                          WallTime wall, Effects& effects) {
  if (answer.reports.empty()) return;
  const WorkerId& worker = answer.reports.front().worker;
  const auto words = base::SplitList(answer.reports.front().report.result, ' ');
  if (words.size() != kProofWords) return;
  const base::Duration memory_age = std::chrono::milliseconds(
      base::ParseNumber<int64_t>(words[0]).value_or(0));
  const auto epoch = base::ParseNumber<platform::Epoch>(words[1]).value_or(0);
  const auto asked = this->proof_queries.find(
      base::ParseNumber<uint64_t>(words[2]).value_or(0));
  // An answer to a query that is forgotten proves nothing.
  if (asked == this->proof_queries.end() || epoch == 0) return;
  std::vector<platform::TaskReport> tasks;
  for (const peers::LocatedReport& row : answer.reports) {
    if (!row.report.task.empty()) tasks.push_back(row.report);
  }
  jobs::Effects job_effects;
  this->keeper.OnInventory({.worker = worker,
                            .kind = this->ClaimKind(memory_age, wall),
                            .epoch = epoch,
                            .asked = asked->second,
                            .tasks = tasks},
                           now, wall, job_effects);
  this->TakeJobEffects(job_effects, now, wall, effects);
}

void EntryHost::TellForeignTasks(Effects& effects) {
  if (this->foreign.empty()) return;
  peers::TaskReports message;
  for (const auto& [task, row] : this->foreign) message.reports.push_back(row);
  for (const HostId& peer : this->liveness.LocalPeers()) {
    effects.peer_sends.push_back({peer, message});
  }
}

void EntryHost::TakeForeignReports(const HostId& from,
                                   const peers::TaskReports& reports,
                                   Instant now, WallTime wall,
                                   Effects& effects) {
  for (const peers::LocatedReport& row : reports.reports) {
    const auto name = jobs::ParseTaskId(row.report.task);
    if (!name || this->keeper.FindRecord(name->job) == nullptr) continue;
    this->reported_by[row.report.task] = from;
    jobs::Effects job_effects;
    this->keeper.OnTaskReport(row.worker, row.report, now, wall, job_effects);
    this->TakeJobEffects(job_effects, now, wall, effects);
  }
}

void EntryHost::AcknowledgeEnd(const jobs::TaskOnWorker& done,
                               Effects& effects) {
  this->ownership.Acknowledge(done.worker, done.task);
  const auto entry = this->reported_by.find(done.task);
  if (entry == this->reported_by.end()) return;
  effects.peer_sends.push_back(
      {entry->second, peers::TaskReportsAnswer{{done.task}}});
  this->reported_by.erase(entry);
}

void EntryHost::ForgetForeignTasks(const peers::TaskReportsAnswer& kept) {
  for (const base::TaskId& task : kept.tasks) {
    const auto entry = this->foreign.find(task);
    if (entry == this->foreign.end()) continue;
    this->ownership.Acknowledge(entry->second.worker, task);
    this->foreign.erase(entry);
  }
}

// Takes the worker's tasks whose jobs other hosts keep, in place of those noted
// before.
void EntryHost::NoteForeignTasks(
    const WorkerId& worker, std::span<const platform::TaskReport> reports) {
  std::erase_if(this->foreign, [&worker](const auto& entry) {
    return entry.second.worker == worker;
  });
  for (const platform::TaskReport& report : reports) {
    const auto name = jobs::ParseTaskId(report.task);
    if (!name || this->keeper.FindRecord(name->job) != nullptr) continue;
    this->foreign[report.task] = {worker, report};
  }
}

}  // namespace agatepass::node
