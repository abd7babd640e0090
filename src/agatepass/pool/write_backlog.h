/** \file
 * Jobs that have something to write to the store, and in which order.
 *
 * Answers bursts, in which more changes than one commit can hold: callers wait
 * for new jobs and for final phases, so these go first, those of urgent queues
 * before others; progress within a job waits.
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

/** How soon a job's changes are to be written. */
struct WriteUrgency {
  /** Whether no caller waits for the change. */
  bool is_progress = false;
  /** Priority of the job's queue; 0 comes first. */
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
  /** Urgency, number of arrival, job. */
  using Entry = std::tuple<WriteUrgency, uint64_t, base::JobId>;

  /** Adds a job; one that is there keeps its place unless it is now more
   * urgent. */
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

  /** Removes a job, if it is there. */
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
