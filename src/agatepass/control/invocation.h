/** \file
 * The command line of agatepassctl: from arguments to requests of docs/API.md.
 */
#ifndef AGATEPASS_CONTROL_INVOCATION_H_
#define AGATEPASS_CONTROL_INVOCATION_H_

#include <span>
#include <string>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"

namespace agatepass::control {

/** How an answer is shown to people. */
enum class View : uint8_t {
  /** Tables and lists made from the JSON. */
  kTable,
  /** The body as it is. */
  kVerbatim,
  /** The INI text, headed by its revision. */
  kConfiguration,
};

/** What to do, as the arguments say it. */
struct Invocation {
  std::vector<base::Endpoint> gates;
  std::string token;
  bool json = false;
  base::Duration timeout = std::chrono::seconds(10);
  /** Sent in this order; a failure ends the sequence. */
  std::vector<base::HttpRequest> requests;
  View view = View::kTable;
  /** Sends the last request again while the answer's "remaining" is not 0. */
  bool until_none_remain = false;
  /** Prints new events until interrupted. */
  bool follow = false;
};

/** The end of parsing: an invocation, or text to print and an exit code. */
struct ParsedArguments {
  Invocation invocation;
  bool ended = false;
  int exit_code = 0;
  std::string output;
};

/** Exit code for a wrong command line. */
inline constexpr int kUsageExitCode = 2;

/** Parses the arguments, without the program's name.
 *
 * \code
 * ParsedArguments parsed = ParseArguments({"why", "j-7"}, "0.1.0", "");
 * \endcode
 * \param version printed by --version.
 * \param default_token used where --token is not given.
 */
ParsedArguments ParseArguments(std::span<const std::string> arguments,
                               const std::string& version,
                               const std::string& default_token);

}  // namespace agatepass::control

#endif  // AGATEPASS_CONTROL_INVOCATION_H_
