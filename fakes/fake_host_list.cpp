#include "fakes/fake_host_list.h"

#include <utility>

#include "agatepass/platform/host_list_client.h"

namespace agatepass::fakes {

FakeHostList::FakeHostList(base::EventLoop& loop,
                           std::vector<platform::HostRecord> hosts)
    : server(loop, {},
             [this](const base::HttpRequest& request,
                    const base::HttpResponder& responder) {
               this->Receive(request, responder);
             }),
      hosts(std::move(hosts)) {}

absl::Status FakeHostList::Listen(const base::Endpoint& endpoint) {
  return this->server.Listen(endpoint);
}

void FakeHostList::Receive(const base::HttpRequest& request,
                           const base::HttpResponder& responder) {
  if (request.path == "/state") {
    const std::string_view name = base::FindHeader(request.query, "name");
    const std::string_view state = base::FindHeader(request.query, "state");
    for (platform::HostRecord& host : this->hosts) {
      if (host.name != name) continue;
      host.state = state == "leaving" ? platform::HostState::kLeaving
                                      : platform::HostState::kLive;
    }
    if (state == "gone") {
      std::erase_if(this->hosts, [name](const platform::HostRecord& host) {
        return host.name == name;
      });
    }
  }
  responder.Respond(
      {.status = 200, .body = platform::EncodeHostList(this->hosts)});
}

}  // namespace agatepass::fakes
