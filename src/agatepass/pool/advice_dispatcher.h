/** \file
 * Distributes queries for advice over the hosts, as the advice service accepts
 * one call at a time from each host. Deterministic: time comes in as a
 * parameter.
 *
 * Handles a mix of long and short queries: urgent queries are sent first, and
 * some hosts are reserved for short queries, so that these do not wait for long
 * ones. This needs at least two usable hosts; with a single one, none is
 * reserved.
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

/** A query and the host that has to send it. */
struct AdviceAssignment {
  base::HostId host;
  base::Endpoint endpoint;
  AdviceQuery query;
};

/** The queries that wait to be sent, and the hosts that can send them.
 *
 * \code
 * AdviceDispatcher dispatcher;
 * dispatcher.OnHostSeen(host, endpoint, now);
 * dispatcher.Add(query);
 * while (auto assignment = dispatcher.Next(now)) Send(*assignment);
 * dispatcher.OnDone(host, true, now);
 * \endcode
 */
class AdviceDispatcher {
 public:
  /** Records that a host is up; it is used for kHostTimeout from now.
   * \param host id of the host.
   * \param endpoint address of the host.
   * \param now current time. */
  void OnHostSeen(const base::HostId& host, const base::Endpoint& endpoint,
                  base::Instant now);

  /** Adds a query. Queries with a lower priority number are sent first, and
   * among those of one priority the short ones. */
  void Add(AdviceQuery query);

  /** Assigns the next query to an idle host.
   * \param now current time.
   * \return the assignment; std::nullopt if no query can be sent now. */
  std::optional<AdviceAssignment> Next(base::Instant now);

  /** Records that a host's query has ended, with or without an answer.
   * \param host id of the host.
   * \param answered whether the host answered; if not, it is not used for
   *     kHostBackoff.
   * \param now current time. */
  void OnDone(const base::HostId& host, bool answered, base::Instant now);

  /** Number of queries that are not assigned yet. */
  size_t waiting_queries() const { return this->queries.size(); }

  /** How long the oldest of them has waited; zero if there is none. */
  base::Duration OldestWait(base::Instant now) const;

  /** Time after the latest OnHostSeen for which a host is used. */
  static constexpr base::Duration kHostTimeout = std::chrono::seconds(4);

  /** Expected duration above which a query counts as long. */
  static constexpr base::Duration kLongQueryDuration =
      std::chrono::milliseconds(250);

  /** Time for which a host that did not answer gets no queries. */
  static constexpr base::Duration kHostBackoff = std::chrono::seconds(2);

 private:
  struct Host {
    base::Endpoint endpoint;
    base::Instant last_seen;
    base::Instant backoff_until;
    bool busy = false;
    bool busy_with_long = false;
  };

  /** Whether enough hosts stay free of long queries if one more starts. */
  bool CanStartLongQuery(base::Instant now) const;

  std::map<base::HostId, Host> hosts;
  /** Queries that are not assigned yet, in the order in which they are sent. */
  std::list<AdviceQuery> queries;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_ADVICE_DISPATCHER_H_
