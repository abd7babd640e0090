#include "agatepass/relay/edge_guard.h"

#include <algorithm>
#include <array>

#include "agatepass/base/result_code.h"
#include "agatepass/base/text.h"
#include "fmt/format.h"

namespace agatepass::relay {

namespace {

using base::EqualsIgnoreCase;
using base::ErrorStatus;
using base::HttpHeader;
using base::ResultCode;

constexpr std::string_view kLength = "Content-Length";
constexpr std::string_view kEncoding = "Transfer-Encoding";
// Every header of the system itself.
constexpr std::string_view kOwnPrefix = "Agatepass-";
constexpr unsigned char kDelete = 0x7f;

constexpr std::array<std::string_view, 13> kStripped = {"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Connection",
                                                        "TE",
                                                        "Trailer",
                                                        "Upgrade",
                                                        kEncoding,
                                                        kLength,
                                                        "Host",
                                                        "Expect",
                                                        "Authorization",
                                                        "Proxy-Authorization",
                                                        "Proxy-Authenticate"};

bool IsNameLetter(char letter) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         (letter >= '0' && letter <= '9') ||
         kMarks.find(letter) != std::string_view::npos;
}

bool IsName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsNameLetter);
}

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char letter) {
    const auto code = static_cast<unsigned char>(letter);
    return (code < ' ' && letter != '\t') || code == kDelete;
  });
}

bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix) {
  return EqualsIgnoreCase(text.substr(0, prefix.size()), prefix);
}

size_t CountHeader(const base::HttpRequest& request, std::string_view name) {
  return static_cast<size_t>(std::count_if(
      request.headers.begin(), request.headers.end(),
      [name](const HttpHeader& h) { return EqualsIgnoreCase(h.name, name); }));
}

absl::Status CheckHeaders(const base::HttpRequest& request,
                          const EdgeLimits& limits) {
  if (request.headers.size() > limits.headers) {
    return ErrorStatus(ResultCode::kTooLarge,
                       fmt::format("the request has {} headers, more than {}",
                                   request.headers.size(), limits.headers));
  }
  size_t bytes = 0;
  for (const HttpHeader& header : request.headers) {
    bytes += header.name.size() + header.value.size();
    if (!IsName(header.name) || HasControl(header.value)) {
      return ErrorStatus(ResultCode::kInvalidRequest,
                         "a header has a malformed name or value");
    }
  }
  if (bytes > limits.header_bytes) {
    return ErrorStatus(
        ResultCode::kTooLarge,
        fmt::format("the request has {} bytes of headers, more than {}", bytes,
                    limits.header_bytes));
  }
  return absl::OkStatus();
}

absl::Status CheckLength(const base::HttpRequest& request) {
  const size_t lengths = CountHeader(request, kLength);
  const size_t encodings = CountHeader(request, kEncoding);
  if (lengths + encodings > 1) {
    return ErrorStatus(
        ResultCode::kInvalidRequest,
        fmt::format("the request has {} of \"{}\" and {} of \"{}\"; send one",
                    lengths, kLength, encodings, kEncoding));
  }
  const std::string_view encoding =
      base::FindHeader(request.headers, kEncoding);
  if (encodings == 1 && !EqualsIgnoreCase(encoding, "chunked")) {
    return ErrorStatus(ResultCode::kInvalidRequest,
                       fmt::format("\"{}\" must be \"chunked\"", kEncoding));
  }
  const std::string_view length = base::FindHeader(request.headers, kLength);
  if (lengths == 1 &&
      base::ParseNumber<size_t>(length) != request.body.size()) {
    return ErrorStatus(
        ResultCode::kInvalidRequest,
        fmt::format("\"{}\" differs from the {} bytes of the body", kLength,
                    request.body.size()));
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status CheckEdgeRequest(const base::HttpRequest& request,
                              const EdgeLimits& limits) {
  if (request.method == base::HttpMethod::kOther) {
    return ErrorStatus(ResultCode::kInvalidRequest,
                       "the method must be GET, POST, PUT or DELETE");
  }
  if (request.path.empty() || request.path[0] != '/' ||
      HasControl(request.path) || request.path.find(' ') != std::string::npos) {
    return ErrorStatus(ResultCode::kInvalidRequest,
                       "the path must begin with \"/\" and have no blanks");
  }
  if (request.body.size() > limits.body_bytes) {
    return ErrorStatus(ResultCode::kTooLarge,
                       fmt::format("the body has {} bytes, more than {}",
                                   request.body.size(), limits.body_bytes));
  }
  if (absl::Status status = CheckHeaders(request, limits); !status.ok())
    return status;
  if (CountHeader(request, "Host") > 1) {
    return ErrorStatus(ResultCode::kInvalidRequest,
                       "the request has more than one \"Host\"");
  }
  return CheckLength(request);
}

void StripEdgeHeaders(base::HttpRequest* request) {
  std::erase_if(request->headers, [](const HttpHeader& header) {
    return StartsWithIgnoreCase(header.name, kOwnPrefix) ||
           std::any_of(kStripped.begin(), kStripped.end(),
                       [&](std::string_view name) {
                         return EqualsIgnoreCase(header.name, name);
                       });
  });
}

bool SecretsEqual(std::string_view given, std::string_view expected) {
  unsigned difference = given.size() == expected.size() ? 0 : 1;
  for (size_t i = 0; i < given.size(); ++i) {
    const char other = expected.empty() ? '\0' : expected[i % expected.size()];
    // The barrier keeps the compiler from ending the loop early.
    volatile unsigned letter_difference =
        static_cast<unsigned char>(given[i] ^ other);
    difference |= letter_difference;
  }
  return difference == 0;
}

}  // namespace agatepass::relay
