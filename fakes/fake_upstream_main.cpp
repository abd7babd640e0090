/** \file
 * Runs one fake upstream until SIGTERM or SIGINT.
 */
#include <csignal>
#include <string>

#include "CLI/CLI.hpp"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_message.h"
#include "fakes/fake_upstream.h"
#include "spdlog/spdlog.h"

int main(int argc, char** argv) {
  CLI::App app("A stand-in for one instance of a service");
  std::string listen = "127.0.0.1:0";
  int slots = 8;
  int service_time_ms = 5;
  std::string fault_name = "none";
  app.add_option("--listen", listen, "ADDRESS:PORT to serve on");
  app.add_option("--slots", slots, "Requests that it takes at a time");
  app.add_option("--service-time-ms", service_time_ms, "Time of one request");
  app.add_option("--fault", fault_name,
                 "none, slow, silent, cut, wrong-length, wrong-id, leaving, "
                 "not-run");
  CLI11_PARSE(app, argc, argv);
  const auto endpoint = agatepass::base::ParseEndpoint(listen);
  const auto fault = agatepass::fakes::ParseUpstreamFault(fault_name);
  if (!endpoint || !fault) {
    spdlog::error("address \"{}\" or fault \"{}\" is malformed", listen,
                  fault_name);
    return 2;
  }
  agatepass::base::EventLoop loop;
  agatepass::fakes::FakeUpstream upstream(
      loop, {slots, std::chrono::milliseconds(service_time_ms), *fault});
  if (const absl::Status status = upstream.Listen(*endpoint); !status.ok()) {
    spdlog::error("{}", std::string(status.message()));
    return 1;
  }
  spdlog::info("listening on {}", upstream.endpoint().ToString());
  const auto on_term = loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  const auto on_interrupt = loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
