/** \file
 * Jobs with pending writes to the store, and the order of these writes.
 *
 * Handles bursts in which more changes are pending than one commit can hold:
 * callers wait for new jobs and for final phases, so these are written first,
 * those of queues of higher priority before others; progress within a job
 * waits.
 */
#ifndef AGATEPASS_POOL_WRITE_BACKLOG_H_
#define AGATEPASS_POOL_WRITE_BACKLOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "agatepass/base/identifier.h"

namespace agatepass::pool {

/** Urgency of a job's pending writes; the lowest value is the most urgent. */
struct WriteUrgency {
  /** Whether the change is only progress, for which no caller waits. */
  bool is_progress = false;
  /** Priority of the job's queue; 0 is the highest. */
  uint32_t priority = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const WriteUrgency&) const = default;
};

/** The jobs to write, most urgent first, then in the order of their arrival.
 *
 * \code
 * WriteBacklog backlog;
 * backlog.Add(job, {.is_progress = false, .priority = 0});
 * for (const auto& [urgency, arrival, id] : backlog.entries()) Write(id);
 * \endcode
 */
class WriteBacklog {
 public:
  /** Urgency, arrival number, job. */
  using Entry = std::tuple<WriteUrgency, uint64_t, base::JobId>;

  /** Adds a job. If it is already present, it keeps its position unless it is
   * now more urgent. */
  void Add(const base::JobId& job, const WriteUrgency& urgency) {
    const auto found = this->positions.find(job);
    if (found != this->positions.end()) {
      const auto& [current, arrival] = found->second;
      if (urgency >= current) return;
      this->Remove(job);
    }
    const uint64_t arrival = this->next_arrival++;
    this->positions[job] = {urgency, arrival};
    this->sorted_entries.emplace(urgency, arrival, job);
  }

  /** Removes a job if it is present. */
  void Remove(const base::JobId& job) {
    const auto found = this->positions.find(job);
    if (found == this->positions.end()) return;
    const auto& [urgency, arrival] = found->second;
    this->sorted_entries.erase({urgency, arrival, job});
    this->positions.erase(found);
  }

  /** The jobs in the order in which they should be written. */
  const std::set<Entry>& entries() const { return this->sorted_entries; }

  size_t size() const { return this->sorted_entries.size(); }

 private:
  std::map<base::JobId, std::pair<WriteUrgency, uint64_t>> positions;
  std::set<Entry> sorted_entries;
  uint64_t next_arrival = 0;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_WRITE_BACKLOG_H_
