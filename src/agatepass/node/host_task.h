/** \file
 * The running entry host: the decisions of EntryHost on an event loop, with the
 * platform's clients, the relay and the time line.
 */
#ifndef AGATEPASS_NODE_HOST_TASK_H_
#define AGATEPASS_NODE_HOST_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "agatepass/base/event_loop.h"
#include "agatepass/jobs/effects.h"
#include "agatepass/node/driver.h"
#include "agatepass/node/entry_host.h"
#include "agatepass/node/upstream_shares.h"
#include "agatepass/peers/peer_network.h"
#include "agatepass/platform/host_list_client.h"
#include "agatepass/platform/store_client.h"
#include "agatepass/platform/worker_client.h"
#include "agatepass/relay/relay.h"
#include "agatepass/settings/host_settings.h"
#include "agatepass/timeline/recorder.h"

namespace agatepass::node {

/** The loop's clock and the wall clock. */
struct ProcessClock {
  base::Instant Now() const { return base::MonotonicClock::now(); }
  base::WallTime Wall() const { return base::ReadWallClock(); }
};

/** One entry host of a process.
 *
 * \code
 * HostTask task(loop, settings);
 * task.Start();
 * task.Submit(spec, [](const jobs::SubmissionAnswer& answer) { ... });
 * \endcode
 */
class HostTask {
 public:
  HostTask(base::EventLoop& loop, const settings::HostSettings& settings);
  HostTask(const HostTask&) = delete;
  HostTask& operator=(const HostTask&) = delete;

  /** Listens for peers, begins to read the host list and to claim workers.
   * \return kInvalidRequest if the peers' address cannot be bound. */
  absl::Status Start();

  /** Takes a job in; `callback` runs once. */
  void Submit(const jobs::JobSpec& spec,
              std::function<void(const jobs::SubmissionAnswer&)> callback);

  /** Cancels a job; `callback` runs once. */
  void Cancel(const base::JobId& job, const base::TeamId& team,
              std::function<void(const jobs::CancelAnswer&)> callback);

  /** Records an operator's decision on a task in doubt; `callback` runs once.
   */
  void Settle(const base::JobId& job, uint32_t index, bool ran,
              std::string_view who,
              std::function<void(const jobs::SettleAnswer&)> callback);

  /** Changes the configuration; `callback` runs once. */
  void PutConfiguration(config::PutRequest request,
                        std::function<void(const config::PutAnswer&)> callback);

  /** Called with each configuration that comes into force. */
  void OnApplied(
      std::function<void(const config::AppliedConfiguration&)> handler) {
    this->on_applied = std::move(handler);
  }

  /** Stops taking and starting work; `done` runs when nothing is under way. */
  void Drain(std::function<void()> done);

  /** Whether new work is taken: the host list has been read, and no stop was
   * asked for. */
  bool ready() const { return this->has_hosts && !this->draining; }

  const EntryHost& host() const { return this->entry_host; }
  const std::vector<platform::HostRecord>& hosts() const { return this->list; }
  timeline::Recorder& recorder() { return this->events; }
  relay::Relay& request_relay() { return this->request_task; }
  const settings::HostSettings& host_settings() const { return this->settings; }
  /** Calls to the store so far, and bytes to store and workers. */
  uint64_t store_calls() const { return this->store.calls(); }
  uint64_t control_bytes() const {
    return this->store.bytes() + this->workers.bytes();
  }

 private:
  using HostDriver =
      Driver<platform::StoreClient, platform::WorkerClient, ProcessClock>;

  void ReadHostList();
  void TakeHostList(const platform::HostListReply& reply);
  void ShareUpstreams();
  void TakeEffects(Effects& effects);
  void CheckDrained();

  base::EventLoop& loop;
  settings::HostSettings settings;
  ProcessClock clock;
  platform::StoreClient store;
  platform::WorkerClient workers;
  platform::HostListClient host_list;
  EntryHost entry_host;
  HostDriver driver;
  relay::Relay request_task;
  UpstreamShares shares;
  std::vector<relay::ServiceRule> service_rules;
  peers::PeerNetwork network;
  timeline::Recorder events;
  std::vector<platform::HostRecord> list;
  bool has_hosts = false;
  bool draining = false;
  std::function<void()> on_drained;
  std::map<uint64_t, std::function<void(const jobs::SubmissionAnswer&)>>
      submissions;
  std::map<uint64_t, std::function<void(const jobs::CancelAnswer&)>> cancels;
  std::map<uint64_t, std::function<void(const config::PutAnswer&)>> puts;
  std::function<void(const config::AppliedConfiguration&)> on_applied;
  std::map<uint64_t, std::function<void(const jobs::SettleAnswer&)>> settles;
  std::unique_ptr<base::LoopEvent> ticker;
  std::unique_ptr<base::LoopEvent> list_timer;
};

}  // namespace agatepass::node

#endif  // AGATEPASS_NODE_HOST_TASK_H_
