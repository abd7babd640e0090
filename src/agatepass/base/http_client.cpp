#include "agatepass/base/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cerrno>
#include <string>
#include <utility>

#include "fmt/format.h"

namespace agatepass::base {

namespace {

evhttp_cmd_type ToCommand(HttpMethod method) {
  switch (method) {
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
    case HttpMethod::kGet:
    case HttpMethod::kOther:
      break;
  }
  return EVHTTP_REQ_GET;
}

std::string_view FaultName(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return "timeout";
    case EVREQ_HTTP_EOF:
      return "connection closed";
    case EVREQ_HTTP_INVALID_HEADER:
      return "malformed answer";
    case EVREQ_HTTP_BUFFER_ERROR:
      return "read or write error";
    case EVREQ_HTTP_REQUEST_CANCEL:
      return "cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
      return "answer too large";
  }
  return "unknown fault";
}

/** Whether an error says that this process, not the server, can make no more
 * connections. */
bool IsOwnLimit(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS ||
         error == ENOMEM || error == EADDRNOTAVAIL;
}

std::string BuildTarget(const HttpRequest& request) {
  std::string target = request.path;
  char separator = '?';
  for (const HttpHeader& parameter : request.query) {
    char* value =
        evhttp_uriencode(parameter.value.data(),
                         static_cast<ssize_t>(parameter.value.size()), 0);
    target += fmt::format("{}{}={}", separator, parameter.name, value);
    free(value);
    separator = '&';
  }
  return target;
}

}  // namespace

/** One connection and the request on it. */
class HttpClient::Connection {
 public:
  Connection(HttpClient& client, const Endpoint& endpoint)
      : client(client), endpoint(endpoint) {
    bufferevent* stream =
        bufferevent_socket_new(client.loop.handle(), -1, BEV_OPT_CLOSE_ON_FREE);
    this->connection = evhttp_connection_base_bufferevent_new(
        client.loop.handle(), nullptr, stream, endpoint.address.c_str(),
        endpoint.port);
    evhttp_connection_set_max_body_size(
        this->connection, static_cast<ssize_t>(client.limits.answer_bytes));
    evhttp_connection_set_closecb(
        this->connection,
        [](evhttp_connection*, void* self) {
          static_cast<Connection*>(self)->closed = true;
        },
        this);
    this->written = evbuffer_add_cb(bufferevent_get_output(stream),
                                    &Connection::OnWritten, this);
    this->read = evbuffer_add_cb(bufferevent_get_input(stream),
                                 &Connection::OnRead, this);
    ResetTimer();
  }

