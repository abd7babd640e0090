/** \file
 * What is checked of each request from outside before anything else sees it.
 */
#ifndef AGATEPASS_RELAY_EDGE_GUARD_H_
#define AGATEPASS_RELAY_EDGE_GUARD_H_

#include <cstddef>
#include <string_view>

#include "absl/status/status.h"
#include "agatepass/base/http_message.h"

namespace agatepass::relay {

/** Limits of requests from outside. */
struct EdgeLimits {
  size_t headers = 64;
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
};

/** Refuses a request whose end two readers could see in different places, or
 * that is too large.
 *
 * After a refusal the connection must be closed, as the bytes that follow may
 * be a part of the same request: answer with "Connection: close".
 *
 * \return kInvalidRequest or kTooLarge, with the header named.
 */
absl::Status CheckEdgeRequest(const base::HttpRequest& request,
                              const EdgeLimits& limits);

/** Removes the headers that only entry hosts may set, and those that hold for
 * one connection alone. A ticket is removed too: read it before. */
void StripEdgeHeaders(base::HttpRequest* request);

/** Whether two secrets are equal, in a time that depends on the length of
 * `given` alone. */
bool SecretsEqual(std::string_view given, std::string_view expected);

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_EDGE_GUARD_H_
