#include "agatepass/gate/gate.h"

#include <array>
#include <string>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/gate/job_json.h"
#include "agatepass/timeline/merge.h"
#include "agatepass/timeline/render.h"
#include "fmt/format.h"

namespace agatepass::gate {

using base::FindHeader;
using base::HttpMethod;
using base::HttpRequest;
using base::HttpResponder;
using base::ResultCode;
using nlohmann::json;

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

void Fail(const HttpResponder& responder, const absl::Status& status) {
  responder.Respond(
      CodeAnswer(base::ResultCodeOf(status), std::string(status.message())));
}

}  // namespace

Gate::Gate(base::EventLoop& loop, node::HostTask& task)
    : loop(loop),
      task(task),
      access(task.host_settings().operator_token),
      server(
          loop, {},
          [this](const HttpRequest& request, const HttpResponder& responder) {
            this->Receive(request, responder);
          }) {}

absl::Status Gate::Listen() {
  return this->server.Listen(this->task.host_settings().gate);
}

std::span<const Gate::RouteRow> Gate::Routes() {
  static constexpr auto kRoutes = std::to_array<RouteRow>({
      {HttpMethod::kPost, "/v1/jobs", false, &Gate::SubmitJobs},
      {HttpMethod::kGet, "/v1/jobs/", false, &Gate::ShowJob},
      {HttpMethod::kGet, "/v1/jobs", false, &Gate::ListJobs},
      {HttpMethod::kDelete, "/v1/jobs/", false, &Gate::CancelJob},
      {HttpMethod::kGet, "/v1/why/", false, &Gate::ShowWhy},
      {HttpMethod::kGet, "/v1/hosts", true, &Gate::ShowHosts},
      {HttpMethod::kGet, "/v1/workers", true, &Gate::ShowWorkers},
      {HttpMethod::kGet, "/v1/upstreams", true, &Gate::ShowUpstreams},
      {HttpMethod::kGet, "/v1/timeline", true, &Gate::ShowTimeline},
      {HttpMethod::kGet, "/v1/config", true, &Gate::ShowConfig},
      {HttpMethod::kPut, "/v1/config", true, &Gate::PutConfig},
      {HttpMethod::kPost, "/v1/config/check", true, &Gate::CheckConfig},
      {HttpMethod::kGet, "/v1/config/status", true, &Gate::ShowConfigStatus},
      {HttpMethod::kGet, "/v1/presets", true, &Gate::ShowPresets},
      {HttpMethod::kPut, "/v1/presets/in_force", true, &Gate::UsePreset},
      {HttpMethod::kPost, "/v1/drain", true, &Gate::StartDrain},
      {HttpMethod::kPost, "/v1/tasks/", true, &Gate::SettleTask},
      {HttpMethod::kPost, "/v1/services/", false, &Gate::ForwardToService},
      {HttpMethod::kGet, "/v1/services/", false, &Gate::ForwardToService},
  });
  return kRoutes;
}

void Gate::Receive(const HttpRequest& request, const HttpResponder& responder) {
  if (this->AnswerPublic(request, responder)) return;
  const absl::StatusOr<Caller> caller = this->access.Identify(request);
  if (!caller.ok()) {
    Fail(responder, caller.status());
    return;
  }
  this->Dispatch({request, responder, *caller});
}

bool Gate::AnswerPublic(const HttpRequest& request,
                        const HttpResponder& responder) {
  if (request.path == "/healthz") {
    responder.Respond({.status = kHttpOk, .body = "ok\n"});
    return true;
  }
  if (request.path == "/readyz") {
    const bool ready = this->task.ready();
    responder.Respond({.status = ready ? kHttpOk : kHttpUnavailable,
                       .body = ready ? "ready\n" : "not ready\n"});
    return true;
  }
  return false;
}

void Gate::Dispatch(const Visit& visit) {
  const std::string_view path = visit.request.path;
  for (const RouteRow& row : Gate::Routes()) {
    const bool is_prefix = row.prefix.ends_with('/');
    const bool matches =
        is_prefix ? path.starts_with(row.prefix) : path == row.prefix;
    if (!matches || row.method != visit.request.method) continue;
    if (row.operators_only && !visit.caller.is_operator) {
      visit.responder.Respond(
          CodeAnswer(ResultCode::kForbidden,
                     fmt::format("\"{}\" is for operators", row.prefix)));
      return;
    }
    (this->*row.route)(visit, path.substr(row.prefix.size()));
    return;
  }
  visit.responder.Respond(CodeAnswer(
      ResultCode::kNotFound,
      fmt::format("\"{} {}\" is not part of this interface",
                  base::HttpMethodName(visit.request.method), path)));
}

