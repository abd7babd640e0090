/** \file
 * The platform's host list: which entry hosts, workers and upstreams it
 * believes to be live or leaving.
 */
#ifndef AGATEPASS_PLATFORM_HOST_LIST_H_
#define AGATEPASS_PLATFORM_HOST_LIST_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"
#include "agatepass/platform/resources.h"
#include "agatepass/platform/store.h"

namespace agatepass::platform {

enum class HostRole : uint8_t { kEntryHost, kWorker, kUpstream };

enum class HostState : uint8_t { kLive, kLeaving };

/** One row of the list. The list lags: a host may have died or left since. */
struct HostRecord {
  std::string name;
  HostRole role = HostRole::kWorker;
  HostState state = HostState::kLive;
  base::Endpoint endpoint;
  base::RegionId region;
  base::DataCentreId data_centre;
  base::RackId rack;
  /** Of upstreams: the service that they are an instance of. */
  base::ServiceId service;
  /** Of workers: what they have. */
  Resources total;
  /** Of workers: separation label, empty for none. */
  std::string label;
};

/** The end of a read of the host list. */
struct HostListReply {
  Outcome outcome = Outcome::kNotSent;
  std::vector<HostRecord> hosts;
};

using HostListCallback = std::function<void(HostListReply)>;

/** A client of the host list. The callback runs once, later; destroying the
 * client drops it. */
template <typename Client>
concept HostList = requires(Client& client, HostListCallback callback) {
  { client.Read(std::move(callback)) } -> std::same_as<void>;
};

}  // namespace agatepass::platform

#endif  // AGATEPASS_PLATFORM_HOST_LIST_H_
