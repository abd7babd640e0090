/** \file
 * What callers ask of the relay and what they get back.
 */
#ifndef AGATEPASS_RELAY_REQUEST_H_
#define AGATEPASS_RELAY_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/result_code.h"
#include "agatepass/base/time.h"

namespace agatepass::relay {

/** Time left for the request, in milliseconds; each hop lowers it. */
inline constexpr std::string_view kDeadlineHeader = "Agatepass-Deadline-Ms";
/** Id of the request; an upstream may send it back. */
inline constexpr std::string_view kRequestIdHeader = "Agatepass-Request-Id";
/** Ticket of a request that runs at most once. */
inline constexpr std::string_view kTicketHeader = "Agatepass-Ticket";
/** Team of the caller, set by the gate. */
inline constexpr std::string_view kTeamHeader = "Agatepass-Team";

/** How long a request may wait for others, most pressing first. */
enum class RequestClass : uint8_t { kUrgent, kInteractive, kBulk };

inline constexpr size_t kRequestClasses = 3;

/** Returns "urgent", "interactive" or "bulk". */
std::string_view RequestClassName(RequestClass request_class);

/** Parses the name of a class; nothing if there is none of that name. */
std::optional<RequestClass> ParseRequestClass(std::string_view name);

/** Names one logical request over all repeats of its caller. */
struct Ticket {
  /** The entry host that issued it. */
  base::HostId host;
  /** Run of that entry host's process. */
  uint64_t incarnation = 0;
  uint64_t number = 0;

  bool operator==(const Ticket&) const = default;

  /** Returns the form HOST.INCARNATION.NUMBER. */
  std::string ToString() const;
};

/** Parses HOST.INCARNATION.NUMBER; nothing if it is malformed. */
std::optional<Ticket> ParseTicket(std::string_view text);

/** One request of a caller to a service. */
struct RelayRequest {
  base::RequestId id;
  base::ServiceId service;
  base::TeamId team;
  RequestClass request_class = RequestClass::kInteractive;
  /** Work of different labels never shares an upstream; empty for none. */
  std::string label;
  /** Whether a second run does no harm. */
  bool idempotent = false;
  base::Instant deadline;
  base::HttpRequest http;
  std::optional<Ticket> ticket;
};

/** The end of a request. */
struct RelayResult {
  /** kOk with the whole answer; otherwise a code that says whether the request
   * ran. */
  base::ResultCode code = base::ResultCode::kInternal;
  base::HttpAnswer answer;
  /** When to come back, for codes whose retry can help. */
  base::Duration retry_after{0};
  /** How often the request was handed to an upstream. */
  int attempts = 0;
  /** Why, for the caller; names the service or upstream. */
  std::string message;
};

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_REQUEST_H_
