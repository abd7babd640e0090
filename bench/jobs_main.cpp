// Measures the jobs slice in virtual time: journal latency, store traffic
// against one write for each task, journal bytes and processor time per job.
#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "CLI/CLI.hpp"
#include "fakes/job_host.h"
#include "fmt/format.h"

namespace agatepass {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The load of one run. */
struct Load {
  /** Task starts a second on this host. */
  int starts = 0;
  uint32_t tasks_per_job = 20;
  base::Duration one_way = milliseconds(2);
  base::Duration span = seconds(60);
  size_t segment_bytes = jobs::JournalOptions().segment_bytes;
};

/** What one run cost. */
struct Cost {
  double calls = 0;
  double bytes = 0;
  double bytes_per_job = 0;
  double cpu_us_per_task = 0;
  size_t tasks = 0;
};

jobs::JobKeeperOptions Options(const Load& load) {
  jobs::JobKeeperOptions options;
  options.journal.segment_bytes = load.segment_bytes;
  options.data_centre = base::DataCentreId("uus-a");
  return options;
}

jobs::JobSpec MakeSpec(uint64_t number, uint32_t tasks) {
  jobs::JobSpec spec;
  spec.idempotency_key = fmt::format("order-{}", number);
  spec.team = base::TeamId("notices");
  spec.workload = base::WorkloadId("letters");
  spec.task_count = tasks;
  spec.declared = {1000, 2048, 0};
  spec.command = "print --street Mannerheimintie --batch 17";
  return spec;
}

/** Runs jobs whose tasks start at the load's rate and end five seconds later.
 */
class LoadRun {
 public:
  explicit LoadRun(const Load& load) : load(load) {
    this->store.SetLatency(load.one_way);
    this->store.RunUntil(this->time.now);
  }

