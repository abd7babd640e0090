/** \file
 * Jobs in the JSON of the HTTP interface.
 */
#ifndef AGATEPASS_GATE_JOB_JSON_H_
#define AGATEPASS_GATE_JOB_JSON_H_

#include <string>

#include "absl/status/statusor.h"
#include "agatepass/base/http_message.h"
#include "agatepass/base/result_code.h"
#include "agatepass/jobs/effects.h"
#include "agatepass/jobs/job.h"
#include "agatepass/jobs/job_state.h"
#include "nlohmann/json.hpp"

namespace agatepass::gate {

/** Reads a submission.
 * \return kInvalidRequest with the field named if one is missing, unknown, of
 *     the wrong type or out of range.
 */
absl::StatusOr<jobs::JobSpec> ReadJobSpec(const nlohmann::json& body);

/** Renders a job with its tasks. */
nlohmann::json RenderJob(const jobs::JobView& job);

/** Renders the answer to a cancel. */
nlohmann::json RenderCancel(const jobs::CancelAnswer& answer);

/** Renders a result code with its message, as every error is answered. */
nlohmann::json RenderCode(base::ResultCode code, std::string_view message);

/** Makes an answer with the code's HTTP status, and Retry-After if a retry can
 * help. \param retry_after zero leaves one second. */
base::HttpAnswer CodeAnswer(base::ResultCode code, std::string_view message,
                            base::Duration retry_after = base::Duration(0));

/** Makes an answer of a JSON value. */
base::HttpAnswer JsonAnswer(int status, const nlohmann::json& body);

}  // namespace agatepass::gate

#endif  // AGATEPASS_GATE_JOB_JSON_H_
