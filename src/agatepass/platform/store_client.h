/** \file
 * The platform's store over HTTP.
 *
 * GET /v1/kv?key=K and GET /v1/watch?key=K&after=R&wait_ms=N answer with the
 * value as the body and its revision in X-Revision; PUT and DELETE
 * /v1/kv?key=K&expected=R&lease_ms=N answer 409 with the present value if the
 * revision differs; GET /v1/list?prefix=P answers with JSON.
 */
#ifndef AGATEPASS_PLATFORM_STORE_CLIENT_H_
#define AGATEPASS_PLATFORM_STORE_CLIENT_H_

#include <cstdint>
#include <string>

#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_client.h"
#include "agatepass/platform/store.h"

namespace agatepass::platform {

inline constexpr char kRevisionHeader[] = "X-Revision";
inline constexpr char kStoreRevisionHeader[] = "X-Store-Revision";

/** Renders `call` as the request that the store expects. */
base::HttpRequest EncodeStoreCall(const StoreCall& call);

/** Reads the store's answer to `call`; a malformed one counts as unknown. */
StoreReply DecodeStoreReply(const StoreCall& call,
                            const base::HttpOutcome& outcome);

/** Client of the store; satisfies the concept Store.
 *
 * \code
 * StoreClient store(loop, {"127.0.0.1", 7100});
 * store.Call({.verb = StoreVerb::kGet, .key = "config/current"},
 *            [](StoreReply reply) { ... });
 * \endcode
 */
class StoreClient {
 public:
  StoreClient(base::EventLoop& loop, const base::Endpoint& endpoint);

  /** Sends one call; the callback runs once, within the call's time-out. */
  void Call(StoreCall call, StoreCallback callback);

  /** Calls sent so far, each watch counted as one. */
  uint64_t calls() const { return this->sent_calls; }

  /** Bytes sent and received so far. */
  uint64_t bytes() const {
    return this->client.bytes_sent() + this->client.bytes_received();
  }

 private:
  base::HttpClient client;
  base::Endpoint endpoint;
  uint64_t sent_calls = 0;
};

}  // namespace agatepass::platform

#endif  // AGATEPASS_PLATFORM_STORE_CLIENT_H_
