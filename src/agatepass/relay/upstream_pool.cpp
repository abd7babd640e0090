#include "agatepass/relay/upstream_pool.h"

#include <algorithm>

#include "agatepass/relay/text_hash.h"
#include "agatepass/relay/upstream_choice.h"

namespace agatepass::relay {

namespace {

Distance DistanceOf(const platform::HostRecord& host, const Place& place) {
  if (host.data_centre == place.data_centre) return Distance::kSameDataCentre;
  if (host.region == place.region) return Distance::kSameRegion;
  return Distance::kOtherRegion;
}

// The order of `times` is changed.
base::Duration Median(std::vector<base::Duration>* times) {
  if (times->empty()) return base::Duration(0);
  const auto middle =
      times->begin() + static_cast<std::ptrdiff_t>(times->size() / 2);
  std::nth_element(times->begin(), middle, times->end());
  return *middle;
}

}  // namespace

void UpstreamPool::SetRule(const ServiceRule& new_rule) {
  this->rule = new_rule;
  if (this->has_shares) return;
  for (auto& [id, upstream] : this->upstreams)
    upstream.share = this->rule.slots;
}

void UpstreamPool::SetUpstreams(std::span<const platform::HostRecord> hosts) {
  for (auto& [id, upstream] : this->upstreams) {
    upstream.listed = false;
    upstream.taking_requests = false;
  }
  for (const platform::HostRecord& host : hosts) {
    if (host.role != platform::HostRole::kUpstream ||
        host.service != this->rule.service)
      continue;
    const base::UpstreamId id(host.name);
    Upstream& upstream = this->upstreams[id];
    // A new address is a new process: what was known of the old is void.
    if (upstream.endpoint != host.endpoint) {
      upstream.health = UpstreamHealth();
      upstream.leaving_notice = false;
    }
    upstream.id = id;
    upstream.endpoint = host.endpoint;
    upstream.distance = DistanceOf(host, this->place);
    upstream.label = this->LabelOf(host);
    upstream.listed = true;
    upstream.taking_requests =
        host.state == platform::HostState::kLive && !upstream.leaving_notice;
    const auto share = this->shares.find(id);
    if (!this->has_shares) {
      upstream.share = this->rule.slots;
    } else {
      upstream.share = share == this->shares.end() ? 0 : share->second;
    }
  }
  this->Forget();
}

std::string UpstreamPool::LabelOf(const platform::HostRecord& host) const {
  if (!host.label.empty() || this->rule.labels.empty()) return host.label;
  // The same on every entry host, whatever its host list holds.
  const uint64_t number = HashText(host.name);
  return this->rule.labels[number % this->rule.labels.size()];
}

void UpstreamPool::SetShares(std::span<const UpstreamShare> new_shares) {
  this->has_shares = true;
  this->shares.clear();
  for (auto& [id, upstream] : this->upstreams) upstream.share = 0;
  for (const UpstreamShare& share : new_shares) {
    // One connection carries one request, so the smaller number rules.
    const int usable = std::min(share.slots, share.connections);
    this->shares[share.upstream] = usable;
    if (Upstream* upstream = this->Find(share.upstream))
      upstream->share = usable;
  }
}

Upstream* UpstreamPool::Take(const UpstreamDemand& demand,
                             std::mt19937_64& random) {
  const base::Duration typical = this->TypicalLatency();
  const bool few_left = this->FewLeft();
  std::vector<Candidate> candidates;
  std::vector<Upstream*> named;
  candidates.reserve(this->upstreams.size());
  for (auto& [id, upstream] : this->upstreams) {
    if (!this->Fits(upstream, demand)) continue;
    if (upstream.health.ejected() && !few_left) continue;
    candidates.push_back({named.size(), upstream.distance, upstream.used(),
                          upstream.share, upstream.health.Weight(typical)});
    named.push_back(&upstream);
  }
  const std::optional<size_t> index = ChooseUpstream(candidates, random);
  if (!index) return nullptr;
  ++named[*index]->outstanding;
  return named[*index];
}

void UpstreamPool::Release(const base::UpstreamId& id,
                           std::optional<base::Instant> lingers_until) {
  Upstream* upstream = this->Find(id);
  if (upstream == nullptr) return;
  --upstream->outstanding;
  if (lingers_until) upstream->lingering.insert(*lingers_until);
  this->Forget();
}

void UpstreamPool::ExpireLingering(base::Instant now) {
  for (auto& [id, upstream] : this->upstreams) {
    upstream.lingering.erase(upstream.lingering.begin(),
                             upstream.lingering.upper_bound(now));
  }
  this->Forget();
}

std::vector<const Upstream*> UpstreamPool::TakeProbes(base::Instant now) {
  std::vector<const Upstream*> due;
  for (auto& [id, upstream] : this->upstreams) {
    if (!upstream.taking_requests || !upstream.health.ProbeDue(now)) continue;
    upstream.health.OnProbeSent();
    due.push_back(&upstream);
  }
  return due;
}

void UpstreamPool::NoteLeaving(const base::UpstreamId& id) {
  if (Upstream* upstream = this->Find(id)) {
    upstream->leaving_notice = true;
    upstream->taking_requests = false;
  }
}

Upstream* UpstreamPool::Find(const base::UpstreamId& id) {
  const auto entry = this->upstreams.find(id);
  return entry == this->upstreams.end() ? nullptr : &entry->second;
}

ServiceCapacity UpstreamPool::Capacity() const {
  ServiceCapacity capacity;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream.taking_requests && !upstream.health.ejected())
      capacity.slots += upstream.share;
  }
  capacity.service_time = this->TypicalLatency();
  capacity.likely_time = std::max(this->LikelyTime(), capacity.service_time);
  return capacity;
}

bool UpstreamPool::Serves(std::string_view label, bool other_regions) const {
  const UpstreamDemand demand{label, other_regions, nullptr};
  return std::any_of(
      this->upstreams.begin(), this->upstreams.end(),
      [&](const auto& entry) { return this->Fits(entry.second, demand); });
}

bool UpstreamPool::Fits(const Upstream& upstream,
                        const UpstreamDemand& demand) const {
  if (!upstream.taking_requests || upstream.label != demand.label) return false;
  if (upstream.distance == Distance::kOtherRegion && !demand.other_regions)
    return false;
  return demand.failed == nullptr ||
         std::find(demand.failed->begin(), demand.failed->end(), upstream.id) ==
             demand.failed->end();
}

base::Duration UpstreamPool::TypicalLatency() const {
  std::vector<base::Duration> latencies;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream.health.latency().count() > 0)
      latencies.push_back(upstream.health.latency());
  }
  return Median(&latencies);
}

base::Duration UpstreamPool::LikelyTime() const {
  std::vector<base::Duration> times;
  for (const auto& [id, upstream] : this->upstreams) {
    if (upstream.health.latency().count() > 0)
      times.push_back(upstream.health.likely_time());
  }
  return Median(&times);
}

bool UpstreamPool::FewLeft() const {
  // With most of them ejected the fault is likely not theirs, and the last
  // ones must not be crushed.
  size_t taking = 0;
  size_t ejected = 0;
  for (const auto& [id, upstream] : this->upstreams) {
    if (!upstream.taking_requests) continue;
    ++taking;
    if (upstream.health.ejected()) ++ejected;
  }
  return ejected * 2 > taking;
}

void UpstreamPool::Forget() {
  std::erase_if(this->upstreams, [](const auto& entry) {
    const Upstream& upstream = entry.second;
    return !upstream.listed && upstream.used() == 0;
  });
}

}  // namespace agatepass::relay
