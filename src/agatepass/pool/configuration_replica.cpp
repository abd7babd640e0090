#include "agatepass/pool/configuration_replica.h"

#include <algorithm>
#include <utility>

namespace agatepass::pool {

bool ConfigurationReplica::Apply(QueueTable table,
                                 platform::Revision revision) {
  if (table.version <= this->version()) return false;
  if (this->version() != 0) this->previous.push_back(this->current);
  if (this->previous.size() > kMaxPrevious) this->previous.pop_front();
  this->current = std::make_shared<const QueueIndex>(std::move(table));
  this->current_revision = revision;
  this->encoded_updates.clear();
  this->OnVersionSeen(this->version());
  return true;
}

void ConfigurationReplica::OnVersionSeen(uint64_t version) {
  this->newest = std::max(this->newest, version);
}

void ConfigurationReplica::OnNewestAt(uint64_t version, base::Instant at) {
  this->OnVersionSeen(version);
  if (version > this->version()) return;
  this->newest_at = std::max(this->newest_at, std::optional(at));
}

void ConfigurationReplica::OnStoreChecked(base::Instant answered_at,
                                          base::Instant now) {
  this->store_answered_at = std::max(this->store_answered_at, answered_at);
  if (now - this->store_checked_at > kMaxCheckInterval) {
    this->checking_since = now;
  }
  this->store_checked_at = now;
}

std::optional<base::Duration> ConfigurationReplica::Age(
    base::Instant now) const {
  if (!this->newest_at) return std::nullopt;
  return std::max(now - *this->newest_at, base::Duration(0));
}

bool ConfigurationReplica::IsYoung(base::Instant now) const {
  return this->version() != 0 && this->newest_at &&
         now - *this->newest_at <= this->max_decision_age;
}

bool ConfigurationReplica::IsCurrent(base::Instant now) const {
  return this->IsYoung(now) && !this->IsBehind();
}

bool ConfigurationReplica::IsStoreSilent(base::Instant now) const {
  const base::Instant silent_since =
      std::max(this->store_answered_at, this->checking_since);
  return now - silent_since > kMaxStoreSilence &&
         now - this->store_checked_at <= kMaxCheckInterval;
}

bool ConfigurationReplica::MayDecide(base::Instant now) const {
  if (this->IsYoung(now)) return true;
  return this->IsStoreSilent(now) && !this->IsBehind() &&
         this->IsYoung(this->store_answered_at);
}

const std::string& ConfigurationReplica::EncodeUpdateFrom(uint64_t version) {
  const QueueTable none;
  const QueueTable* base = &none;
  for (const auto& kept : this->previous) {
    if (kept->table().version == version) base = &kept->table();
  }
  std::string& text = this->encoded_updates[base->version];
  if (text.empty()) {
    text = EncodeUpdate(
        MakeUpdate(*base, this->current->table(), this->current_revision));
  }
  return text;
}

}  // namespace agatepass::pool
