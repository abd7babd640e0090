/** \file
 * Entry hosts with the configuration and membership machines, a store and the
 * messages between them, in virtual time.
 */
#ifndef AGATEPASS_CONFIG_TESTS_CONFIG_CELL_H_
#define AGATEPASS_CONFIG_TESTS_CONFIG_CELL_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/config/config_keeper.h"
#include "agatepass/membership/liveness.h"
#include "agatepass/peers/codec.h"
#include "fakes/store_model.h"

namespace agatepass::config {

/** A cell that runs in steps of one millisecond. */
class ConfigCell {
 public:
  static constexpr base::Duration kLatency = std::chrono::milliseconds(8);
  static constexpr base::Duration kTick = std::chrono::milliseconds(100);

  /** One entry host. */
  struct Host {
    base::DataCentreId data_centre;
    peers::Incarnation incarnation = 0;
    membership::Liveness liveness;
    ConfigKeeper keeper;
    std::vector<platform::Revision> applied;
    std::vector<PutAnswer> answers;
    std::vector<KeeperEvent> events;
    base::Instant last_applied;
    uint64_t bytes_sent = 0;
    uint64_t messages_sent = 0;
  };

  /** A watch that waits in the store. */
  struct Watch {
    base::HostId host;
    peers::Incarnation incarnation = 0;
    KeeperStoreCall call;
    base::Instant ends;
  };

  void Add(const std::string& data_centre, int number) {
    const base::HostId host(data_centre + "-e" + std::to_string(number));
    this->listed.push_back(
        {.host = host, .data_centre = base::DataCentreId(data_centre)});
  }

  void StartAll() {
    for (const auto& row : this->listed) this->Start(row.host);
  }

  void Start(const base::HostId& name) {
    const base::DataCentreId data_centre(
        name.value.substr(0, name.value.rfind("-e")));
    const peers::Incarnation incarnation = ++this->last_incarnation;
    this->hosts.erase(name);
    this->hosts.emplace(
        name,
        Host{.data_centre = data_centre,
             .incarnation = incarnation,
             .liveness = membership::Liveness({.own_host = name,
                                               .incarnation = incarnation,
                                               .data_centre = data_centre},
                                              this->now),
             .keeper = ConfigKeeper({.own_host = name,
                                     .incarnation = incarnation,
                                     .seed = incarnation},
                                    this->now)});
    this->host(name).liveness.OnHostList(this->now, this->listed);
  }

  Host& host(const base::HostId& name) { return this->hosts.at(name); }
  Host& host(const char* name) { return this->host(base::HostId(name)); }

  void Run(base::Duration time) {
    const base::Instant end = this->now + time;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(1);
      while (!this->due.empty() && this->due.begin()->first <= this->now) {
        const auto action = std::move(this->due.begin()->second);
        this->due.erase(this->due.begin());
        action();
      }
      this->AnswerWatches();
      if (this->now.time_since_epoch() % kTick == base::Duration(0)) {
        for (auto& [name, host] : this->hosts) this->Tick(name, host);
      }
    }
  }

  void Put(const char* name, uint64_t id, const std::string& text,
           platform::Revision expected, const std::string& author,
           bool replace_older_store = false) {
    Host& host = this->host(name);
    this->Carry(base::HostId(name), host,
                host.keeper.Put(this->now,
                                {.id = id,
                                 .text = text,
                                 .expected = expected,
                                 .author = author,
                                 .replace_older_store = replace_older_store}));
  }

  /** Whether every running host has `revision` in force. */
  bool InForceEverywhere(platform::Revision revision) const {
    for (const auto& [name, host] : this->hosts) {
      if (host.keeper.revision() != revision) return false;
    }
    return true;
  }

  void Later(base::Duration delay, std::function<void()> action) {
    this->due.emplace(this->now + delay, std::move(action));
  }

  void Tick(const base::HostId& name, Host& host) {
    if (this->paused.contains(name)) return;
    auto effects = host.liveness.OnTick(
        this->now, {.config_revision = host.keeper.revision()});
    for (auto& beat : effects.heartbeats) {
      this->Send(name, host, beat.to, std::move(beat.heartbeat));
    }
    host.keeper.SetView({.holds_watch = host.liveness.is_representative(),
                         .local_peers = host.liveness.LocalPeers()});
    this->Carry(name, host, host.keeper.OnTick(this->now));
  }

  void Send(const base::HostId& from, Host& host, const base::HostId& to,
            peers::Message message) {
    if (this->cut && this->cut(from, to)) return;
    peers::Envelope envelope{.sender = from,
                             .incarnation = host.incarnation,
                             .message = std::move(message)};
    host.bytes_sent += peers::EncodeEnvelope(envelope).size();
    ++host.messages_sent;
    this->Later(kLatency, [this, to, envelope = std::move(envelope)] {
      this->Deliver(to, envelope);
    });
  }

