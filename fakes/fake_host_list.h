/** \file
 * A stand-in of the platform's host list over HTTP, read from a file.
 */
#ifndef FAKES_FAKE_HOST_LIST_H_
#define FAKES_FAKE_HOST_LIST_H_

#include <vector>

#include "absl/status/status.h"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_server.h"
#include "agatepass/platform/host_list.h"

namespace agatepass::fakes {

/** Serves a list of hosts. POST /state?name=H&state=live|leaving|gone changes
 * one row, as the platform would, late. */
class FakeHostList {
 public:
  FakeHostList(base::EventLoop& loop, std::vector<platform::HostRecord> hosts);

  /** Listens at `endpoint`; port 0 takes a free one. */
  absl::Status Listen(const base::Endpoint& endpoint);

  const base::Endpoint& endpoint() const { return this->server.endpoint(); }

 private:
  void Receive(const base::HttpRequest& request,
               const base::HttpResponder& responder);

  base::HttpServer server;
  std::vector<platform::HostRecord> hosts;
};

}  // namespace agatepass::fakes

#endif  // FAKES_FAKE_HOST_LIST_H_
