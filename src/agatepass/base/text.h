/** \file
 * Small helpers on text: parsing of numbers, comparison without regard to case,
 * splitting.
 */
#ifndef AGATEPASS_BASE_TEXT_H_
#define AGATEPASS_BASE_TEXT_H_

#include <charconv>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatepass::base {

/** Parses the whole of `text` as a decimal number; nothing if any of it is not
 * part of one. */
template <typename Number>
requires std::integral<Number> || std::floating_point<Number>
    std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || last != end || text.empty()) return std::nullopt;
  return number;
}

/** Whether two texts are equal but for the case of ASCII letters. */
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

/** Returns the pieces of `text` between `separator`s, without surrounding
 * blanks or empty pieces. */
std::vector<std::string_view> SplitList(std::string_view text, char separator);

/** Returns `text` without blanks at both ends. */
std::string_view TrimBlanks(std::string_view text);

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_TEXT_H_