  Cost Run() {
    const auto before = std::chrono::steady_clock::now();
    const base::Instant end = this->time.now + this->load.span;
    double due = 0;
    while (this->time.now < end) {
      fakes::RunFor(milliseconds(10), this->store, this->time, {&this->host});
      due += this->load.starts * 0.01;
      if (due >= this->load.tasks_per_job) {
        due -= this->load.tasks_per_job;
        this->host.Submit(MakeSpec(++this->jobs, this->load.tasks_per_job));
      }
      this->StartReady();
      this->ReportEnds();
      this->host.seen = {};
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - before;
    const double span = base::ToSeconds(this->load.span);
    const auto tasks = std::max<size_t>(this->started, 1);
    const auto job_count = std::max<uint64_t>(this->jobs, 1);
    return {static_cast<double>(this->store.calls()) / span,
            static_cast<double>(this->store.bytes()) / span,
            static_cast<double>(this->store.bytes()) /
                static_cast<double>(job_count),
            spent.count() / static_cast<double>(tasks), this->started};
  }

 private:
  void StartReady() {
    for (const jobs::ReadyTask& ready : this->host.seen.ready) {
      const base::WorkerId worker(fmt::format("w{}", this->started++ % 50));
      this->host.keeper.OnStartSent(ready.task, worker, 1, this->time.now);
      this->host.Do([&](jobs::JobKeeper& keeper, jobs::Effects& fresh) {
        keeper.OnStartResult(ready.task, jobs::StartOutcome::kStarted,
                             this->time.now, this->time.wall(), fresh);
        return 0;
      });
      this->running.push_back(
          {this->time.now + seconds(5), {worker, ready.task}});
    }
  }

  void ReportEnds() {
    while (!this->running.empty() &&
           this->running.front().first <= this->time.now) {
      const auto [at, task] = this->running.front();
      this->running.pop_front();
      platform::TaskReport report;
      report.task = task.task;
      report.phase = platform::TaskPhase::kSucceeded;
      this->host.Do([&, worker = task.worker](jobs::JobKeeper& keeper,
                                              jobs::Effects& fresh) {
        keeper.OnTaskReport(worker, report, this->time.now, this->time.wall(),
                            fresh);
        return 0;
      });
    }
  }

  Load load;
  fakes::VirtualTime time;
  fakes::MemoryStore store;
  fakes::JobHost host{Options(this->load),
                      {base::HostId("uus-a-e1"), 1},
                      this->store,
                      this->time};
  std::deque<std::pair<base::Instant, jobs::TaskOnWorker>> running;
  uint64_t jobs = 0;
  size_t started = 0;
};

void PrintRate(std::string_view measure, std::string_view unit, double value,
               double naive, const Load& load, size_t tasks) {
  fmt::print(
      "{{\"measure\":\"{}\",\"unit\":\"{}\",\"n\":{},\"value\":{:.1f},"
      "\"naive\":{:.1f},\"params\":{{\"starts_per_second\":{},"
      "\"tasks_per_job\":{},\"seconds\":{},\"segment_bytes\":{}}}}}\n",
      measure, unit, tasks, value, naive, load.starts, load.tasks_per_job,
      base::ToSeconds(load.span), load.segment_bytes);
}

/** Prints the store traffic of one load beside that of one write for each
 * start and each end, of the size that one end's record has. */
void MeasureTraffic(const Load& load) {
  constexpr double kNaiveWriteBytes = 120;
  const Cost cost = LoadRun(load).Run();
  const double naive = 2.0 * load.starts;
  PrintRate("store.calls", "1/s", cost.calls, naive, load, cost.tasks);
  PrintRate("store.bytes", "B/s", cost.bytes, naive * kNaiveWriteBytes, load,
            cost.tasks);
  if (cost.tasks == 0) return;
  PrintRate("journal.bytes_per_job", "B", cost.bytes_per_job,
            2.0 * load.tasks_per_job * kNaiveWriteBytes, load, cost.tasks);
  fmt::print(
      "{{\"measure\":\"jobs.cpu_per_task\",\"unit\":\"us\",\"n\":{},"
      "\"value\":{:.1f},\"params\":{{\"starts_per_second\":{},"
      "\"includes\":\"stand-ins\"}}}}\n",
      cost.tasks, cost.cpu_us_per_task, load.starts);
}

/** Prints the time from a submission to its acceptance; one job each 250 ms, or
 * `burst` jobs at once. */
void MeasureLatency(base::Duration one_way, int burst) {
  fakes::VirtualTime time;
  fakes::MemoryStore store;
  store.SetLatency(one_way);
  store.RunUntil(time.now);
  fakes::JobHost host(Options({}), {base::HostId("uus-a-e1"), 1}, store, time);
  std::vector<double> waits;
  uint64_t number = 0;
  for (int round = 0; round < 200; ++round) {
    const base::Instant asked = time.now;
    for (int job = 0; job < burst; ++job) host.Submit(MakeSpec(++number, 1));
    for (int step = 0; step < 1000; ++step) {
      fakes::RunFor(milliseconds(1), store, time, {&host});
      for (size_t given = 0; given < host.seen.submissions.size(); ++given) {
        waits.push_back(base::ToSeconds(time.now - asked) * 1000);
      }
      host.seen = {};
    }
  }
  std::sort(waits.begin(), waits.end());
  const auto at = [&waits](double part) {
    return waits[static_cast<size_t>(part *
                                     static_cast<double>(waits.size() - 1))];
  };
  fmt::print(
      "{{\"measure\":\"journal.latency\",\"unit\":\"ms\",\"n\":{},"
      "\"p50\":{:.1f},\"p99\":{:.1f},\"max\":{:.1f},\"params\":"
      "{{\"store_one_way_ms\":{:.1f},\"burst\":{}}}}}\n",
      waits.size(), at(0.5), at(0.99), at(1.0), base::ToSeconds(one_way) * 1000,
      burst);
}

}  // namespace
}  // namespace agatepass

int main(int argc, char** argv) {
  CLI::App app("Measures the jobs slice in virtual time.");
  int span = 60;
  app.add_option("--seconds", span, "virtual seconds of each run");
  size_t segment_bytes = agatepass::Load().segment_bytes;
  app.add_option("--segment-bytes", segment_bytes,
                 "size at which a segment is full");
  CLI11_PARSE(app, argc, argv);
  using std::chrono::milliseconds;
  for (int one_way : {1, 8, 50}) {
    agatepass::MeasureLatency(milliseconds(one_way), 1);
    agatepass::MeasureLatency(milliseconds(one_way), 20);
  }
  for (int starts : {0, 46, 100, 410}) {
    for (uint32_t tasks : {20U, 200U}) {
      agatepass::Load load;
      load.starts = starts;
      load.tasks_per_job = tasks;
      load.segment_bytes = segment_bytes;
      load.span = std::chrono::seconds(span);
      agatepass::MeasureTraffic(load);
    }
  }
  return 0;
}
