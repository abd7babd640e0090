#include "agatepass/base/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <span>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/base/work_meter.h"
#include "fmt/format.h"

namespace agatepass::base {

namespace {

HttpMethod ToMethod(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return HttpMethod::kGet;
    case EVHTTP_REQ_POST:
      return HttpMethod::kPost;
    case EVHTTP_REQ_PUT:
      return HttpMethod::kPut;
    case EVHTTP_REQ_DELETE:
      return HttpMethod::kDelete;
    default:
      return HttpMethod::kOther;
  }
}

std::vector<HttpHeader> CopyHeaders(const evkeyvalq* source) {
  std::vector<HttpHeader> headers;
  for (const evkeyval* entry = source->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    headers.push_back({entry->key, entry->value});
  }
  return headers;
}

std::string CopyBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

void ReadTarget(evhttp_request* request, HttpRequest* result) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = evhttp_uri_get_path(uri);
  const char* query = evhttp_uri_get_query(uri);
  result->path = path == nullptr ? "/" : path;
  if (query == nullptr) return;
  evkeyvalq parameters;
  if (evhttp_parse_query_str(query, &parameters) == 0)
    result->query = CopyHeaders(&parameters);
  evhttp_clear_headers(&parameters);
}

Endpoint BoundEndpoint(evhttp_bound_socket* socket) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(socket),
              reinterpret_cast<sockaddr*>(&address), &length);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return Endpoint{text.data(), ntohs(address.sin_port)};
}

/** Time for which no connection is accepted after one could not be. */
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

/** Connections accepted before bulk events get their turn: as many as the
 * kernel keeps for a server that does not accept. */
constexpr size_t kMaxAcceptedInRound = 128;

/** Idle connections that are closed when the process has no descriptor left:
 * some, as others of the process need descriptors too. */
constexpr size_t kClosedForDescriptors = 16;

/** Time since its last request or answer after which a connection counts as
 * idle: before, the next request is likely. */
constexpr Duration kMinIdleTime = std::chrono::milliseconds(500);

/** libevent passes an error of accept() on without the server that it concerns.
 */
class ListenerRegistry {
 public:
  void Add(evconnlistener* listener, std::function<void()> on_error) {
    const std::lock_guard lock(this->mutex);
    this->handlers[listener] = std::move(on_error);
  }

  void Remove(evconnlistener* listener) {
    const std::lock_guard lock(this->mutex);
    this->handlers.erase(listener);
  }

  void OnError(evconnlistener* listener) {
    std::function<void()> handler;
    {
      const std::lock_guard lock(this->mutex);
      if (const auto found = this->handlers.find(listener);
          found != this->handlers.end()) {
        handler = found->second;
      }
    }
    if (handler) handler();
  }

 private:
  std::mutex mutex;
  absl::flat_hash_map<evconnlistener*, std::function<void()>> handlers;
};

ListenerRegistry& GetListenerRegistry() {
  static ListenerRegistry registry;
  return registry;
}

void EndRequest(HttpResponder::State& state) {
  // Running it may destroy the state.
  const std::function<void()> on_done = std::exchange(state.on_done, nullptr);
  if (on_done) on_done();
}

}  // namespace

void HttpResponder::Respond(const HttpAnswer& answer) const {
  if (!this->open()) return;
  evhttp_request* request = std::exchange(this->state->request, nullptr);
  this->state->answered = true;
  // The request ends once it is written; the server keeps the state until then.
  evhttp_request_set_on_complete_cb(
      request,
      [](evhttp_request* /*request*/, void* written) {
        EndRequest(*static_cast<State*>(written));
      },
      this->state.get());
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const HttpHeader& header : answer.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, answer.body.data(), answer.body.size());
  evhttp_send_reply(request, answer.status, nullptr, body);
  evbuffer_free(body);
}

