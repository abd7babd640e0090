#include "agatepass/node/host_task.h"

#include <utility>

#include "agatepass/node/configuration_binding.h"
#include "spdlog/spdlog.h"

namespace agatepass::node {

using base::Instant;
using base::WallTime;

namespace {

// Longer than the longest run of a request and the lag of the host list.
constexpr base::Duration kShareGrowthDelay = std::chrono::seconds(15);
constexpr base::Duration kTickPeriod = std::chrono::milliseconds(20);

EntryHostOptions MakeOptions(const settings::HostSettings& settings) {
  EntryHostOptions options;
  // The wall clock at the start numbers the incarnations of one host.
  const auto started = base::ReadWallClock().microseconds;
  options.self = {settings.host, static_cast<uint64_t>(started)};
  options.data_centre = settings.data_centre;
  options.ownership.lease = settings.owner_lease;
  options.ownership.renew_period = settings.renew_period;
  options.task_lease = settings.task_lease;
  options.jobs.data_centre = settings.data_centre;
  options.jobs.journal.interval = settings.commit_interval;
  options.jobs.task_lease = settings.task_lease;
  options.seed = options.self.number;
  return options;
}

relay::RelaySettings MakeRelaySettings(const settings::HostSettings& settings) {
  relay::RelaySettings result;
  result.place = {settings.region, settings.data_centre};
  result.seed = static_cast<uint64_t>(base::ReadWallClock().microseconds);
  return result;
}

peers::PeerNetworkOptions MakeNetworkOptions(
    const settings::HostSettings& settings, const jobs::Incarnation& self) {
  peers::PeerNetworkOptions result;
  result.listen = settings.peers;
  result.own_host = self.host;
  result.incarnation = self.number;
  result.seed = self.number;
  return result;
}

/** Runs the callback that waits for `answer`, if there is one. */
template <typename Waiting, typename Answer>
void Reply(Waiting& waiting, uint64_t number, const Answer& answer) {
  const auto entry = waiting.find(number);
  if (entry == waiting.end()) return;
  const auto callback = std::move(entry->second);
  waiting.erase(entry);
  callback(answer);
}

}  // namespace

HostTask::HostTask(base::EventLoop& loop,
                   const settings::HostSettings& settings)
    : loop(loop),
      settings(settings),
      store(loop, settings.store),
      workers(loop),
      host_list(loop, settings.host_list),
      entry_host(MakeOptions(settings), base::MonotonicClock::now()),
      driver(this->entry_host, this->store, this->workers, this->clock,
             [this](Effects& effects) { this->TakeEffects(effects); }),
      request_task(loop, MakeRelaySettings(settings)),
      shares(settings.host, settings.data_centre, kShareGrowthDelay),
      network(loop, MakeNetworkOptions(
                        settings, this->entry_host.job_keeper().incarnation())),
      events(settings.host, {}) {}

absl::Status HostTask::Start() {
  this->network.OnMessage([this](const peers::Envelope& envelope) {
    this->driver.Run([&](Instant now, WallTime wall, Effects& effects) {
      this->entry_host.OnPeerMessage(envelope, now, wall, effects);
    });
  });
  if (absl::Status status = this->network.Start(); !status.ok()) return status;
  this->ReadHostList();
  this->ticker = this->loop.Every(kTickPeriod, [this] {
    this->driver.Run([this](Instant now, WallTime wall, Effects& effects) {
      this->entry_host.OnTick(now, wall, effects);
    });
    this->CheckDrained();
  });
  return absl::OkStatus();
}

void HostTask::Submit(
    const jobs::JobSpec& spec,
    std::function<void(const jobs::SubmissionAnswer&)> callback) {
  this->driver.Run([&](Instant now, WallTime wall, Effects& effects) {
    const uint64_t number = this->entry_host.Submit(spec, now, wall, effects);
    this->submissions[number] = std::move(callback);
  });
}

void HostTask::Cancel(const base::JobId& job, const base::TeamId& team,
                      std::function<void(const jobs::CancelAnswer&)> callback) {
  this->driver.Run([&](Instant now, WallTime wall, Effects& effects) {
    const uint64_t number =
        this->entry_host.Cancel(job, team, now, wall, effects);
    this->cancels[number] = std::move(callback);
  });
}

void HostTask::Settle(const base::JobId& job, uint32_t index, bool ran,
                      std::string_view who,
                      std::function<void(const jobs::SettleAnswer&)> callback) {
  this->driver.Run([&](Instant now, WallTime wall, Effects& effects) {
    const uint64_t number =
        this->entry_host.Settle(job, index, ran, who, now, wall, effects);
    this->settles[number] = std::move(callback);
  });
}

void HostTask::PutConfiguration(
    config::PutRequest request,
    std::function<void(const config::PutAnswer&)> callback) {
  this->driver.Run([&](Instant now, WallTime wall, Effects& effects) {
    const uint64_t number = this->entry_host.PutConfiguration(
        std::move(request), now, wall, effects);
    this->puts[number] = std::move(callback);
  });
}

void HostTask::Drain(std::function<void()> done) {
  this->draining = true;
  this->on_drained = std::move(done);
  this->request_task.StopAccepting();
  this->driver.Run([this](Instant now, WallTime wall, Effects& effects) {
    this->entry_host.Drain(now, wall, effects);
  });
}

void HostTask::CheckDrained() {
  if (!this->on_drained || !this->entry_host.idle()) return;
  if (this->request_task.in_flight() > 0) return;
  const auto done = std::exchange(this->on_drained, nullptr);
  done();
}

void HostTask::ReadHostList() {
  this->host_list.Read([this](const platform::HostListReply& reply) {
    this->TakeHostList(reply);
    this->list_timer = this->loop.After(this->settings.host_list_period,
                                        [this] { this->ReadHostList(); });
  });
}

void HostTask::TakeHostList(const platform::HostListReply& reply) {
  // An unreachable list leaves the last one in force.
  if (reply.outcome != platform::Outcome::kDone) return;
  this->list = reply.hosts;
  this->has_hosts = true;
  this->workers.SetHosts(this->list);
  this->request_task.SetUpstreams(this->list);
  this->ShareUpstreams();
  std::vector<peers::PeerAddress> peers;
  for (const platform::HostRecord& host : this->list) {
    const bool is_peer = host.role == platform::HostRole::kEntryHost &&
                         host.name != this->settings.host.value;
    if (is_peer) peers.push_back({base::HostId(host.name), host.endpoint});
  }
  this->network.SetPeers(peers);
  this->driver.Run([this](Instant now, WallTime wall, Effects& effects) {
    this->entry_host.SetHosts(this->list, now, wall, effects);
  });
}

void HostTask::ShareUpstreams() {
  if (!this->has_hosts || this->service_rules.empty()) return;
  this->request_task.SetShares(
      this->shares.Divide(this->list, this->service_rules, this->clock.Now()));
}

void HostTask::TakeEffects(Effects& effects) {
  const WallTime wall = this->clock.Wall();
  for (const NodeEvent& event : effects.events) {
    this->events.Record(wall, {event.kind, event.subject, event.parent,
                               event.code, event.detail});
  }
  for (node::PeerSend& send : effects.peer_sends) {
    this->network.Send(send.to, std::move(send.message));
  }
  if (effects.applied) {
    this->service_rules = MakeServiceRules(*effects.applied->configuration);
    this->request_task.SetServices(this->service_rules);
    this->ShareUpstreams();
    if (this->on_applied) this->on_applied(*effects.applied);
  }
  for (const config::PutAnswer& answer : effects.puts) {
    Reply(this->puts, answer.id, answer);
  }
  for (const jobs::SubmissionAnswer& answer : effects.submissions) {
    Reply(this->submissions, answer.submission_id, answer);
  }
  for (const jobs::CancelAnswer& answer : effects.cancels) {
    Reply(this->cancels, answer.cancel_id, answer);
  }
  for (const jobs::SettleAnswer& answer : effects.settles) {
    Reply(this->settles, answer.settle_id, answer);
  }
  if (effects.fenced) {
    spdlog::error("another entry host has adopted this one's jobs; stopping");
    this->loop.Stop();
  }
}

}  // namespace agatepass::node
