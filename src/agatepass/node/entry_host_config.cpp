// The configuration in force: from the store or from peers to the planner.
#include <utility>

#include "agatepass/node/configuration_binding.h"
#include "agatepass/node/entry_host.h"

namespace agatepass::node {

using base::Instant;
using timeline::EventKind;

uint64_t EntryHost::PutConfiguration(config::PutRequest request, Instant now,
                                     base::WallTime wall, Effects& effects) {
  request.id = this->next_put++;
  request.time = wall;
  const uint64_t number = request.id;
  this->TakeConfigEffects(this->config.Put(now, std::move(request)), effects);
  return number;
}

void EntryHost::TickConfig(Instant now, Effects& effects) {
  this->config.SetView({.holds_watch = this->liveness.is_representative(),
                        .local_peers = this->liveness.LocalPeers()});
  this->TakeConfigEffects(this->config.OnTick(now), effects);
}

bool EntryHost::TakeConfigMessage(const peers::Envelope& envelope, Instant now,
                                  Effects& effects) {
  if (const auto* text = std::get_if<peers::ConfigText>(&envelope.message)) {
    this->TakeConfigEffects(
        this->config.OnConfigText(now, envelope.sender, *text), effects);
    return true;
  }
  if (const auto* query = std::get_if<peers::ConfigQuery>(&envelope.message)) {
    this->TakeConfigEffects(this->config.OnConfigQuery(envelope.sender, *query),
                            effects);
    return true;
  }
  return false;
}

void EntryHost::TakeConfigEffects(config::KeeperEffects from,
                                  Effects& effects) {
  if (from.applied) {
    this->planner.SetPolicy(
        MakePolicy(*from.applied->configuration, from.applied->revision));
    effects.applied = std::move(from.applied);
  }
  for (config::KeeperStoreCall& call : from.store_calls) {
    effects.store_calls.push_back(
        {call.id | kConfigCallBit, std::move(call.call)});
  }
  for (config::KeeperMessage& message : from.messages) {
    effects.peer_sends.push_back({message.to, std::move(message.message)});
  }
  for (config::PutAnswer& answer : from.answers) {
    effects.puts.push_back(std::move(answer));
  }
  for (const config::KeeperEvent& event : from.events) {
    const bool applied = event.kind == config::KeeperEventKind::kApplied;
    effects.events.push_back(
        {applied ? EventKind::kConfigApplied : EventKind::kFaultSeen,
         "configuration", "", base::ResultCode::kOk, event.text});
  }
}

}  // namespace agatepass::node
