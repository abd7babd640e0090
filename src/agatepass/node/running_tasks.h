/** \file
 * The tasks that were sent to workers and have not ended, by task and worker.
 */
#ifndef AGATEPASS_NODE_RUNNING_TASKS_H_
#define AGATEPASS_NODE_RUNNING_TASKS_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"

namespace agatepass::node {

/** One task on a worker. */
struct RunningTask {
  base::WorkerId worker;
  /** When its start was sent or it was found running. */
  base::Instant since;
  /** Whether the reply to its start is still awaited. */
  bool starting = true;
};

/** What this host believes to run where.
 *
 * \code
 * running.Add(task, {worker, now});
 * if (const RunningTask* entry = running.Find(task)) { ... }
 * \endcode
 */
class RunningTasks {
 public:
  /** Adds or replaces a task. */
  void Add(const base::TaskId& task, const RunningTask& entry) {
    this->Remove(task);
    this->by_task[task] = entry;
    this->by_worker[entry.worker].insert(task);
  }

  /** Notes that the reply to the task's start has come. */
  void ConfirmStart(const base::TaskId& task) {
    const auto entry = this->by_task.find(task);
    if (entry != this->by_task.end()) entry->second.starting = false;
  }

  /** Removes a task. \return what was known of it. */
  std::optional<RunningTask> Remove(const base::TaskId& task) {
    const auto entry = this->by_task.find(task);
    if (entry == this->by_task.end()) return std::nullopt;
    const RunningTask removed = entry->second;
    this->by_task.erase(entry);
    const auto on_worker = this->by_worker.find(removed.worker);
    on_worker->second.erase(task);
    if (on_worker->second.empty()) this->by_worker.erase(on_worker);
    return removed;
  }

  /** Returns the task's entry, or null. */
  const RunningTask* Find(const base::TaskId& task) const {
    const auto entry = this->by_task.find(task);
    return entry == this->by_task.end() ? nullptr : &entry->second;
  }

  /** Returns the tasks on `worker`, in order of their ids. */
  std::vector<base::TaskId> On(const base::WorkerId& worker) const {
    const auto entry = this->by_worker.find(worker);
    if (entry == this->by_worker.end()) return {};
    return {entry->second.begin(), entry->second.end()};
  }

  size_t size() const { return this->by_task.size(); }

 private:
  std::map<base::TaskId, RunningTask> by_task;
  std::map<base::WorkerId, std::set<base::TaskId>> by_worker;
};

}  // namespace agatepass::node

#endif  // AGATEPASS_NODE_RUNNING_TASKS_H_
