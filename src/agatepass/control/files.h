/** \file
 * The files that agatepassctl reads: jobs and configurations.
 */
#ifndef AGATEPASS_CONTROL_FILES_H_
#define AGATEPASS_CONTROL_FILES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "agatepass/base/http_message.h"

namespace agatepass::control {

/** Jobs sent in one request of a bulk submission. */
inline constexpr size_t kJobsPerRequest = 200;

/** Returns the file's text; "-" is standard input. kNotFound if unreadable. */
absl::StatusOr<std::string> ReadTextFile(const std::string& path);

/** Makes the requests that submit the jobs of a JSON text: one object, an array
 * or {"jobs": [...]}.
 *
 * Each job must have a key, as only that makes a repeated submission safe.
 * \return kInvalidRequest with the job and field named.
 */
absl::StatusOr<std::vector<base::HttpRequest>> MakeSubmissions(
    std::string_view text);

/** Returns N of a text that begins with "; revision N", or nothing. */
std::optional<uint64_t> RevisionOfText(std::string_view text);

}  // namespace agatepass::control

#endif  // AGATEPASS_CONTROL_FILES_H_
