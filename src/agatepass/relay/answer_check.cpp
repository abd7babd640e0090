#include "agatepass/relay/answer_check.h"

#include <algorithm>

#include "agatepass/base/text.h"
#include "agatepass/relay/request.h"
#include "fmt/format.h"

namespace agatepass::relay {

namespace {

constexpr std::string_view kLengthHeader = "Content-Length";
constexpr std::string_view kEncodingHeader = "Transfer-Encoding";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::optional<std::string> FindLengthFault(const base::HttpAnswer& answer) {
  if (answer.status == kNoContent || answer.status == kNotModified)
    return std::nullopt;
  const bool chunked =
      !base::FindHeader(answer.headers, kEncodingHeader).empty();
  const auto lengths =
      std::count_if(answer.headers.begin(), answer.headers.end(),
                    [](const base::HttpHeader& header) {
                      return base::EqualsIgnoreCase(header.name, kLengthHeader);
                    });
  if (chunked) {
    if (lengths == 0) return std::nullopt;
    return "the answer is chunked and has a length too";
  }
  if (lengths != 1) {
    // Without a length the end of the connection ends the answer, and a cut
    // one looks whole.
    return fmt::format("the answer has {} lengths in place of one", lengths);
  }
  const std::string_view text = base::FindHeader(answer.headers, kLengthHeader);
  if (base::ParseNumber<size_t>(text) != answer.body.size()) {
    return fmt::format("the answer has {} bytes in place of \"{}\"",
                       answer.body.size(), text);
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindAnswerFault(const base::HttpAnswer& answer,
                                           const base::RequestId& id,
                                           size_t most_bytes) {
  const std::string_view echoed =
      base::FindHeader(answer.headers, kRequestIdHeader);
  if (!echoed.empty() && echoed != id.value) {
    return fmt::format("the answer is for request \"{}\" in place of \"{}\"",
                       echoed, id.value);
  }
  if (answer.body.size() > most_bytes) {
    return fmt::format("the answer has {} bytes, more than {}",
                       answer.body.size(), most_bytes);
  }
  return FindLengthFault(answer);
}

}  // namespace agatepass::relay
