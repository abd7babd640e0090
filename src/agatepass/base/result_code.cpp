#include "agatepass/base/result_code.h"

#include <array>

#include "absl/strings/cord.h"
#include "agatepass/base/text.h"
#include "fmt/format.h"

namespace agatepass::base {

namespace {

constexpr absl::string_view kStatusPayloadUrl = "agatepass/result_code";

using enum absl::StatusCode;
using enum Execution;

constexpr auto kTable = std::to_array<ResultCodeInfo>({
    {ResultCode::kOk, "ok", 200, kOk, kHasRun, false, "Nothing to do."},
    {ResultCode::kAccepted, "accepted", 202, kOk, kDoesNotApply, false,
     "The job is in the journal; ask for its progress by its id."},
    {ResultCode::kInvalidRequest, "invalid_request", 400, kInvalidArgument,
     kNotRun, false, "Correct the field that the message names."},
    {ResultCode::kUnauthenticated, "unauthenticated", 401, kUnauthenticated,
     kNotRun, false, "Send the token of your team."},
    {ResultCode::kForbidden, "forbidden", 403, kPermissionDenied, kNotRun,
     false,
     "Ask an operator, or use the token of the team that owns the object."},
    {ResultCode::kNotFound, "not_found", 404, kNotFound, kDoesNotApply, false,
     "Check the id."},
    {ResultCode::kTooLarge, "too_large", 413, kInvalidArgument, kNotRun, false,
     "Send less, or raise the limit that the message names."},
    {ResultCode::kRefusedByRule, "refused_by_rule", 409, kFailedPrecondition,
     kNotRun, false, "Change the request or the rule that the message names."},
    {ResultCode::kCanNeverRun, "can_never_run", 422, kFailedPrecondition,
     kNotRun, false,
     "Ask for less of the resource that the message names, or add a larger "
     "worker."},
    {ResultCode::kQuotaExceeded, "quota_exceeded", 429, kResourceExhausted,
     kNotRun, true, "Wait for the team's own work to end, or raise its quota."},
    {ResultCode::kNoRoomNow, "no_room_now", 503, kResourceExhausted, kNotRun,
     true, "Try again after the time in Retry-After."},
    {ResultCode::kOverloaded, "overloaded", 429, kResourceExhausted, kNotRun,
     true,
     "Try again after the time in Retry-After, with fewer requests at once."},
    {ResultCode::kStopping, "stopping", 503, kUnavailable, kNotRun, true,
     "Send the request to another entry host."},
    {ResultCode::kDeadlineTooShort, "deadline_too_short", 504,
     kDeadlineExceeded, kNotRun, true,
     "Allow more time; the request was not started."},
    {ResultCode::kStoreUnreachable, "store_unreachable", 503, kUnavailable,
     kNotRun, true,
     "Nothing was evaluated. Try again, with the same idempotency key."},
    {ResultCode::kStoreContentChanged, "store_content_changed", 503, kDataLoss,
     kNotRun, false,
     "The store came back older or empty. An operator has to compare it with "
     "the entry hosts."},
    {ResultCode::kPeerUnreachable, "peer_unreachable", 503, kUnavailable,
     kNotRun, true,
     "Try again, or send the request to the entry host that the message "
     "names."},
    {ResultCode::kUpstreamUnreachable, "upstream_unreachable", 502,
     kUnavailable, kNotRun, true,
     "Nothing was sent to the upstream. Try again."},
    {ResultCode::kWorkerUnreachable, "worker_unreachable", 503, kUnavailable,
     kNotRun, true, "Nothing was sent to the worker. Try again."},
    {ResultCode::kOutcomeUnknown, "outcome_unknown", 504, kUnknown, kMayHaveRun,
     false,
     "Do not send it again unless it is idempotent; ask an operator to settle "
     "it."},
    {ResultCode::kRanAndFailed, "ran_and_failed", 500, kAborted, kHasRun, false,
     "Read the task's own result."},
    {ResultCode::kCancelledBeforeStart, "cancelled_before_start", 409,
     kCancelled, kNotRun, false, "Nothing to do."},
    {ResultCode::kCancelledWhileRunning, "cancelled_while_running", 409,
     kCancelled, kHasRun, false,
     "The task had begun; check what it did before the stop."},
    {ResultCode::kSuperseded, "superseded", 409, kAborted, kNotRun, false,
     "Read the newer revision, and make the change again on top of it."},
    {ResultCode::kStaleEpoch, "stale_epoch", 409, kAborted, kNotRun, false,
     "Another owner holds the worker; the sender has to drop it."},
    {ResultCode::kInternal, "internal", 500, kInternal, kMayHaveRun, false,
     "Report it with the log lines of this id."},
});

}  // namespace

std::span<const ResultCodeInfo> ResultCodeTable() { return kTable; }

const ResultCodeInfo& DescribeResultCode(ResultCode code) {
  for (const ResultCodeInfo& row : kTable) {
    if (row.code == code) return row;
  }
  return kTable.back();
}

std::optional<ResultCode> ParseResultCode(std::string_view name) {
  for (const ResultCodeInfo& row : kTable) {
    if (row.name == name) return row.code;
  }
  return std::nullopt;
}

std::string_view ExecutionName(Execution execution) {
  switch (execution) {
    case kNotRun:
      return "not run";
    case kMayHaveRun:
      return "may have run";
    case kHasRun:
      return "has run";
    case kDoesNotApply:
      break;
  }
  return "does not apply";
}

absl::Status ErrorStatus(ResultCode code, std::string_view message) {
  const ResultCodeInfo& row = DescribeResultCode(code);
  absl::Status status(row.status_code,
                      absl::string_view(message.data(), message.size()));
  if (!status.ok()) {
    status.SetPayload(kStatusPayloadUrl,
                      absl::Cord(std::to_string(static_cast<int>(code))));
  }
  return status;
}

ResultCode ResultCodeOf(const absl::Status& status) {
  if (status.ok()) return ResultCode::kOk;
  const absl::optional<absl::Cord> payload =
      status.GetPayload(kStatusPayloadUrl);
  if (!payload) return ResultCode::kInternal;
  const std::optional<uint16_t> number =
      ParseNumber<uint16_t>(std::string(*payload));
  return number ? static_cast<ResultCode>(*number) : ResultCode::kInternal;
}

std::string RenderResultCodeTable() {
  std::string text =
      "| number | name | HTTP | status | execution | retry can help | what to "
      "do |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const ResultCodeInfo& row : kTable) {
    text += fmt::format("| {} | `{}` | {} | {} | {} | {} | {} |\n",
                        static_cast<int>(row.code), row.name, row.http_status,
                        absl::StatusCodeToString(row.status_code),
                        ExecutionName(row.execution),
                        row.retry_can_help ? "yes" : "no", row.advice);
  }
  return text;
}

}  // namespace agatepass::base
