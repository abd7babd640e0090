// Measures the cost of recording events and of finding them again.
#include <chrono>
#include <string>
#include <vector>

#include "agatepass/timeline/merge.h"
#include "agatepass/timeline/metrics.h"
#include "agatepass/timeline/recorder.h"
#include "agatepass/timeline/render.h"
#include "bench/measurement.h"
#include "fmt/format.h"

namespace agatepass::bench {
namespace {

using timeline::EventKind;
using timeline::Recorder;

constexpr int kBatches = 500;
constexpr int kEventsPerBatch = 1000;
constexpr int kQuestions = 200;
constexpr std::string_view kDetail =
    "on worker uus-a-w17, epoch 4; 3 of 50 workers had room: uus-a-w17 left "
    "200 millicores, uus-a-w03 left 1200, uus-b-w11 left 3000; preset "
    "ordinary, "
    "revision 41";

double NanosecondsSince(std::chrono::steady_clock::time_point begin) {
  return std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now() - begin)
      .count();
}

// Subjects are made beforehand, as the callers of Record have theirs at hand.
std::vector<std::string> MakeSubjects() {
  std::vector<std::string> subjects;
  subjects.reserve(kEventsPerBatch);
  for (int number = 0; number < kEventsPerBatch; ++number) {
    subjects.push_back(fmt::format("uus-a-1.3.{}.0", number));
  }
  return subjects;
}

void RecordBatch(Recorder& recorder, const std::vector<std::string>& subjects,
                 int64_t now) {
  for (const std::string& subject : subjects) {
    recorder.Record({.microseconds = ++now}, {.kind = EventKind::kStarted,
                                              .subject = subject,
                                              .parent = "uus-a-1.3.17",
                                              .detail = kDetail});
  }
}

void MeasureRecording() {
  Recorder recorder(base::HostId("uus-a-1"), {});
  const std::vector<std::string> subjects = MakeSubjects();
  std::vector<double> costs;
  for (int batch = 0; batch < kBatches; ++batch) {
    const auto begin = std::chrono::steady_clock::now();
    RecordBatch(recorder, subjects, int64_t{batch} * kEventsPerBatch);
    costs.push_back(NanosecondsSince(begin) / kEventsPerBatch);
  }
  PrintMeasurement("timeline.cost", "ns", costs,
                   {{"events", kBatches * kEventsPerBatch},
                    {"each sample", "mean of 1000 events"}});
  const double bytes = static_cast<double>(recorder.memory_bytes()) /
                       static_cast<double>(recorder.size());
  PrintMeasurement(
      "timeline.bytes", "B", {bytes},
      {{"events kept", recorder.size()}, {"memory", recorder.memory_bytes()}});
}

// Rings that are full, so that each question reads as much as it ever will.
void MeasureWhy(int hosts) {
  const std::vector<std::string> subjects = MakeSubjects();
  std::vector<Recorder> recorders;
  for (int host = 0; host < hosts; ++host) {
    recorders.emplace_back(base::HostId(fmt::format("uus-a-{}", host)),
                           timeline::RecorderLimits{});
    for (int batch = 0; batch < 100; ++batch) {
      RecordBatch(recorders.back(), subjects, int64_t{batch} * kEventsPerBatch);
    }
  }
  std::vector<double> times;
  for (int question = 0; question < kQuestions; ++question) {
    const auto begin = std::chrono::steady_clock::now();
    std::vector<timeline::HostEvents> found;
    found.reserve(recorders.size());
    for (const Recorder& recorder : recorders) {
      found.push_back(recorder.Find({.id = subjects[question]}));
    }
    const auto text =
        timeline::RenderTimelineJson(timeline::MergeTimeline(std::move(found)));
    times.push_back(NanosecondsSince(begin) / 1e6);
    if (text.empty()) return;
  }
  PrintMeasurement("why.latency", "ms", times,
                   {{"entry hosts", hosts},
                    {"events kept by each", recorders.front().size()},
                    {"network", "none: one process"}});
}

void MeasureDistribution() {
  timeline::Metrics metrics;
  auto& distribution = metrics.AddDistribution("wait", "Wait.");
  std::vector<double> costs;
  for (int batch = 0; batch < kBatches; ++batch) {
    const auto begin = std::chrono::steady_clock::now();
    for (int sample = 0; sample < kEventsPerBatch; ++sample) {
      distribution.Add((sample * 7919) % kEventsPerBatch);
    }
    costs.push_back(NanosecondsSince(begin) / kEventsPerBatch);
  }
  PrintMeasurement(
      "metrics.cost", "ns", costs,
      {{"kind", "distribution"}, {"each sample", "mean of 1000 additions"}});
}

}  // namespace
}  // namespace agatepass::bench

int main() {
  agatepass::bench::MeasureRecording();
  agatepass::bench::MeasureDistribution();
  for (const int hosts : {1, 9, 27}) agatepass::bench::MeasureWhy(hosts);
  return 0;
}
