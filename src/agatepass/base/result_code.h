/** \file
 * The numbered result codes: the one classification of outcomes, used by every
 * slice.
 */
#ifndef AGATEPASS_BASE_RESULT_CODE_H_
#define AGATEPASS_BASE_RESULT_CODE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace agatepass::base {

/** Outcome of a job, task, request or operator's command. The numbers are
 * stable. */
enum class ResultCode : uint16_t {
  kOk = 0,
  kAccepted = 1,
  kInvalidRequest = 10,
  kUnauthenticated = 11,
  kForbidden = 12,
  kNotFound = 13,
  kTooLarge = 14,
  kRefusedByRule = 20,
  kCanNeverRun = 21,
  kQuotaExceeded = 22,
  kNoRoomNow = 23,
  kOverloaded = 24,
  kStopping = 25,
  kDeadlineTooShort = 26,
  kStoreUnreachable = 30,
  kStoreContentChanged = 31,
  kPeerUnreachable = 32,
  kUpstreamUnreachable = 33,
  kWorkerUnreachable = 34,
  kOutcomeUnknown = 40,
  kRanAndFailed = 50,
  kCancelledBeforeStart = 60,
  kCancelledWhileRunning = 61,
  kSuperseded = 62,
  kStaleEpoch = 63,
  kInternal = 70,
};

/** What a result code says about execution. */
enum class Execution : uint8_t { kNotRun, kMayHaveRun, kHasRun, kDoesNotApply };

/** One row of the table of result codes. */
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  uint16_t http_status;
  absl::StatusCode status_code;
  Execution execution;
  bool retry_can_help;
  std::string_view advice;
};

/** Returns the whole table, ordered by number. */
std::span<const ResultCodeInfo> ResultCodeTable();

/** Returns the row of `code`; the row of kInternal for a number that is not in
 * the table. */
const ResultCodeInfo& DescribeResultCode(ResultCode code);

/** Returns the code called `name`, such as "store_unreachable", or nothing. */
std::optional<ResultCode> ParseResultCode(std::string_view name);

/** Returns the words for `execution` that callers read: "not run", "may have
 * run", "has run". */
std::string_view ExecutionName(Execution execution);

/** Makes a status that carries `code` and a message for the reader.
 *
 * \code
 * return ErrorStatus(ResultCode::kNotFound, "job \"j-7\" does not exist");
 * \endcode
 * \param code the result code; kOk gives absl::OkStatus().
 * \param message text that names the object concerned.
 */
absl::Status ErrorStatus(ResultCode code, std::string_view message);

/** Returns the result code that `status` carries: kOk for success, kInternal if
 * it has none. */
ResultCode ResultCodeOf(const absl::Status& status);

/** Renders the table as the Markdown of docs/RESULT_CODES.md. */
std::string RenderResultCodeTable();

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_RESULT_CODE_H_
