// Loads running daemons with jobs at random times and prints how they did.
#include <cstdint>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "CLI/CLI.hpp"
#include "agatepass/base/event_loop.h"
#include "agatepass/base/http_client.h"
#include "agatepass/base/result_code.h"
#include "agatepass/control/gate_client.h"
#include "agatepass/timeline/render.h"
#include "bench/measurement.h"
#include "fmt/format.h"

namespace agatepass::bench {
namespace {

using Json = nlohmann::json;

constexpr base::Duration kRequestTimeout = std::chrono::seconds(30);
constexpr base::Duration kSettleTime = std::chrono::seconds(3);
constexpr base::Duration kSampleInterval = std::chrono::milliseconds(500);
constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;

/** One sort of job of the users' days. */
struct JobSort {
  std::string_view name;
  std::string_view kind;
  std::string_view priority;
  int tasks;
  int millicores;
  int memory_mib;
  bool idempotent;
  /** Share of the arrivals. */
  double share;
};

constexpr JobSort kSorts[] = {
    {"letters", "batch", "bulk", 20, 500, 256, true, 0.2},
    {"alert", "batch", "urgent", 1, 250, 128, false, 0.4},
    {"quote", "batch", "interactive", 1, 1000, 512, false, 0.35},
    {"coil-set", "gang", "ordinary", 4, 2000, 1024, false, 0.05}};

struct Options {
  std::vector<std::string> gates;
  std::string token;
  std::string team = "bench";
  double jobs_per_second = 20;
  double seconds = 10;
  uint64_t seed = 1;
  std::string command = "run 200";
};

/** One arrival, planned before the run. */
struct Arrival {
  base::Duration at{0};
  const JobSort* sort = nullptr;
  std::string key;
};

std::vector<Arrival> PlanArrivals(const Options& options) {
  std::mt19937_64 random(options.seed);
  std::exponential_distribution<double> gap(options.jobs_per_second);
  std::uniform_real_distribution<double> share(0, 1);
  std::vector<Arrival> arrivals;
  for (double at = gap(random); at < options.seconds; at += gap(random)) {
    double rest = share(random);
    const JobSort* sort = std::begin(kSorts);
    while (rest >= sort->share && sort + 1 != std::end(kSorts)) {
      rest -= sort->share;
      ++sort;
    }
    arrivals.push_back({.at = base::Duration(static_cast<int64_t>(at * 1e6)),
                        .sort = sort,
                        .key = fmt::format("bench-{}-{}-{}", options.seed,
                                           base::ReadWallClock().microseconds,
                                           arrivals.size())});
  }
  return arrivals;
}

std::string JobBody(const Options& options, const Arrival& arrival) {
  const JobSort& sort = *arrival.sort;
  return Json{{"key", arrival.key},
              {"team", options.team},
              {"kind", sort.kind},
              {"priority", sort.priority},
              {"tasks", sort.tasks},
              {"millicores", sort.millicores},
              {"memory_mib", sort.memory_mib},
              {"idempotent", sort.idempotent},
              {"command", options.command}}
      .dump();
}

/** Sends each job at its time, whatever became of those before. */
class LoadRun {
 public:
  LoadRun(const Options& options, std::vector<base::Endpoint> gates)
      : options(options),
        gates(std::move(gates)),
        arrivals(PlanArrivals(options)),
        client(this->loop, {}) {}

