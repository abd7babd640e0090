#include "agatepass/placement/labels.h"

#include <algorithm>

namespace agatepass::placement {

Labels::Labels() { this->NumberOf(""); }

LabelNumber Labels::NumberOf(std::string_view label) {
  if (const auto found = this->numbers.find(label);
      found != this->numbers.end()) {
    return found->second;
  }
  const auto number = static_cast<LabelNumber>(this->rows.size());
  this->rows.push_back({.text = std::string(label)});
  this->numbers.emplace(label, number);
  return number;
}

LabelNumber Labels::Find(std::string_view label) const {
  const auto found = this->numbers.find(label);
  return found == this->numbers.end() ? 0 : found->second;
}

uint64_t Labels::AssignBit(LabelNumber label) {
  constexpr uint32_t kLastBit = 63;
  Row& row = this->rows[label];
  if (row.bit == 0) {
    row.bit = uint64_t{1} << std::min(this->bits_used++, kLastBit);
  }
  return row.bit;
}

void Labels::SetRules(std::span<const SeparationRule> rules) {
  for (Row& row : this->rows) row.bit = row.conflicts = 0;
  this->bits_used = 0;
  for (const SeparationRule& rule : rules) {
    const LabelNumber first = this->NumberOf(rule.first);
    const LabelNumber second = this->NumberOf(rule.second);
    const uint64_t first_bit = this->AssignBit(first);
    const uint64_t second_bit = this->AssignBit(second);
    this->rows[first].conflicts |= second_bit;
    this->rows[second].conflicts |= first_bit;
  }
}

}  // namespace agatepass::placement
