/** \file
 * Measures the relay against fake upstreams on loopback: overhead, throughput,
 * shedding, a silent upstream and retries in an outage. One JSON object a line.
 */
#include <sys/resource.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "CLI/CLI.hpp"
#include "agatepass/relay/relay.h"
#include "fakes/fake_upstream.h"
#include "fmt/format.h"

namespace agatepass {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::ServiceId kServiceId("quoter");
constexpr base::Duration kPatience = seconds(2);

/** Fake upstreams on a thread and loop of their own. */
class Upstreams {
 public:
  Upstreams(int count, base::Duration service_time) {
    for (int i = 0; i < count; ++i) {
      this->fakes.push_back(std::make_unique<fakes::FakeUpstream>(
          this->loop,
          fakes::FakeUpstreamSettings{.service_time = service_time}));
      const absl::Status status = this->fakes.back()->Listen({"127.0.0.1", 0});
      if (!status.ok()) throw std::runtime_error("cannot listen");
    }
    this->thread = std::thread([this] { this->loop.Run(); });
  }

  ~Upstreams() {
    this->loop.Stop();
    this->thread.join();
  }

  std::vector<platform::HostRecord> Records() const {
    std::vector<platform::HostRecord> hosts;
    for (const auto& fake : this->fakes) {
      platform::HostRecord host;
      host.name = fmt::format("u{}", hosts.size());
      host.role = platform::HostRole::kUpstream;
      host.service = kServiceId;
      host.endpoint = fake->endpoint();
      hosts.push_back(host);
    }
    return hosts;
  }

  void SetFault(size_t index, fakes::UpstreamFault fault) {
    this->loop.Post(
        [this, index, fault] { this->fakes[index]->SetFault(fault); });
  }

  /** Runs of each; call it only with the load ended. */
  std::vector<int> Runs() const {
    std::vector<int> runs;
    for (const auto& fake : this->fakes) runs.push_back(fake->runs());
    return runs;
  }

