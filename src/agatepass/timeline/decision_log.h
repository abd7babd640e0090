/** \file
 * Lines about decisions: cheap to add, bounded in number, written in batches.
 */
#ifndef AGATEPASS_TIMELINE_DECISION_LOG_H_
#define AGATEPASS_TIMELINE_DECISION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "agatepass/base/time.h"
#include "fmt/format.h"

namespace agatepass::timeline {

/** Collects lines in memory until the owner takes them.
 *
 * Adding never blocks. Lines beyond the bound are dropped and counted; the
 * next batch says how many.
 *
 * \code
 * DecisionLog log("edge-1");
 * log.Add(now, "job accepted", "job={} queue={}", id, queue);
 * WriteToStandardOutput(log.Take(now));
 * \endcode
 */
class DecisionLog {
 public:
  /** Bytes kept between two calls of Take. */
  static constexpr size_t kMostBytes = 128 * 1024;

  explicit DecisionLog(std::string_view host) : host(host) {}

  /** Adds a line for `event` with its fields, as "name=value ..." */
  template <typename... Arguments>
  void Add(base::Instant now, std::string_view event,
           fmt::format_string<Arguments...> fields, Arguments&&... arguments) {
    if (this->lines.size() >= kMostBytes) {
      ++this->dropped;
      return;
    }
    this->Begin(now, event);
    fmt::format_to(std::back_inserter(this->lines), fields,
                   std::forward<Arguments>(arguments)...);
    this->lines.push_back('\n');
  }

  /** Returns the lines added since the last call. */
  std::string Take(base::Instant now);

  bool empty() const { return this->lines.empty(); }

 private:
  void Begin(base::Instant now, std::string_view event);

  std::string host;
  std::string lines;
  uint64_t dropped = 0;
};

}  // namespace agatepass::timeline

#endif  // AGATEPASS_TIMELINE_DECISION_LOG_H_