  ~Connection() {
    this->callback = nullptr;
    bufferevent* stream = evhttp_connection_get_bufferevent(this->connection);
    evbuffer_remove_cb_entry(bufferevent_get_output(stream), this->written);
    evbuffer_remove_cb_entry(bufferevent_get_input(stream), this->read);
    evhttp_connection_set_closecb(this->connection, nullptr, nullptr);
    evhttp_connection_free(this->connection);
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start(const HttpRequest& request, Duration timeout, Callback on_end,
             TimeLimit limit) {
    this->callback = std::move(on_end);
    this->longest_silence =
        limit == TimeLimit::kSilence ? timeout : Duration(0);
    this->answer_until = this->client.loop.Now() + kMaxSilences * timeout;
    this->bytes_written = 0;
    this->bytes_read = 0;
    this->fault.clear();
    this->message = evhttp_request_new(&Connection::OnAnswer, this);
    evhttp_request_set_error_cb(
        this->message, [](evhttp_request_error error, void* self) {
          static_cast<Connection*>(self)->fault = FaultName(error);
        });
    evkeyvalq* headers = evhttp_request_get_output_headers(this->message);
    evhttp_add_header(headers, "Host", this->endpoint.ToString().c_str());
    for (const HttpHeader& header : request.headers) {
      evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(this->message),
                 request.body.data(), request.body.size());
    this->timer->Arm(timeout);
    // libevent resets the priority when a connection gets its socket.
    bufferevent_priority_set(
        evhttp_connection_get_bufferevent(this->connection),
        static_cast<int>(this->client.limits.priority));
    const std::string target = BuildTarget(request);
    this->starting = true;
    const int status =
        evhttp_make_request(this->connection, this->message,
                            ToCommand(request.method), target.c_str());
    this->starting = false;
    if (status != 0) {
      this->message = nullptr;
      this->EndLater("cannot open a connection");
    }
  }

  /** Ends a request that is not sent at all. */
  void Reject(Callback on_end, std::string_view reason) {
    this->callback = std::move(on_end);
    this->EndLater(reason);
  }

  Callback TakeCallback() {
    ResetTimer();
    return std::exchange(this->callback, nullptr);
  }

  bool reusable() const { return !this->closed && !this->broken; }

  HttpClient& client;
  Endpoint endpoint;
  Instant idle_since;

 private:
  static void OnWritten(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                        void* argument) {
    auto* self = static_cast<Connection*>(argument);
    bufferevent* stream = evhttp_connection_get_bufferevent(self->connection);
    // evhttp also empties the buffer when it gives a connection up, with
    // writing disabled.
    if ((bufferevent_get_enabled(stream) & EV_WRITE) == 0) return;
    self->bytes_written += info->n_deleted;
    self->client.sent += info->n_deleted;
  }

  static void OnRead(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                     void* argument) {
    auto* self = static_cast<Connection*>(argument);
    self->bytes_read += info->n_added;
    if (info->n_added == 0 || self->longest_silence.count() == 0) return;
    if (!self->callback) return;
    self->timer->Arm(std::min(self->longest_silence,
                              self->answer_until - self->client.loop.Now()));
  }

  static void OnAnswer(evhttp_request* message, void* argument) {
    auto* self = static_cast<Connection*>(argument);
    self->message = nullptr;
    if (message == nullptr || evhttp_request_get_response_code(message) == 0) {
      self->connect_error = EVUTIL_SOCKET_ERROR();
      if (self->starting) {
        self->EndLater("");
      } else {
        self->EndWithFault();
      }
      return;
    }
    // Bytes after the answer would be taken for the next request's answer.
    bufferevent* stream = evhttp_connection_get_bufferevent(self->connection);
    if (evbuffer_get_length(bufferevent_get_input(stream)) > 0) {
      self->broken = true;
    }
    HttpOutcome outcome;
    outcome.delivery = Delivery::kAnswered;
    outcome.answer.status = evhttp_request_get_response_code(message);
    const evkeyvalq* headers = evhttp_request_get_input_headers(message);
    size_t head_bytes = 0;
    for (const evkeyval* entry = headers->tqh_first; entry != nullptr;
         entry = entry->next.tqe_next) {
      outcome.answer.headers.push_back({entry->key, entry->value});
      head_bytes += outcome.answer.headers.back().name.size() +
                    outcome.answer.headers.back().value.size();
    }
    evbuffer* input = evhttp_request_get_input_buffer(message);
    outcome.answer.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, outcome.answer.body.data(),
                    outcome.answer.body.size());
    self->client.received += head_bytes + outcome.answer.body.size();
    self->End(std::move(outcome));
  }

  void EndWithFault() {
    const Delivery delivery =
        this->bytes_written == 0 ? Delivery::kNotSent : Delivery::kUnknown;
    // evhttp names no fault of a connection that could not be made.
    const bool failed_to_connect =
        delivery == Delivery::kNotSent && this->fault.empty();
    const bool at_own_limit = IsOwnLimit(this->connect_error);
    if (failed_to_connect) {
      this->fault = at_own_limit
                        ? evutil_socket_error_to_string(this->connect_error)
                        : "cannot connect";
    }
    this->End({.delivery = delivery,
               .refused = failed_to_connect && !at_own_limit,
               .fault = this->fault});
  }

  void End(HttpOutcome outcome) {
    if (!this->callback) return;
    if (outcome.delivery != Delivery::kAnswered) {
      this->broken = true;
      outcome.bytes_of_answer = this->bytes_read;
      if (this->bytes_read > 0) {
        outcome.fault +=
            fmt::format(" after {} bytes of the answer", this->bytes_read);
      }
    }
    if (outcome.delivery == Delivery::kUnknown && this->bytes_written == 0) {
      outcome.delivery = Delivery::kNotSent;
    }
    this->client.Finish(this, std::move(outcome));
  }

  void EndLater(std::string_view reason) {
    this->fault = reason;
    this->timer =
        this->client.loop.After(Duration(0), [this] { this->EndWithFault(); });
  }

  void ResetTimer() {
    this->timer =
        std::make_unique<LoopEvent>(this->client.loop.handle(), -1, 0, [this] {
          this->Abandon();
          this->End({.delivery = Delivery::kUnknown, .fault = "timeout"});
        });
  }

