#include "fakes/fake_upstream.h"

#include <algorithm>
#include <array>
#include <utility>

#include "agatepass/relay/answer_check.h"
#include "agatepass/relay/request.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::fakes {

namespace {

constexpr int kSlowFactor = 10;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

struct FaultName {
  std::string_view name;
  UpstreamFault fault;
};

constexpr std::array<FaultName, 8> kFaults = {{
    {"none", UpstreamFault::kNone},
    {"slow", UpstreamFault::kSlow},
    {"silent", UpstreamFault::kSilent},
    {"cut", UpstreamFault::kCut},
    {"wrong-length", UpstreamFault::kWrongLength},
    {"wrong-id", UpstreamFault::kWrongId},
    {"leaving", UpstreamFault::kLeaving},
    {"not-run", UpstreamFault::kNotRun},
}};

}  // namespace

std::optional<UpstreamFault> ParseUpstreamFault(std::string_view name) {
  for (const FaultName& entry : kFaults) {
    if (entry.name == name) return entry.fault;
  }
  return std::nullopt;
}

FakeUpstream::FakeUpstream(base::EventLoop& loop,
                           const FakeUpstreamSettings& settings)
    : loop(loop),
      settings(settings),
      server(loop, {},
             [this](const base::HttpRequest& request,
                    const base::HttpResponder& responder) {
               this->Receive(request, responder);
             }) {}

int FakeUpstream::RunsOf(const std::string& id) const {
  const auto entry = this->runs_by_id.find(id);
  return entry == this->runs_by_id.end() ? 0 : entry->second;
}

void FakeUpstream::Receive(const base::HttpRequest& request,
                           const base::HttpResponder& responder) {
  if (request.path == "/v1/stats") {
    responder.Respond(this->Stats());
    return;
  }
  if (request.path == "/v1/health") {
    if (this->settings.fault != UpstreamFault::kSilent)
      responder.Respond({.status = kOk, .body = "live"});
    return;
  }
  if (this->settings.fault == UpstreamFault::kNotRun) {
    responder.Respond({.status = kUnavailable,
                       .headers = {{std::string(relay::kNotRunHeader), "1"}}});
    return;
  }
  ++this->all_runs;
  ++this->runs_by_id[std::string(
      base::FindHeader(request.headers, relay::kRequestIdHeader))];
  ++this->in_flight;
  this->most = std::max(this->most, this->in_flight);
  if (this->in_flight > this->settings.slots) ++this->above_slots;
  base::Duration time = this->settings.service_time;
  if (this->settings.fault == UpstreamFault::kSlow) time *= kSlowFactor;
  const uint64_t number = ++this->last_timer;
  this->timers[number] =
      this->loop.After(time, [this, number, request, responder] {
        --this->in_flight;
        this->Answer(request, responder);
        this->timers.erase(number);
      });
}

void FakeUpstream::Answer(const base::HttpRequest& request,
                          const base::HttpResponder& responder) const {
  base::HttpAnswer answer{.status = kOk, .body = request.body};
  std::string id(base::FindHeader(request.headers, relay::kRequestIdHeader));
  switch (this->settings.fault) {
    case UpstreamFault::kSilent:
      return;
    case UpstreamFault::kCut:
      answer.headers.push_back(
          {"Content-Length", std::to_string(answer.body.size() + 1)});
      answer.headers.push_back({"Connection", "close"});
      break;
    case UpstreamFault::kWrongLength:
      answer.headers.push_back(
          {"Content-Length", std::to_string(answer.body.size())});
      answer.body += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse";
      break;
    case UpstreamFault::kWrongId:
      id += "-other";
      break;
    case UpstreamFault::kLeaving:
      answer.headers.push_back({std::string(relay::kLeavingHeader), "1"});
      break;
    case UpstreamFault::kNone:
    case UpstreamFault::kSlow:
    case UpstreamFault::kNotRun:
      break;
  }
  answer.headers.push_back({std::string(relay::kRequestIdHeader), id});
  responder.Respond(answer);
}

base::HttpAnswer FakeUpstream::Stats() const {
  const nlohmann::json stats = {{"runs", this->all_runs},
                                {"in_flight", this->in_flight},
                                {"most_in_flight", this->most},
                                {"above_slots", this->above_slots},
                                {"runs_by_id", this->runs_by_id}};
  return {.status = kOk, .body = stats.dump()};
}

}  // namespace agatepass::fakes
