/** \file
 * HTTP requests and answers as plain values, shared by client and server.
 */
#ifndef AGATEPASS_BASE_HTTP_MESSAGE_H_
#define AGATEPASS_BASE_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatepass::base {

/** An address and port, such as 127.0.0.1:7001. */
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;

  /** Returns the form ADDRESS:PORT. */
  std::string ToString() const;

  template <typename Hasher>
  friend Hasher AbslHashValue(Hasher hasher, const Endpoint& endpoint) {
    return Hasher::combine(std::move(hasher), endpoint.address, endpoint.port);
  }
};

/** Parses ADDRESS:PORT with an IP number as the address; nothing if it is
 * malformed. */
std::optional<Endpoint> ParseEndpoint(std::string_view text);

enum class HttpMethod : uint8_t { kGet, kPost, kPut, kDelete, kOther };

/** Returns the method's name as it stands on the wire. */
std::string_view HttpMethodName(HttpMethod method);

/** One header line. */
struct HttpHeader {
  std::string name;
  std::string value;
};

/** Returns the value of the first header called `name`, without regard to case;
 * empty if absent. */
std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name);

/** A request, as a client sends it and a server receives it. */
struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  /** Path without the query, such as "/v1/jobs". */
  std::string path;
  /** Decoded query parameters. */
  std::vector<HttpHeader> query;
  std::vector<HttpHeader> headers;
  std::string body;
};

/** Returns the memory that a request takes, estimated. */
size_t EstimateMemory(const HttpRequest& request);

/** An answer with a status line. */
struct HttpAnswer {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/** What is known about a request that has ended. */
enum class Delivery : uint8_t {
  /** A whole answer arrived. */
  kAnswered,
  /** No byte of the request left this process. */
  kNotSent,
  /** Some of it may have left, and no whole answer arrived. */
  kUnknown,
};

/** The end of a request: the answer is meaningful only if it was delivered. */
struct HttpOutcome {
  Delivery delivery = Delivery::kNotSent;
  HttpAnswer answer;
  /** Whether nobody listens at the address; the request was not sent then. */
  bool refused = false;
  /** Whether a limit of this client kept the request from being sent: the
   * server was not asked. */
  bool at_own_limit = false;
  /** Why there is no answer, for logs. */
  std::string fault;
  /** Without an answer: bytes of it that had arrived. */
  size_t bytes_of_answer = 0;
};

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_HTTP_MESSAGE_H_
