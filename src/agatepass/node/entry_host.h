/** \file
 * One entry host without its sockets: jobs, placement and worker ownership put
 * together. Inputs and the time come in as values; effects come out.
 */
#ifndef AGATEPASS_NODE_ENTRY_HOST_H_
#define AGATEPASS_NODE_ENTRY_HOST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/config/config_keeper.h"
#include "agatepass/jobs/job_keeper.h"
#include "agatepass/membership/liveness.h"
#include "agatepass/membership/worker_ownership.h"
#include "agatepass/node/effects.h"
#include "agatepass/node/running_tasks.h"
#include "agatepass/peers/messages.h"
#include "agatepass/placement/planner.h"
#include "agatepass/platform/host_list.h"
#include "agatepass/platform/worker.h"

namespace agatepass::node {

/** Who an entry host is, and its intervals. */
struct EntryHostOptions {
  jobs::Incarnation self;
  base::DataCentreId data_centre;
  membership::OwnershipOptions ownership;
  jobs::JobKeeperOptions jobs;
  /** Life of a task lease at the worker. */
  base::Duration task_lease = std::chrono::seconds(15);
  /** Renewal period of workers while tasks wait for room. */
  base::Duration busy_renew_period = std::chrono::milliseconds(250);
  /** Decisions taken for one input at most. */
  size_t decisions_at_once = 1000;
  uint64_t seed = 1;
};

/** The decisions of one entry host.
 *
 * \code
 * EntryHost host(options);
 * Effects effects;
 * host.SetHosts(host_list, now, wall, effects);
 * uint64_t submission = host.Submit(spec, now, wall, effects);
 * // Carry the effects out, and give the replies to OnStoreReply and
 * // OnWorkerReply.
 * \endcode
 */
class EntryHost {
 public:
  EntryHost(const EntryHostOptions& options, base::Instant now);

  /** Takes a new host list; only workers of the own data centre count. */
  void SetHosts(std::span<const platform::HostRecord> hosts, base::Instant now,
                base::WallTime wall, Effects& effects);

  /** Takes a message of another entry host. */
  void OnPeerMessage(const peers::Envelope& envelope, base::Instant now,
                     base::WallTime wall, Effects& effects);

  /** Starts an operator's change of the configuration; one answer follows in
   * `puts`. \return its number. */
  uint64_t PutConfiguration(config::PutRequest request, base::Instant now,
                            base::WallTime wall, Effects& effects);

  /** Takes a job in. \return the number of its answer. */
  uint64_t Submit(const jobs::JobSpec& spec, base::Instant now,
                  base::WallTime wall, Effects& effects);

  /** Cancels a job. \return the number of its answer. */
  uint64_t Cancel(const base::JobId& job, const base::TeamId& team,
                  base::Instant now, base::WallTime wall, Effects& effects);

  /** Records an operator's decision on a task in doubt.
   * \return the number of its answer. */
  uint64_t Settle(const base::JobId& job, uint32_t index, bool ran,
                  std::string_view who, base::Instant now, base::WallTime wall,
                  Effects& effects);

  /** Adopts the jobs of a dead incarnation. */
  void Adopt(const jobs::Incarnation& dead, base::Instant now,
             base::WallTime wall, Effects& effects);

  void OnStoreReply(uint64_t call_id, const platform::StoreReply& reply,
                    base::Instant now, base::WallTime wall, Effects& effects);

  void OnWorkerReply(uint64_t call_id, const platform::WorkerReply& reply,
                     base::Instant now, base::WallTime wall, Effects& effects);

  /** Does what is due; to be called several times a second. */
  void OnTick(base::Instant now, base::WallTime wall, Effects& effects);

  /** Takes no new jobs, starts nothing more and gives the workers up. */
  void Drain(base::Instant now, base::WallTime wall, Effects& effects);

  /** Whether nothing is under way, so that a drained host may exit. */
  bool idle() const;

  absl::StatusOr<jobs::JobView> Find(const base::JobId& job,
                                     const base::TeamId& team) const {
    return this->keeper.Find(job, team);
  }

  /** The latest decision on a task or job, as text; kNotFound if there is none.
   */
  absl::StatusOr<std::string> Explain(std::string_view id,
                                      base::Instant now) const;

  const config::ConfigKeeper& configuration() const { return this->config; }
  const membership::Liveness& members() const { return this->liveness; }
  const jobs::JobKeeper& job_keeper() const { return this->keeper; }
  const placement::Planner& placement_planner() const { return this->planner; }
  const membership::WorkerOwnership& worker_ownership() const {
    return this->ownership;
  }

 private:
  struct WorkerPlace {
    base::RackId rack;
    std::string label;
    platform::HostState state = platform::HostState::kLive;
    platform::Resources total;
  };

  /** A peer that has asked for proofs. */
  struct ProofSeeker {
    base::Instant since;
    /** The number of its latest query, to be sent back. */
    std::string query;
  };

  // entry_host.cpp
  void TakeJobEffects(jobs::Effects& from, base::Instant now,
                      base::WallTime wall, Effects& effects);
  void TakeJobEvents(const jobs::Effects& from, Effects& effects);
  void EnqueueReady(const jobs::ReadyTask& ready, base::Instant now,
                    Effects& effects);
  void StopTask(const jobs::TaskOnWorker& stop, base::Instant now,
                Effects& effects);
  void Decide(base::Instant now, base::WallTime wall, Effects& effects);

