#include "agatepass/base/library_warnings.h"

#include <event2/event.h>

#include <algorithm>
#include <mutex>
#include <utility>

namespace agatepass::base {

namespace {

/** Text kept of a warning. */
constexpr size_t kMaxTextBytes = 200;

/** The warnings of all threads. */
class WarningCounter {
 public:
  void Add(const char* text) {
    const std::lock_guard lock(this->mutex);
    ++this->warnings.count;
    this->warnings.latest = std::string(text).substr(0, kMaxTextBytes);
    // It becomes a quoted field of one log line.
    std::replace(this->warnings.latest.begin(), this->warnings.latest.end(),
                 '"', '\'');
  }

  LibraryWarnings Take() {
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->warnings, {});
  }

 private:
  std::mutex mutex;
  LibraryWarnings warnings;
};

WarningCounter& GetCounter() {
  static WarningCounter counter;
  return counter;
}

}  // namespace

void CaptureLibraryWarnings() {
  event_set_log_callback([](int severity, const char* text) {
    if (severity >= EVENT_LOG_WARN) GetCounter().Add(text);
  });
}

std::optional<LibraryWarnings> TakeLibraryWarnings() {
  LibraryWarnings warnings = GetCounter().Take();
  if (warnings.count == 0) return std::nullopt;
  return warnings;
}

}  // namespace agatepass::base
