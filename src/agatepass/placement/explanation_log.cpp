#include "agatepass/placement/explanation_log.h"

#include <utility>

namespace agatepass::placement {
namespace {

/** Drops the entry of `key` if it still points to `id`. */
template <typename Map, typename Key>
void DropIfCurrent(Map& map, const Key& key, ExplanationId id) {
  if (const auto found = map.find(key);
      found != map.end() && found->second == id) {
    map.erase(found);
  }
}

}  // namespace

ExplanationId ExplanationLog::Add(Explanation explanation) {
  const ExplanationId id = this->next++;
  explanation.id = id;
  this->by_task[explanation.task] = id;
  this->by_job[explanation.job] = id;
  if (this->records.size() < this->capacity) {
    this->records.push_back(std::move(explanation));
    return id;
  }
  Explanation& oldest = this->records[(id - 1) % this->capacity];
  DropIfCurrent(this->by_task, oldest.task, oldest.id);
  DropIfCurrent(this->by_job, oldest.job, oldest.id);
  oldest = std::move(explanation);
  return id;
}

const Explanation* ExplanationLog::Find(ExplanationId id) const {
  if (id == 0 || this->records.empty()) return nullptr;
  const Explanation& record =
      this->records[(id - 1) % this->capacity % this->records.size()];
  return record.id == id ? &record : nullptr;
}

const Explanation* ExplanationLog::Find(const base::TaskId& task) const {
  const auto found = this->by_task.find(task);
  return found == this->by_task.end() ? nullptr : this->Find(found->second);
}

const Explanation* ExplanationLog::Find(const base::JobId& job) const {
  const auto found = this->by_job.find(job);
  return found == this->by_job.end() ? nullptr : this->Find(found->second);
}

}  // namespace agatepass::placement