HttpServer::HttpServer(EventLoop& loop, const HttpServerLimits& limits,
                       Handler handler)
    : loop(loop),
      handler(std::move(handler)),
      priority(limits.priority),
      max_connections(limits.connections),
      responders(std::make_shared<
                 std::vector<std::shared_ptr<HttpResponder::State>>>()) {
  this->server = evhttp_new(loop.handle());
  evhttp_set_max_headers_size(this->server,
                              static_cast<ssize_t>(limits.header_bytes));
  evhttp_set_max_body_size(this->server,
                           static_cast<ssize_t>(limits.body_bytes));
  evhttp_set_timeout(this->server,
                     static_cast<int>(ToSeconds(limits.idle_time)));
  evhttp_set_gencb(this->server, &HttpServer::OnRequest, this);
  evhttp_set_bevcb(this->server, &HttpServer::OnAccepted, this);
  this->next_round = std::make_unique<LoopEvent>(
      loop, -1, 0, [this] { this->accepted_in_round = 0; });
}

HttpServer::~HttpServer() {
  this->CloseListener();
  for (const auto& [handle, connection] : this->open_connections) {
    evhttp_connection_set_closecb(handle, nullptr, nullptr);
  }
  for (const auto& state : *this->responders) {
    state->on_done = nullptr;
    state->request = nullptr;
  }
  evhttp_free(this->server);
}

absl::Status HttpServer::Listen(const Endpoint& endpoint) {
  this->socket = evhttp_bind_socket_with_handle(
      this->server, endpoint.address.c_str(), endpoint.port);
  if (this->socket == nullptr) {
    return ErrorStatus(
        ResultCode::kInvalidRequest,
        fmt::format("cannot listen on address \"{}\"", endpoint.ToString()));
  }
  evconnlistener* listener = evhttp_bound_socket_get_listener(this->socket);
  GetListenerRegistry().Add(listener, [this] { this->OnAcceptFailed(); });
  evconnlistener_set_error_cb(listener, [](evconnlistener* failed, void*) {
    GetListenerRegistry().OnError(failed);
  });
  this->bound = BoundEndpoint(this->socket);
  return absl::OkStatus();
}

void HttpServer::StopListening() {
  if (this->socket == nullptr || this->close_listener) return;
  // Accepting has this priority too, and the loop runs what sockets ask for
  // before timers: what waits at the socket by then is accepted first.
  this->close_listener = std::make_unique<LoopEvent>(this->loop, -1, 0, [this] {
    const bool more_wait =
        this->resume_accepting != nullptr &&
        this->open_connections.size() < this->max_connections;
    if (more_wait) return this->close_listener->Arm(kAcceptPause);
    this->CloseListener();
  });
  this->close_listener->SetPriority(EventPriority::kConnection);
  this->close_listener->Arm(Duration(0));
}

void HttpServer::AnswerAll(const HttpAnswer& answer) {
  const std::vector<std::shared_ptr<HttpResponder::State>> open =
      *this->responders;
  for (const auto& state : open) HttpResponder(state).Respond(answer);
}

void HttpServer::CloseListener() {
  if (this->socket == nullptr) return;
  this->resume_accepting.reset();
  GetListenerRegistry().Remove(evhttp_bound_socket_get_listener(this->socket));
  evhttp_del_accept_socket(this->server, std::exchange(this->socket, nullptr));
}

void HttpServer::OnAcceptFailed() {
  // The socket stays readable: without a pause its event would be due again at
  // once, before all that closes connections.
  ++this->pause_count;
  this->CloseIdle(kClosedForDescriptors);
  this->PauseAccepting(kAcceptPause);
}

bufferevent* HttpServer::OnAccepted(event_base* base, void* self) {
  // A new connection and the first request on it go before bulk events. After
  // some, those that are due get their turn before more are accepted.
  auto* server = static_cast<HttpServer*>(self);
  if (++server->accepted_in_round == 1) server->next_round->Arm(Duration(0));
  if (server->accepted_in_round == kMaxAcceptedInRound) {
    server->PauseAccepting(Duration(0));
  }
  return bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
}

