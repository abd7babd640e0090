/** \file
 * Mixes of arriving tasks for the measurements of packing.
 */
#ifndef AGATEPASS_BENCH_ARRIVALS_H_
#define AGATEPASS_BENCH_ARRIVALS_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/placement/task.h"

namespace agatepass::bench {

/** A task with what only the measurement knows: its true use and run time. */
struct Arrival {
  placement::TaskRequest request;
  platform::Resources used;
  base::Duration run_time{0};
  base::Instant at;
};

/** Names of the mixes. */
inline constexpr std::string_view kMixes[] = {
    "even", "skewed", "wide", "wrong_sizes", "wrong_noisy", "gangs"};

/** Makes arrivals of one mix that ask for `load` times what the cell has. */
class ArrivalMaker {
 public:
  ArrivalMaker(std::string_view mix, uint64_t seed) : mix(mix), random(seed) {}

  /** Returns the arrivals of `span`, in order of time. \param total what the
   * cell has. */
  std::vector<Arrival> Make(const platform::Resources& total, double load,
                            base::Duration span) {
    std::vector<Arrival> arrivals;
    const base::Instant start{std::chrono::hours(1)};
    const double seconds = base::ToSeconds(span);
    double processor_seconds = 0;
    double memory_seconds = 0;
    while (processor_seconds < load * seconds * total.millicores &&
           memory_seconds < load * seconds * total.memory_mib) {
      const size_t first = arrivals.size();
      this->AddJob(arrivals);
      const base::Instant at =
          start + base::Duration(this->Between(0, span.count()));
      for (size_t i = first; i < arrivals.size(); ++i) {
        const double time = base::ToSeconds(arrivals[i].run_time);
        processor_seconds += time * arrivals[i].used.millicores;
        memory_seconds += time * arrivals[i].used.memory_mib;
        arrivals[i].at = at;
      }
    }
    std::ranges::stable_sort(arrivals, {}, &Arrival::at);
    return arrivals;
  }

 private:
  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(this->random);
  }

  void AddJob(std::vector<Arrival>& arrivals) {
    const int64_t job = this->next_job++;
    const bool gang = this->mix == "gangs" && job % 10 == 0;
    const Arrival model = this->MakeTask(job, gang);
    const uint32_t size =
        gang ? static_cast<uint32_t>(this->Between(4, 16)) : 1;
    for (uint32_t i = 0; i < size; ++i) {
      Arrival arrival = model;
      arrival.request.gang_size = size;
      arrival.request.task =
          base::TaskId("j" + std::to_string(job) + "/" + std::to_string(i));
      arrivals.push_back(arrival);
    }
  }

  Arrival MakeTask(int64_t job, bool gang) {
    Arrival arrival;
    placement::TaskRequest& request = arrival.request;
    const int64_t workload = this->Between(0, 19);
    request.job = base::JobId("j" + std::to_string(job));
    request.team = base::TeamId("team" + std::to_string(job % 30));
    request.workload = base::WorkloadId("load" + std::to_string(workload));
    if (gang) request.kind = placement::WorkloadKind::kGang;
    request.idempotent = true;
    request.checkpointable = workload % 2 == 0;
    // One task in fifty is urgent, small and short.
    if (!gang && job % 50 == 7) {
      request.priority = placement::Priority::kUrgent;
      request.workload = base::WorkloadId("alert");
      request.declared =
          arrival.used = {.millicores = 1000, .memory_mib = 1024};
      arrival.run_time = base::Duration(this->Between(1'000'000, 5'000'000));
      return arrival;
    }
    arrival.used = this->Size(workload);
    request.declared = arrival.used;
    if (this->mix == "wrong_sizes" && !gang) {
      // Declared over used, from 0.3 to 3, the same within a workload.
      const double ratio = 0.3 * std::pow(10.0, workload / 19.0);
      request.declared = {
          .millicores = static_cast<int64_t>(arrival.used.millicores * ratio),
          .memory_mib = static_cast<int64_t>(arrival.used.memory_mib * ratio)};
    }
    if (this->mix == "wrong_noisy") {
      // Declared over used, from 0.3 to 3, different for each task.
      const double ratio = 0.3 * std::pow(10.0, this->Between(0, 19) / 19.0);
      request.declared = {
          .millicores = static_cast<int64_t>(arrival.used.millicores * ratio),
          .memory_mib = static_cast<int64_t>(arrival.used.memory_mib * ratio)};
    }
    arrival.run_time = base::Duration(this->Between(5'000'000, 60'000'000));
    return arrival;
  }

  platform::Resources Size(int64_t workload) {
    const int64_t jitter = this->Between(90, 110);
    if (this->mix == "skewed") {
      return workload % 2 == 0 ? platform::Resources{.millicores = 40 * jitter,
                                                     .memory_mib = 20 * jitter}
                               : platform::Resources{.millicores = 10 * jitter,
                                                     .memory_mib = 70 * jitter};
    }
    const int64_t unit =
        this->mix == "wide" ? 1 + workload % 12 : 1 + workload % 4;
    return {.millicores = 10 * jitter * unit, .memory_mib = 20 * jitter * unit};
  }

  std::string mix;
  std::mt19937_64 random;
  int64_t next_job = 0;
};

}  // namespace agatepass::bench

#endif  // AGATEPASS_BENCH_ARRIVALS_H_
