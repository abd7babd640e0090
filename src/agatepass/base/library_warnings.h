/** \file
 * Warnings of the event library, for the log of the process: the library would
 * write each of them to standard error, however many there are.
 */
#ifndef AGATEPASS_BASE_LIBRARY_WARNINGS_H_
#define AGATEPASS_BASE_LIBRARY_WARNINGS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace agatepass::base {

/** Warnings since they were last taken. */
struct LibraryWarnings {
  uint64_t count = 0;
  std::string latest;
};

/** Has the library's warnings counted instead of written, for all loops of the
 * process. */
void CaptureLibraryWarnings();

/** Returns the warnings since the last call; std::nullopt if there were none.
 */
std::optional<LibraryWarnings> TakeLibraryWarnings();

}  // namespace agatepass::base

#endif  // AGATEPASS_BASE_LIBRARY_WARNINGS_H_
