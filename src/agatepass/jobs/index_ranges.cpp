#include "agatepass/jobs/index_ranges.h"

#include <algorithm>
#include <iterator>

#include "agatepass/base/text.h"
#include "fmt/format.h"

namespace agatepass::jobs {

void IndexRanges::AddRange(uint32_t first, uint32_t last) {
  auto next = this->ranges.upper_bound(first);
  if (next != this->ranges.begin()) {
    // Adjacent ranges merge, so 64-bit sums guard the largest number.
    if (auto before = std::prev(next);
        uint64_t{before->second} + 1 >= uint64_t{first}) {
      first = before->first;
      last = std::max(last, before->second);
      this->ranges.erase(before);
    }
  }
  next = this->ranges.lower_bound(first);
  while (next != this->ranges.end() && next->first <= uint64_t{last} + 1) {
    last = std::max(last, next->second);
    next = this->ranges.erase(next);
  }
  this->ranges.emplace(first, last);
}

void IndexRanges::RemoveRange(uint32_t first, uint32_t last) {
  auto range = this->ranges.upper_bound(first);
  if (range != this->ranges.begin()) --range;
  while (range != this->ranges.end() && range->first <= last) {
    const auto [from, to] = *range;
    if (to < first) {
      ++range;
      continue;
    }
    range = this->ranges.erase(range);
    if (from < first) this->ranges.emplace(from, first - 1);
    if (to > last) this->ranges.emplace(last + 1, to);
  }
}

bool IndexRanges::Contains(uint32_t index) const {
  auto next = this->ranges.upper_bound(index);
  return next != this->ranges.begin() && std::prev(next)->second >= index;
}

size_t IndexRanges::size() const {
  size_t total = 0;
  for (const auto& [first, last] : this->ranges) {
    total += size_t{last} - first + 1;
  }
  return total;
}

std::string IndexRanges::ToText() const {
  std::string text;
  for (const auto& [first, last] : this->ranges) {
    if (!text.empty()) text += ',';
    text += first == last ? fmt::format("{}", first)
                          : fmt::format("{}-{}", first, last);
  }
  return text;
}

std::optional<IndexRanges> IndexRanges::Parse(std::string_view text) {
  IndexRanges parsed;
  for (std::string_view piece : base::SplitList(text, ',')) {
    const size_t dash = piece.find('-');
    const auto first = base::ParseNumber<uint32_t>(piece.substr(0, dash));
    const auto last = dash == std::string_view::npos
                          ? first
                          : base::ParseNumber<uint32_t>(piece.substr(dash + 1));
    if (!first || !last || *last < *first) return std::nullopt;
    parsed.AddRange(*first, *last);
  }
  return parsed;
}

}  // namespace agatepass::jobs
