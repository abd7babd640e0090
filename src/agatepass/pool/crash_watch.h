/** \file
 * Which queues lately had tasks that crash their workers.
 *
 * While a queue is contained, each of its tasks is tried on a worker where it
 * does little harm, before anything is known against the task itself.
 *
 * \code
 * watch.OnCrash("letters", 1, now);
 * watch.OnCrash("letters", 1, now);
 * watch.IsContained("letters", now);  // true for some seconds
 * \endcode
 */
#ifndef AGATEPASS_POOL_CRASH_WATCH_H_
#define AGATEPASS_POOL_CRASH_WATCH_H_

#include <map>
#include <string>

#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Counts the crashes of workers by the queue of the job that may have caused
 * them; a crash weighs less the longer ago it was. */
class CrashWatch {
 public:
  /** Counts a crash.
   * \param weight share of the blame, 0 to 1. */
  void OnCrash(const std::string& queue, double weight, base::Instant now);

  /** Whether the queue is contained: from the second crash in a short time
   * until there have been none for a while. */
  bool IsContained(const std::string& queue, base::Instant now) const;

 private:
  struct Count {
    double weight = 0;
    base::Instant at;
    bool contained = false;
  };

  static double WeightAt(const Count& count, base::Instant now);

  std::map<std::string, Count> counts;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CRASH_WATCH_H_
