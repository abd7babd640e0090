#include "fakes/store_model.h"

#include <string_view>

namespace agatepass::fakes {

using platform::Outcome;
using platform::StoreCall;
using platform::StoreEntry;
using platform::StoreReply;
using platform::StoreVerb;

StoreReply StoreModel::Handle(const StoreCall& call, base::Instant now) {
  this->DropLapsed(now);
  StoreReply reply;
  reply.outcome = Outcome::kDone;
  if (call.verb == StoreVerb::kList) {
    for (auto entry = this->values.lower_bound(call.key);
         entry != this->values.end() && entry->first.starts_with(call.key);
         ++entry) {
      reply.entries.push_back(this->Read(entry->first));
    }
  } else {
    const bool writes = call.verb == StoreVerb::kCompareAndSwap ||
                        call.verb == StoreVerb::kDelete;
    if (writes && !this->Write(call, now)) reply.outcome = Outcome::kRefused;
    reply.entries.push_back(this->Read(call.key));
  }
  reply.store_revision = this->newest;
  return reply;
}

bool StoreModel::HasChanged(const std::string& key,
                            platform::Revision revision) const {
  return this->Read(key).revision > revision;
}

void StoreModel::DropLapsed(base::Instant now) {
  std::erase_if(this->values, [now](const auto& entry) {
    return entry.second.lapses <= now;
  });
}

StoreEntry StoreModel::Read(const std::string& key) const {
  const auto entry = this->values.find(key);
  if (entry == this->values.end()) return {key, "", 0};
  return {key, entry->second.text, entry->second.revision};
}

bool StoreModel::Write(const StoreCall& call, base::Instant now) {
  if (this->Read(call.key).revision != call.expected) return false;
  ++this->newest;
  ++this->done_writes;
  if (call.verb == StoreVerb::kDelete) {
    this->values.erase(call.key);
    return true;
  }
  Value& value = this->values[call.key];
  value.text = call.value;
  value.revision = this->newest;
  value.lapses =
      call.lease.count() > 0 ? now + call.lease : base::Instant::max();
  return true;
}

}  // namespace agatepass::fakes
