/** \file
 * Separation labels as small numbers and bits, and the rules between them.
 */
#ifndef AGATEPASS_PLACEMENT_LABELS_H_
#define AGATEPASS_PLACEMENT_LABELS_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/placement/policy.h"

namespace agatepass::placement {

/** Number of a label; 0 is the empty label. */
using LabelNumber = uint32_t;

/** Labels that are under a rule have a bit each; the 64th and later share the
 * last bit, which separates them more than asked, never less. */
class Labels {
 public:
  Labels();

  /** Returns the number of `label`, a new one if it was not seen before. */
  LabelNumber NumberOf(std::string_view label);

  /** Returns the number of `label`, 0 if it was never seen. */
  LabelNumber Find(std::string_view label) const;

  /** Puts `rules` in the place of the previous ones. */
  void SetRules(std::span<const SeparationRule> rules);

  /** The label's bit; 0 if it is under no rule. */
  uint64_t bit(LabelNumber label) const { return this->rows[label].bit; }

  /** Bits of the labels that must not share a worker with `label`. */
  uint64_t conflicts(LabelNumber label) const {
    return this->rows[label].conflicts;
  }

  /** The label's text. */
  std::string_view text(LabelNumber label) const {
    return this->rows[label].text;
  }

 private:
  struct Row {
    std::string text;
    uint64_t bit = 0;
    uint64_t conflicts = 0;
  };

  uint64_t AssignBit(LabelNumber label);

  std::vector<Row> rows;
  std::map<std::string, LabelNumber, std::less<>> numbers;
  uint32_t bits_used = 0;
};

}  // namespace agatepass::placement

#endif  // AGATEPASS_PLACEMENT_LABELS_H_
