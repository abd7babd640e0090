/** \file
 * Tickets: at most one run of a request over all repeats of its caller.
 */
#ifndef AGATEPASS_RELAY_TICKET_BOOK_H_
#define AGATEPASS_RELAY_TICKET_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "agatepass/base/time.h"
#include "agatepass/relay/admission.h"
#include "agatepass/relay/request.h"

namespace agatepass::relay {

/** Limits of the tickets of one entry host. */
struct TicketLimits {
  /** Time for which a ticket and its answer are kept. */
  base::Duration life = std::chrono::minutes(10);
  /** Tickets kept at a time; issuing is refused above it. */
  size_t tickets = 100'000;
  /** Bytes of answers kept; the oldest answers go first. */
  size_t answer_bytes = 64 * 1024 * 1024;
};

/** What to do with a request that carries a ticket. */
enum class TicketStep : uint8_t {
  /** First use: run it, and report with OnEnd. */
  kRun,
  /** It is running for an earlier repeat; OnEnd names this request too. */
  kWait,
  /** It has ended: `result` is the answer. */
  kAnswer,
  /** Another entry host issued it: send the request there, once; if that host
   * is gone or runs another incarnation, the result is unknown. */
  kElsewhere,
};

/** The decision on one request. */
struct TicketDecision {
  TicketStep step = TicketStep::kAnswer;
  RelayResult result;
};

/** The tickets that one run of an entry host's process has issued.
 *
 * \code
 * Ticket ticket = *book.Issue(team, now);
 * TicketDecision decision = book.Begin(ticket, team, request_number, now);
 * \endcode
 */
class TicketBook {
 public:
  TicketBook(const base::HostId& host, uint64_t incarnation,
             const TicketLimits& limits)
      : host(host), incarnation(incarnation), limits(limits) {}

  /** Issues a ticket to `team`; nothing if too many are kept. */
  std::optional<Ticket> Issue(const base::TeamId& team, base::Instant now);

  /** Decides on a request of `team` under `ticket`. */
  TicketDecision Begin(const Ticket& ticket, const base::TeamId& team,
                       RequestNumber request, base::Instant now);

  /** Notes the end of the run under `ticket` and returns the requests that
   * waited for it. A result that says "not run" lets a later repeat run. */
  std::vector<RequestNumber> OnEnd(const Ticket& ticket,
                                   const RelayResult& result);

  /** Forgets tickets past their life. */
  void OnTick(base::Instant now);

  /** Tickets kept. */
  size_t size() const { return this->entries.size(); }

 private:
  enum class Phase : uint8_t { kIssued, kRunning, kEnded };

  struct Entry {
    base::TeamId team;
    base::Instant issued_at;
    Phase phase = Phase::kIssued;
    RelayResult result;
    std::vector<RequestNumber> waiting;
  };

  void DropAnswers();

  base::HostId host;
  uint64_t incarnation;
  TicketLimits limits;
  uint64_t last_number = 0;
  size_t kept_bytes = 0;
  std::map<uint64_t, Entry> entries;
};

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_TICKET_BOOK_H_
