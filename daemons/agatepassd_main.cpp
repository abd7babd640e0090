// The daemon of an entry host.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "agatepass/base/event_loop.h"
#include "agatepass/gate/gate.h"
#include "agatepass/node/host_task.h"
#include "agatepass/node/stop_sequence.h"
#include "agatepass/settings/daemon_main.h"
#include "agatepass/settings/host_settings.h"
#include "spdlog/spdlog.h"

namespace {

using agatepass::base::EventLoop;
using agatepass::settings::HostSettings;

int Serve(const HostSettings& settings) {
  EventLoop loop;
  agatepass::node::HostTask task(loop, settings);
  agatepass::gate::Gate gate(loop, task);
  if (const absl::Status status = gate.Listen(); !status.ok()) {
    std::cerr << status.message() << '\n';
    return EXIT_FAILURE;
  }
  if (const absl::Status status = task.Start(); !status.ok()) {
    std::cerr << status.message() << '\n';
    return EXIT_FAILURE;
  }
  agatepass::node::StopSequence stop(loop, task, settings.stop_deadline);
  stop.OnStopListening([&gate] { gate.StopListening(); });
  stop.WaitFor([&gate] { return gate.in_flight() == 0; });
  gate.OnDrain([&stop] { stop.Begin(); });
  const auto terminate = loop.OnSignal(SIGTERM, [&stop] { stop.Begin(); });
  const auto interrupt = loop.OnSignal(SIGINT, [&stop] { stop.Begin(); });
  spdlog::info("entry host {} serves at {}", settings.host.value,
               settings.gate.ToString());
  loop.Run();
  return stop.complete() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  return agatepass::settings::RunDaemon(
      "agatepassd: the entry host of the agatepass scheduler",
      AGATEPASS_VERSION, argc, argv, agatepass::settings::LoadHostSettings,
      [](const auto& settings) {
        spdlog::set_level(spdlog::level::from_str(settings.log_level));
        return Serve(settings);
      });
}