  // entry_host_workers.cpp
  void TakeOwnershipEffects(membership::OwnershipEffects& from,
                            base::Instant now, base::WallTime wall,
                            Effects& effects);
  void TakeGain(const membership::WorkerGained& gained, base::Instant now,
                base::WallTime wall, Effects& effects);
  void TakeLoss(const membership::WorkerLost& lost, Effects& effects);
  void TakeReports(const base::WorkerId& worker,
                   std::span<const platform::TaskReport> reports,
                   base::Instant now, base::WallTime wall, Effects& effects);
  void DropAbsent(const base::WorkerId& worker,
                  std::span<const platform::TaskReport> reports,
                  base::Instant asked, base::Instant now);
  void AdoptOnWorker(const base::WorkerId& worker,
                     const platform::TaskReport& report, base::Instant now);
  void ShowWorker(const base::WorkerId& worker);

  // entry_host_peers.cpp
  void TakeEntryHosts(std::span<const platform::HostRecord> hosts,
                      base::Instant now, Effects& effects);
  void TakeLiveness(membership::LivenessEffects& from, Effects& effects);
  void ShareWorkers();
  membership::OwnReport MakeReport() const;
  void TickPeers(base::Instant now, base::WallTime wall, Effects& effects);
  bool MayAdopt(const membership::Member& dead, base::Instant now) const;
  void AdoptOrphans(std::span<const jobs::Incarnation> journals,
                    base::Instant now, jobs::Effects& job_effects);
  void AskForProofs(base::Instant now, base::WallTime wall, Effects& effects);
  bool NeedsProofs() const;
  void SendProofs(const membership::WorkerReported& report, Effects& effects);
  jobs::InventoryKind ClaimKind(base::Duration memory_age,
                                base::WallTime wall) const;
  void TakeProof(const peers::TaskAnswer& answer, base::Instant now,
                 base::WallTime wall, Effects& effects);
  void AskForRoom(base::Instant now, Effects& effects);
  void LendWorker(const base::HostId& to, const peers::Reserve& request,
                  base::Instant now, base::WallTime wall, Effects& effects);
  void BorrowWorkers(const peers::Handover& handover, base::Instant now,
                     base::WallTime wall, Effects& effects);
  void TellForeignTasks(Effects& effects);
  void TakeForeignReports(const base::HostId& from,
                          const peers::TaskReports& reports, base::Instant now,
                          base::WallTime wall, Effects& effects);
  void AcknowledgeEnd(const jobs::TaskOnWorker& done, Effects& effects);
  void ForgetForeignTasks(const peers::TaskReportsAnswer& kept);
  void NoteForeignTasks(const base::WorkerId& worker,
                        std::span<const platform::TaskReport> reports);

  // entry_host_config.cpp
  void TickConfig(base::Instant now, Effects& effects);
  void TakeConfigEffects(config::KeeperEffects from, Effects& effects);
  bool TakeConfigMessage(const peers::Envelope& envelope, base::Instant now,
                         Effects& effects);

  // entry_host_lending.cpp
  std::optional<base::HostId> RoomiestPeer() const;
  std::optional<base::WorkerId> EmptiestWorker(
      const platform::Resources& need) const;

  // entry_host_starts.cpp
  void CarryDecision(const placement::Decision& decision, base::Instant now,
                     Effects& effects);
  void PlaceTask(const placement::Decision& decision, base::Instant now,
                 Effects& effects);
  void CommandTask(const placement::Decision& decision,
                   platform::WorkerVerb verb, Effects& effects);
  void SendStarts(base::Instant now, Effects& effects);
  void TakeStartReply(const platform::WorkerCall& call,
                      const platform::WorkerReply& reply, base::Instant now,
                      base::WallTime wall, Effects& effects);
  void TakeStartResult(const platform::StartResult& result,
                       const base::WorkerId& worker, base::Instant now,
                       base::WallTime wall, jobs::Effects& job_effects,
                       Effects& effects);
  void FailStarts(const platform::WorkerCall& call, jobs::StartOutcome outcome,
                  base::Instant now, base::WallTime wall,
                  jobs::Effects& job_effects);
  void SendCall(platform::WorkerCall call, Effects& effects);
  placement::TaskRequest MakeRequest(const base::TaskId& task,
                                     const jobs::JobRecord& record,
                                     base::Instant now) const;

  EntryHostOptions options;
  jobs::JobKeeper keeper;
  placement::Planner planner;
  membership::WorkerOwnership ownership;
  membership::Liveness liveness;
  config::ConfigKeeper config;
  uint64_t next_put = 1;
  RunningTasks running;
  std::map<base::WorkerId, WorkerPlace> places;
  std::map<base::WorkerId, platform::Resources> held;
  /** Starts decided and not yet sent, by worker. */
  std::map<base::WorkerId, std::vector<platform::TaskStart>> starts;
  /** Commands under way that are not the ownership's. */
  std::map<uint64_t, platform::WorkerCall> commands;
  /** Number of the ownership's calls, by the number given outside. */
  std::map<uint64_t, uint64_t> ownership_calls;
  /** Tasks on held workers whose jobs other hosts keep. */
  std::map<base::TaskId, peers::LocatedReport> foreign;
  /** Who told of a task of a job kept here, to be told of its journalled end.
   */
  std::map<base::TaskId, base::HostId> reported_by;
  /** Peers that wait for proofs, and since when. */
  std::map<base::HostId, ProofSeeker> proof_seekers;
  /** When the latest queries for proofs were sent, by their numbers. */
  std::map<uint64_t, base::Instant> proof_queries;
  uint64_t next_proof_query_number = 1;
  base::Instant next_proof_query;
  base::Instant next_journal_list;
  base::Instant next_foreign_report;
  base::Instant next_room_request;
  uint64_t next_call = 1;
  bool draining = false;
};

}  // namespace agatepass::node

#endif  // AGATEPASS_NODE_ENTRY_HOST_H_
