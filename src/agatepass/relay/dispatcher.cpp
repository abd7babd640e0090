#include "agatepass/relay/dispatcher.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace agatepass::relay {

namespace {

using base::ResultCode;

// When to come back if nothing is known about the time of recovery.
constexpr base::Duration kRetryAfterOutage = std::chrono::seconds(2);
// Unspent budget of other regions that may be saved up.
constexpr double kCrossRegionBurstSeconds = 1;

}  // namespace

std::vector<Command> Dispatcher::SetServices(std::span<const ServiceRule> rules,
                                             base::Instant now) {
  std::vector<Command> commands;
  for (const ServiceRule& rule : rules) {
    auto entry = this->services.find(rule.service);
    if (entry == this->services.end()) {
      Service service{
          UpstreamPool(rule, this->place), AdmissionQueue(rule.queue_length),
          RetryBudget(rule.retry_share), rule.cross_region_bytes, now};
      entry = this->services.emplace(rule.service, std::move(service)).first;
      if (this->has_shares) entry->second.pool.SetShares(this->shares);
    } else {
      entry->second.pool.SetRule(rule);
      entry->second.queue.SetLength(rule.queue_length);
      entry->second.retries.SetShare(rule.retry_share);
    }
    entry->second.pool.SetUpstreams(this->hosts);
  }
  for (auto& entry : this->services) {
    const base::ServiceId& id = entry.first;
    Service& service = entry.second;
    const bool kept = std::any_of(
        rules.begin(), rules.end(),
        [&](const ServiceRule& rule) { return rule.service == id; });
    if (kept) continue;
    service.pool.SetUpstreams({});
    for (const WaitingRequest& waiting : service.queue.TakeAll()) {
      this->Finish(this->requests.at(waiting.number),
                   {.code = ResultCode::kNotFound,
                    .message = fmt::format(
                        "service \"{}\" is no longer configured", id.value)},
                   &commands);
    }
  }
  return commands;
}

std::vector<Command> Dispatcher::SetUpstreams(
    std::span<const platform::HostRecord> new_hosts, base::Instant now) {
  this->hosts.assign(new_hosts.begin(), new_hosts.end());
  std::vector<Command> commands;
  for (auto& [id, service] : this->services) {
    service.pool.SetUpstreams(this->hosts);
    this->OfferWaiting(service, now, &commands);
  }
  return commands;
}

std::vector<Command> Dispatcher::SetShares(
    std::span<const UpstreamShare> new_shares, base::Instant now) {
  this->shares.assign(new_shares.begin(), new_shares.end());
  this->has_shares = true;
  std::vector<Command> commands;
  for (auto& [id, service] : this->services) {
    service.pool.SetShares(this->shares);
    this->OfferWaiting(service, now, &commands);
  }
  return commands;
}

std::vector<Command> Dispatcher::Submit(const RequestFacts& facts,
                                        base::Instant now) {
  ++this->counts.submitted;
  if (this->stopping) {
    return this->Refuse(facts, ResultCode::kStopping, kRetryAfterOutage,
                        "this entry host is stopping");
  }
  const auto entry = this->services.find(facts.service);
  if (entry == this->services.end()) {
    return this->Refuse(
        facts, ResultCode::kNotFound, base::Duration(0),
        fmt::format("service \"{}\" does not exist", facts.service.value));
  }
  Service& service = entry->second;
  const ServiceRule& rule = service.pool.service_rule();
  if (!service.pool.Serves(facts.label, rule.cross_region)) {
    return this->Refuse(
        facts, ResultCode::kUpstreamUnreachable, kRetryAfterOutage,
        fmt::format("service \"{}\" has no upstream for label \"{}\"",
                    facts.service.value, facts.label));
  }
  const WaitingRequest waiting{facts.number, facts.request_class,
                               facts.deadline};
  const ServiceCapacity capacity = service.pool.Capacity();
  if (const auto refusal = service.queue.Enqueue(waiting, capacity, now)) {
    return this->Refuse(
        facts, refusal->code, refusal->retry_after,
        fmt::format("service \"{}\" has {} requests waiting here",
                    facts.service.value, service.queue.size()));
  }
  this->requests.emplace(facts.number, Request{.facts = facts});
  std::vector<Command> commands;
  this->OfferWaiting(service, now, &commands);
  return commands;
}

std::vector<Command> Dispatcher::OnAttemptEnd(RequestNumber number,
                                              AttemptEnd end,
                                              std::string_view why,
                                              base::Instant now) {
  std::vector<Command> commands;
  const auto entry = this->requests.find(number);
  if (entry == this->requests.end()) return commands;
  Request& request = entry->second;
  Service& service = this->services.at(request.facts.service);
  if (end == AttemptEnd::kAnswered) {
    if (Upstream* upstream = service.pool.Find(request.upstream))
      upstream->health.OnAnswer(now - request.sent_at);
    service.pool.Release(request.upstream, std::nullopt);
    service.retries.OnSuccess();
    ++this->counts.answered;
    this->Finish(request, {.code = ResultCode::kOk}, &commands);
  } else {
    this->OnFailedAttempt(service, request, end, why, now, &commands);
  }
  this->OfferWaiting(service, now, &commands);
  return commands;
}

std::vector<Command> Dispatcher::OnProbeEnd(const base::ServiceId& service_id,
                                            const base::UpstreamId& upstream_id,
                                            bool answered, base::Instant now) {
  std::vector<Command> commands;
  const auto entry = this->services.find(service_id);
  if (entry == this->services.end()) return commands;
  if (Upstream* upstream = entry->second.pool.Find(upstream_id))
    upstream->health.OnProbe(answered, now);
  this->OfferWaiting(entry->second, now, &commands);
  return commands;
}

