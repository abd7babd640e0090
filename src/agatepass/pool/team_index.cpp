#include "agatepass/pool/team_index.h"

namespace agatepass::pool {

namespace {

std::optional<size_t> FindIn(
    const absl::flat_hash_map<std::string, size_t>& positions,
    std::string_view name) {
  const auto found = positions.find(std::string(name));
  if (found == positions.end()) return std::nullopt;
  return found->second;
}

}  // namespace

TeamIndex::TeamIndex(std::span<const Team> teams) {
  for (size_t i = 0; i < teams.size(); ++i) {
    this->by_id.emplace(teams[i].id.value, i);
    for (const std::string& key : teams[i].api_keys) {
      if (!key.empty()) this->by_key.emplace(key, i);
    }
  }
}

std::optional<size_t> TeamIndex::FindByKey(std::string_view key) const {
  return FindIn(this->by_key, key);
}

std::optional<size_t> TeamIndex::Find(const base::TeamId& team) const {
  return FindIn(this->by_id, team.value);
}

}  // namespace agatepass::pool