  void Run() {
    this->begin = this->loop.Now();
    std::vector<std::unique_ptr<base::LoopEvent>> timers;
    for (size_t index = 0; index < this->arrivals.size(); ++index) {
      timers.push_back(this->loop.After(
          this->arrivals[index].at, [this, index] { this->Submit(index); }));
    }
    const auto sampler =
        this->loop.Every(kSampleInterval, [this] { this->SamplePacking(); });
    if (this->arrivals.empty()) return;
    this->loop.Run();
    const auto settle =
        this->loop.After(kSettleTime, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  /** Prints acceptance, packing, and what came back instead of acceptance. */
  void Print() const {
    const Json params = {{"jobs", this->arrivals.size()},
                         {"rate", this->options.jobs_per_second},
                         {"seed", this->options.seed},
                         {"accepted", this->accepted.size()}};
    PrintMeasurement("bench.accept", "ms", this->accept_times, params);
    PrintMeasurement("bench.packing", "%", this->packing, params);
    for (const auto& [code, count] : this->refusals) {
      std::cerr << fmt::format("{} jobs were answered {}\n", count, code);
    }
  }

  /** Ids of accepted jobs, with their sort. */
  std::map<std::string, const JobSort*> accepted;

 private:
  base::HttpRequest MakeRequest(base::HttpMethod method,
                                const std::string& path) const {
    return {.method = method,
            .path = path,
            .headers = {{"Authorization", "Bearer " + this->options.token}}};
  }

  void Submit(size_t index) {
    base::HttpRequest request =
        this->MakeRequest(base::HttpMethod::kPost, "/v1/jobs");
    request.body = JobBody(this->options, this->arrivals[index]);
    this->client.Send(this->gates[index % this->gates.size()], request,
                      kRequestTimeout,
                      [this, index](const base::HttpOutcome& outcome) {
                        this->Note(index, outcome);
                        if (++this->ended == this->arrivals.size()) {
                          this->loop.Stop();
                        }
                      });
  }

  void Note(size_t index, const base::HttpOutcome& outcome) {
    const Json body = Json::parse(outcome.answer.body, nullptr, false);
    if (outcome.answer.status == kHttpAccepted && body.is_object()) {
      // From the planned time, so that a late sender hides no waiting.
      const base::Duration taken =
          this->loop.Now() - this->begin - this->arrivals[index].at;
      this->accept_times.push_back(base::ToSeconds(taken) * 1e3);
      this->accepted[body.value("job", "")] = this->arrivals[index].sort;
      return;
    }
    ++this->refusals[body.is_object() ? body.value("code", "no code")
                                      : "no answer: " + outcome.fault];
  }

  // Each gate tells of the workers that it owns.
  void SamplePacking() {
    for (const base::Endpoint& gate : this->gates) {
      this->client.Send(
          gate, this->MakeRequest(base::HttpMethod::kGet, "/v1/workers"),
          kRequestTimeout, [this](const base::HttpOutcome& outcome) {
            if (outcome.answer.status == kHttpOk) {
              this->AddPacking(outcome.answer.body);
            }
          });
    }
  }

  void AddPacking(const std::string& text) {
    const Json body = Json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("workers")) return;
    double granted = 0;
    double total = 0;
    for (const Json& worker : body["workers"]) {
      granted += worker.value("millicores_granted", 0.0);
      total += worker.value("millicores", 0.0);
    }
    if (total > 0) this->packing.push_back(100 * granted / total);
  }

  Options options;
  std::vector<base::Endpoint> gates;
  std::vector<Arrival> arrivals;
  base::EventLoop loop;
  base::HttpClient client;
  base::Instant begin;
  size_t ended = 0;
  std::vector<double> accept_times;
  std::vector<double> packing;
  std::map<std::string, int> refusals;
};

/** Events of one job over all gates. */
timeline::Timeline AskForJob(const std::vector<base::Endpoint>& gates,
                             const std::string& token, const std::string& job) {
  std::vector<timeline::HostEvents> hosts;
  for (const base::Endpoint& gate : gates) {
    control::GateClient client({gate}, token, kRequestTimeout);
    const base::HttpOutcome outcome = client.Send(
        {.path = "/v1/timeline", .query = {{"id", job}, {"format", "json"}}});
    auto line = timeline::ParseTimelineJson(outcome.answer.body);
    if (!line.ok()) continue;
    hosts.push_back({.host = base::HostId(gate.ToString()),
                     .events = std::move(line->events)});
  }
  return timeline::MergeTimeline(std::move(hosts));
}

/** Prints the time from acceptance to each task's start, for each sort. */
void PrintWaits(const LoadRun& run, const std::vector<base::Endpoint>& gates,
                const Options& options) {
  std::map<std::string_view, std::vector<double>> waits;
  std::map<std::string_view, int64_t> missing;
  for (const auto& [job, sort] : run.accepted) {
    const timeline::Timeline line = AskForJob(gates, options.token, job);
    int64_t accepted = 0;
    int64_t started = 0;
    for (const timeline::Event& event : line.events) {
      if (event.kind == timeline::EventKind::kAccepted) {
        accepted = event.time.wall_microseconds;
      }
      if (event.kind != timeline::EventKind::kStarted || accepted == 0) {
        continue;
      }
      ++started;
      waits[sort->name].push_back(
          static_cast<double>(event.time.wall_microseconds - accepted) / 1e6);
    }
    missing[sort->name] += sort->tasks - started;
  }
  for (const auto& [name, samples] : waits) {
    PrintMeasurement("bench.wait", "s", samples,
                     {{"sort", name},
                      {"rate", options.jobs_per_second},
                      {"seed", options.seed},
                      {"tasks without a start seen", missing[name]}});
  }
}

}  // namespace
}  // namespace agatepass::bench

int main(int argc, char** argv) {
  namespace bench = agatepass::bench;
  bench::Options options;
  CLI::App app{"Loads running entry hosts with jobs and prints percentiles."};
  app.add_option("--gate", options.gates, "Entry hosts as IP:PORT")
      ->required()
      ->delimiter(',');
  app.add_option("--token", options.token, "Operators' token")->required();
  app.add_option("--team", options.team, "Team that the jobs belong to");
  app.add_option("--rate", options.jobs_per_second, "Jobs a second")
      ->check(CLI::PositiveNumber);
  app.add_option("--seconds", options.seconds, "Length of the load")
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", options.seed, "Seed of times and sorts");
  app.add_option("--command", options.command, "What each task runs");
  CLI11_PARSE(app, argc, argv);
  std::vector<agatepass::base::Endpoint> gates;
  for (const std::string& gate : options.gates) {
    const auto endpoint = agatepass::base::ParseEndpoint(gate);
    if (!endpoint) {
      std::cerr << fmt::format("--gate \"{}\" is not IP:PORT\n", gate);
      return 2;
    }
    gates.push_back(*endpoint);
  }
  bench::LoadRun run(options, gates);
  run.Run();
  run.Print();
  bench::PrintWaits(run, gates, options);
  return run.accepted.empty() ? 1 : 0;
}
