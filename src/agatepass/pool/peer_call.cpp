#include "agatepass/pool/peer_call.h"

#include <array>
#include <utility>

#include "agatepass/base/text.h"
#include "agatepass/pool/record_codec.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace agatepass::pool {

namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;

/** Header of a forwarded call that carries the caller's API key. */
constexpr char kApiKeyHeader[] = "Api-Key";

/** Time that a host waits for the answer to a call of a caller if it does not
 * say. */
constexpr base::Duration kDefaultPatience = std::chrono::seconds(3);

/** Field with the age of a host's configuration, in microseconds. */
constexpr char kConfigurationAge[] = "configuration_age_us";

/** Longest age of a configuration that is told apart from an unknown one. */
constexpr base::Duration kMaxAge = std::chrono::hours(1);

// Indexed by PeerVerb.
constexpr std::array<std::string_view, 7> kPaths = {
    "/pool/submit", "/pool/describe", "/pool/cancel",       "/pool/pending",
    "/pool/advise", "/pool/hello",    "/pool/configuration"};

std::string_view FindParameter(const base::HttpRequest& request,
                               std::string_view name) {
  return base::FindHeader(request.query, name);
}

uint64_t FindVersion(const base::HttpRequest& request, std::string_view name) {
  return base::ParseNumber<uint64_t>(FindParameter(request, name)).value_or(0);
}

/** Returns how old the configuration of the host is that has sent `in`; unset
 * if it does not say, or says what cannot be. */
std::optional<base::Duration> FindAge(const Json& in) {
  const int64_t age_us = in.value(kConfigurationAge, int64_t{-1});
  if (age_us < 0 || age_us > kMaxAge.count()) return std::nullopt;
  return base::Duration(age_us);
}

Json EncodeQuery(const AdviceQuery& query) {
  Json workers = Json::array();
  for (const base::WorkerId& worker : query.workers) {
    workers.push_back(worker.value);
  }
  return {{"job", query.job.value},
          {"occurrence", query.occurrence},
          {"step", query.step},
          {"cost_us", query.expected_duration.count()},
          {"workers", std::move(workers)}};
}

AdviceQuery DecodeQuery(const Json& in) {
  AdviceQuery query{
      .job = base::JobId(in.at("job").get<std::string>()),
      .occurrence = in.at("occurrence").get<uint32_t>(),
      .step = in.at("step").get<uint32_t>(),
      .expected_duration = base::Duration(in.at("cost_us").get<int64_t>())};
  for (const Json& worker : in.at("workers")) {
    query.workers.emplace_back(worker.get<std::string>());
  }
  return query;
}

}  // namespace

base::HttpRequest EncodePeerCall(const PeerCall& call,
                                 base::Duration patience) {
  base::HttpRequest request{
      .method = base::HttpMethod::kPost,
      .path = std::string(kPaths[static_cast<size_t>(call.verb)])};
  if (call.configuration_version != 0) {
    request.query.push_back(
        {"version", fmt::format("{}", call.configuration_version)});
  }
  if (!call.target.path.empty()) {
    request.query.push_back({"newest", fmt::format("{}", call.newest_version)});
    request.query.push_back({"to", call.target.host});
    request.query.push_back({"path", call.target.path});
  }
  if (!call.target.api_key.empty()) {
    request.headers.push_back({kApiKeyHeader, call.target.api_key});
  }
  if (patience.count() > 0) {
    request.query.push_back(
        {"patience_ms", fmt::format("{}", base::ToMilliseconds(patience))});
  }
  switch (call.verb) {
    case PeerVerb::kSubmit:
      request.body = EncodeJob(call.submission);
      break;
    case PeerVerb::kDescribe:
    case PeerVerb::kCancel:
      request.query.push_back({"job", call.job.value});
      break;
    case PeerVerb::kCountPending:
      request.query.push_back({"queue", call.queue});
      break;
    case PeerVerb::kAdvise:
      request.body = EncodeQuery(call.query).dump();
      break;
    case PeerVerb::kHello:
      request.query.push_back({"host", call.host.value});
      request.query.push_back({"endpoint", call.endpoint.ToString()});
      request.query.push_back({"store", call.store_reachable ? "1" : "0"});
      request.query.push_back(
          {"share", fmt::format("{}", call.processor_share)});
      break;
    case PeerVerb::kConfiguration:
      break;
  }
  return request;
}

bool IsCallOfCaller(const base::HttpRequest& request) {
  for (const PeerVerb verb : {PeerVerb::kSubmit, PeerVerb::kDescribe,
                              PeerVerb::kCancel, PeerVerb::kCountPending}) {
    if (request.path == kPaths[static_cast<size_t>(verb)]) return true;
  }
  return false;
}

bool IsSubmit(const base::HttpRequest& request) {
  return request.path == kPaths[static_cast<size_t>(PeerVerb::kSubmit)];
}

base::Duration GetPatience(const base::HttpRequest& request) {
  const auto given =
      base::ParseNumber<int64_t>(FindParameter(request, "patience_ms"));
  return given ? std::chrono::milliseconds(*given) : kDefaultPatience;
}

bool IsHello(const base::HttpRequest& request) {
  return request.path == kPaths[static_cast<size_t>(PeerVerb::kHello)];
}

