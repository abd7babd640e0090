/** \file
 * An HTTP server on an event loop, by evhttp. Requests may be answered at once
 * or later.
 */
#ifndef AGATEPASS_BASE_HTTP_SERVER_H_
#define AGATEPASS_BASE_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_message.h"
#include "agatepass/base/receive_budget.h"
#include "agatepass/base/request_meter.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace agatepass::base {

/** Limits of one server. */
struct HttpServerLimits {
  size_t header_bytes = 16 * 1024;
  size_t body_bytes = 1024 * 1024;
  /** Connections that are kept open: beyond, the one that was idle for longest
   * is closed, then those that have not sent a whole request, and none is
   * accepted while all are in use. */
  size_t connections = 1'000'000;
  /** Time after which a silent connection is closed. */
  Duration idle_time = std::chrono::seconds(60);
  /** Returns the priority of a connection's events after this request; kBulk
   * for all if it is null. */
  EventPriority (*priority)(const HttpRequest&) = nullptr;
  /** Bounds the memory of what is received and sent, together with other
   * servers; none if it is null. Must outlive the server. */
  ReceiveBudget* budget = nullptr;
};

/** The open end of one request: answers it once, now or later.
 *
 * Copies share the request. Answers after the first, or after the caller has
 * gone, are dropped.
 */
class HttpResponder {
 public:
  /** The request behind the copies; `request` is null once answered or
   * abandoned. */
  struct State {
    evhttp_request* request = nullptr;
    /** Whether an answer was passed to libevent, which may not have written it
     * yet. */
    bool answered = false;
    /** Runs once: when the answer's last byte was passed to the kernel, or when
     * the connection has ended. */
    std::function<void()> on_done;
    /** Is told of the answer; null if there is none, or the server is gone. */
    ReceiveBudget* budget = nullptr;
    ReceiveBudget::Id account = 0;
    const EventLoop* loop = nullptr;
    LoopEvent* on_excess = nullptr;
  };

  HttpResponder() = default;
  explicit HttpResponder(std::shared_ptr<State> state)
      : state(std::move(state)) {}

  /** Sends the whole answer. */
  void Respond(const HttpAnswer& answer) const;

  /** Whether the caller still waits for the answer. */
  bool open() const { return this->state && this->state->request != nullptr; }

 private:
  std::shared_ptr<State> state;
};

/** Listens on one address and passes each request to a handler.
 *
 * \code
 * HttpServer server(loop, {}, [](HttpRequest request, HttpResponder responder)
 * { responder.Respond({.status = 200, .body = "hello"});
 * });
 * absl::Status status = server.Listen({"127.0.0.1", 8080});
 * \endcode
 */
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  HttpServer(EventLoop& loop, const HttpServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Binds and listens; port 0 takes a free one, see endpoint().
   * \return kInvalidRequest with the address named if it cannot be bound.
   */
  absl::Status Listen(const Endpoint& endpoint);

  /** Open connections. */
  size_t connections() const { return this->open_connections.size(); }

  /** Times so far that accepting was paused, as all connections allowed were in
   * use or the process had no descriptor left. */
  uint64_t accept_pauses() const { return this->pause_count; }

  /** Idle connections closed so far to make room for others. */
  uint64_t idle_closed() const { return this->idle_closed_count; }

  /** Closes the listening socket once the connections that wait there have been
   * accepted; open connections go on. */
  void StopListening();

  /** Gives one answer to all requests that have none. */
  void AnswerAll(const HttpAnswer& answer);

  /** The address listened on, with the real port. */
  const Endpoint& endpoint() const { return this->bound; }

  /** Requests that have been received and whose answers are not yet written to
   * the last byte. */
  size_t in_flight() const { return this->responders->size(); }

  /** Answers so far that were given and could not be written, as the
   * connection ended before. */
  uint64_t unwritten_answers() const { return this->unwritten_count; }

  /** When the latest request was received. */
  Instant last_request_at() const { return this->latest_request; }

 private:
  /** Time for which no connection is accepted after one could not be. */
  static constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

  /** An open connection. */
  struct Connection {
    HttpServer* server = nullptr;
    evhttp_connection* handle = nullptr;
    bufferevent* events = nullptr;
    ReceiveBudget::Id account = 0;
    /** The request that is being received, with what was sent ahead of it. */
    RequestMeter meter;
    /** The request in progress, until its answer is written. */
    std::shared_ptr<HttpResponder::State> request;
    Instant last_used;
  };

  static bufferevent* OnAccepted(event_base* base, void* self);
  static void OnRequest(evhttp_request* request, void* self);
  static void OnConnectionClosed(evhttp_connection* handle, void* connection);
  static void OnInput(evbuffer* input, const evbuffer_cb_info* info,
                      void* connection);
  /** Adds the connections that were accepted since. */
  void RegisterAccepted();
  /** Counts what a connection holds that was received after its latest whole
   * request. */
  void MeterRest(Connection& connection);
  void CloseListener();
  void Receive(evhttp_request* request);
  Connection& FindConnection(evhttp_connection* handle);
  /** Closes connections on which no request is handled: those without a begun
   * request first, then those idle for longest.
   * \return how many were closed. */
  size_t CloseIdle(size_t max_count);
  /** Closes connections beyond the limit, as far as they are idle.
   * \return whether there are still more than the limit. */
  bool CloseBeyondLimit();
  /** Makes room for the connection that has just been accepted. */
  void KeepWithinLimit();
  /** Accepts no connection for a while; those that come wait in the kernel. */
  void PauseAccepting(Duration pause);
  void OnAcceptFailed();

  EventLoop& loop;
  Handler handler;
  EventPriority (*priority)(const HttpRequest&) = nullptr;
  size_t max_connections;
  /** Connections accepted since bulk events had their turn, and the event that
   * comes with this turn. */
  size_t accepted_in_round = 0;
  std::unique_ptr<LoopEvent> next_round;
  std::unique_ptr<LoopEvent> resume_accepting;
  std::unique_ptr<LoopEvent> close_listener;
  /** Accepted connections that are not registered yet, and the event that
   * registers them before anything is read from them. */
  std::vector<bufferevent*> accepted;
  std::unique_ptr<LoopEvent> register_accepted;
  /** Closes what exceeds the budget, outside of the callback of a connection,
   * and, from time to time, what is overdue. */
  std::unique_ptr<LoopEvent> close_excess;
  std::unique_ptr<LoopEvent> close_overdue;
  ReceiveBudget* budget = nullptr;
  /** Most bytes that are read from a connection ahead of its requests. */
  size_t max_read_ahead = 0;
  uint64_t pause_count = 0;
  uint64_t idle_closed_count = 0;
  uint64_t unwritten_count = 0;
  Instant latest_request;
  evhttp* server = nullptr;
  evhttp_bound_socket* socket = nullptr;
  Endpoint bound;
  absl::flat_hash_map<evhttp_connection*, std::unique_ptr<Connection>>
      open_connections;
  // Shared with the responders, which may outlive the server.
  std::shared_ptr<std::vector<std::shared_ptr<HttpResponder::State>>>
      responders;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_HTTP_SERVER_H_
