/** \file
 * Answers of an entry host as people read them, and exit codes.
 */
#ifndef AGATEPASS_CONTROL_PRESENT_H_
#define AGATEPASS_CONTROL_PRESENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "agatepass/base/http_message.h"
#include "agatepass/base/result_code.h"
#include "agatepass/control/invocation.h"

namespace agatepass::control {

/** Returns the exit code for the class of `code`: 0 for success, else the
 * number of the class, such as 20 for every refusal. */
int ExitCodeOf(base::ResultCode code);

/** Returns the result code of a request that has ended: that of the error in
 * the answer or, without one, what is known of the delivery. */
base::ResultCode ResultCodeOfOutcome(const base::HttpOutcome& outcome);

/** Returns the lines that tell of a failure: code, whether the work ran, the
 * message, and what the reader can do. */
std::string RenderFailure(const base::HttpOutcome& outcome);

/** Returns a successful answer as `view` shows it. A body that is not JSON is
 * shown as it is. */
std::string RenderAnswer(std::string_view body, View view);

}  // namespace agatepass::control

#endif  // AGATEPASS_CONTROL_PRESENT_H_
