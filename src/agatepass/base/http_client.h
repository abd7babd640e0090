/** \file
 * An HTTP client on an event loop that tells "not sent" from "may have been
 * received".
 */
#ifndef AGATEPASS_BASE_HTTP_CLIENT_H_
#define AGATEPASS_BASE_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
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
  /** Connections open at a time to one address: beyond, requests wait for one
   * that becomes free. */
  size_t connections_per_address = 1'000'000;
  /** Idle connections kept open for each address. */
  size_t idle_connections = 4;
  /** Idle time after which a connection is closed rather than used again. */
  Duration idle_time = std::chrono::seconds(20);
  /** Priority of the events of its connections. */
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

/** What becomes of a request while all connections allowed to its address are
 * in use. */
enum class WhenBusy : uint8_t {
  /** It waits for one of them. */
  kWait,
  /** It gets a connection beyond that limit: it must not wait for others. */
  kConnect,
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
   * \param limit what `timeout` bounds.
   * \param when_busy what to do while all connections are in use. */
  void Send(const Endpoint& endpoint, const HttpRequest& request,
            Duration timeout, Callback callback,
            TimeLimit limit = TimeLimit::kAnswer,
            WhenBusy when_busy = WhenBusy::kWait);

  /** Time that a whole answer may take, in timeouts, with TimeLimit::kSilence.
   */
  static constexpr int kMaxSilences = 25;

  /** Requests without an outcome so far. */
  size_t in_flight() const {
    return this->open.size() - this->idle.size() + this->waiting_count;
  }

  /** Requests that wait for a connection to become free. */
  size_t waiting() const { return this->waiting_count; }

  /** How long the oldest of them has waited; zero if there is none. */
  Duration OldestWait() const;

  /** Connections that are in use or idle. */
  size_t connections() const { return this->open.size(); }

  /** Connections made so far. */
  uint64_t connections_made() const { return this->made; }

  /** Bytes handed to the network so far, heads and bodies, for the accounts of
   * control traffic. */
  uint64_t bytes_sent() const { return this->sent; }

  /** When bytes last arrived that did not end an answer; the zero time if none
   * ever did. */
  Instant partial_answer_at() const { return this->last_partial_answer_at; }

  /** Bytes of answers received so far. */
  uint64_t bytes_received() const { return this->received; }

 private:
  class Connection;

  /** A request as it goes to a connection. */
  struct Request {
    std::string bytes;
    Callback callback;
    Instant deadline;
    TimeLimit limit = TimeLimit::kAnswer;
  };

  /** A request that waits for a connection. */
  struct WaitingRequest {
    Request request;
    Instant since;
    /** Ends the request at its deadline. */
    std::unique_ptr<LoopEvent> timer;
  };

  /** The connections to one address. */
  struct Pool {
    /** The one used last at the end. */
    std::vector<Connection*> idle;
    size_t active = 0;
    std::list<WaitingRequest> waiting;
  };

  /** Sends a request on an idle connection or a new one. */
  void SendNow(const Endpoint& endpoint, Pool& pool, Request request);
  void Wait(Pool& pool, Request request);
  /** Sends the requests that wait for a connection to this address, as far as
   * connections are free. */
  void SendWaiting(const Endpoint& endpoint);
  /** Returns an open connection that no request uses; null if there is none. */
  Connection* TakeIdle(Pool& pool);
  /** Closes the connection that was idle for longest.
   * \return whether there was one. */
  bool CloseOldestIdle();
  void RemoveFromIdle(Connection* connection);
  void CloseIdle(Pool& pool);
  void EraseIfUnused(const Endpoint& endpoint);
  /** Handles the end of the request on a connection. */
  void Finish(Connection* connection, HttpOutcome outcome);
  /** Handles the end of a connection that no request uses. */
  void OnIdleConnectionEnded(Connection* connection);

  EventLoop& loop;
  HttpClientLimits limits;
  absl::flat_hash_map<Endpoint, std::unique_ptr<Pool>> pools;
  absl::flat_hash_map<Connection*, std::unique_ptr<Connection>> open;
  /** The idle connections of all pools, the one idle for longest first. */
  std::list<Connection*> idle;
  size_t waiting_count = 0;
  /** Receives what any of the connections reads. */
  std::vector<char> read_buffer;
  uint64_t sent = 0;
  uint64_t received = 0;
  uint64_t made = 0;
  Instant last_partial_answer_at;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_HTTP_CLIENT_H_
