/** \file
 * Finds the teams of one version of the configuration by API key or by id.
 */
#ifndef AGATEPASS_POOL_TEAM_INDEX_H_
#define AGATEPASS_POOL_TEAM_INDEX_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agatepass/base/identifier.h"
#include "agatepass/pool/team.h"

namespace agatepass::pool {

/** Index of positions in a list of teams, which it does not keep.
 *
 * \code
 * const TeamIndex index(teams);
 * if (const auto position = index.FindByKey(key)) ... teams[*position].id
 * \endcode
 */
class TeamIndex {
 public:
  TeamIndex() = default;
  explicit TeamIndex(std::span<const Team> teams);

  /** Returns the position of the team that a key authenticates; nothing for an
   * unknown or empty key. Of two teams with the same key the first counts. */
  std::optional<size_t> FindByKey(std::string_view key) const;

  /** Returns the position of a team; nothing if it is not configured. */
  std::optional<size_t> Find(const base::TeamId& team) const;

 private:
  absl::flat_hash_map<std::string, size_t> by_key;
  absl::flat_hash_map<std::string, size_t> by_id;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_TEAM_INDEX_H_