 private:
  base::EventLoop loop;
  std::vector<std::unique_ptr<fakes::FakeUpstream>> fakes;
  std::thread thread;
};

relay::RelayRequest MakeRequest(base::Instant deadline, uint64_t number) {
  relay::RelayRequest request;
  request.id = base::RequestId(fmt::format("r{}", number));
  request.service = kServiceId;
  request.deadline = deadline;
  request.http = {.method = base::HttpMethod::kPost,
                  .path = "/quote",
                  .body = "wire 3.2 mm, 9 turns"};
  return request;
}

void Print(std::string_view measure, std::string_view unit,
           std::vector<base::Duration> times, std::string_view params) {
  std::sort(times.begin(), times.end());
  const auto at = [&](double part) {
    return times.empty()
               ? 0
               : times[static_cast<size_t>(
                           part * static_cast<double>(times.size() - 1))]
                     .count();
  };
  fmt::print(
      "{{\"measure\":\"{}\",\"unit\":\"{}\",\"n\":{},\"p50\":{},\"p99\":{},"
      "\"max\":{},\"params\":{{{}}}}}\n",
      measure, unit, times.size(), at(0.5), at(0.99), at(1), params);
}

void PrintValue(std::string_view measure, std::string_view unit, double value,
                size_t n, std::string_view params) {
  fmt::print(
      "{{\"measure\":\"{}\",\"unit\":\"{}\",\"n\":{},\"p50\":{:.4f},"
      "\"p99\":{:.4f},\"max\":{:.4f},\"params\":{{{}}}}}\n",
      measure, unit, n, value, value, value, params);
}

base::Duration ThreadTime() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  return seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/** Sends `count` requests by `send`, `width` at a time, and returns the time of
 * each. */
std::vector<base::Duration> ClosedLoop(
    base::EventLoop& loop, int count, int width,
    const std::function<void(uint64_t, std::function<void()>)>& send) {
  std::vector<base::Duration> times;
  int started = 0;
  std::function<void()> next = [&] {
    if (started >= count) {
      if (static_cast<int>(times.size()) >= count) loop.Stop();
      return;
    }
    const base::Instant begin = loop.Now();
    send(static_cast<uint64_t>(++started), [&, begin] {
      times.push_back(loop.Now() - begin);
      next();
    });
  };
  for (int i = 0; i < width; ++i) next();
  loop.Run();
  return times;
}

void MeasureOverhead(size_t idle, int width, int count) {
  const Upstreams upstreams(4, base::Duration(0));
  base::EventLoop loop;
  const std::vector<platform::HostRecord> hosts = upstreams.Records();
  const std::string params =
      fmt::format("\"idle_connections\":{},\"width\":{}", idle, width);
  {
    base::HttpClient client(loop, {.idle_connections = idle});
    Print("relay.direct", "us",
          ClosedLoop(loop, count, width,
                     [&](uint64_t number, const std::function<void()>& done) {
                       client.Send(
                           hosts[number % hosts.size()].endpoint,
                           MakeRequest({}, number).http, kPatience,
                           [done](const base::HttpOutcome&) { done(); });
                     }),
          params);
  }
  relay::Relay relay(loop, {.idle_connections = idle});
  const relay::ServiceRule rule{.service = kServiceId};
  relay.SetServices({&rule, 1});
  relay.SetUpstreams(hosts);
  size_t failed = 0;
  const base::Instant begin = loop.Now();
  const base::Duration cpu = ThreadTime();
  const auto times =
      ClosedLoop(loop, count, width,
                 [&](uint64_t number, const std::function<void()>& done) {
                   relay.Forward(MakeRequest(loop.Now() + kPatience, number),
                                 [&, done](const relay::RelayResult& result) {
                                   if (result.code != base::ResultCode::kOk)
                                     ++failed;
                                   done();
                                 });
                 });
  const base::Duration used = ThreadTime() - cpu;
  const double share =
      base::ToSeconds(used) / base::ToSeconds(loop.Now() - begin);
  Print("relay.forwarded", "us", times,
        fmt::format("{},\"failed\":{},\"core_share\":{:.2f}", params, failed,
                    share));
  PrintValue("relay.throughput", "requests/s/core",
             count / base::ToSeconds(used), static_cast<size_t>(count), params);
}

/** Offers `rate` requests a second for `time`; one in twenty is urgent, the
 * rest are bulk. Returns the answered requests a second. */
double OfferLoad(double rate, base::Duration time) {
  const Upstreams upstreams(4, milliseconds(40));
  base::EventLoop loop;
  relay::Relay relay(loop, {});
  const relay::ServiceRule rule{.service = kServiceId};
  relay.SetServices({&rule, 1});
  relay.SetUpstreams(upstreams.Records());
  std::vector<base::Duration> urgent;
  std::vector<base::Duration> refused;
  size_t answered = 0;
  size_t unknown = 0;
  uint64_t number = 0;
  const base::Instant begin = loop.Now();
  const auto load = loop.Every(milliseconds(1), [&] {
    const base::Instant now = loop.Now();
    if (now - begin >= time) {
      if (relay.in_flight() == 0) loop.Stop();
      return;
    }
    while (static_cast<double>(number) < base::ToSeconds(now - begin) * rate) {
      relay::RelayRequest request =
          MakeRequest(now + milliseconds(300), ++number);
      const bool is_urgent = number % 20 == 0;
      request.request_class =
          is_urgent ? relay::RequestClass::kUrgent : relay::RequestClass::kBulk;
      relay.Forward(std::move(request), [&, now, is_urgent](
                                            const relay::RelayResult& result) {
        const base::Duration taken = loop.Now() - now;
        if (result.code == base::ResultCode::kOk) {
          ++answered;
          if (is_urgent) urgent.push_back(taken);
        } else if (result.code == base::ResultCode::kOutcomeUnknown) {
          ++unknown;
        } else {
          refused.push_back(taken);
        }
      });
    }
  });
  loop.Run();
  const double goodput =
      static_cast<double>(answered) / base::ToSeconds(loop.Now() - begin);
  const std::string params =
      fmt::format("\"offered\":{},\"unknown\":{}", rate, unknown);
  Print("relay.shed.urgent", "us", urgent, params);
  Print("relay.shed.refused", "us", refused, params);
  return goodput;
}

void MeasureShed() {
  // Four upstreams of eight slots at 40 ms.
  constexpr double kCapacity = 800;
  double peak = 0;
  for (const double factor : {0.5, 1.0, 2.0, 10.0}) {
    const double goodput = OfferLoad(kCapacity * factor, seconds(4));
    peak = std::max(peak, goodput);
    PrintValue("relay.shed.goodput", "share of the peak", goodput / peak, 1,
               fmt::format("\"factor\":{},\"requests_per_s\":{:.0f}", factor,
                           goodput));
  }
}

void MeasureSilent() {
  Upstreams upstreams(4, milliseconds(5));
  base::EventLoop loop;
  relay::Relay relay(loop, {});
  const relay::ServiceRule rule{.service = kServiceId};
  relay.SetServices({&rule, 1});
  relay.SetUpstreams(upstreams.Records());
  base::Instant silent_at = loop.Now() + seconds(1);
  base::Duration last_unknown{0};
  size_t unknown = 0;
  uint64_t number = 0;
  const base::Instant end = loop.Now() + seconds(6);
  const auto fault = loop.After(seconds(1), [&] {
    upstreams.SetFault(0, fakes::UpstreamFault::kSilent);
    silent_at = loop.Now();
  });
  const auto load = loop.Every(milliseconds(2), [&] {
    const base::Instant now = loop.Now();
    if (now >= end) {
      if (relay.in_flight() == 0) loop.Stop();
      return;
    }
    relay.Forward(MakeRequest(now + milliseconds(500), ++number),
                  [&, now](const relay::RelayResult& result) {
                    if (result.code == base::ResultCode::kOk) return;
                    ++unknown;
                    last_unknown = std::max(last_unknown, now - silent_at);
                  });
  });
  loop.Run();
  PrintValue("relay.silent", "s", base::ToSeconds(last_unknown), unknown,
             "\"deadline_ms\":500,\"requests_per_s\":500");
}

void MeasureRetries() {
  base::EventLoop loop;
  relay::Relay relay(loop, {});
  const relay::ServiceRule rule{.service = kServiceId};
  relay.SetServices({&rule, 1});
  std::vector<platform::HostRecord> hosts;
  for (uint16_t i = 1; i <= 4; ++i) {
    platform::HostRecord host;
    host.name = fmt::format("u{}", i);
    host.role = platform::HostRole::kUpstream;
    host.service = kServiceId;
    host.endpoint = {"127.0.0.1", i};
    hosts.push_back(host);
  }
  relay.SetUpstreams(hosts);
  constexpr int kCount = 2000;
  ClosedLoop(loop, kCount, 8,
             [&](uint64_t number, const std::function<void()>& done) {
               relay.Forward(MakeRequest(loop.Now() + kPatience, number),
                             [&, done](const relay::RelayResult&) { done(); });
             });
  PrintValue("relay.retries", "share of extra sends",
             static_cast<double>(relay.counters().retried) / kCount, kCount,
             "\"outage\":\"every connection refused\"");
}

}  // namespace
}  // namespace agatepass

int main(int argc, char** argv) {
  CLI::App app("Measures the relay on loopback");
  int count = 20'000;
  app.add_option("--count", count, "Requests of each run of the closed loop");
  CLI11_PARSE(app, argc, argv);
  for (const size_t idle : {0, 8}) {
    for (const int width : {1, 8, 32})
      agatepass::MeasureOverhead(idle, width, count);
  }
  agatepass::MeasureShed();
  agatepass::MeasureSilent();
  agatepass::MeasureRetries();
  return 0;
}