void HttpServer::PauseAccepting(Duration pause) {
  if (this->socket == nullptr || this->resume_accepting) return;
  evconnlistener* listener = evhttp_bound_socket_get_listener(this->socket);
  evconnlistener_disable(listener);
  this->resume_accepting = this->loop.After(pause, [this, listener] {
    this->resume_accepting.reset();
    evconnlistener_enable(listener);
  });
}

size_t HttpServer::CloseIdle(size_t max_count) {
  const Instant idle_since = this->loop.Now() - kMinIdleTime;
  std::vector<const Connection*> idle;
  for (const auto& [handle, connection] : this->open_connections) {
    if (!connection->request && connection->last_used <= idle_since) {
      idle.push_back(connection.get());
    }
  }
  const size_t count = std::min(max_count, idle.size());
  std::partial_sort(idle.begin(), idle.begin() + static_cast<ptrdiff_t>(count),
                    idle.end(),
                    [](const Connection* left, const Connection* right) {
                      return left->last_used < right->last_used;
                    });
  // Freeing a connection takes it out of the open ones.
  for (const Connection* connection : std::span(idle).first(count)) {
    evhttp_connection_free(connection->handle);
  }
  this->idle_closed_count += count;
  return count;
}

void HttpServer::KeepWithinLimit() {
  if (this->open_connections.size() <= this->max_connections) return;
  const size_t excess = this->open_connections.size() - this->max_connections;
  if (this->CloseIdle(excess) > 0) return;
  ++this->pause_count;
  this->PauseAccepting(kAcceptPause);
}

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  const WorkScope scope(server->loop.work(), WorkKind::kCalls);
  server->Receive(request);
}

HttpServer::Connection& HttpServer::FindConnection(evhttp_request* request) {
  evhttp_connection* handle = evhttp_request_get_connection(request);
  std::unique_ptr<Connection>& connection = this->open_connections[handle];
  if (!connection) {
    connection = std::make_unique<Connection>();
    connection->server = this;
    connection->handle = handle;
    evhttp_connection_set_closecb(handle, &HttpServer::OnConnectionClosed,
                                  connection.get());
  }
  return *connection;
}

void HttpServer::OnConnectionClosed(evhttp_connection* handle,
                                    void* connection) {
  auto* closed = static_cast<Connection*>(connection);
  HttpServer* server = closed->server;
  const std::shared_ptr<HttpResponder::State> state = closed->request;
  server->open_connections.erase(handle);
  if (!state) return;
  if (state->answered) ++server->unwritten_count;
  state->request = nullptr;
  EndRequest(*state);
}

void HttpServer::Receive(evhttp_request* request) {
  auto state = std::make_shared<HttpResponder::State>();
  state->request = request;
  this->responders->push_back(state);
  Connection& connection = this->FindConnection(request);
  connection.request = state;
  connection.last_used = this->loop.Now();
  this->latest_request = connection.last_used;
  this->KeepWithinLimit();
  state->on_done = [this, responders = this->responders, raw = state.get(),
                    handle = connection.handle] {
    std::erase_if(*responders,
                  [raw](const auto& entry) { return entry.get() == raw; });
    const auto found = this->open_connections.find(handle);
    if (found == this->open_connections.end()) return;
    found->second->request = nullptr;
    found->second->last_used = this->loop.Now();
  };
  HttpRequest received;
  received.method = ToMethod(evhttp_request_get_command(request));
  received.headers = CopyHeaders(evhttp_request_get_input_headers(request));
  ReadTarget(request, &received);
  received.body = CopyBody(request);
  const EventPriority connection_priority = this->priority != nullptr
                                                ? this->priority(received)
                                                : EventPriority::kBulk;
  bufferevent_priority_set(
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)),
      static_cast<int>(connection_priority));
  this->handler(std::move(received), HttpResponder(std::move(state)));
}

}  // namespace agatepass::base
