// Runs the stand-ins of the platform in one process: the store, the host list
// and every worker that the host list names.
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "CLI/CLI.hpp"
#include "agatepass/base/event_loop.h"
#include "agatepass/platform/host_list_client.h"
#include "fakes/fake_host_list.h"
#include "fakes/fake_store.h"
#include "fakes/fake_worker.h"

namespace {

using agatepass::base::Endpoint;
using agatepass::base::EventLoop;
using agatepass::base::ParseEndpoint;
using agatepass::base::WorkerId;
using agatepass::fakes::FakeHostList;
using agatepass::fakes::FakeStore;
using agatepass::fakes::FakeWorker;
using agatepass::platform::HostRecord;
using agatepass::platform::HostRole;

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int Fail(const absl::Status& status) {
  std::cerr << status.message() << '\n';
  return 1;
}

int Serve(const Endpoint& store_endpoint, const Endpoint& list_endpoint,
          const std::vector<HostRecord>& hosts) {
  EventLoop loop;
  FakeStore store(loop);
  FakeHostList list(loop, hosts);
  std::vector<std::unique_ptr<FakeWorker>> workers;
  if (const auto status = store.Listen(store_endpoint); !status.ok()) {
    return Fail(status);
  }
  if (const auto status = list.Listen(list_endpoint); !status.ok()) {
    return Fail(status);
  }
  for (const HostRecord& host : hosts) {
    if (host.role != HostRole::kWorker) continue;
    workers.push_back(
        std::make_unique<FakeWorker>(loop, WorkerId(host.name), host.total));
    const auto status = workers.back()->Listen(host.endpoint);
    if (!status.ok()) return Fail(status);
  }
  const auto stop = loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-ins of the platform: store, host list and workers");
  std::string store;
  std::string list;
  std::string hosts_file;
  app.add_option("--store", store, "IP:PORT of the store")->required();
  app.add_option("--host-list", list, "IP:PORT of the host list")->required();
  app.add_option("--hosts", hosts_file, "file with the host list as JSON")
      ->required();
  CLI11_PARSE(app, argc, argv);
  const auto store_endpoint = ParseEndpoint(store);
  const auto list_endpoint = ParseEndpoint(list);
  const auto hosts = agatepass::platform::DecodeHostList(ReadFile(hosts_file));
  if (!hosts.ok()) return Fail(hosts.status());
  if (!store_endpoint || !list_endpoint) {
    std::cerr << "--store and --host-list need IP:PORT\n";
    return 1;
  }
  return Serve(*store_endpoint, *list_endpoint, *hosts);
}
