/** \file
 * The platform's workers over HTTP: commands are posted as JSON.
 */
#ifndef AGATEPASS_PLATFORM_WORKER_CLIENT_H_
#define AGATEPASS_PLATFORM_WORKER_CLIENT_H_

#include <cstdint>
#include <span>

#include "absl/container/flat_hash_map.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_client.h"
#include "agatepass/platform/host_list.h"
#include "agatepass/platform/worker.h"

namespace agatepass::platform {

/** Client of all workers; satisfies the concept WorkerControl. */
class WorkerClient {
 public:
  explicit WorkerClient(base::EventLoop& loop);

  /** Learns the addresses of the workers in `hosts`. */
  void SetHosts(std::span<const HostRecord> hosts);

  /** Sends one command; the callback runs once, within the call's time-out.
   * A worker without a known address gives kNotSent.
   */
  void Call(const WorkerCall& call, WorkerCallback callback);

  /** Bytes sent and received so far. */
  uint64_t bytes() const {
    return this->client.bytes_sent() + this->client.bytes_received();
  }

 private:
  base::EventLoop& loop;
  base::HttpClient client;
  absl::flat_hash_map<base::WorkerId, base::Endpoint> endpoints;
};

}  // namespace agatepass::platform

#endif  // AGATEPASS_PLATFORM_WORKER_CLIENT_H_