void Dispatcher::OnLeavingNotice(const base::ServiceId& service,
                                 const base::UpstreamId& upstream) {
  const auto entry = this->services.find(service);
  if (entry != this->services.end()) entry->second.pool.NoteLeaving(upstream);
}

std::vector<Command> Dispatcher::OnTick(base::Instant now) {
  std::vector<Command> commands;
  for (auto& [id, service] : this->services) {
    service.pool.ExpireLingering(now);
    Refill(service, now);
    this->OfferWaiting(service, now, &commands);
    for (const Upstream* upstream : service.pool.TakeProbes(now)) {
      ++this->counts.probes;
      commands.emplace_back(ProbeCommand{id, upstream->id, upstream->endpoint});
    }
  }
  return commands;
}

const UpstreamPool* Dispatcher::Pool(const base::ServiceId& service) const {
  const auto entry = this->services.find(service);
  return entry == this->services.end() ? nullptr : &entry->second.pool;
}

bool Dispatcher::TrySend(Service& service, Request& request, base::Instant now,
                         std::vector<Command>* commands) {
  const ServiceRule& rule = service.pool.service_rule();
  const UpstreamDemand demand{
      request.facts.label, rule.cross_region && service.cross_region_room > 0,
      &request.failed};
  const Upstream* upstream = service.pool.Take(demand, this->random);
  if (upstream == nullptr) return false;
  if (upstream->distance == Distance::kOtherRegion)
    service.cross_region_room -= static_cast<double>(request.facts.bytes);
  request.upstream = upstream->id;
  request.sent_at = now;
  ++request.attempts;
  ++this->counts.sent;
  commands->emplace_back(
      SendCommand{request.facts.number, upstream->id, upstream->endpoint,
                  std::min(request.facts.deadline - now, rule.longest_run)});
  return true;
}

void Dispatcher::OfferWaiting(Service& service, base::Instant now,
                              std::vector<Command>* commands) {
  if (service.queue.size() == 0) return;
  this->GiveUpHopeless(service, now, commands);
  service.queue.Offer([&](const WaitingRequest& waiting) {
    return this->TrySend(service, this->requests.at(waiting.number), now,
                         commands);
  });
}

void Dispatcher::OnFailedAttempt(Service& service, Request& request,
                                 AttemptEnd end, std::string_view why,
                                 base::Instant now,
                                 std::vector<Command>* commands) {
  const ServiceRule& rule = service.pool.service_rule();
  const bool unknown = end == AttemptEnd::kUnknown;
  if (Upstream* upstream = service.pool.Find(request.upstream))
    upstream->health.OnFailure(now);
  service.pool.Release(request.upstream,
                       unknown
                           ? std::optional(request.sent_at + rule.longest_run)
                           : std::nullopt);
  request.may_have_run = request.may_have_run || unknown;
  request.failed.push_back(request.upstream);
  const FailedAttempt attempt{end, request.facts.idempotent, request.attempts,
                              request.facts.deadline};
  const base::Duration needed = service.pool.Capacity().likely_time;
  if (MayRetry(attempt, now, needed, &service.retries)) {
    ++this->counts.retried;
    if (this->TrySend(service, request, now, commands)) return;
  }
  this->Finish(request,
               {.code = FinalCode(end, request.may_have_run),
                .retry_after = kRetryAfterOutage,
                .message = fmt::format("upstream \"{}\" of service \"{}\": {}",
                                       request.upstream.value,
                                       request.facts.service.value, why)},
               commands);
}

std::vector<Command> Dispatcher::Refuse(const RequestFacts& facts,
                                        ResultCode code,
                                        base::Duration retry_after,
                                        std::string message) {
  ++this->counts.refused;
  return {
      FinishCommand{facts.number, code, retry_after, 0, std::move(message)}};
}

void Dispatcher::Finish(const Request& request, FinishCommand finish,
                        std::vector<Command>* commands) {
  finish.request = request.facts.number;
  finish.attempts = request.attempts;
  if (finish.code == ResultCode::kOutcomeUnknown) {
    ++this->counts.unknown;
  } else if (finish.code != ResultCode::kOk) {
    ++this->counts.refused;
  }
  commands->emplace_back(std::move(finish));
  this->requests.erase(request.facts.number);
}

void Dispatcher::GiveUpHopeless(Service& service, base::Instant now,
                                std::vector<Command>* commands) {
  const ServiceCapacity capacity = service.pool.Capacity();
  for (const WaitingRequest& waiting :
       service.queue.TakeHopeless(capacity, now)) {
    const base::Duration wait =
        service.queue.ExpectedWait(waiting.request_class, capacity);
    const Request& request = this->requests.at(waiting.number);
    this->Finish(request,
                 {.code = ResultCode::kOverloaded,
                  .retry_after = RetryAfter(wait),
                  .message = fmt::format(
                      "service \"{}\" cannot finish the request in time",
                      request.facts.service.value)},
                 commands);
  }
}

void Dispatcher::Refill(Service& service, base::Instant now) {
  const double rate = service.pool.service_rule().cross_region_bytes;
  const double earned = base::ToSeconds(now - service.refilled_at) * rate;
  service.cross_region_room = std::min(service.cross_region_room + earned,
                                       rate * kCrossRegionBurstSeconds);
  service.refilled_at = now;
}

}  // namespace agatepass::relay
