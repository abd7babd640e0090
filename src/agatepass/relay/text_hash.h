/** \file
 * A hash of names that is the same in every process.
 */
#ifndef AGATEPASS_RELAY_TEXT_HASH_H_
#define AGATEPASS_RELAY_TEXT_HASH_H_

#include <cstdint>
#include <string_view>

namespace agatepass::relay {

/** Returns the 64-bit FNV-1a hash of `text`. */
constexpr uint64_t HashText(std::string_view text) {
  uint64_t hash = 14695981039346656037U;
  for (const char letter : text) {
    hash ^= static_cast<unsigned char>(letter);
    hash *= 1099511628211U;
  }
  return hash;
}

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_TEXT_HASH_H_
