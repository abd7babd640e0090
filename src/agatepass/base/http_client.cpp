#include "agatepass/base/http_client.h"

#include <event2/http.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "agatepass/base/http_client_connection.h"
#include "agatepass/base/work_meter.h"
#include "fmt/format.h"

namespace agatepass::base {

namespace {

/** Bytes that are read at once. */
constexpr size_t kReadBytes = 64 * 1024;

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

/** Appends text of a head, without what would end its line. */
void AppendToLine(std::string& head, std::string_view text) {
  for (const char character : text) {
    if (character != '\r' && character != '\n') head += character;
  }
}

std::string RenderRequest(const Endpoint& endpoint,
                          const HttpRequest& request) {
  constexpr size_t kTypicalHeadBytes = 256;
  std::string bytes;
  bytes.reserve(kTypicalHeadBytes + request.body.size());
  // evhttp, which answers on the other side, knows no method "OTHER".
  bytes += request.method == HttpMethod::kOther
               ? HttpMethodName(HttpMethod::kGet)
               : HttpMethodName(request.method);
  bytes += ' ';
  AppendToLine(bytes, BuildTarget(request));
  bytes += " HTTP/1.1\r\nHost: ";
  bytes += endpoint.address;
  bytes += ':';
  fmt::format_to(std::back_inserter(bytes), "{}", endpoint.port);
  bytes += "\r\n";
  for (const HttpHeader& header : request.headers) {
    AppendToLine(bytes, header.name);
    bytes += ": ";
    AppendToLine(bytes, header.value);
    bytes += "\r\n";
  }
  const bool has_body = !request.body.empty() ||
                        request.method == HttpMethod::kPost ||
                        request.method == HttpMethod::kPut;
  if (has_body) {
    fmt::format_to(std::back_inserter(bytes), "Content-Length: {}\r\n",
                   request.body.size());
  }
  bytes += "\r\n";
  bytes += request.body;
  return bytes;
}

}  // namespace

HttpClient::HttpClient(EventLoop& loop, const HttpClientLimits& limits)
    : loop(loop), limits(limits), read_buffer(kReadBytes) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(const Endpoint& endpoint, const HttpRequest& request,
                      Duration timeout, Callback callback, TimeLimit limit,
                      WhenBusy when_busy) {
  const WorkScope scope(this->loop.work(), WorkKind::kSending);
  std::unique_ptr<Pool>& pool = this->pools[endpoint];
  if (!pool) pool = std::make_unique<Pool>();
  Request rendered{
      .bytes = RenderRequest(endpoint, request),
      .callback = callback ? std::move(callback) : [](const HttpOutcome&) {},
      .deadline = this->loop.Now() + timeout,
      .limit = limit};
  if (when_busy == WhenBusy::kWait && pool->idle.empty() &&
      pool->active >= this->limits.connections_per_address) {
    this->Wait(*pool, std::move(rendered));
  } else {
    this->SendNow(endpoint, *pool, std::move(rendered));
  }
}

void HttpClient::SendNow(const Endpoint& endpoint, Pool& pool,
                         Request request) {
  Connection* connection = this->TakeIdle(pool);
  ++pool.active;
  if (connection != nullptr) {
    connection->Start(std::move(request));
    return;
  }
  const bool has_room =
      this->open.size() < this->limits.connections || this->CloseOldestIdle();
  auto added = std::make_unique<Connection>(*this, endpoint);
  connection = added.get();
  this->open.emplace(connection, std::move(added));
  if (has_room) {
    ++this->made;
    connection->Start(std::move(request));
  } else {
    connection->Reject(std::move(request), "too many connections are open");
  }
}

void HttpClient::Wait(Pool& pool, Request request) {
  const Instant deadline = request.deadline;
  pool.waiting.push_back(
      {.request = std::move(request), .since = this->loop.Now()});
  ++this->waiting_count;
  const auto position = std::prev(pool.waiting.end());
  position->timer =
      this->loop.After(deadline - this->loop.Now(), [this, &pool, position] {
        const Callback callback = std::move(position->request.callback);
        pool.waiting.erase(position);
        --this->waiting_count;
        callback({.delivery = Delivery::kNotSent,
                  .at_own_limit = true,
                  .fault = "timeout before a connection was free"});
      });
}

Duration HttpClient::OldestWait() const {
  Instant oldest = this->loop.Now();
  if (this->waiting_count == 0) return Duration(0);
  for (const auto& [endpoint, pool] : this->pools) {
    if (!pool->waiting.empty()) {
      oldest = std::min(oldest, pool->waiting.front().since);
    }
  }
  return this->loop.Now() - oldest;
}

void HttpClient::SendWaiting(const Endpoint& endpoint) {
  const auto found = this->pools.find(endpoint);
  if (found == this->pools.end()) return;
  Pool& pool = *found->second;
  while (!pool.waiting.empty() &&
         pool.active < this->limits.connections_per_address) {
    Request request = std::move(pool.waiting.front().request);
    pool.waiting.pop_front();
    --this->waiting_count;
    this->SendNow(endpoint, pool, std::move(request));
  }
  this->EraseIfUnused(endpoint);
}

void HttpClient::EraseIfUnused(const Endpoint& endpoint) {
  const auto found = this->pools.find(endpoint);
  if (found == this->pools.end()) return;
  const Pool& pool = *found->second;
  if (pool.active == 0 && pool.idle.empty() && pool.waiting.empty()) {
    this->pools.erase(found);
  }
}

HttpClient::Connection* HttpClient::TakeIdle(Pool& pool) {
  const Instant oldest = this->loop.Now() - this->limits.idle_time;
  while (!pool.idle.empty()) {
    Connection* connection = pool.idle.back();
    this->RemoveFromIdle(connection);
    if (connection->idle_since >= oldest) return connection;
    this->open.erase(connection);
  }
  return nullptr;
}

void HttpClient::RemoveFromIdle(Connection* connection) {
  this->idle.erase(connection->idle_position);
  std::erase(this->pools.at(connection->endpoint())->idle, connection);
}

bool HttpClient::CloseOldestIdle() {
  if (this->idle.empty()) return false;
  this->OnIdleConnectionEnded(this->idle.front());
  return true;
}

void HttpClient::OnIdleConnectionEnded(Connection* connection) {
  const Endpoint endpoint = connection->endpoint();
  this->RemoveFromIdle(connection);
  this->open.erase(connection);
  this->EraseIfUnused(endpoint);
}

void HttpClient::CloseIdle(Pool& pool) {
  for (Connection* connection : pool.idle) {
    this->idle.erase(connection->idle_position);
    this->open.erase(connection);
  }
  pool.idle.clear();
}

void HttpClient::Finish(Connection* connection, HttpOutcome outcome) {
  const Callback callback = connection->TakeCallback();
  const Endpoint endpoint = connection->endpoint();
  Pool& pool = *this->pools.at(endpoint);
  --pool.active;
  if (outcome.delivery != Delivery::kAnswered) this->CloseIdle(pool);
  if (connection->reusable() &&
      pool.idle.size() < this->limits.idle_connections) {
    connection->idle_since = this->loop.Now();
    connection->idle_position = this->idle.insert(this->idle.end(), connection);
    pool.idle.push_back(connection);
  } else {
    this->open.erase(connection);
  }
  this->SendWaiting(endpoint);
  callback(std::move(outcome));
}

}  // namespace agatepass::base
