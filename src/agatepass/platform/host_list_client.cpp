#include "agatepass/platform/host_list_client.h"

#include <array>
#include <optional>
#include <utility>

#include "agatepass/base/result_code.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::platform {

namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr base::Duration kReadTimeout = std::chrono::seconds(2);
constexpr auto kRoleNames =
    std::to_array<std::string_view>({"entry_host", "worker", "upstream"});

std::optional<HostRole> ParseRole(std::string_view name) {
  for (size_t i = 0; i < kRoleNames.size(); ++i) {
    if (kRoleNames[i] == name) return static_cast<HostRole>(i);
  }
  return std::nullopt;
}

json EncodeHost(const HostRecord& host) {
  return {{"name", host.name},
          {"role", kRoleNames[static_cast<size_t>(host.role)]},
          {"state", host.state == HostState::kLive ? "live" : "leaving"},
          {"endpoint", host.endpoint.ToString()},
          {"region", host.region.value},
          {"data_centre", host.data_centre.value},
          {"rack", host.rack.value},
          {"service", host.service.value},
          {"label", host.label},
          {"millicores", host.total.millicores},
          {"memory_mib", host.total.memory_mib},
          {"accelerators", host.total.accelerators}};
}

std::optional<HostRecord> DecodeHost(const json& row) {
  HostRecord host;
  const std::optional<HostRole> role = ParseRole(row.value("role", ""));
  const std::optional<base::Endpoint> endpoint =
      base::ParseEndpoint(row.value("endpoint", ""));
  host.name = row.value("name", "");
  if (!role || !endpoint || host.name.empty()) return std::nullopt;
  host.role = *role;
  host.endpoint = *endpoint;
  host.state = row.value("state", "") == "leaving" ? HostState::kLeaving
                                                   : HostState::kLive;
  host.region = base::RegionId(row.value("region", ""));
  host.data_centre = base::DataCentreId(row.value("data_centre", ""));
  host.rack = base::RackId(row.value("rack", ""));
  host.service = base::ServiceId(row.value("service", ""));
  host.label = row.value("label", "");
  host.total = {row.value("millicores", int64_t{0}),
                row.value("memory_mib", int64_t{0}),
                row.value("accelerators", int64_t{0})};
  return host;
}

}  // namespace

std::string EncodeHostList(std::span<const HostRecord> hosts) {
  json rows = json::array();
  for (const HostRecord& host : hosts) rows.push_back(EncodeHost(host));
  return json{{"hosts", std::move(rows)}}.dump();
}

absl::StatusOr<std::vector<HostRecord>> DecodeHostList(std::string_view body) {
  std::vector<HostRecord> hosts;
  try {
    const json document = json::parse(body);
    for (const json& row : document.at("hosts")) {
      std::optional<HostRecord> host = DecodeHost(row);
      if (!host) {
        return base::ErrorStatus(
            base::ResultCode::kInvalidRequest,
            fmt::format("host list: row {} lacks a name, role or endpoint",
                        hosts.size()));
      }
      hosts.push_back(*std::move(host));
    }
  } catch (const json::exception& fault) {
    return base::ErrorStatus(base::ResultCode::kInvalidRequest,
                             fmt::format("host list: {}", fault.what()));
  }
  return hosts;
}

HostListClient::HostListClient(base::EventLoop& loop,
                               const base::Endpoint& endpoint)
    : client(loop, {}), endpoint(endpoint) {}

void HostListClient::Read(HostListCallback callback) {
  this->client.Send(
      this->endpoint, {.path = "/v1/hosts"}, kReadTimeout,
      [callback = std::move(callback)](const base::HttpOutcome& outcome) {
        HostListReply reply;
        if (outcome.delivery == base::Delivery::kAnswered) {
          absl::StatusOr<std::vector<HostRecord>> hosts =
              DecodeHostList(outcome.answer.body);
          const bool done = outcome.answer.status == kHttpOk && hosts.ok();
          reply.outcome = done ? Outcome::kDone : Outcome::kUnknown;
          if (done) reply.hosts = *std::move(hosts);
        }
        callback(std::move(reply));
      });
}

}  // namespace agatepass::platform
