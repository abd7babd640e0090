#include "agatepass/base/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
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

/** Connections accepted before bulk events get their turn: as many as the
 * kernel keeps for a server that does not accept. */
constexpr size_t kMaxAcceptedInRound = 128;

/** Idle connections that are closed when the process has no descriptor left:
 * some, as others of the process need descriptors too. */
constexpr size_t kClosedForDescriptors = 16;

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

/** Bytes that are read and dropped before a connection is closed: unread ones
 * would reset it, and the client would lose its answer. */
constexpr size_t kMaxDiscardedBytes = size_t{1024} * 1024;

/** How often the target of a request is held until it is answered: by
 * libevent, by the handler and on the way to another host. */
constexpr size_t kCopiesOfTarget = 4;

/** Period at which connections are looked for whose time is over. */
constexpr Duration kOverduePeriod = std::chrono::seconds(1);

/** Reads and drops what has arrived on a connection. */
void DiscardInput(evutil_socket_t descriptor) {
  std::array<char, 16'384> bytes;
  for (size_t dropped = 0; dropped < kMaxDiscardedBytes;) {
    const ssize_t count =
        recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count <= 0) return;
    dropped += static_cast<size_t>(count);
  }
}

/** Frees the fields of a request that has been copied, but the one by which
 * libevent decides whether the connection stays open. */
void FreeHeaders(evhttp_request* request) {
  constexpr char kConnection[] = "Connection";
  evkeyvalq* headers = evhttp_request_get_input_headers(request);
  const char* found = evhttp_find_header(headers, kConnection);
  const std::string kept = found == nullptr ? "" : found;
  evhttp_clear_headers(headers);
  if (!kept.empty()) evhttp_add_header(headers, kConnection, kept.c_str());
}

/** Least memory of an answer: libevent allocates its buffers in pages. */
constexpr size_t kMinAnswerBytes = 2048;

/** Returns the memory of an answer that is being sent, estimated. */
size_t SizeOf(const HttpAnswer& answer) {
  size_t bytes = kMinAnswerBytes + answer.body.size();
  for (const HttpHeader& header : answer.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
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
  if (this->state->budget != nullptr) {
    this->state->budget->OnAnswer(this->state->account, SizeOf(answer),
                                  this->state->loop->Now());
    if (this->state->budget->IsExceeded()) this->state->on_excess->Activate();
  }
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
      budget(limits.budget),
      max_read_ahead(limits.header_bytes + limits.body_bytes),
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
  this->register_accepted = std::make_unique<LoopEvent>(
      loop, -1, 0, [this] { this->RegisterAccepted(); });
  this->register_accepted->SetPriority(EventPriority::kControl);
  if (this->budget == nullptr) return;
  this->close_excess = std::make_unique<LoopEvent>(
      loop, -1, 0, [this] { this->budget->CloseExcess(this->loop.Now()); });
  this->close_excess->SetPriority(EventPriority::kControl);
  this->close_overdue = loop.Every(
      kOverduePeriod, [this] { this->budget->CloseOverdue(this->loop.Now()); });
}

HttpServer::~HttpServer() {
  this->CloseListener();
  this->RegisterAccepted();
  for (const auto& [handle, connection] : this->open_connections) {
    evhttp_connection_set_closecb(handle, nullptr, nullptr);
    evbuffer_remove_cb(bufferevent_get_input(connection->events),
                       &HttpServer::OnInput, connection.get());
    if (this->budget != nullptr) this->budget->Close(connection->account);
  }
  for (const auto& state : *this->responders) {
    state->on_done = nullptr;
    state->request = nullptr;
    state->budget = nullptr;
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
  bufferevent* events = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  // A body is kept here until it is complete: the limit has to cover one. It is
  // set only with a budget, whose time limits end what stops at it.
  if (server->budget != nullptr) {
    bufferevent_setwatermark(events, EV_READ, 0, server->max_read_ahead);
  }
  // libevent has no connection for it yet.
  bufferevent_incref(events);
  server->accepted.push_back(events);
  if (server->accepted.size() == 1) server->register_accepted->Arm(Duration(0));
  return events;
}

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  const WorkScope scope(server->loop.work(), WorkKind::kCalls);
  server->Receive(request);
}

HttpServer::Connection& HttpServer::FindConnection(evhttp_connection* handle) {
  std::unique_ptr<Connection>& connection = this->open_connections[handle];
  if (connection) return *connection;
  connection = std::make_unique<Connection>();
  connection->server = this;
  connection->handle = handle;
  connection->events = evhttp_connection_get_bufferevent(handle);
  connection->last_used = this->loop.Now();
  evhttp_connection_set_closecb(handle, &HttpServer::OnConnectionClosed,
                                connection.get());
  evbuffer_add_cb(bufferevent_get_input(connection->events),
                  &HttpServer::OnInput, connection.get());
  if (this->budget != nullptr) {
    connection->account =
        this->budget->Open(this, [handle] { evhttp_connection_free(handle); });
  }
  return *connection;
}

void HttpServer::OnConnectionClosed(evhttp_connection* handle,
                                    void* connection) {
  auto* closed = static_cast<Connection*>(connection);
  HttpServer* server = closed->server;
  const std::shared_ptr<HttpResponder::State> state = closed->request;
  if (state || closed->meter.EstimateMemory() > 0) {
    DiscardInput(bufferevent_getfd(closed->events));
  }
  evbuffer_remove_cb(bufferevent_get_input(closed->events),
                     &HttpServer::OnInput, closed);
  if (server->budget != nullptr) server->budget->Close(closed->account);
  server->open_connections.erase(handle);
  if (!state) return;
  if (state->answered) ++server->unwritten_count;
  state->request = nullptr;
  state->budget = nullptr;
  EndRequest(*state);
}

void HttpServer::Receive(evhttp_request* request) {
  auto state = std::make_shared<HttpResponder::State>();
  state->request = request;
  this->responders->push_back(state);
  Connection& connection =
      this->FindConnection(evhttp_request_get_connection(request));
  connection.request = state;
  state->budget = this->budget;
  state->account = connection.account;
  state->loop = &this->loop;
  state->on_excess = this->close_excess.get();
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
    if (this->budget != nullptr) {
      this->budget->OnAnswerSent(found->second->account, this->loop.Now());
    }
  };
  HttpRequest received;
  received.method = ToMethod(evhttp_request_get_command(request));
  received.headers = CopyHeaders(evhttp_request_get_input_headers(request));
  ReadTarget(request, &received);
  received.body = CopyBody(request);
  FreeHeaders(request);
  this->MeterRest(connection);
  if (this->budget != nullptr) {
    const size_t target_bytes =
        std::string_view(evhttp_request_get_uri(request)).size();
    this->budget->OnComplete(connection.account, kCopiesOfTarget * target_bytes,
                             connection.meter.EstimateMemory());
  }
  const EventPriority connection_priority = this->priority != nullptr
                                                ? this->priority(received)
                                                : EventPriority::kBulk;
  bufferevent_priority_set(
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)),
      static_cast<int>(connection_priority));
  this->handler(std::move(received), HttpResponder(std::move(state)));
}

}  // namespace agatepass::base
