/** \file
 * Events: what a process did or saw, with hybrid time, for the time line and
 * for the answers to "why".
 */
#ifndef AGATEPASS_TIMELINE_EVENT_H_
#define AGATEPASS_TIMELINE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "agatepass/base/identifier.h"
#include "agatepass/base/result_code.h"
#include "agatepass/timeline/hybrid_clock.h"

namespace agatepass::timeline {

/** What happened. */
enum class EventKind : uint8_t {
  // A job's life.
  kAccepted,
  kJournalled,
  kRefused,
  kDecided,
  kDelayed,
  kReserved,
  kReleased,
  kStarted,
  kEnded,
  kAcknowledged,
  kCancelled,
  kInDoubt,
  kSettled,
  // A request's life.
  kRequested,
  kRetried,
  kAnswered,
  // Leases, journals and membership.
  kLeaseGranted,
  kLeaseLost,
  kHandedOver,
  kAdopted,
  kPeerSeen,
  kPeerSuspected,
  kPeerLost,
  // Operations.
  kConfigApplied,
  kPresetUsed,
  kFaultSeen,
  kHostStarted,
  kHostStopping,
};

/** Number of kinds, for tables that are indexed by kind. */
inline constexpr size_t kEventKindCount =
    static_cast<size_t>(EventKind::kHostStopping) + 1;

/** Returns the kind's name, such as "lease granted". */
std::string_view EventKindName(EventKind kind);

/** Returns the kind called `name`, or nothing. */
std::optional<EventKind> ParseEventKind(std::string_view name);

/** One event as it is queried, merged and rendered.
 *
 * \code
 * Event event{.time = clock.Tick(now), .host = host,
 *             .kind = EventKind::kStarted, .subject = "j-7.0",
 *             .parent = "j-7", .detail = "on worker uus-a-w17, epoch 4"};
 * \endcode
 */
struct Event {
  HybridTime time;
  /** The entry host that recorded it. */
  base::HostId host;
  /** Position among the host's events since its start, from 1. */
  uint64_t sequence = 0;
  EventKind kind = EventKind::kFaultSeen;
  /** The job, task, request, worker or host concerned. */
  std::string subject;
  /** What the subject belongs to: the job of a task, the ticket of a request;
   * empty for none. */
  std::string parent;
  base::ResultCode code = base::ResultCode::kOk;
  /** One line for the reader: the numbers compared, the candidates, the reason.
   */
  std::string detail;

  bool operator==(const Event&) const = default;
};

}  // namespace agatepass::timeline

#endif  // AGATEPASS_TIMELINE_EVENT_H_
