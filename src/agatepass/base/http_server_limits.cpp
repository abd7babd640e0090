// HttpServer: what connections may hold, and which are closed.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <algorithm>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "agatepass/base/http_server.h"

namespace agatepass::base {

namespace {

/** Time since its last request or answer after which a connection counts as
 * idle: before, the next request is likely. */
constexpr Duration kMinIdleTime = std::chrono::milliseconds(500);

}  // namespace

void HttpServer::RegisterAccepted() {
  for (bufferevent* events : std::exchange(this->accepted, {})) {
    // Its callbacks belong to libevent's connection; it has none any more if
    // that is gone.
    void* handle = nullptr;
    bufferevent_getcb(events, nullptr, nullptr, nullptr, &handle);
    if (handle != nullptr) {
      Connection& connection =
          this->FindConnection(static_cast<evhttp_connection*>(handle));
      this->MeterRest(connection);
    }
    bufferevent_decref(events);
  }
  this->KeepWithinLimit();
}

void HttpServer::MeterRest(Connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.events);
  connection.meter.Reset();
  size_t length = evbuffer_get_length(input);
  evbuffer_ptr position;
  evbuffer_ptr_set(input, &position, 0, EVBUFFER_PTR_SET);
  while (length > 0 && connection.meter.in_header()) {
    evbuffer_iovec chain{};
    if (evbuffer_peek(input, -1, &position, &chain, 1) < 1) break;
    connection.meter.Add(
        {static_cast<const char*>(chain.iov_base), chain.iov_len});
    length -= std::min(length, chain.iov_len);
    if (evbuffer_ptr_set(input, &position, chain.iov_len, EVBUFFER_PTR_ADD) !=
        0) {
      break;
    }
  }
  connection.meter.AddBytes(length);
}

void HttpServer::OnInput(evbuffer* input, const evbuffer_cb_info* info,
                         void* self) {
  if (info->n_added == 0) return;
  auto& connection = *static_cast<Connection*>(self);
  HttpServer& server = *connection.server;
  // A request that begins on a connection that was idle is not old.
  if (connection.meter.EstimateMemory() == 0) {
    connection.last_used = server.loop.Now();
  }
  if (!connection.meter.in_header()) {
    connection.meter.AddBytes(info->n_added);
  } else {
    std::string added(info->n_added, '\0');
    evbuffer_ptr position;
    evbuffer_ptr_set(input, &position,
                     evbuffer_get_length(input) - info->n_added,
                     EVBUFFER_PTR_SET);
    evbuffer_copyout_from(input, &position, added.data(), added.size());
    connection.meter.Add(added);
  }
  if (server.budget == nullptr) return;
  server.budget->OnReceived(
      connection.account, connection.meter.EstimateMemory(), server.loop.Now());
  // The connection that is closed may be this one, which libevent reads from.
  if (server.budget->IsExceeded()) server.close_excess->Activate();
}

void HttpServer::PauseAccepting(Duration pause) {
  if (this->socket == nullptr || this->resume_accepting) return;
  evconnlistener* listener = evhttp_bound_socket_get_listener(this->socket);
  evconnlistener_disable(listener);
  this->resume_accepting = this->loop.After(pause, [this, listener] {
    this->resume_accepting.reset();
    if (this->CloseBeyondLimit()) return this->PauseAccepting(kAcceptPause);
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
  const auto rank = [](const Connection& connection) {
    return std::make_pair(connection.meter.EstimateMemory() > 0,
                          connection.last_used);
  };
  std::partial_sort(idle.begin(), idle.begin() + static_cast<ptrdiff_t>(count),
                    idle.end(),
                    [&rank](const Connection* left, const Connection* right) {
                      return rank(*left) < rank(*right);
                    });
  // Freeing a connection takes it out of the open ones.
  for (const Connection* connection : std::span(idle).first(count)) {
    evhttp_connection_free(connection->handle);
  }
  this->idle_closed_count += count;
  return count;
}

bool HttpServer::CloseBeyondLimit() {
  if (this->open_connections.size() <= this->max_connections) return false;
  this->CloseIdle(this->open_connections.size() - this->max_connections);
  return this->open_connections.size() > this->max_connections;
}

void HttpServer::KeepWithinLimit() {
  if (!this->CloseBeyondLimit()) return;
  ++this->pause_count;
  this->PauseAccepting(kAcceptPause);
}

}  // namespace agatepass::base
