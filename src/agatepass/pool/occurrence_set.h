/** \file
 * A set of occurrences of a job, by ranges: its size follows the gaps in it,
 * not the number of occurrences.
 */
#ifndef AGATEPASS_POOL_OCCURRENCE_SET_H_
#define AGATEPASS_POOL_OCCURRENCE_SET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace agatepass::pool {

/** Occurrences `first` to `last`, both included. */
struct OccurrenceRange {
  uint32_t first = 0;
  uint32_t last = 0;

  bool operator==(const OccurrenceRange&) const = default;
};

/** Holds ranges that neither overlap nor touch, in ascending order.
 *
 * \code
 * OccurrenceSet done;
 * done.Add({0, 0});
 * done.Add({1, 1});
 * assert(done.ranges().size() == 1 && done.count() == 2);
 * \endcode
 */
class OccurrenceSet {
 public:
  /** Adds all occurrences of a range; some may be in the set already. */
  void Add(OccurrenceRange range);

  bool Contains(uint32_t occurrence) const;

  /** Returns the first occurrence from `from` on that is not in the set. */
  uint64_t FirstMissing(uint32_t from) const;

  /** Number of occurrences in the set. */
  uint64_t count() const { return this->total; }

  const std::vector<OccurrenceRange>& ranges() const { return this->content; }

  bool operator==(const OccurrenceSet&) const = default;

 private:
  std::vector<OccurrenceRange> content;
  uint64_t total = 0;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_OCCURRENCE_SET_H_
