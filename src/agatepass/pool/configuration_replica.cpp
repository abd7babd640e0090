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

void ConfigurationReplica::OnConfirmed(base::Instant confirmed_at) {
  this->last_confirmed_at = std::max(this->last_confirmed_at, confirmed_at);
}

bool ConfigurationReplica::IsCurrent(base::Instant now) const {
  return this->version() != 0 && !this->IsBehind() &&
         now - this->last_confirmed_at <= kMaxConfirmationAge;
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
