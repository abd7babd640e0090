#include "agatepass/pool/queue_index.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/string_view.h"

namespace agatepass::pool {

namespace {

/** Separates host and prefix in a key; neither contains it. */
constexpr char kKeySeparator = '\n';

std::string MakeAddressKey(std::string_view host, std::string_view prefix) {
  std::string key =
      absl::AsciiStrToLower(absl::string_view(host.data(), host.size()));
  key += kKeySeparator;
  key += prefix;
  return key;
}

}  // namespace

QueueIndex::QueueIndex(QueueTable queue_table)
    : queue_table(std::move(queue_table)) {
  std::set<size_t, std::greater<>> lengths;
  const std::vector<Queue>& queues = this->queue_table.queues;
  for (size_t i = 0; i < queues.size(); ++i) {
    this->by_name.emplace(queues[i].name, i);
    this->by_address.emplace(MakeAddressKey(queues[i].host, queues[i].prefix),
                             i);
    lengths.insert(queues[i].prefix.size());
  }
  this->prefix_lengths.assign(lengths.begin(), lengths.end());
  if (this->queue_table.teams) {
    this->teams = TeamIndex(*this->queue_table.teams);
  }
}

const Queue* QueueIndex::Route(std::string_view host,
                               std::string_view path) const {
  host = host.substr(0, host.find(':'));
  for (const size_t length : this->prefix_lengths) {
    if (length > path.size()) continue;
    const auto found =
        this->by_address.find(MakeAddressKey(host, path.substr(0, length)));
    if (found != this->by_address.end()) {
      return &this->queue_table.queues[found->second];
    }
  }
  return nullptr;
}

const Queue* QueueIndex::Find(std::string_view name) const {
  const auto found = this->by_name.find(std::string(name));
  if (found == this->by_name.end()) return nullptr;
  return &this->queue_table.queues[found->second];
}

const Team* QueueIndex::FindTeamByKey(std::string_view key) const {
  return this->TeamAt(this->teams.FindByKey(key));
}

const Team* QueueIndex::FindTeam(const base::TeamId& team) const {
  return this->TeamAt(this->teams.Find(team));
}

const Team* QueueIndex::TeamAt(std::optional<size_t> position) const {
  return position ? &(*this->queue_table.teams)[*position] : nullptr;
}

}  // namespace agatepass::pool
