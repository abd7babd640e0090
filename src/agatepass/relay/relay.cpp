#include "agatepass/relay/relay.h"

#include <utility>

#include "agatepass/base/text.h"
#include "agatepass/relay/answer_check.h"
#include "fmt/format.h"

namespace agatepass::relay {

namespace {

constexpr base::Duration kProbeTimeout = std::chrono::seconds(1);
constexpr std::string_view kProbePath = "/v1/health";
// Deadlines end this much earlier for each hop.
constexpr base::Duration kHopTime = std::chrono::milliseconds(1);
constexpr int kFirstServerError = 500;

void SetHeader(std::vector<base::HttpHeader>* headers, std::string_view name,
               std::string value) {
  std::erase_if(*headers, [name](const base::HttpHeader& header) {
    return base::EqualsIgnoreCase(header.name, name);
  });
  headers->push_back({std::string(name), std::move(value)});
}

}  // namespace

Relay::Relay(base::EventLoop& loop, const RelaySettings& settings)
    : loop(loop),
      dispatcher(settings.place, settings.seed),
      client(loop, {.idle_connections = settings.idle_connections}) {
  this->ticker = loop.Every(settings.tick, [this] {
    this->Carry(this->dispatcher.OnTick(this->loop.Now()));
  });
}

Relay::~Relay() = default;

void Relay::Forward(RelayRequest request, Callback callback) {
  const RequestNumber number = ++this->last_number;
  const RequestFacts facts{number,
                           request.service,
                           request.request_class,
                           request.label,
                           request.idempotent,
                           request.deadline,
                           request.http.body.size()};
  size_t answer_bytes = 0;
  if (const UpstreamPool* pool = this->dispatcher.Pool(request.service))
    answer_bytes = pool->service_rule().answer_bytes;
  this->pending.emplace(
      number, Pending{std::move(request), std::move(callback), answer_bytes});
  this->Carry(this->dispatcher.Submit(facts, this->loop.Now()));
}

void Relay::SetUpstreams(std::span<const platform::HostRecord> hosts) {
  this->Carry(this->dispatcher.SetUpstreams(hosts, this->loop.Now()));
}

void Relay::SetServices(std::span<const ServiceRule> rules) {
  this->Carry(this->dispatcher.SetServices(rules, this->loop.Now()));
}

void Relay::SetShares(std::span<const UpstreamShare> shares) {
  this->Carry(this->dispatcher.SetShares(shares, this->loop.Now()));
}

void Relay::StopAccepting() { this->dispatcher.StopAccepting(); }

void Relay::Carry(const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    if (const auto* send = std::get_if<SendCommand>(&command)) {
      this->Send(*send);
    } else if (const auto* finish = std::get_if<FinishCommand>(&command)) {
      this->Finish(*finish);
    } else if (const auto* probe = std::get_if<ProbeCommand>(&command)) {
      this->Probe(*probe);
    }
  }
}

void Relay::Send(const SendCommand& command) {
  const Pending& entry = this->pending.at(command.request);
  base::HttpRequest http = entry.request.http;
  const base::Duration left = command.timeout - kHopTime;
  SetHeader(
      &http.headers, kDeadlineHeader,
      fmt::format("{}", std::max<int64_t>(base::ToMilliseconds(left), 0)));
  SetHeader(&http.headers, kRequestIdHeader, entry.request.id.value);
  SetHeader(&http.headers, kTeamHeader, entry.request.team.value);
  if (entry.request.ticket)
    SetHeader(&http.headers, kTicketHeader, entry.request.ticket->ToString());
  this->client.Send(command.endpoint, http, command.timeout,
                    [this, number = command.request,
                     upstream = command.upstream](base::HttpOutcome outcome) {
                      this->OnOutcome(number, upstream, std::move(outcome));
                    });
}

void Relay::Probe(const ProbeCommand& command) {
  this->client.Send(
      command.endpoint, {.path = std::string(kProbePath)}, kProbeTimeout,
      [this, command](const base::HttpOutcome& outcome) {
        const bool answered = outcome.delivery == base::Delivery::kAnswered &&
                              outcome.answer.status < kFirstServerError;
        this->Carry(this->dispatcher.OnProbeEnd(
            command.service, command.upstream, answered, this->loop.Now()));
      });
}

void Relay::OnOutcome(RequestNumber number, const base::UpstreamId& upstream,
                      base::HttpOutcome outcome) {
  const auto entry = this->pending.find(number);
  if (entry == this->pending.end()) return;
  Pending& request = entry->second;
  AttemptEnd end = AttemptEnd::kUnknown;
  std::string why = outcome.fault;
  if (outcome.delivery == base::Delivery::kNotSent) {
    end = AttemptEnd::kNotRun;
  } else if (outcome.delivery == base::Delivery::kAnswered) {
    const std::vector<base::HttpHeader>& headers = outcome.answer.headers;
    if (!base::FindHeader(headers, kLeavingHeader).empty())
      this->dispatcher.OnLeavingNotice(request.request.service, upstream);
    if (auto fault = FindAnswerFault(outcome.answer, request.request.id,
                                     request.answer_bytes)) {
      why = *fault;
    } else if (!base::FindHeader(headers, kNotRunHeader).empty()) {
      end = AttemptEnd::kNotRun;
      why = "it refused the request";
    } else {
      end = AttemptEnd::kAnswered;
      request.answer = std::move(outcome.answer);
    }
  }
  this->Carry(
      this->dispatcher.OnAttemptEnd(number, end, why, this->loop.Now()));
}

void Relay::Finish(const FinishCommand& command) {
  auto node = this->pending.extract(command.request);
  if (node.empty()) return;
  Pending& request = node.mapped();
  const base::ResultCode code = command.code;
  request.callback({code, std::move(request.answer), command.retry_after,
                    command.attempts, command.message});
}

}  // namespace agatepass::relay
