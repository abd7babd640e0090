/** \file
 * Merges the events of several hosts into one time line.
 */
#ifndef AGATEPASS_TIMELINE_MERGE_H_
#define AGATEPASS_TIMELINE_MERGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "agatepass/base/identifier.h"
#include "agatepass/timeline/event.h"
#include "agatepass/timeline/recorder.h"

namespace agatepass::timeline {

/** How far one host's records reach. */
struct HostCoverage {
  base::HostId host;
  uint64_t recorded = 0;
  uint64_t dropped = 0;
  uint64_t omitted = 0;
  HybridTime oldest;
  /** Why the host gave no answer; empty if it did. */
  std::string fault;

  bool operator==(const HostCoverage&) const = default;
};

/** Events of several hosts in causal order, and what may be missing. */
struct Timeline {
  std::vector<Event> events;
  /** One for each host asked, by name. */
  std::vector<HostCoverage> hosts;

  bool operator==(const Timeline&) const = default;

  /** Whether some host gave no answer or no longer has all its events. */
  bool incomplete() const;
};

/** Merges by hybrid time, then host and sequence. An event that a message
 * caused comes after the event that sent it, as each receipt moves the
 * receiver's clock past the message's time. An event given twice, such as by a
 * host and by a peer's copy, appears once.
 *
 * \code
 * Timeline line = MergeTimeline({recorder.Find(query), peer_events});
 * \endcode
 */
Timeline MergeTimeline(std::vector<HostEvents> hosts);

}  // namespace agatepass::timeline

#endif  // AGATEPASS_TIMELINE_MERGE_H_