  /** Closes the socket, so that no more of the request is sent from now on. A
   * connection that is still being made would otherwise send it later. */
  void Abandon() {
    if (evhttp_request* request = std::exchange(this->message, nullptr)) {
      evhttp_cancel_request(request);
    }
  }

  evhttp_connection* connection = nullptr;
  /** The request in progress; null once evhttp has ended it. */
  evhttp_request* message = nullptr;
  evbuffer_cb_entry* written = nullptr;
  evbuffer_cb_entry* read = nullptr;
  std::unique_ptr<LoopEvent> timer;
  Callback callback;
  std::string fault;
  /** Error of the system when the connection could not be made. */
  int connect_error = 0;
  /** Whether evhttp is being handed the request: what it reports meanwhile is
   * passed on from the loop. */
  bool starting = false;
  /** With TimeLimit::kSilence: the timeout, and when the answer must be whole;
   * otherwise the former is zero. */
  Duration longest_silence{0};
  Instant answer_until;
  size_t bytes_written = 0;
  size_t bytes_read = 0;
  bool closed = false;
  bool broken = false;
};

HttpClient::HttpClient(EventLoop& loop, const HttpClientLimits& limits)
    : loop(loop), limits(limits) {
  this->retire_event = std::make_unique<LoopEvent>(
      loop.handle(), -1, 0, [this] { this->retired.clear(); });
  // They hold descriptors until then.
  this->retire_event->SetPriority(EventPriority::kControl);
}

HttpClient::~HttpClient() = default;

void HttpClient::Send(const Endpoint& endpoint, const HttpRequest& request,
                      Duration timeout, Callback callback, TimeLimit limit) {
  std::unique_ptr<Connection> connection = this->TakeIdle(endpoint);
  const bool has_room =
      connection ||
      this->active.size() + this->idle_count < this->limits.connections ||
      this->CloseOldestIdle();
  if (!connection) connection = std::make_unique<Connection>(*this, endpoint);
  Connection* raw = connection.get();
  this->active.emplace(raw, std::move(connection));
  if (!has_room) {
    raw->Reject(std::move(callback), "too many connections are open");
    return;
  }
  raw->Start(request, timeout, std::move(callback), limit);
}

bool HttpClient::CloseOldestIdle() {
  std::vector<std::unique_ptr<Connection>>* oldest = nullptr;
  for (auto& [endpoint, pool] : this->idle) {
    // The first of a pool was used least recently.
    if (!pool.empty() &&
        (oldest == nullptr ||
         pool.front()->idle_since < oldest->front()->idle_since)) {
      oldest = &pool;
    }
  }
  if (oldest == nullptr) return false;
  this->Retire(std::move(oldest->front()));
  oldest->erase(oldest->begin());
  --this->idle_count;
  return true;
}

std::unique_ptr<HttpClient::Connection> HttpClient::TakeIdle(
    const Endpoint& endpoint) {
  const auto entry = this->idle.find(endpoint);
  if (entry == this->idle.end()) return nullptr;
  const Instant oldest = this->loop.Now() - this->limits.idle_time;
  while (!entry->second.empty()) {
    std::unique_ptr<Connection> connection = std::move(entry->second.back());
    entry->second.pop_back();
    --this->idle_count;
    if (connection->reusable() && connection->idle_since >= oldest)
      return connection;
    this->Retire(std::move(connection));
  }
  return nullptr;
}

void HttpClient::Finish(Connection* connection, HttpOutcome outcome) {
  const auto entry = this->active.find(connection);
  if (entry == this->active.end()) return;
  std::unique_ptr<Connection> owned = std::move(entry->second);
  this->active.erase(entry);
  const Callback callback = owned->TakeCallback();
  std::vector<std::unique_ptr<Connection>>& pool = this->idle[owned->endpoint];
  if (outcome.delivery != Delivery::kAnswered) {
    for (std::unique_ptr<Connection>& suspect : pool)
      this->Retire(std::move(suspect));
    this->idle_count -= pool.size();
    pool.clear();
  }
  if (owned->reusable() && pool.size() < this->limits.idle_connections) {
    owned->idle_since = this->loop.Now();
    pool.push_back(std::move(owned));
    ++this->idle_count;
  } else {
    this->Retire(std::move(owned));
  }
  callback(std::move(outcome));
}

void HttpClient::Retire(std::unique_ptr<Connection> connection) {
  this->retired.push_back(std::move(connection));
  this->retire_event->Arm(Duration(0));
}

}  // namespace agatepass::base
