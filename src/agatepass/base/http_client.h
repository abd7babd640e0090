/** \file
 * An HTTP client on an event loop, by evhttp, that tells "not sent" from "may
 * have been received".
 */
#ifndef AGATEPASS_BASE_HTTP_CLIENT_H_
#define AGATEPASS_BASE_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_message.h"

namespace agatepass::base {

/** Limits of one client. */
struct HttpClientLimits {
  size_t answer_bytes = 8 * 1024 * 1024;
  /** Connections open at a time: beyond, the one that was idle for longest is
   * closed, and while all are in use a request is not sent. */
  size_t connections = 1'000'000;
  /** Idle connections kept open for each address. */
  size_t idle_connections = 4;
  /** Idle time after which a connection is closed rather than used again. */
  Duration idle_time = std::chrono::seconds(20);
  /** Priority of the events of its connections, from the second request on
   * each; before, it is kConnection. */
  EventPriority priority = EventPriority::kBulk;
};

/** What the time limit of a request bounds. */
enum class TimeLimit : uint8_t {
  /** The time until the whole answer has arrived. */
  kAnswer,
  /** The time without a byte of the answer, for large answers over slow links.
   * The whole answer may take HttpClient::kMaxSilences times as long. */
  kSilence,
};

/** Sends requests over pooled connections, one request at a time on each.
 *
 * A connection whose request got no whole answer is closed and never used
 * again. After such a request the idle connections to that address are closed
 * too, as they may be silent as well. Destroying the client drops all
 * callbacks.
 *
 * \code
 * HttpClient client(loop, {});
 * client.Send(endpoint, request, std::chrono::seconds(2), [](HttpOutcome
 * outcome) { ... }); \endcode
 */
class HttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;

  HttpClient(EventLoop& loop, const HttpClientLimits& limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Sends `request`; `callback` runs once, from the loop, within `timeout`.
   * \param limit what `timeout` bounds. */
  void Send(const Endpoint& endpoint, const HttpRequest& request,
            Duration timeout, Callback callback,
            TimeLimit limit = TimeLimit::kAnswer);

  /** Time that a whole answer may take, in timeouts, with TimeLimit::kSilence.
   */
  static constexpr int kMaxSilences = 25;

  /** Requests without an outcome so far. */
  size_t in_flight() const { return this->active.size(); }

  /** Connections that are in use, idle or about to be closed. */
  size_t connections() const {
    return this->active.size() + this->idle_count + this->retired.size();
  }

  /** Bytes handed to the network so far, heads and bodies, for the accounts of
   * control traffic. */
  uint64_t bytes_sent() const { return this->sent; }

  /** Bytes of answers received so far. */
  uint64_t bytes_received() const { return this->received; }

 private:
  class Connection;

  std::unique_ptr<Connection> TakeIdle(const Endpoint& endpoint);
  /** Closes the connection that was idle for longest.
   * \return whether there was one. */
  bool CloseOldestIdle();
  void Finish(Connection* connection, HttpOutcome outcome);
  void Retire(std::unique_ptr<Connection> connection);

  EventLoop& loop;
  HttpClientLimits limits;
  absl::flat_hash_map<Endpoint, std::vector<std::unique_ptr<Connection>>> idle;
  size_t idle_count = 0;
  absl::flat_hash_map<Connection*, std::unique_ptr<Connection>> active;
  // Connections whose callback is still on the stack; freed from the loop.
  std::vector<std::unique_ptr<Connection>> retired;
  std::unique_ptr<LoopEvent> retire_event;
  uint64_t sent = 0;
  uint64_t received = 0;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_HTTP_CLIENT_H_
