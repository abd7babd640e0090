/** \file
 * Whether what an upstream sent is the whole answer to the request it was sent
 * for.
 */
#ifndef AGATEPASS_RELAY_ANSWER_CHECK_H_
#define AGATEPASS_RELAY_ANSWER_CHECK_H_

#include <optional>
#include <string>

#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"

namespace agatepass::relay {

/** An upstream's own notice that it is leaving. */
inline constexpr std::string_view kLeavingHeader = "Agatepass-Leaving";
/** An upstream's word that it did not run the request. */
inline constexpr std::string_view kNotRunHeader = "Agatepass-Not-Run";

/** Returns why `answer` cannot be passed on as the whole answer to `id`;
 * nothing if it can.
 *
 * \param most_bytes largest body that is passed on.
 */
std::optional<std::string> FindAnswerFault(const base::HttpAnswer& answer,
                                           const base::RequestId& id,
                                           size_t most_bytes);

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_ANSWER_CHECK_H_
