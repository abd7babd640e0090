/** \file
 * The platform's host list over HTTP: GET /v1/hosts answers with JSON.
 */
#ifndef AGATEPASS_PLATFORM_HOST_LIST_CLIENT_H_
#define AGATEPASS_PLATFORM_HOST_LIST_CLIENT_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_client.h"
#include "agatepass/platform/host_list.h"

namespace agatepass::platform {

/** Renders the list as the platform's JSON. */
std::string EncodeHostList(std::span<const HostRecord> hosts);

/** Reads the platform's JSON; kInvalidRequest if any row is malformed. */
absl::StatusOr<std::vector<HostRecord>> DecodeHostList(std::string_view body);

/** Client of the host list; satisfies the concept HostList. */
class HostListClient {
 public:
  HostListClient(base::EventLoop& loop, const base::Endpoint& endpoint);

  /** Reads the whole list. */
  void Read(HostListCallback callback);

 private:
  base::HttpClient client;
  base::Endpoint endpoint;
};

}  // namespace agatepass::platform

#endif  // AGATEPASS_PLATFORM_HOST_LIST_CLIENT_H_
