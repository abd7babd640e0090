// Measures the spread of a configuration, the detection of dead entry hosts and
// the bytes that both cost: the real machines in virtual time, and the real
// sockets for the cost around each message.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "CLI/CLI.hpp"
#include "agatepass/config/tests/config_cell.h"
#include "agatepass/peers/peer_network.h"
#include "fmt/format.h"

namespace agatepass::bench {
namespace {

using base::HostId;
using config::ConfigCell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDataCentres = 3;

enum class Disturbance : uint8_t { kNone, kStoreCutOff, kHolderKilled };

std::string_view DisturbanceName(Disturbance disturbance) {
  switch (disturbance) {
    case Disturbance::kNone:
      return "none";
    case Disturbance::kStoreCutOff:
      return "store out of reach of one data centre";
    case Disturbance::kHolderKilled:
      return "watch holder killed with the change";
  }
  return "";
}

std::string Text(int weight) {
  return fmt::format(
      "[presets]\nin_force = day\n[preset day]\npacking_weight = {}\n", weight);
}

void Print(std::string_view measure, std::string_view unit,
           std::vector<double> samples, std::string_view params) {
  std::sort(samples.begin(), samples.end());
  const auto at = [&](double share) {
    return samples[static_cast<size_t>(
        share * static_cast<double>(samples.size() - 1))];
  };
  fmt::print(
      "{{\"measure\":\"{}\",\"unit\":\"{}\",\"n\":{},\"p50\":{:.3f},"
      "\"p99\":{:.3f},\"max\":{:.3f},\"params\":{{{}}}}}\n",
      measure, unit, samples.size(), at(0.5), at(0.99), samples.back(), params);
}

ConfigCell MakeCell(int hosts) {
  ConfigCell cell;
  const char* const names[kDataCentres] = {"a", "b", "c"};
  for (int i = 0; i < hosts; ++i) {
    cell.Add(names[i % kDataCentres], 1 + i / kDataCentres);
  }
  return cell;
}

/** Returns the seconds until the last host has the change in force. */
double MeasureSpread(int hosts, Disturbance disturbance, int phase) {
  ConfigCell cell = MakeCell(hosts);
  cell.StartAll();
  cell.Run(seconds(8));
  cell.Put("a-e1", 1, Text(1), 0, "bench");
  // The phase moves the change against heartbeats and ticks.
  cell.Run(seconds(4) + milliseconds(phase));
  if (disturbance == Disturbance::kStoreCutOff) {
    cell.store_cut = [](const HostId& host) { return host.value[0] == 'c'; };
    cell.Run(seconds(5));
  }
  if (disturbance == Disturbance::kHolderKilled) {
    cell.hosts.erase(HostId("c-e1"));
  }
  const base::Instant began = cell.now;
  cell.Put("a-e1", 2, Text(2), 1, "bench");
  while (!cell.InForceEverywhere(2) && cell.now - began < seconds(60)) {
    cell.Run(milliseconds(1));
  }
  return base::ToSeconds(cell.now - began);
}

/** Adds the seconds until each host of the data centre counts a killed one as
 * dead. */
void MeasureDetection(int hosts, int phase, std::vector<double>& samples) {
  ConfigCell cell = MakeCell(hosts);
  cell.StartAll();
  cell.Run(seconds(8) + milliseconds(phase));
  const HostId victim("a-e2");
  cell.hosts.erase(victim);
  const base::Instant killed = cell.now;
  std::set<HostId> aware;
  while (cell.now - killed < seconds(10)) {
    cell.Run(milliseconds(1));
    for (const auto& [name, host] : cell.hosts) {
      if (host.data_centre.value != "a" || aware.contains(name)) continue;
      const auto& member = host.liveness.members().at(victim);
      if (member.state != membership::MemberState::kDead) continue;
      aware.insert(name);
      samples.push_back(base::ToSeconds(cell.now - killed));
    }
  }
}

/** What the RPC adds to each message, in both directions together. */
double MeasureMessageOverhead() {
  constexpr uint64_t kMessages = 500;
  base::EventLoop loop;
  peers::PeerNetwork from(
      loop, {.listen = {"127.0.0.1", 0}, .own_host = HostId("a-e1")});
  peers::PeerNetwork to(
      loop, {.listen = {"127.0.0.1", 0}, .own_host = HostId("a-e2")});
  if (!from.Start().ok() || !to.Start().ok()) return 0;
  const peers::PeerAddress address{.host = HostId("a-e2"),
                                   .endpoint = to.endpoint()};
  from.SetPeers(std::span(&address, 1));
  const peers::Heartbeat beat{.sequence = 1,
                              .data_centre = base::DataCentreId("a")};
  const size_t envelope =
      peers::EncodeEnvelope({.sender = HostId("a-e1"), .message = beat}).size();
  for (uint64_t i = 0; i < kMessages; ++i) from.Send(address.host, beat);
  const auto check = loop.Every(milliseconds(5), [&] {
    if (from.accounts().peers[address.host].messages_acknowledged ==
        kMessages) {
      loop.Stop();
    }
  });
  loop.Run();
  const peers::PeerTraffic traffic = from.accounts().peers[address.host];
  return static_cast<double>(traffic.bytes_sent + traffic.bytes_received) /
             static_cast<double>(kMessages) -
         static_cast<double>(envelope);
}

/** Bytes a second that each host sends, with the RPC's part. */
std::vector<double> MeasureBytes(int hosts, double overhead) {
  constexpr int kSeconds = 60;
  ConfigCell cell = MakeCell(hosts);
  cell.StartAll();
  cell.Run(seconds(10));
  for (auto& [name, host] : cell.hosts) host.bytes_sent = 0;
  for (auto& [name, host] : cell.hosts) host.messages_sent = 0;
  cell.Run(seconds(kSeconds));
  std::vector<double> samples;
  for (const auto& [name, host] : cell.hosts) {
    samples.push_back((static_cast<double>(host.bytes_sent) +
                       overhead * static_cast<double>(host.messages_sent)) /
                      kSeconds);
  }
  return samples;
}

void MeasureAll(int runs) {
  const double overhead = MeasureMessageOverhead();
  Print("membership.message_overhead", "B", {overhead}, "");
  for (const int hosts : {3, 9, 27}) {
    for (const Disturbance disturbance :
         {Disturbance::kNone, Disturbance::kStoreCutOff,
          Disturbance::kHolderKilled}) {
      std::vector<double> spread;
      spread.reserve(runs);
      for (int run = 0; run < runs; ++run) {
        spread.push_back(MeasureSpread(hosts, disturbance, run * 1000 / runs));
      }
      Print("config.spread", "s", spread,
            fmt::format("\"hosts\":{},\"fault\":\"{}\"", hosts,
                        DisturbanceName(disturbance)));
    }
    std::vector<double> detection;
    for (int run = 0; run < runs && hosts > kDataCentres; ++run) {
      MeasureDetection(hosts, run * 1000 / runs, detection);
    }
    if (!detection.empty()) {
      Print("membership.detect", "s", detection,
            fmt::format("\"hosts\":{}", hosts));
    }
    Print("membership.bytes", "B/s", MeasureBytes(hosts, overhead),
          fmt::format("\"hosts\":{}", hosts));
  }
}

}  // namespace
}  // namespace agatepass::bench

int main(int argc, char** argv) {
  CLI::App app("Measures configuration spread and membership.");
  int runs = 20;
  app.add_option("--runs", runs, "Runs of each case, at different phases");
  CLI11_PARSE(app, argc, argv);
  agatepass::bench::MeasureAll(runs);
  return 0;
}
