#include "agatepass/pool/occurrence_set.h"

#include <algorithm>

namespace agatepass::pool {

namespace {

uint64_t CountIn(const OccurrenceRange& range) {
  return uint64_t{range.last} - range.first + 1;
}

}  // namespace

void OccurrenceSet::Add(OccurrenceRange range) {
  if (range.last < range.first) return;
  // All that overlap or touch the new range become one with it.
  const auto begin =
      std::partition_point(this->content.begin(), this->content.end(),
                           [&range](const OccurrenceRange& other) {
                             return uint64_t{other.last} + 1 < range.first;
                           });
  auto end = begin;
  for (; end != this->content.end() && end->first <= uint64_t{range.last} + 1;
       ++end) {
    range.first = std::min(range.first, end->first);
    range.last = std::max(range.last, end->last);
    this->total -= CountIn(*end);
  }
  this->total += CountIn(range);
  if (begin == end) {
    this->content.insert(begin, range);
    return;
  }
  *begin = range;
  this->content.erase(begin + 1, end);
}

bool OccurrenceSet::Contains(uint32_t occurrence) const {
  return this->FirstMissing(occurrence) != occurrence;
}

uint64_t OccurrenceSet::FirstMissing(uint32_t from) const {
  const auto found = std::partition_point(
      this->content.begin(), this->content.end(),
      [from](const OccurrenceRange& range) { return range.last < from; });
  const bool contains = found != this->content.end() && found->first <= from;
  return contains ? uint64_t{found->last} + 1 : from;
}

}  // namespace agatepass::pool
