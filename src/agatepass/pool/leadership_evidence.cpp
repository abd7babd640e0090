#include "agatepass/pool/leadership_evidence.h"

#include <algorithm>

namespace agatepass::pool {

void LeadershipEvidence::OnStoreConfirmation(base::Instant sent_at) {
  if (sent_at <= this->store_confirmed_at) return;
  this->store_confirmed_at = sent_at;
  // Only now, not with time: a planner that is cut off from the store and from
  // all hosts must not take them for gone.
  std::erase_if(this->hosts, [sent_at](const auto& entry) {
    return entry.second.seen_at + kMaxHostAge < sent_at;
  });
}

void LeadershipEvidence::OnHostSeen(const base::Endpoint& host,
                                    base::Instant now) {
  base::Instant& seen_at = this->hosts[host].seen_at;
  seen_at = std::max(seen_at, now);
}

void LeadershipEvidence::OnHostAnswer(const base::Endpoint& host,
                                      base::Instant sent_at) {
  this->OnHostSeen(host, sent_at);
  base::Instant& answered_at = this->hosts[host].answered_at;
  answered_at = std::max(answered_at, sent_at);
}

bool LeadershipEvidence::ShouldReadKey(base::Instant now) {
  const base::Instant latest =
      std::max(this->store_confirmed_at, this->key_read_at);
  if (now < latest + kReadKeyPeriod) return false;
  this->key_read_at = now;
  return true;
}

std::vector<base::Endpoint> LeadershipEvidence::TakeHostsToAsk(
    base::Instant now) {
  if (now < this->store_confirmed_at + kAskHostsAfter) return {};
  if (this->hosts_asked_at && now < *this->hosts_asked_at + kAskHostsPeriod)
    return {};
  this->hosts_asked_at = now;
  std::vector<base::Endpoint> asked;
  asked.reserve(this->hosts.size());
  for (const auto& [endpoint, host] : this->hosts) asked.push_back(endpoint);
  return asked;
}

base::Instant LeadershipEvidence::ConfirmedAt(base::Instant now) const {
  if (this->hosts.empty()) {
    const bool is_only_host =
        this->store_confirmed_at >= this->began_at + kHostsCallWithin;
    return is_only_host ? now : this->store_confirmed_at;
  }
  base::Instant by_hosts = now;
  for (const auto& [endpoint, host] : this->hosts) {
    by_hosts = std::min(by_hosts, host.answered_at);
  }
  return std::max(this->store_confirmed_at, by_hosts);
}

size_t LeadershipEvidence::CountSilentHosts(base::Instant since) const {
  return static_cast<size_t>(std::count_if(
      this->hosts.begin(), this->hosts.end(), [since](const auto& entry) {
        return entry.second.answered_at <= since;
      }));
}

}  // namespace agatepass::pool