  void Deliver(const base::HostId& to, const peers::Envelope& envelope) {
    if (this->paused.contains(to)) {
      this->Later(kTick, [this, to, envelope] { this->Deliver(to, envelope); });
      return;
    }
    const auto entry = this->hosts.find(to);
    if (entry == this->hosts.end()) return;
    Host& host = entry->second;
    ConfigKeeper& keeper = host.keeper;
    if (const auto* beat = std::get_if<peers::Heartbeat>(&envelope.message)) {
      host.liveness.OnHeartbeat(this->now, envelope.sender,
                                envelope.incarnation, *beat);
      this->Carry(to, host,
                  keeper.OnPeerRevision(this->now, envelope.sender,
                                        beat->config_revision));
      for (const auto& summary : beat->summaries) {
        this->Carry(to, host,
                    keeper.OnPeerRevision(this->now, summary.representative,
                                          summary.config_revision));
      }
    } else if (const auto* text =
                   std::get_if<peers::ConfigText>(&envelope.message)) {
      this->Carry(to, host,
                  keeper.OnConfigText(this->now, envelope.sender, *text));
    } else if (const auto* query =
                   std::get_if<peers::ConfigQuery>(&envelope.message)) {
      this->Carry(to, host, keeper.OnConfigQuery(envelope.sender, *query));
    }
  }

  void Carry(const base::HostId& name, Host& host,
             const KeeperEffects& effects) {
    if (effects.applied) {
      host.applied.push_back(effects.applied->revision);
      host.last_applied = this->now;
    }
    for (const auto& call : effects.store_calls) this->Call(name, host, call);
    for (const auto& message : effects.messages) {
      this->Send(name, host, message.to, message.message);
    }
    host.answers.insert(host.answers.end(), effects.answers.begin(),
                        effects.answers.end());
    host.events.insert(host.events.end(), effects.events.begin(),
                       effects.events.end());
  }

  void Call(const base::HostId& name, Host& host, const KeeperStoreCall& call) {
    ++this->store_calls;
    const peers::Incarnation incarnation = host.incarnation;
    if (this->store_down || (this->store_cut && this->store_cut(name))) {
      this->Reply(name, incarnation, call, {.outcome = this->down_outcome},
                  std::chrono::seconds(2));
      return;
    }
    if (call.call.verb == platform::StoreVerb::kWatch) {
      this->watches.push_back(
          {name, incarnation, call, this->now + call.call.timeout});
      return;
    }
    this->Later(kLatency, [this, name, incarnation, call] {
      platform::StoreReply reply = this->store.Handle(call.call, this->now);
      const bool write = call.call.verb == platform::StoreVerb::kCompareAndSwap;
      if (write && this->lose_write_answers > 0) {
        --this->lose_write_answers;
        reply = {.outcome = platform::Outcome::kUnknown};
      }
      this->Reply(name, incarnation, call, reply, kLatency);
    });
  }

  void Reply(const base::HostId& name, peers::Incarnation incarnation,
             const KeeperStoreCall& call, const platform::StoreReply& reply,
             base::Duration delay) {
    this->Later(delay, [=, this] {
      if (this->paused.contains(name)) {
        this->Reply(name, incarnation, call, reply, kTick);
        return;
      }
      const auto entry = this->hosts.find(name);
      if (entry == this->hosts.end() ||
          entry->second.incarnation != incarnation) {
        return;
      }
      this->Carry(name, entry->second,
                  entry->second.keeper.OnStoreReply(this->now, call.id, reply));
    });
  }

  void AnswerWatches() {
    std::erase_if(this->watches, [&](const Watch& watch) {
      const platform::StoreCall& call = watch.call.call;
      const bool cut =
          this->store_down || (this->store_cut && this->store_cut(watch.host));
      if (cut) {
        this->Reply(watch.host, watch.incarnation, watch.call,
                    {.outcome = platform::Outcome::kUnknown}, kLatency);
        return true;
      }
      if (!this->store.HasChanged(call.key, call.expected) &&
          this->now < watch.ends) {
        return false;
      }
      this->Reply(watch.host, watch.incarnation, watch.call,
                  this->store.Handle(call, this->now), kLatency);
      return true;
    });
  }

  base::Instant now{std::chrono::seconds(1000)};
  std::vector<membership::ListedHost> listed;
  std::map<base::HostId, Host> hosts;
  std::set<base::HostId> paused;
  fakes::StoreModel store;
  std::vector<Watch> watches;
  std::multimap<base::Instant, std::function<void()>> due;
  std::function<bool(const base::HostId&, const base::HostId&)> cut;
  std::function<bool(const base::HostId&)> store_cut;
  bool store_down = false;
  platform::Outcome down_outcome = platform::Outcome::kUnknown;
  int lose_write_answers = 0;
  uint64_t store_calls = 0;
  peers::Incarnation last_incarnation = 0;
};

}  // namespace agatepass::config

#endif  // AGATEPASS_CONFIG_TESTS_CONFIG_CELL_H_