void Gate::ShowWhy(const Visit& visit, std::string_view rest) {
  const absl::StatusOr<std::string> why =
      this->task.host().Explain(rest, this->loop.Now());
  timeline::EventQuery query;
  query.id = rest;
  const timeline::Timeline line =
      timeline::MergeTimeline({this->task.recorder().Find(query)});
  if (!why.ok() && line.events.empty()) {
    Fail(visit.responder, why.status());
    return;
  }
  json events = json::array();
  for (const timeline::Event& event : line.events) {
    events.push_back({{"kind", timeline::EventKindName(event.kind)},
                      {"subject", event.subject},
                      {"detail", event.detail}});
  }
  visit.responder.Respond(JsonAnswer(
      kHttpOk, {{"id", rest},
                {"why", why.ok() ? *why : "no decision is kept any more"},
                {"events", std::move(events)}}));
}

void Gate::ShowHosts(const Visit& visit, std::string_view /*rest*/) {
  json rows = json::array();
  for (const platform::HostRecord& host : this->task.hosts()) {
    if (host.role != platform::HostRole::kEntryHost) continue;
    rows.push_back(
        {{"host", host.name},
         {"data_centre", host.data_centre.value},
         {"listed",
          host.state == platform::HostState::kLive ? "live" : "leaving"}});
  }
  visit.responder.Respond(JsonAnswer(kHttpOk, {{"hosts", std::move(rows)}}));
}

void Gate::ShowWorkers(const Visit& visit, std::string_view /*rest*/) {
  json rows = json::array();
  const node::EntryHost& host = this->task.host();
  for (const base::WorkerId& worker : host.worker_ownership().workers()) {
    const auto epoch = host.worker_ownership().epoch(worker);
    const auto slot = host.placement_planner().cell().Find(worker);
    json row = {{"worker", worker.value}, {"epoch", epoch.value_or(0)}};
    if (slot && epoch) {
      const placement::Worker& shown =
          host.placement_planner().cell().worker(*slot);
      row["tasks"] = shown.occupants.size();
      row["millicores"] = shown.view.total.millicores;
      row["millicores_granted"] = shown.granted.millicores;
      row["memory_mib"] = shown.view.total.memory_mib;
      row["memory_mib_granted"] = shown.granted.memory_mib;
    }
    rows.push_back(std::move(row));
  }
  visit.responder.Respond(JsonAnswer(kHttpOk, {{"workers", std::move(rows)}}));
}

void Gate::ShowUpstreams(const Visit& visit, std::string_view /*rest*/) {
  json rows = json::array();
  for (const platform::HostRecord& host : this->task.hosts()) {
    if (host.role != platform::HostRole::kUpstream) continue;
    rows.push_back(
        {{"upstream", host.name},
         {"service", host.service.value},
         {"data_centre", host.data_centre.value},
         {"listed",
          host.state == platform::HostState::kLive ? "live" : "leaving"}});
  }
  visit.responder.Respond(
      JsonAnswer(kHttpOk, {{"upstreams", std::move(rows)}}));
}

void Gate::ShowTimeline(const Visit& visit, std::string_view /*rest*/) {
  timeline::EventQuery query;
  query.id = FindHeader(visit.request.query, "id");
  std::string_view name = FindHeader(visit.request.query, "format");
  if (name.empty()) name = "json";
  const auto format = timeline::ParseTimelineFormat(name);
  if (!format) {
    visit.responder.Respond(
        CodeAnswer(ResultCode::kInvalidRequest,
                   "field \"format\" must be one of json, text, trace, html"));
    return;
  }
  const timeline::Timeline line =
      timeline::MergeTimeline({this->task.recorder().Find(query)});
  visit.responder.Respond(
      {.status = kHttpOk,
       .headers = {{"Content-Type",
                    std::string(timeline::TimelineContentType(*format))}},
       .body = timeline::RenderTimeline(line, *format)});
}

void Gate::StartDrain(const Visit& visit, std::string_view /*rest*/) {
  visit.responder.Respond(
      JsonAnswer(kHttpOk, RenderCode(ResultCode::kOk, "stopping")));
  if (this->on_drain) this->on_drain();
}

}  // namespace agatepass::gate
