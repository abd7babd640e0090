/** \file
 * A set of task numbers kept as ranges, so that a bulk job's ended tasks take a
 * few bytes.
 */
#ifndef AGATEPASS_JOBS_INDEX_RANGES_H_
#define AGATEPASS_JOBS_INDEX_RANGES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace agatepass::jobs {

/** A set of task numbers.
 *
 * \code
 * IndexRanges ended;
 * ended.Add(3);
 * ended.Add(4);
 * ended.ToText();  // "3-4"
 * \endcode
 */
class IndexRanges {
 public:
  /** Adds one number; adding it again changes nothing. */
  void Add(uint32_t index) { this->AddRange(index, index); }

  /** Adds all numbers from `first` to `last`, both included. */
  void AddRange(uint32_t first, uint32_t last);

  /** Removes all numbers from `first` to `last`, both included. */
  void RemoveRange(uint32_t first, uint32_t last);

  /** Whether `index` is in the set. */
  bool Contains(uint32_t index) const;

  /** How many numbers are in the set. */
  size_t size() const;

  bool empty() const { return this->ranges.empty(); }

  /** The ranges, first number to last, in order. */
  const std::map<uint32_t, uint32_t>& entries() const { return this->ranges; }

  /** Returns the compact form, such as "0-4,7". */
  std::string ToText() const;

  /** Parses the compact form; nothing if it is malformed. */
  static std::optional<IndexRanges> Parse(std::string_view text);

  bool operator==(const IndexRanges&) const = default;

 private:
  std::map<uint32_t, uint32_t> ranges;
};

}  // namespace agatepass::jobs

#endif  // AGATEPASS_JOBS_INDEX_RANGES_H_
