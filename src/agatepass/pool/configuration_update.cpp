#include "agatepass/pool/configuration_update.h"

#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::pool {

namespace {

using Json = nlohmann::json;

/** Parameters of the 64-bit FNV-1a hash. */
constexpr uint64_t kHashOffset = 14695981039346656037U;
constexpr uint64_t kHashPrime = 1099511628211U;

uint64_t Hash(std::string_view text) {
  uint64_t hash = kHashOffset;
  for (const char byte : text) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kHashPrime;
  }
  return hash;
}

std::string Dump(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json EncodePolicy(const QueuePolicy& policy) {
  Json out = {policy.service.value, policy.priority, policy.attempts,
              policy.stretch, policy.slack.count()};
  if (policy.advice) {
    out.push_back(policy.advice->call_duration.count());
    out.push_back(policy.advice->duration_per_worker.count());
    out.push_back(policy.advice->ticket_lifetime.count());
  }
  return out;
}

QueuePolicy DecodePolicy(const Json& in) {
  const auto duration = [&in](size_t index) {
    return base::Duration(in.at(index).get<int64_t>());
  };
  QueuePolicy policy{.service = base::ServiceId(in.at(0).get<std::string>()),
                     .priority = in.at(1).get<uint32_t>(),
                     .attempts = in.at(2).get<uint32_t>(),
                     .stretch = in.at(3).get<double>(),
                     .slack = duration(4)};
  if (in.size() > 5) {
    policy.advice = AdvicePolicy{.call_duration = duration(5),
                                 .duration_per_worker = duration(6),
                                 .ticket_lifetime = duration(7)};
  }
  return policy;
}

/** Returns the teams as a list; null if no teams are configured. */
Json EncodeTeams(const std::optional<std::vector<Team>>& teams) {
  if (!teams) return nullptr;
  Json out = Json::array();
  for (const Team& team : *teams) {
    out.push_back({team.id.value, team.api_keys, team.weight,
                   team.cap.millicores, team.cap.memory_mib,
                   team.cap.accelerators});
  }
  return out;
}

std::optional<std::vector<Team>> DecodeTeams(const Json& in) {
  if (in.is_null()) return std::nullopt;
  std::vector<Team> teams;
  for (const Json& row : in) {
    teams.push_back({.id = base::TeamId(row.at(0).get<std::string>()),
                     .api_keys = row.at(1).get<std::vector<std::string>>(),
                     .weight = row.at(2).get<double>(),
                     .cap = {.millicores = row.at(3).get<int64_t>(),
                             .memory_mib = row.at(4).get<int64_t>(),
                             .accelerators = row.at(5).get<int64_t>()}});
  }
  return teams;
}

/** Lists each distinct value once; queues refer to it by its number. */
class ValueList {
 public:
  /** Returns the number of a value. */
  size_t Add(const Json& value) {
    const auto [entry, added] =
        this->numbers.emplace(value.dump(), this->values.size());
    if (added) this->values.push_back(value);
    return entry->second;
  }

  Json Take() { return std::move(this->values); }

 private:
  Json values = Json::array();
  absl::flat_hash_map<std::string, size_t> numbers;
};

}  // namespace

uint64_t ComputeChecksum(const QueueTable& table) {
  uint64_t checksum = table.queues.size();
  for (const Queue& queue : table.queues) {
    checksum +=
        Hash(fmt::format("{}\n{}\n{}\n{}", queue.name, queue.host, queue.prefix,
                         EncodePolicy(queue.policy).dump()));
    if (queue.is_public) checksum += Hash("public\n" + queue.name);
  }
  if (table.teams) checksum += Hash(Dump(EncodeTeams(table.teams)));
  return checksum;
}

ConfigurationUpdate MakeUpdate(const QueueTable& base, const QueueTable& table,
                               platform::Revision revision) {
  ConfigurationUpdate update{.base_version = base.version,
                             .version = table.version,
                             .revision = revision,
                             .checksum = ComputeChecksum(table)};
  update.same_teams = base.version != 0 && base.teams == table.teams;
  if (!update.same_teams) update.teams = table.teams;
  absl::flat_hash_map<std::string, const Queue*> before;
  for (const Queue& queue : base.queues) before.emplace(queue.name, &queue);
  for (const Queue& queue : table.queues) {
    const auto found = before.find(queue.name);
    if (found == before.end() || *found->second != queue) {
      update.changed.push_back(queue);
    }
    if (found != before.end()) before.erase(found);
  }
  // In the order of the table, as that of the map is random.
  for (const Queue& queue : base.queues) {
    if (before.contains(queue.name)) update.removed.push_back(queue.name);
  }
  return update;
}

std::optional<QueueTable> ApplyUpdate(const QueueTable& base,
                                      const ConfigurationUpdate& update) {
  QueueTable table{.version = update.version, .teams = update.teams};
  if (update.base_version != 0) {
    if (update.base_version != base.version) return std::nullopt;
    if (update.same_teams) table.teams = base.teams;
    absl::flat_hash_set<std::string> replaced(update.removed.begin(),
                                              update.removed.end());
    for (const Queue& queue : update.changed) replaced.insert(queue.name);
    for (const Queue& queue : base.queues) {
      if (!replaced.contains(queue.name)) table.queues.push_back(queue);
    }
  }
  table.queues.insert(table.queues.end(), update.changed.begin(),
                      update.changed.end());
  if (ComputeChecksum(table) != update.checksum) return std::nullopt;
  return table;
}

std::string EncodeUpdate(const ConfigurationUpdate& update) {
  ValueList hosts;
  ValueList policies;
  Json queues = Json::array();
  for (const Queue& queue : update.changed) {
    queues.push_back({queue.name, queue.prefix, hosts.Add(queue.host),
                      policies.Add(EncodePolicy(queue.policy))});
    if (queue.is_public) queues.back().push_back(true);
  }
  Json body = {{"base", update.base_version}, {"version", update.version},
               {"revision", update.revision}, {"checksum", update.checksum},
               {"removed", update.removed},   {"hosts", hosts.Take()},
               {"policies", policies.Take()}, {"queues", std::move(queues)}};
  if (!update.same_teams && update.teams) {
    body["teams"] = EncodeTeams(update.teams);
  }
  if (update.same_teams) body["same_teams"] = true;
  return Dump(body);
}

std::optional<ConfigurationUpdate> DecodeUpdate(std::string_view text) {
  try {
    const Json in = Json::parse(text);
    ConfigurationUpdate update{
        .base_version = in.at("base").get<uint64_t>(),
        .version = in.at("version").get<uint64_t>(),
        .revision = in.at("revision").get<platform::Revision>(),
        .removed = in.at("removed").get<std::vector<std::string>>(),
        .same_teams = in.value("same_teams", false),
        .teams = DecodeTeams(in.value("teams", Json())),
        .checksum = in.at("checksum").get<uint64_t>()};
    const auto hosts = in.at("hosts").get<std::vector<std::string>>();
    std::vector<QueuePolicy> policies;
    for (const Json& policy : in.at("policies")) {
      policies.push_back(DecodePolicy(policy));
    }
    for (const Json& queue : in.at("queues")) {
      const auto host = queue.at(2).get<size_t>();
      const auto policy = queue.at(3).get<size_t>();
      if (host >= hosts.size() || policy >= policies.size()) {
        return std::nullopt;
      }
      update.changed.push_back({.name = queue.at(0).get<std::string>(),
                                .host = hosts[host],
                                .prefix = queue.at(1).get<std::string>(),
                                .is_public = queue.size() > 4,
                                .policy = policies[policy]});
    }
    return update;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace agatepass::pool
