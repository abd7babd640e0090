/** \file
 * When a host asks another one for a newer version of the configuration.
 * Deterministic: time comes in as a parameter.
 */
#ifndef AGATEPASS_POOL_CONFIGURATION_FETCH_H_
#define AGATEPASS_POOL_CONFIGURATION_FETCH_H_

#include <cstdint>
#include <optional>

#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"

namespace agatepass::pool {

/** Asks one host at a time. An update that is under way is never given up for a
 * version that is newer still: it would begin anew with each change.
 *
 * \code
 * fetch.OnReported(12, planner, now);
 * if (const auto host = fetch.Begin(own_version, now)) AskForUpdate(*host);
 * // When the answer has arrived, or none: fetch.End(applied, now);
 * \endcode
 */
class ConfigurationFetch {
 public:
  /** Delay before the next attempt after one that brought no update. */
  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(300);

  /** Records that a host has a version. */
  void OnReported(uint64_t version, const base::Endpoint& host) {
    if (version < this->reported_version) return;
    this->reported_version = version;
    this->source = host;
  }

  /** Begins to ask, if a newer version than `own_version` was reported and no
   * answer is outstanding.
   * \return the host to ask. */
  std::optional<base::Endpoint> Begin(uint64_t own_version, base::Instant now) {
    if (this->in_flight || now < this->not_before ||
        this->reported_version <= own_version) {
      return std::nullopt;
    }
    this->in_flight = true;
    return this->source;
  }

  /** Records the end of the attempt.
   * \param applied whether it brought a newer version. */
  void End(bool applied, base::Instant now) {
    this->in_flight = false;
    if (!applied) this->not_before = now + kRetryDelay;
  }

 private:
  uint64_t reported_version = 0;
  base::Endpoint source;
  bool in_flight = false;
  base::Instant not_before;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CONFIGURATION_FETCH_H_
