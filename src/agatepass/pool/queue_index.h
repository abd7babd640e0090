/** \file
 * Finds queues of one version of the configuration by the address of a request
 * or by name, and teams by key or id, at a cost that does not grow with their
 * number.
 */
#ifndef AGATEPASS_POOL_QUEUE_INDEX_H_
#define AGATEPASS_POOL_QUEUE_INDEX_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agatepass/pool/queue_table.h"
#include "agatepass/pool/team_index.h"

namespace agatepass::pool {

/** The queues of one version, with an index; it does not change.
 *
 * \code
 * const QueueIndex index(table);
 * if (const Queue* queue = index.Route("a.example", "/q/5c")) ...
 * \endcode
 */
class QueueIndex {
 public:
  QueueIndex() : QueueIndex(QueueTable{}) {}
  explicit QueueIndex(QueueTable queue_table);

  /** All queues. */
  const QueueTable& table() const { return this->queue_table; }

  /** Returns the queue for a request, or null if no queue matches. Of several
   * matching queues the one with the longest prefix is returned.
   * \param host host name of the request; a port and letter case are ignored.
   * \param path path of the request. */
  const Queue* Route(std::string_view host, std::string_view path) const;

  /** Returns the queue called `name`, or null. */
  const Queue* Find(std::string_view name) const;

  /** Returns the team that an API key authenticates, or null. */
  const Team* FindTeamByKey(std::string_view key) const;

  /** Returns a team, or null if it is not configured. */
  const Team* FindTeam(const base::TeamId& team) const;

 private:
  const Team* TeamAt(std::optional<size_t> position) const;

  QueueTable queue_table;
  TeamIndex teams;
  /** Positions in the table, by name and by host and prefix. */
  absl::flat_hash_map<std::string, size_t> by_name;
  absl::flat_hash_map<std::string, size_t> by_address;
  /** Lengths of the prefixes, the longest first. */
  std::vector<size_t> prefix_lengths;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_QUEUE_INDEX_H_
