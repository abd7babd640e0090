// The route of requests to services.
#include <string>
#include <utility>

#include "agatepass/base/result_code.h"
#include "agatepass/base/text.h"
#include "agatepass/gate/gate.h"
#include "agatepass/gate/job_json.h"
#include "fmt/format.h"

namespace agatepass::gate {

using base::FindHeader;
using base::ResultCode;

namespace {

constexpr std::string_view kClassHeader = "X-Agatepass-Class";
constexpr std::string_view kIdempotentHeader = "X-Agatepass-Idempotent";
constexpr std::string_view kDeadlineHeader = "X-Agatepass-Deadline-Ms";
constexpr std::string_view kLabelHeader = "X-Agatepass-Label";
constexpr int64_t kDefaultDeadlineMs = 10'000;
constexpr int64_t kLongestDeadlineMs = 600'000;

absl::Status ReadHeaders(const base::HttpRequest& request, base::Instant now,
                         relay::RelayRequest* result) {
  if (const auto name = FindHeader(request.headers, kClassHeader);
      !name.empty()) {
    const auto request_class = relay::ParseRequestClass(name);
    if (!request_class) {
      return base::ErrorStatus(
          ResultCode::kInvalidRequest,
          fmt::format("header \"{}\" must be urgent, interactive or bulk",
                      kClassHeader));
    }
    result->request_class = *request_class;
  }
  int64_t deadline_ms = kDefaultDeadlineMs;
  if (const auto text = FindHeader(request.headers, kDeadlineHeader);
      !text.empty()) {
    const auto number = base::ParseNumber<int64_t>(text);
    if (!number || *number < 1 || *number > kLongestDeadlineMs) {
      return base::ErrorStatus(
          ResultCode::kInvalidRequest,
          fmt::format("header \"{}\" must be a number from 1 to {}",
                      kDeadlineHeader, kLongestDeadlineMs));
    }
    deadline_ms = *number;
  }
  result->deadline = now + std::chrono::milliseconds(deadline_ms);
  result->idempotent = FindHeader(request.headers, kIdempotentHeader) == "true";
  result->label = FindHeader(request.headers, kLabelHeader);
  return absl::OkStatus();
}

}  // namespace

void Gate::ForwardToService(const Visit& visit, std::string_view rest) {
  relay::RelayRequest request;
  const size_t slash = std::min(rest.find('/'), rest.size());
  request.service = base::ServiceId(rest.substr(0, slash));
  request.team = visit.caller.team;
  request.id = base::RequestId(fmt::format(
      "{}-r{}", this->task.host_settings().host.value, this->next_request++));
  const absl::Status status =
      ReadHeaders(visit.request, this->loop.Now(), &request);
  if (!status.ok()) {
    visit.responder.Respond(
        CodeAnswer(base::ResultCodeOf(status), std::string(status.message())));
    return;
  }
  request.http.method = visit.request.method;
  request.http.path = slash == rest.size() ? "/" : rest.substr(slash);
  request.http.query = visit.request.query;
  request.http.body = visit.request.body;
  const std::string id = request.id.value;
  const std::string service = request.service.value;
  this->task.recorder().Record(
      base::ReadWallClock(),
      {timeline::EventKind::kRequested, id, service, ResultCode::kOk, ""});
  this->task.request_relay().Forward(
      std::move(request), [this, responder = visit.responder, id,
                           service](const relay::RelayResult& result) {
        this->task.recorder().Record(
            base::ReadWallClock(), {timeline::EventKind::kAnswered, id, service,
                                    result.code, result.message});
        if (result.code == ResultCode::kOk) {
          responder.Respond(result.answer);
        } else {
          responder.Respond(
              CodeAnswer(result.code, result.message, result.retry_after));
        }
      });
}

}  // namespace agatepass::gate
