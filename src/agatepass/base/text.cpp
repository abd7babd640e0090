#include "agatepass/base/text.h"

#include <algorithm>

namespace agatepass::base {

namespace {

constexpr std::string_view kBlanks = " \t\r\n";

char LowerCase(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a')
                                        : letter;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char a, char b) { return LowerCase(a) == LowerCase(b); });
}

std::string_view TrimBlanks(std::string_view text) {
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::vector<std::string_view> SplitList(std::string_view text, char separator) {
  std::vector<std::string_view> pieces;
  while (!text.empty()) {
    const size_t end = std::min(text.find(separator), text.size());
    if (const std::string_view piece = TrimBlanks(text.substr(0, end));
        !piece.empty()) {
      pieces.push_back(piece);
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return pieces;
}

}  // namespace agatepass::base
