/** \file
 * The upstreams of the services as the relay sees them, and the rules of each
 * service.
 */
#ifndef AGATEPASS_RELAY_UPSTREAM_H_
#define AGATEPASS_RELAY_UPSTREAM_H_

#include <string>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"

namespace agatepass::relay {

/** Rules of one service, from the configuration in force. */
struct ServiceRule {
  base::ServiceId service;
  /** Requests that one instance takes at a time. */
  int slots = 8;
  /** Connections that one instance takes. */
  int connections = 64;
  /** Requests that may wait here, of each class. */
  size_t queue_length = 256;
  /** Answers above this are refused as incomplete. */
  size_t answer_bytes = 8 * 1024 * 1024;
  /** Whether requests may go to upstreams of another region. */
  bool cross_region = false;
  /** Bytes a second that this entry host may send to other regions. */
  double cross_region_bytes = 200'000;
  /** Separation labels of its requests; upstreams without a label of their own
   * are divided among them by a hash of their names. */
  std::vector<std::string> labels;
  /** Retries allowed for each successful request. */
  double retry_share = 0.1;
  /** The longest that one request may run on an upstream. */
  base::Duration longest_run = std::chrono::seconds(10);
};

/** What this entry host may use of one upstream. */
struct UpstreamShare {
  base::UpstreamId upstream;
  int slots = 0;
  int connections = 0;

  bool operator==(const UpstreamShare&) const = default;
};

/** Where an upstream is, from here. */
enum class Distance : uint8_t { kSameDataCentre, kSameRegion, kOtherRegion };

/** Where this entry host is. */
struct Place {
  base::RegionId region;
  base::DataCentreId data_centre;
};

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_UPSTREAM_H_
