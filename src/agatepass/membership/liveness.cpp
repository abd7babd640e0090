#include "agatepass/membership/liveness.h"

#include <algorithm>

#include "agatepass/peers/codec.h"

namespace agatepass::membership {
namespace {

// A gap between ticks above this means that the own process was paused.
constexpr base::Duration kPauseGap = std::chrono::milliseconds(800);
// Hosts named in a summary; it has to keep its size at any number of hosts.
constexpr size_t kHostsInSummary = 32;
// TCP, IP and Cap'n Proto's call and return around an envelope, in bytes.
constexpr int64_t kEnvelopeOverhead = 200;

void AddRoom(const peers::RoomSummary& room, peers::RoomSummary& sum) {
  sum.free += room.free;
  sum.queued_tasks += room.queued_tasks;
  if (room.largest_free.millicores > sum.largest_free.millicores) {
    sum.largest_free = room.largest_free;
  }
}

}  // namespace

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

Liveness::Liveness(const LivenessOptions& options, base::Instant now)
    : options(options),
      started(now),
      last_tick(now),
      next_heartbeat(now),
      bytes_left(static_cast<int64_t>(options.bytes_per_second)) {
  Member& own = this->AddMember(now, options.own_host, options.data_centre);
  own.incarnation = options.incarnation;
  own.state = MemberState::kAlive;
}

void Liveness::Contact::ForgetLife() {
  // The numbers of what is sent go on: the new life may have seen some already.
  this->received_sequence = 0;
  this->first_sequence = this->sent_sequence;
}

Member& Liveness::AddMember(base::Instant now, const base::HostId& host,
                            const base::DataCentreId& data_centre) {
  auto [entry, added] = this->known.try_emplace(host);
  Member& member = entry->second;
  if (added) {
    member.host = host;
    member.since = now;
    this->contacts[host].heard = now;
  }
  if (!data_centre.empty()) member.data_centre = data_centre;
  return member;
}

void Liveness::SetState(base::Instant now, Member& member, MemberState state,
                        bool restarted, LivenessEffects& effects) {
  if (member.state == state && !restarted) return;
  effects.changes.push_back({.host = member.host,
                             .before = member.state,
                             .after = state,
                             .restarted = restarted});
  if (member.state != state) member.since = now;
  member.state = state;
}

LivenessEffects Liveness::OnHostList(base::Instant now,
                                     std::span<const ListedHost> listed) {
  LivenessEffects effects;
  for (auto& [host, contact] : this->contacts) contact.listed = false;
  for (const ListedHost& row : listed) {
    Member& member = this->AddMember(now, row.host, row.data_centre);
    this->contacts[row.host].listed = true;
    // A listing proves nothing of a host that has gone silent: only a notice
    // of leaving changes a state.
    if (row.leaving && member.live() && row.host != this->options.own_host) {
      this->SetState(now, member, MemberState::kLeaving, false, effects);
    }
  }
  std::erase_if(this->known, [&](const auto& entry) {
    const auto& [host, member] = entry;
    const bool gone = member.state == MemberState::kDead &&
                      !this->contacts[host].listed &&
                      now - member.since > this->options.remote_dead_after;
    if (gone) this->contacts.erase(host);
    return gone;
  });
  return effects;
}

LivenessEffects Liveness::OnHeartbeat(base::Instant now,
                                      const base::HostId& from,
                                      peers::Incarnation incarnation,
                                      const peers::Heartbeat& heartbeat) {
  LivenessEffects effects;
  if (from == this->options.own_host) return effects;
  Member& member = this->AddMember(now, from, heartbeat.data_centre);
  Contact& contact = this->contacts[from];
  // What an earlier life sent, or what was overtaken, is no sign of life.
  if (incarnation < member.incarnation) return effects;
  const bool restarted =
      member.incarnation != 0 && incarnation > member.incarnation;
  if (restarted) contact.ForgetLife();
  if (heartbeat.sequence <= contact.received_sequence) return effects;
  contact.received_sequence = heartbeat.sequence;
  contact.heard = now;
  member.incarnation = incarnation;
  member.config_revision = heartbeat.config_revision;
  member.room = heartbeat.room;
  if (!heartbeat.relay_state.empty()) {
    member.relay_state = heartbeat.relay_state;
  }
  if (!heartbeat.workers.empty()) member.workers = heartbeat.workers;
  const uint64_t heard =
      std::max(heartbeat.heard_sequence, contact.first_sequence);
  const auto unheard = static_cast<int64_t>(contact.sent_sequence - heard);
  member.hears_us =
      unheard * this->options.interval <= this->options.dead_after;
  this->SetState(
      now, member,
      heartbeat.leaving ? MemberState::kLeaving : MemberState::kAlive,
      restarted, effects);
  for (const peers::DataCentreSummary& summary : heartbeat.summaries) {
    this->TakeSummary(now, summary, summary.representative == from, effects);
  }
  return effects;
}

bool Liveness::IsNewer(base::Instant now,
                       const peers::DataCentreSummary& summary,
                       const RemoteCentre& centre) const {
  const peers::DataCentreSummary& held = centre.summary;
  if (summary.representative != held.representative) {
    // Summaries of two hosts have no common order. The lower host speaks for
    // its data centre as long as it is heard, so that what others passed on
    // late, or a host that is cut off from the rest, does not overrule it.
    return held.representative.empty() ||
           summary.representative < held.representative ||
           now - centre.heard >= this->options.remote_suspect_after;
  }
  if (summary.incarnation != held.incarnation) {
    return summary.incarnation > held.incarnation;
  }
  return summary.sequence > held.sequence;
}

void Liveness::TakeSummary(base::Instant now,
                           const peers::DataCentreSummary& summary, bool direct,
                           LivenessEffects& effects) {
  if (summary.data_centre == this->options.data_centre) return;
  RemoteCentre& centre = this->centres[summary.data_centre];
  if (!this->IsNewer(now, summary, centre)) return;
  centre.summary = summary;
  centre.heard = now;
  centre.attempts = 0;
  if (direct) centre.pass_on = true;
  std::set<base::HostId> named;
  for (const peers::LiveHost& host : summary.hosts) {
    named.insert(host.host);
    Member& member = this->AddMember(now, host.host, summary.data_centre);
    if (host.incarnation < member.incarnation) continue;
    const bool restarted =
        member.incarnation != 0 && host.incarnation > member.incarnation;
    Contact& contact = this->contacts[host.host];
    if (restarted) contact.ForgetLife();
    contact.heard = now;
    member.incarnation = host.incarnation;
    this->SetState(now, member,
                   host.leaving ? MemberState::kLeaving : MemberState::kAlive,
                   restarted, effects);
  }
  if (summary.hosts.size() >= kHostsInSummary) return;
  for (auto& [host, member] : this->known) {
    if (member.data_centre != summary.data_centre || named.contains(host)) {
      continue;
    }
    // Its own data centre, which is nearer, counts it as dead.
    if (member.incarnation != 0) {
      this->SetState(now, member, MemberState::kDead, false, effects);
    }
  }
}

void Liveness::ForgivePause(base::Instant now) {
  const base::Duration gap = now - this->last_tick;
  if (gap <= kPauseGap) return;
  // Messages that waited while this process was paused are read after this
  // tick, so silence during the pause proves nothing.
  for (auto& [host, contact] : this->contacts) contact.heard += gap;
  for (auto& [name, centre] : this->centres) centre.heard += gap;
}

void Liveness::Judge(base::Instant now, LivenessEffects& effects) {
  for (auto& [host, member] : this->known) {
    if (host == this->options.own_host || member.state == MemberState::kDead) {
      continue;
    }
    const bool local = member.data_centre == this->options.data_centre;
    const base::Duration silence = now - this->contacts[host].heard;
    const base::Duration dead =
        local ? this->options.dead_after : this->options.remote_dead_after;
    const base::Duration suspect = local ? this->options.suspect_after
                                         : this->options.remote_suspect_after;
    if (silence >= dead) {
      this->SetState(now, member, MemberState::kDead, false, effects);
    } else if (silence >= suspect && member.state == MemberState::kAlive) {
      this->SetState(now, member, MemberState::kSuspect, false, effects);
    }
  }
}

LivenessEffects Liveness::OnTick(base::Instant now, const OwnReport& report) {
  LivenessEffects effects;
  this->ForgivePause(now);
  this->last_tick = now;
  this->Judge(now, effects);
  Member& own = this->known[this->options.own_host];
  own.config_revision = report.config_revision;
  own.room = report.room;
  own.workers = report.workers;
  own.relay_state = report.relay_state;
  if (now < this->next_heartbeat) return effects;
  // Fixed steps keep the rate; after a pause the missed ones are not made up.
  this->next_heartbeat = std::max(this->next_heartbeat + this->options.interval,
                                  now + this->options.interval / 2);
  this->bytes_left = static_cast<int64_t>(this->options.bytes_per_second) *
                     base::ToMilliseconds(this->options.interval) / 1000;
  this->SendLocal(report, effects);
  // A host that has just started does not know yet who else is alive, and would
  // report its whole data centre as dead.
  const bool knows_others = now - this->started >= this->options.dead_after;
  if (knows_others && (this->is_representative() || this->leaving)) {
    this->SendRemote(report, effects);
  }
  for (auto& [name, centre] : this->centres) centre.pass_on = false;
  return effects;
}

void Liveness::Leave() {
  this->leaving = true;
  this->known[this->options.own_host].state = MemberState::kLeaving;
  this->next_heartbeat = this->last_tick;
}

peers::Heartbeat Liveness::MakeHeartbeat(const base::HostId& to,
                                         const OwnReport& report) {
  Contact& contact = this->contacts[to];
  return {.sequence = ++contact.sent_sequence,
          .heard_sequence = contact.received_sequence,
          .data_centre = this->options.data_centre,
          .config_revision = report.config_revision,
          .leaving = this->leaving};
}

bool Liveness::Spend(const peers::Heartbeat& heartbeat) {
  const std::vector<std::byte> bytes =
      peers::EncodeEnvelope({.sender = this->options.own_host,
                             .incarnation = this->options.incarnation,
                             .message = heartbeat});
  const int64_t cost = static_cast<int64_t>(bytes.size()) + kEnvelopeOverhead;
  if (cost > this->bytes_left) return false;
  this->bytes_left -= cost;
  return true;
}

void Liveness::SendLocal(const OwnReport& report, LivenessEffects& effects) {
  std::vector<base::HostId> targets;
  for (const auto& [host, member] : this->known) {
    // Dead hosts of the list are still called: they may have come back, or be
    // able to hear though they cannot be heard.
    if (member.data_centre == this->options.data_centre &&
        host != this->options.own_host) {
      targets.push_back(host);
    }
  }
  if (targets.empty()) return;
  // A different peer goes first each time, so that a short budget leaves the
  // same peer out no more often than others.
  const size_t shift = ++this->summary_sequence % targets.size();
  std::rotate(targets.begin(), targets.begin() + static_cast<int64_t>(shift),
              targets.end());
  for (const base::HostId& to : targets) {
    const peers::Heartbeat bare = this->MakeHeartbeat(to, report);
    peers::Heartbeat full = bare;
    full.room = report.room;
    full.relay_state = report.relay_state;
    full.workers = report.workers;
    for (const auto& [name, centre] : this->centres) {
      if (centre.pass_on) full.summaries.push_back(centre.summary);
    }
    if (this->Spend(full)) {
      effects.heartbeats.push_back({to, std::move(full)});
      continue;
    }
    // The sign of life itself is never left out.
    this->Spend(bare);
    effects.heartbeats.push_back({to, bare});
  }
}

peers::DataCentreSummary Liveness::OwnSummary(const OwnReport& report) {
  peers::DataCentreSummary summary{.data_centre = this->options.data_centre,
                                   .representative = this->options.own_host,
                                   .incarnation = this->options.incarnation,
                                   .sequence = this->summary_sequence,
                                   .config_revision = report.config_revision};
  for (const auto& [host, member] : this->known) {
    if (member.data_centre != this->options.data_centre ||
        member.state == MemberState::kDead || member.incarnation == 0) {
      continue;
    }
    AddRoom(member.room, summary.room);
    if (summary.hosts.size() < kHostsInSummary) {
      summary.hosts.push_back(
          {.host = host,
           .incarnation = member.incarnation,
           .leaving = member.state == MemberState::kLeaving});
    }
  }
  return summary;
}

std::optional<base::HostId> Liveness::RemoteTarget(
    const base::DataCentreId& data_centre) {
  std::vector<base::HostId> hosts;
  for (const auto& [host, member] : this->known) {
    if (member.data_centre == data_centre) hosts.push_back(host);
  }
  if (hosts.empty()) return std::nullopt;
  RemoteCentre& centre = this->centres[data_centre];
  // While no answer comes, each host is tried in turn.
  const uint64_t attempts = centre.attempts++;
  std::optional<base::HostId> lowest = this->Representative(data_centre);
  if (attempts < 3 && lowest) return lowest;
  return hosts[attempts % hosts.size()];
}

void Liveness::SendRemote(const OwnReport& report, LivenessEffects& effects) {
  ++this->summary_sequence;
  const peers::DataCentreSummary summary = this->OwnSummary(report);
  std::set<base::DataCentreId> others;
  for (const auto& [host, member] : this->known) {
    if (member.data_centre != this->options.data_centre) {
      others.insert(member.data_centre);
    }
  }
  for (const base::DataCentreId& other : others) {
    const std::optional<base::HostId> to = this->RemoteTarget(other);
    if (!to) continue;
    peers::Heartbeat heartbeat = this->MakeHeartbeat(*to, report);
    heartbeat.summaries.push_back(summary);
    effects.heartbeats.push_back({*to, std::move(heartbeat)});
  }
}

std::optional<base::HostId> Liveness::Representative(
    const base::DataCentreId& data_centre) const {
  for (const auto& [host, member] : this->known) {
    if (member.data_centre == data_centre && member.live() &&
        member.incarnation != 0) {
      return host;
    }
  }
  return std::nullopt;
}

bool Liveness::is_representative() const {
  return this->Representative(this->options.data_centre) ==
         this->options.own_host;
}

std::vector<base::HostId> Liveness::LocalPeers() const {
  std::vector<base::HostId> hosts;
  for (const auto& [host, member] : this->known) {
    if (member.data_centre == this->options.data_centre && member.live() &&
        host != this->options.own_host) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<peers::DataCentreSummary> Liveness::Summaries() const {
  std::vector<peers::DataCentreSummary> summaries;
  for (const auto& [name, centre] : this->centres) {
    if (!centre.summary.representative.empty() &&
        this->last_tick - centre.heard < this->options.remote_dead_after) {
      summaries.push_back(centre.summary);
    }
  }
  return summaries;
}

std::vector<base::DataCentreId> Liveness::OutOfReach() const {
  std::vector<base::DataCentreId> out;
  for (const auto& [name, centre] : this->centres) {
    if (centre.summary.representative.empty() ||
        this->last_tick - centre.heard >= this->options.remote_dead_after) {
      out.push_back(name);
    }
  }
  return out;
}

}  // namespace agatepass::membership
