/** \file
 * The configured queues: which request paths they accept, which workers serve
 * them, and their objectives; and the teams that may use them.
 */
#ifndef AGATEPASS_POOL_QUEUE_TABLE_H_
#define AGATEPASS_POOL_QUEUE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"
#include "agatepass/pool/team.h"

namespace agatepass::pool {

/** Expected duration of advice queries, which ask on which workers a step may
 * run, and lifetime of the tickets. */
struct AdvicePolicy {
  /** Fixed part of the duration of a query, whatever it asks. */
  base::Duration call_duration{0};
  /** Duration added for each worker named in the query. */
  base::Duration duration_per_worker{0};
  /** Lifetime of a ticket. */
  base::Duration ticket_lifetime{0};

  bool operator==(const AdvicePolicy&) const = default;
};

/** Scheduling policy for the jobs of a queue. */
struct QueuePolicy {
  /** Service whose workers run the tasks. */
  base::ServiceId service;
  /** 0 is the highest priority; gangs may preempt runs of lower priority. */
  uint32_t priority = 0;
  /** Number of failed runs of a task at which its job fails. */
  uint32_t attempts = 1;
  /** The objective is `stretch` times the duration of the critical path, plus
   * `slack`. */
  double stretch = 1;
  base::Duration slack{0};
  /** Set if only some workers may run a step and the advice service has to be
   * asked which. */
  std::optional<AdvicePolicy> advice;

  bool operator==(const QueuePolicy&) const = default;
};

/** A queue that callers submit jobs to. */
struct Queue {
  std::string name;
  /** Host name and path prefix of the requests that belong to the queue. */
  std::string host;
  std::string prefix;
  /** Whether calls need no API key although teams are configured. */
  bool is_public = false;
  QueuePolicy policy;

  bool operator==(const Queue&) const = default;
};

/** All queues and teams of one version of the configuration. */
struct QueueTable {
  uint64_t version = 0;
  std::vector<Queue> queues;
  /** Without a value no call needs an API key; with an empty list only calls on
   * public queues are accepted. */
  std::optional<std::vector<Team>> teams;

  bool operator==(const QueueTable&) const = default;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_QUEUE_TABLE_H_