std::optional<PeerCall> DecodePeerCall(const base::HttpRequest& request) {
  size_t verb = 0;
  while (verb < kPaths.size() && kPaths[verb] != request.path) ++verb;
  if (verb == kPaths.size()) return std::nullopt;
  PeerCall call{.verb = static_cast<PeerVerb>(verb)};
  call.job = base::JobId(FindParameter(request, "job"));
  call.queue = FindParameter(request, "queue");
  call.host = base::HostId(FindParameter(request, "host"));
  call.target = {
      .host = std::string(FindParameter(request, "to")),
      .path = std::string(FindParameter(request, "path")),
      .api_key = std::string(base::FindHeader(request.headers, kApiKeyHeader))};
  call.configuration_version = FindVersion(request, "version");
  call.newest_version = FindVersion(request, "newest");
  switch (call.verb) {
    case PeerVerb::kSubmit: {
      absl::StatusOr<Job> job = DecodeJob(request.body);
      if (!job.ok()) return std::nullopt;
      call.submission = *std::move(job);
      break;
    }
    case PeerVerb::kAdvise: {
      try {
        call.query = DecodeQuery(Json::parse(request.body));
      } catch (const Json::exception&) {
        return std::nullopt;
      }
      break;
    }
    case PeerVerb::kHello: {
      const auto endpoint =
          base::ParseEndpoint(FindParameter(request, "endpoint"));
      if (!endpoint || call.host.empty()) return std::nullopt;
      call.endpoint = *endpoint;
      call.processor_share =
          base::ParseNumber<double>(FindParameter(request, "share"))
              .value_or(0);
      call.store_reachable = FindParameter(request, "store") != "0";
      break;
    }
    default:
      break;
  }
  return call;
}

base::HttpAnswer EncodeCallerAnswer(const CallerAnswer& answer) {
  Json body = {{"code", static_cast<int>(answer.code)},
               {"phase", static_cast<int>(answer.phase)},
               {"pending", answer.pending},
               {"retry_us", answer.retry_after.count()},
               {"detail", answer.detail}};
  if (answer.term_ended) body["term_ended"] = true;
  if (answer.unknown_queue) body["unknown_queue"] = true;
  if (answer.unexamined) body["unexamined"] = true;
  if (answer.counts_pending) body["counts_pending"] = true;
  if (answer.configuration_version != 0) {
    body["configuration"] = answer.configuration_version;
  }
  if (answer.configuration_age) {
    body[kConfigurationAge] = answer.configuration_age->count();
  }
  return {.status = kHttpOk,
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

std::optional<CallerAnswer> DecodeCallerAnswer(const base::HttpAnswer& answer) {
  if (answer.status != kHttpOk) return std::nullopt;
  try {
    const Json in = Json::parse(answer.body);
    CallerAnswer result;
    result.code = static_cast<base::ResultCode>(in.at("code").get<int>());
    const int phase = in.at("phase").get<int>();
    if (phase < 0 || phase > static_cast<int>(JobPhase::kCancelled)) {
      return std::nullopt;
    }
    result.phase = static_cast<JobPhase>(phase);
    result.pending = in.at("pending").get<uint64_t>();
    result.term_ended = in.value("term_ended", false);
    result.unknown_queue = in.value("unknown_queue", false);
    result.unexamined = in.value("unexamined", false);
    result.counts_pending = in.value("counts_pending", false);
    result.configuration_version = in.value("configuration", uint64_t{0});
    result.configuration_age = FindAge(in);
    result.retry_after = base::Duration(in.at("retry_us").get<int64_t>());
    result.detail = in.at("detail").get<std::string>();
    return result;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

base::HttpAnswer EncodeHelloReply(const HelloReply& reply) {
  Json body = {{"revision", reply.revision},
               {"configuration", reply.configuration_version},
               {"hosts", Json::array()}};
  if (reply.configuration_age) {
    body[kConfigurationAge] = reply.configuration_age->count();
  }
  if (reply.store_failing) body["store_failing"] = true;
  if (reply.standby) body["deputy"] = true;
  if (reply.planner) body["planner"] = EncodePlannerEntry(*reply.planner);
  for (const base::Endpoint& host : reply.hosts) {
    body["hosts"].push_back(host.ToString());
  }
  return {.status = kHttpOk,
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

std::optional<HelloReply> DecodeHelloReply(const base::HttpAnswer& answer) {
  if (answer.status != kHttpOk) return std::nullopt;
  try {
    const Json in = Json::parse(answer.body);
    HelloReply reply;
    reply.revision = in.at("revision").get<platform::Revision>();
    reply.planner = DecodePlannerEntry(in.value("planner", ""));
    reply.configuration_version = in.value("configuration", uint64_t{0});
    reply.configuration_age = FindAge(in);
    reply.store_failing = in.value("store_failing", false);
    reply.standby = in.value("deputy", false);
    for (const Json& host : in.at("hosts")) {
      const auto endpoint = base::ParseEndpoint(host.get<std::string>());
      if (endpoint) reply.hosts.push_back(*endpoint);
    }
    return reply;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

base::HttpAnswer EncodeAdviceReply(const AdviceReply& reply) {
  Json body = {{"answered", reply.answered},
               {"valid_us", reply.ticket_lifetime.count()},
               {"good", Json::array()}};
  for (const AdviceTicket& ticket : reply.tickets) {
    body["good"].push_back({ticket.worker.value, ticket.ticket});
  }
  return {.status = kHttpOk,
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

AdviceReply DecodeAdviceReply(const base::HttpAnswer& answer) {
  if (answer.status != kHttpOk) return {};
  try {
    const Json in = Json::parse(answer.body);
    AdviceReply reply;
    reply.answered = in.at("answered").get<bool>();
    reply.ticket_lifetime = base::Duration(in.at("valid_us").get<int64_t>());
    for (const Json& ticket : in.at("good")) {
      reply.tickets.push_back({base::WorkerId(ticket.at(0).get<std::string>()),
                               ticket.at(1).get<std::string>()});
    }
    return reply;
  } catch (const Json::exception&) {
    return {};
  }
}

}  // namespace agatepass::pool
