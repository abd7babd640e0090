/** \file
 * The queues in force: which callers' paths they take, which workers serve
 * them, and what they promise.
 */
#ifndef AGATEPASS_POOL_QUEUE_TABLE_H_
#define AGATEPASS_POOL_QUEUE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Cost of asking which workers a step may run on. */
struct AdvicePolicy {
  /** Time of one call, whatever it asks. */
  base::Duration call_duration{0};
  /** Time added for each worker named. */
  base::Duration duration_per_worker{0};
  /** Life of a ticket. */
  base::Duration ticket_lifetime{0};

  bool operator==(const AdvicePolicy&) const = default;
};

/** How the jobs of a queue are treated. */
struct QueuePolicy {
  /** Whose workers run the tasks. */
  base::ServiceId service;
  /** 0 comes first and may preempt others. */
  uint32_t priority = 0;
  /** Failed runs of a task after which its job has failed. */
  uint32_t attempts = 1;
  /** The objective is `stretch` times the longest chain, and `slack` more. */
  double stretch = 1;
  base::Duration slack{0};
  /** Set if only some workers may run a step, and only the advice service knows
   * which. */
  std::optional<AdvicePolicy> advice;

  bool operator==(const QueuePolicy&) const = default;
};

/** One queue. */
struct Queue {
  std::string name;
  /** Host and path prefix of the callers' requests. */
  std::string host;
  std::string prefix;
  QueuePolicy policy;

  bool operator==(const Queue&) const = default;
};

/** All queues of one version of the configuration. */
struct QueueTable {
  uint64_t version = 0;
  std::vector<Queue> queues;

  /** Returns the queue with the longest prefix that `path` begins with, or
   * null. */
  const Queue* Route(std::string_view host, std::string_view path) const;

  /** Returns the queue called `name`, or null. */
  const Queue* Find(std::string_view name) const;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_QUEUE_TABLE_H_
