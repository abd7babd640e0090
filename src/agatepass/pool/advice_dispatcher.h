/** \file
 * Spreads queries for advice over the hosts: the advice service takes one call
 * at a time from each. It has no clock and no socket.
 *
 * Answers a mix of long and short queries: urgent ones go first, and a part of
 * the hosts is kept free of long ones, so that short ones never wait for them.
 */
#ifndef AGATEPASS_POOL_ADVICE_DISPATCHER_H_
#define AGATEPASS_POOL_ADVICE_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/pool/messages.h"

namespace agatepass::pool {

/** A query on its way through a host. */
struct AdviceAssignment {
  base::HostId host;
  base::Endpoint endpoint;
  AdviceQuery query;
};

/** Which host asks which query.
 *
 * \code
 * AdviceDesk desk;
 * desk.OnHost(host, endpoint, now);
 * desk.Add(query);
 * while (auto errand = desk.Next(now)) Ask(*errand);
 * desk.OnDone(host, true, now);
 * \endcode
 */
class AdviceDispatcher {
 public:
  /** A host is there to ask; it counts for kHostLife. */
  void OnHostSeen(const base::HostId& host, const base::Endpoint& endpoint,
                  base::Instant now);

  /** Queues a query. */
  void Add(AdviceQuery query);

  /** Returns the next query to ask now, or nothing. */
  std::optional<AdviceAssignment> Next(base::Instant now);

  /** A host's query has ended. \param answered whether the host answered. */
  void OnDone(const base::HostId& host, bool answered, base::Instant now);

  size_t waiting_queries() const { return this->queries.size(); }

  /** Time after its last sign for which a host is used. */
  static constexpr base::Duration kHostTimeout = std::chrono::seconds(4);

  /** A query that costs more than this is a long one. */
  static constexpr base::Duration kLongQueryCost =
      std::chrono::milliseconds(250);

  /** Time without queries for a host that did not answer. */
  static constexpr base::Duration kHostBackoff = std::chrono::seconds(2);

 private:
  struct Host {
    base::Endpoint endpoint;
    base::Instant last_seen;
    base::Instant backoff_until;
    bool busy = false;
    bool busy_with_long = false;
  };

  bool CanStartLongQuery(base::Instant now) const;

  std::map<base::HostId, Host> hosts;
  /** In the order in which they are asked. */
  std::list<AdviceQuery> queries;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_ADVICE_DISPATCHER_H_
