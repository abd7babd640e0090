#include "agatepass/pool/queue_table.h"

#include "agatepass/base/text.h"

namespace agatepass::pool {

const Queue* QueueTable::Route(std::string_view host,
                               std::string_view path) const {
  host = host.substr(0, host.find(':'));
  const Queue* best = nullptr;
  for (const Queue& queue : this->queues) {
    if (!path.starts_with(queue.prefix)) continue;
    if (!base::EqualsIgnoreCase(queue.host, host)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) {
      best = &queue;
    }
  }
  return best;
}

const Queue* QueueTable::Find(std::string_view name) const {
  for (const Queue& queue : this->queues) {
    if (queue.name == name) return &queue;
  }
  return nullptr;
}

}  // namespace agatepass::pool
