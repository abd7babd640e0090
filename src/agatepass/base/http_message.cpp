#include "agatepass/base/http_message.h"

#include <arpa/inet.h>

#include <array>

#include "agatepass/base/text.h"
#include "fmt/format.h"

namespace agatepass::base {

std::string Endpoint::ToString() const {
  return fmt::format("{}:{}", this->address, this->port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::optional<uint16_t> port =
      ParseNumber<uint16_t>(text.substr(colon + 1));
  if (!port || *port == 0) return std::nullopt;
  const std::string address(text.substr(0, colon));
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  if (inet_pton(AF_INET, address.c_str(), parsed.data()) != 1)
    return std::nullopt;
  return Endpoint{address, *port};
}

std::string_view HttpMethodName(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return "GET";
    case HttpMethod::kPost:
      return "POST";
    case HttpMethod::kPut:
      return "PUT";
    case HttpMethod::kDelete:
      return "DELETE";
    case HttpMethod::kOther:
      break;
  }
  return "OTHER";
}

std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoreCase(header.name, name)) return header.value;
  }
  return {};
}

size_t EstimateMemory(const HttpRequest& request) {
  size_t bytes = sizeof(request) + request.path.size() + request.body.size();
  for (const auto* headers : {&request.headers, &request.query}) {
    for (const HttpHeader& header : *headers) {
      bytes += sizeof(header) + header.name.size() + header.value.size();
    }
  }
  return bytes;
}

}  // namespace agatepass::base
