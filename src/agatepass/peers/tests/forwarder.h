/** \file
 * Passes TCP connections on to a peer, and can make those that are open go
 * silent while new ones work.
 */
#ifndef AGATEPASS_PEERS_TESTS_FORWARDER_H_
#define AGATEPASS_PEERS_TESTS_FORWARDER_H_

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <list>

#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_message.h"

namespace agatepass::peers {

/** A forwarder on 127.0.0.1. */
class Forwarder {
 public:
  Forwarder(base::EventLoop& loop, base::Endpoint target)
      : loop(loop), target(std::move(target)) {
    sockaddr_in address = Address(0);
    this->listener = evconnlistener_new_bind(
        loop.handle(), Accept, this, LEV_OPT_CLOSE_ON_FREE, 16,
        reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~Forwarder() {
    evconnlistener_free(this->listener);
    for (Pair& pair : this->pairs) {
      bufferevent_free(pair.near);
      bufferevent_free(pair.far);
    }
  }
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  base::Endpoint endpoint() const {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(this->listener),
                reinterpret_cast<sockaddr*>(&address), &length);
    return {"127.0.0.1", ntohs(address.sin_port)};
  }

  /** From now on nothing passes on the connections that are open. */
  void SilenceOpenConnections() {
    for (Pair& pair : this->pairs) pair.silent = true;
  }

 private:
  struct Pair {
    bufferevent* near = nullptr;
    bufferevent* far = nullptr;
    bool silent = false;
  };

  static sockaddr_in Address(uint16_t port) {
    sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  static void Accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*,
                     int, void* self) {
    auto* forwarder = static_cast<Forwarder*>(self);
    event_base* loop = forwarder->loop.handle();
    Pair& pair = forwarder->pairs.emplace_back();
    pair.near = bufferevent_socket_new(loop, descriptor, BEV_OPT_CLOSE_ON_FREE);
    pair.far = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in address = Address(forwarder->target.port);
    bufferevent_socket_connect(pair.far, reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
    for (bufferevent* end : {pair.near, pair.far}) {
      bufferevent_setcb(end, Pass, nullptr, nullptr, &pair);
      bufferevent_enable(end, EV_READ | EV_WRITE);
    }
  }

  static void Pass(bufferevent* from, void* self) {
    auto* pair = static_cast<Pair*>(self);
    evbuffer* input = bufferevent_get_input(from);
    if (pair->silent) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    bufferevent_write_buffer(from == pair->near ? pair->far : pair->near,
                             input);
  }

  base::EventLoop& loop;
  base::Endpoint target;
  evconnlistener* listener = nullptr;
  std::list<Pair> pairs;
};

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_TESTS_FORWARDER_H_
