/** \file
 * When the next occurrence of each job is due.
 */
#ifndef AGATEPASS_POOL_OCCURRENCE_SCHEDULE_H_
#define AGATEPASS_POOL_OCCURRENCE_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "agatepass/base/identifier.h"

namespace agatepass::pool {

/** Holds one due time for each job that has an occurrence to come.
 *
 * \code
 * schedule.Add(due_ms, job);
 * for (const auto& [due_ms, job] : schedule.TakeDue(wall_ms)) Open(job);
 * \endcode
 */
class OccurrenceSchedule {
 public:
  /** A due time in Unix milliseconds, and the job. */
  using Entry = std::pair<int64_t, base::JobId>;

  void Add(int64_t due_ms, const base::JobId& job) {
    this->entries.emplace(due_ms, job);
  }

  /** Removes an entry as it was added; no effect if there is none. */
  void Remove(int64_t due_ms, const base::JobId& job) {
    this->entries.erase({due_ms, job});
  }

  /** Takes out all that is due by then, the earliest first. */
  std::vector<Entry> TakeDue(int64_t until_ms) {
    auto end = this->entries.begin();
    while (end != this->entries.end() && end->first <= until_ms) ++end;
    std::vector<Entry> due(this->entries.begin(), end);
    this->entries.erase(this->entries.begin(), end);
    return due;
  }

  size_t size() const { return this->entries.size(); }

 private:
  std::set<Entry> entries;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_OCCURRENCE_SCHEDULE_H_
