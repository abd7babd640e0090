#include "agatepass/config/config_keeper.h"

#include <algorithm>

#include "fmt/format.h"

namespace agatepass::config {
namespace {

using platform::Outcome;
using platform::StoreReply;
using platform::StoreVerb;

/** Returns the text for a record's author and time, such as `revision 7 by
 * "anna"`. */
std::string DescribeAuthor(const ConfigRecord& record) {
  const ConfigChange* change = record.last_change();
  return fmt::format("revision {} by \"{}\"", record.revision,
                     change == nullptr ? "" : change->author);
}

}  // namespace

ConfigKeeper::ConfigKeeper(const KeeperOptions& options, base::Instant now)
    : options(options),
      random(options.seed),
      applied_at(now),
      retry_wait(options.first_retry),
      next_read(now) {}

base::Duration ConfigKeeper::Jittered(base::Duration duration) {
  // Half to the whole, so that many hosts do not come back at one moment.
  const auto half = static_cast<uint64_t>(duration.count() / 2);
  return duration / 2 +
         base::Duration(static_cast<int64_t>(this->random() % (half + 1)));
}

void ConfigKeeper::Issue(CallPurpose purpose, platform::StoreCall call,
                         KeeperEffects& effects) {
  const uint64_t id = ++this->last_call;
  this->calls.emplace(id, purpose);
  call.key = kConfigKey;
  effects.store_calls.push_back({.id = id, .call = std::move(call)});
}

void ConfigKeeper::IssueRead(KeeperEffects& effects) {
  this->reading = true;
  this->Issue(CallPurpose::kRead, {.verb = StoreVerb::kGet}, effects);
}

void ConfigKeeper::IssueWatch(KeeperEffects& effects) {
  this->watching = true;
  this->Issue(CallPurpose::kWatch,
              {.verb = StoreVerb::kWatch,
               .expected = this->seen_in_store,
               .timeout = this->options.watch_time},
              effects);
}

KeeperEffects ConfigKeeper::OnTick(base::Instant now) {
  KeeperEffects effects;
  // A host without a configuration reads for itself; later only the watch
  // holder does, so that the store's load does not grow with the hosts.
  const bool reads = this->view.holds_watch || this->record.revision == 0;
  if (reads && !this->reading && now >= this->next_read) {
    if (this->read_needed) {
      this->IssueRead(effects);
    } else if (this->view.holds_watch && !this->watching) {
      this->IssueWatch(effects);
    }
  }
  this->RetryPut(now, effects);
  this->Pull(now, effects);
  return effects;
}

KeeperEffects ConfigKeeper::OnStoreReply(base::Instant now, uint64_t id,
                                         const StoreReply& reply) {
  KeeperEffects effects;
  const auto call = this->calls.find(id);
  if (call == this->calls.end()) return effects;
  const CallPurpose purpose = call->second;
  this->calls.erase(call);
  switch (purpose) {
    case CallPurpose::kRead:
      this->reading = false;
      this->OnReadReply(now, reply, effects);
      break;
    case CallPurpose::kWatch:
      this->watching = false;
      this->OnReadReply(now, reply, effects);
      break;
    case CallPurpose::kPutRead:
      this->OnPutRead(now, reply, effects);
      break;
    case CallPurpose::kPutWrite:
      this->OnPutWrite(now, reply, effects);
      break;
  }
  return effects;
}

void ConfigKeeper::OnReadReply(base::Instant now, const StoreReply& reply,
                               KeeperEffects& effects) {
  if (reply.outcome != Outcome::kDone || reply.entries.empty()) {
    this->StoreFailed(now, effects);
    return;
  }
  this->read_needed = false;
  // A store without a configuration is asked again, as nobody else may watch.
  if (this->record.revision == 0 && reply.entries.front().revision == 0 &&
      !this->view.holds_watch) {
    this->read_needed = true;
    this->next_read = now + this->Jittered(this->options.longest_retry);
  }
  this->TakeEntry(now, reply, effects);
}

void ConfigKeeper::StoreFailed(base::Instant now, KeeperEffects& effects) {
  if (this->store_reachable) {
    effects.events.push_back({.kind = KeeperEventKind::kStoreUnreachable,
                              .revision = this->record.revision,
                              .text = "the store does not answer; the "
                                      "configuration in force stays"});
  }
  this->store_reachable = false;
  this->read_needed = true;
  this->next_read = now + this->Jittered(this->retry_wait);
  this->retry_wait =
      std::min(this->retry_wait * 2, this->options.longest_retry);
}

void ConfigKeeper::StoreAnswered(KeeperEffects& effects) {
  this->retry_wait = this->options.first_retry;
  if (!this->store_reachable) {
    effects.events.push_back({.kind = KeeperEventKind::kStoreReached,
                              .revision = this->record.revision,
                              .text = "the store answers"});
  }
  this->store_reachable = true;
}

std::optional<ConfigRecord> ConfigKeeper::TakeEntry(base::Instant now,
                                                    const StoreReply& reply,
                                                    KeeperEffects& effects) {
  this->StoreAnswered(effects);
  const platform::StoreEntry& entry = reply.entries.front();
  this->seen_in_store = entry.revision;
  ConfigRecord stored;
  if (entry.revision != 0) {
    absl::StatusOr<ConfigRecord> decoded = DecodeConfigRecord(entry.value);
    if (!decoded.ok()) {
      effects.events.push_back(
          {.kind = KeeperEventKind::kContentRefused,
           .revision = this->record.revision,
           .text = std::string(decoded.status().message())});
      return std::nullopt;
    }
    stored = *std::move(decoded);
  }
  this->stored_revision = stored.revision;
  this->Apply(now, stored, this->view.holds_watch, effects);
  const bool older = stored.revision < this->record.revision;
  if (older && !this->store_older) {
    effects.events.push_back(
        {.kind = KeeperEventKind::kStoreOlder,
         .revision = stored.revision,
         .text = fmt::format("the store holds revision {}; revision {} stays "
                             "in force",
                             stored.revision, this->record.revision)});
  }
  this->store_older = older;
  return stored;
}

void ConfigKeeper::Apply(base::Instant now, const ConfigRecord& next,
                         bool pass_on, KeeperEffects& effects) {
  if (next.revision <= this->record.revision) return;
  ParsedConfiguration parsed = ParseConfiguration(next.text);
  if (const absl::Status status = parsed.status(); !status.ok()) {
    effects.events.push_back(
        {.kind = KeeperEventKind::kContentRefused,
         .revision = next.revision,
         .text = fmt::format("revision {} is not valid here: {}", next.revision,
                             std::string_view(status.message().data(),
                                              status.message().size()))});
    return;
  }
  this->record = next;
  this->in_force =
      std::make_shared<const Configuration>(std::move(parsed.configuration));
  this->applied_at = now;
  effects.applied = {.revision = next.revision,
                     .configuration = this->in_force};
  effects.events.push_back(
      {.kind = KeeperEventKind::kApplied,
       .revision = next.revision,
       .text = fmt::format("{} is in force, preset \"{}\"",
                           DescribeAuthor(next), this->in_force->in_force)});
  std::erase_if(this->ahead, [&](const auto& entry) {
    return entry.second <= next.revision;
  });
  if (this->ahead.empty()) this->pull_at = base::Instant::max();
  if (!pass_on) return;
  const peers::ConfigText message{.revision = next.revision,
                                  .text = EncodeConfigRecord(next)};
  for (const base::HostId& to : this->view.local_peers) {
    effects.messages.push_back({.to = to, .message = message});
  }
}

KeeperEffects ConfigKeeper::OnPeerRevision(base::Instant now,
                                           const base::HostId& from,
                                           platform::Revision revision) {
  KeeperEffects effects;
  if (revision <= this->record.revision) {
    this->ahead.erase(from);
    return effects;
  }
  this->ahead[from] = revision;
  if (this->pull_at == base::Instant::max()) {
    this->pull_at = now + this->options.pull_delay;
  }
  return effects;
}

void ConfigKeeper::Pull(base::Instant now, KeeperEffects& effects) {
  if (now < this->pull_at) return;
  const auto& neighbours = this->view.local_peers;
  std::vector<base::HostId> near;
  std::vector<base::HostId> far;
  for (const auto& [host, revision] : this->ahead) {
    const bool local = std::find(neighbours.begin(), neighbours.end(), host) !=
                       neighbours.end();
    (local ? near : far).push_back(host);
  }
  // Only the watch holder fetches over the links between data centres.
  const std::vector<base::HostId>& from =
      near.empty() && this->view.holds_watch ? far : near;
  this->pull_at = now + this->options.pull_timeout;
  if (from.empty()) return;
  const base::HostId& to = from[this->random() % from.size()];
  effects.messages.push_back(
      {.to = to,
       .message = peers::ConfigQuery{.held_revision = this->record.revision}});
}

KeeperEffects ConfigKeeper::OnConfigText(base::Instant now,
                                         const base::HostId& from,
                                         const peers::ConfigText& message) {
  KeeperEffects effects;
  if (message.revision <= this->record.revision) return effects;
  absl::StatusOr<ConfigRecord> decoded = DecodeConfigRecord(message.text);
  if (!decoded.ok() || decoded->revision != message.revision) {
    effects.events.push_back(
        {.kind = KeeperEventKind::kContentRefused,
         .revision = message.revision,
         .text = fmt::format("host \"{}\" sent a malformed configuration",
                             from.value)});
    return effects;
  }
  // Whoever brings a change into the data centre passes it on; a host that got
  // it from a neighbour need not.
  const auto& neighbours = this->view.local_peers;
  const bool from_neighbour =
      std::find(neighbours.begin(), neighbours.end(), from) != neighbours.end();
  this->Apply(now, *decoded, !from_neighbour, effects);
  return effects;
}

KeeperEffects ConfigKeeper::OnConfigQuery(
    const base::HostId& from, const peers::ConfigQuery& message) const {
  KeeperEffects effects;
  if (this->record.revision <= message.held_revision) return effects;
  effects.messages.push_back(
      {.to = from,
       .message = peers::ConfigText{.revision = this->record.revision,
                                    .text = EncodeConfigRecord(this->record)}});
  return effects;
}

KeeperStatus ConfigKeeper::Status() const {
  KeeperStatus status{.revision = this->record.revision,
                      .applied = this->applied_at,
                      .holds_watch = this->view.holds_watch,
                      .store_reachable = this->store_reachable,
                      .store_older = this->store_older,
                      .stored_revision = this->stored_revision,
                      .newest_seen = this->record.revision,
                      .changes = this->record.changes};
  if (this->in_force) status.preset = this->in_force->in_force;
  if (const ConfigChange* change = this->record.last_change()) {
    status.author = change->author;
    status.changed = change->time;
  }
  for (const auto& [host, revision] : this->ahead) {
    status.newest_seen = std::max(status.newest_seen, revision);
  }
  return status;
}

}  // namespace agatepass::config
