// The routes of the configuration and its presets.
#include <string>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/base/text.h"
#include "agatepass/config/configuration.h"
#include "agatepass/gate/gate.h"
#include "agatepass/gate/job_json.h"
#include "fmt/format.h"

namespace agatepass::gate {

using base::ResultCode;
using nlohmann::json;

namespace {

constexpr int kHttpOk = 200;
constexpr std::string_view kAuthorHeader = "X-Agatepass-Operator";

std::string AuthorOf(const base::HttpRequest& request) {
  const std::string_view name =
      base::FindHeader(request.headers, kAuthorHeader);
  return name.empty() ? "operator" : std::string(name);
}

}  // namespace

void Gate::ShowConfig(const Visit& visit, std::string_view /*rest*/) {
  const config::ConfigKeeper& keeper = this->task.host().configuration();
  if (keeper.configuration() == nullptr) {
    visit.responder.Respond(
        CodeAnswer(ResultCode::kNotFound, "no configuration is in force yet"));
    return;
  }
  visit.responder.Respond(JsonAnswer(
      kHttpOk,
      {{"revision", keeper.revision()},
       {"text", config::RenderConfiguration(*keeper.configuration())}}));
}

void Gate::PutConfig(const Visit& visit, std::string_view /*rest*/) {
  const auto expected = base::ParseNumber<platform::Revision>(
      base::FindHeader(visit.request.query, "expected"));
  if (!expected) {
    visit.responder.Respond(CodeAnswer(ResultCode::kInvalidRequest,
                                       "parameter \"expected\" must be the "
                                       "revision that the change builds on, "
                                       "0 for the first"));
    return;
  }
  config::PutRequest request;
  request.text = visit.request.body;
  request.expected = *expected;
  request.author = AuthorOf(visit.request);
  request.dry_run = base::FindHeader(visit.request.query, "dry_run") == "true";
  request.replace_older_store =
      base::FindHeader(visit.request.query, "replace_older_store") == "true";
  this->SendPut(visit, std::move(request));
}

void Gate::SendPut(const Visit& visit, config::PutRequest request) {
  this->task.PutConfiguration(
      std::move(request),
      [responder = visit.responder](const config::PutAnswer& answer) {
        json body = RenderCode(answer.code, answer.message);
        body["revision"] = answer.revision;
        body["changes"] = answer.lines;
        responder.Respond(JsonAnswer(
            base::DescribeResultCode(answer.code).http_status, body));
      });
}

void Gate::CheckConfig(const Visit& visit, std::string_view /*rest*/) {
  const config::ParsedConfiguration parsed =
      config::ParseConfiguration(visit.request.body);
  const absl::Status status = parsed.status();
  if (!status.ok()) {
    visit.responder.Respond(
        CodeAnswer(base::ResultCodeOf(status), std::string(status.message())));
    return;
  }
  visit.responder.Respond(
      JsonAnswer(kHttpOk, RenderCode(ResultCode::kOk, "valid")));
}

void Gate::ShowConfigStatus(const Visit& visit, std::string_view /*rest*/) {
  const node::EntryHost& host = this->task.host();
  const config::KeeperStatus status = host.configuration().Status();
  json rows = json::array();
  for (const auto& [id, member] : host.members().members()) {
    const bool own = id == this->task.host_settings().host;
    rows.push_back(
        {{"host", id.value},
         {"data_centre", member.data_centre.value},
         {"state", membership::MemberStateName(member.state)},
         {"revision", own ? status.revision : member.config_revision}});
  }
  json unreachable = json::array();
  for (const auto& centre : host.members().OutOfReach()) {
    unreachable.push_back(centre.value);
  }
  visit.responder.Respond(
      JsonAnswer(kHttpOk, {{"revision", status.revision},
                           {"preset", status.preset},
                           {"author", status.author},
                           {"changed_us", status.changed.microseconds},
                           {"store_reachable", status.store_reachable},
                           {"store_older", status.store_older},
                           {"hosts", std::move(rows)},
                           {"out_of_reach", std::move(unreachable)}}));
}

void Gate::ShowPresets(const Visit& visit, std::string_view /*rest*/) {
  const config::ConfigKeeper& keeper = this->task.host().configuration();
  json rows = json::array();
  if (keeper.configuration() != nullptr) {
    for (const auto& [name, preset] : keeper.configuration()->presets) {
      rows.push_back({{"name", name},
                      {"in_force", name == keeper.configuration()->in_force}});
    }
  }
  visit.responder.Respond(JsonAnswer(kHttpOk, {{"revision", keeper.revision()},
                                               {"presets", std::move(rows)}}));
}

void Gate::UsePreset(const Visit& visit, std::string_view /*rest*/) {
  const json body = json::parse(visit.request.body, nullptr, false);
  const config::ConfigKeeper& keeper = this->task.host().configuration();
  const bool valid =
      body.is_object() && body.contains("name") && body["name"].is_string();
  if (!valid || keeper.configuration() == nullptr) {
    visit.responder.Respond(
        CodeAnswer(ResultCode::kInvalidRequest,
                   "field \"name\" must be the name of a preset of the "
                   "configuration in force"));
    return;
  }
  config::Configuration changed = *keeper.configuration();
  const absl::Status status =
      config::UsePreset(body["name"].get<std::string>(), changed);
  if (!status.ok()) {
    visit.responder.Respond(
        CodeAnswer(base::ResultCodeOf(status), std::string(status.message())));
    return;
  }
  config::PutRequest request;
  request.text = config::RenderConfiguration(changed);
  request.expected = body.value("expected", keeper.revision());
  request.author = AuthorOf(visit.request);
  this->SendPut(visit, std::move(request));
}

}  // namespace agatepass::gate
