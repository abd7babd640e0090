/** \file
 * Compares ways to choose an upstream in virtual time: 3 entry hosts, 50
 * upstreams of 8 slots of which some are slow. One JSON object a line.
 */
#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string_view>
#include <vector>

#include "CLI/CLI.hpp"
#include "agatepass/relay/upstream_choice.h"
#include "fmt/format.h"

namespace agatepass {
namespace {

constexpr size_t kHosts = 3;
constexpr size_t kUpstreams = 50;
constexpr size_t kSlowUpstreams = 5;
constexpr int kSlots = 8;
constexpr double kServiceMs = 20;
constexpr double kSlowFactor = 3;
constexpr double kStaleMs = 100;

enum class Policy { kRoundRobin, kRandom, kStaleShortest, kTwoChoices };

struct Server {
  int busy = 0;
  std::deque<std::pair<double, size_t>> waiting;
};

struct End {
  double at;
  size_t server;
  size_t host;
  bool operator>(const End& other) const { return this->at > other.at; }
};

/** One run at one load under one policy. */
class Run {
 public:
  Run(Policy policy, double load) : policy(policy), load(load) {
    this->own.assign(kHosts, std::vector<int>(kUpstreams, 0));
    this->snapshot.assign(kUpstreams, 0);
  }

  std::vector<double> Waits(size_t count) {
    const double fast = kUpstreams - kSlowUpstreams;
    const double rate = this->load * kSlots / kServiceMs *
                        (fast + kSlowUpstreams / kSlowFactor);
    std::exponential_distribution<double> gap(rate);
    for (size_t i = 0; i < count; ++i) {
      this->now += gap(this->random);
      this->Advance();
      this->Arrive(this->random() % kHosts);
    }
    return std::move(this->waits);
  }

 private:
  void Advance() {
    while (!this->ends.empty() && this->ends.top().at <= this->now) {
      const End end = this->ends.top();
      this->ends.pop();
      --this->own[end.host][end.server];
      Server& server = this->servers[end.server];
      --server.busy;
      if (server.waiting.empty()) continue;
      const auto [arrived, host] = server.waiting.front();
      server.waiting.pop_front();
      this->Start(end.server, host, arrived, end.at);
    }
    if (this->now - this->snapshot_at < kStaleMs) return;
    this->snapshot_at = this->now;
    for (size_t i = 0; i < kUpstreams; ++i) {
      this->snapshot[i] = this->servers[i].busy +
                          static_cast<int>(this->servers[i].waiting.size());
    }
  }

  void Arrive(size_t host) {
    const size_t index = this->Choose(host);
    ++this->own[host][index];
    if (this->servers[index].busy < kSlots) {
      this->Start(index, host, this->now, this->now);
    } else {
      this->servers[index].waiting.emplace_back(this->now, host);
    }
  }

  void Start(size_t index, size_t host, double arrived, double at) {
    ++this->servers[index].busy;
    this->waits.push_back(at - arrived);
    const double mean = kServiceMs * (index < kSlowUpstreams ? kSlowFactor : 1);
    std::exponential_distribution<double> service(1 / mean);
    this->ends.push({at + service(this->random), index, host});
  }

  size_t Choose(size_t host) {
    switch (this->policy) {
      case Policy::kRoundRobin:
        return this->turn++ % kUpstreams;
      case Policy::kRandom:
        return this->random() % kUpstreams;
      case Policy::kStaleShortest:
        return static_cast<size_t>(
            std::min_element(this->snapshot.begin(), this->snapshot.end()) -
            this->snapshot.begin());
      case Policy::kTwoChoices:
        break;
    }
    std::vector<relay::Candidate> candidates;
    for (size_t i = 0; i < kUpstreams; ++i) {
      candidates.push_back({.index = i,
                            .outstanding = this->own[host][i],
                            .share = 1'000'000,
                            .weight = 1});
    }
    return *relay::ChooseUpstream(candidates, this->random);
  }

  Policy policy;
  double load;
  double now = 0;
  double snapshot_at = 0;
  size_t turn = 0;
  std::mt19937_64 random{2026};
  std::vector<Server> servers{kUpstreams};
  std::vector<std::vector<int>> own;
  std::vector<int> snapshot;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::vector<double> waits;
};

void Measure(Policy policy, std::string_view name, double load, size_t count) {
  std::vector<double> waits = Run(policy, load).Waits(count);
  std::sort(waits.begin(), waits.end());
  const size_t n = waits.size();
  fmt::print(
      "{{\"measure\":\"relay.routing\",\"unit\":\"ms waited\",\"n\":{},"
      "\"p50\":{:.2f},\"p99\":{:.2f},\"max\":{:.2f},\"params\":{{\"choice\":"
      "\"{}\",\"load\":{}}}}}\n",
      n, waits[n / 2], waits[n * 99 / 100], waits.back(), name, load);
}

}  // namespace
}  // namespace agatepass

int main(int argc, char** argv) {
  using agatepass::Policy;
  CLI::App app("Compares ways to choose an upstream, in virtual time");
  size_t count = 200'000;
  app.add_option("--count", count, "Requests of each run");
  CLI11_PARSE(app, argc, argv);
  for (const double load : {0.5, 0.8, 0.9}) {
    agatepass::Measure(Policy::kRoundRobin, "round robin", load, count);
    agatepass::Measure(Policy::kRandom, "random", load, count);
    agatepass::Measure(Policy::kStaleShortest, "shortest queue, 100 ms old",
                       load, count);
    agatepass::Measure(Policy::kTwoChoices, "two choices", load, count);
  }
  return 0;
}
