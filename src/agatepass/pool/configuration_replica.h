/** \file
 * One host's copy of the operators' configuration: which version it has, which
 * it knows to exist, and whether it may decide alone what is not routed.
 * Deterministic: time comes in as a parameter.
 */
#ifndef AGATEPASS_POOL_CONFIGURATION_REPLICA_H_
#define AGATEPASS_POOL_CONFIGURATION_REPLICA_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "agatepass/base/time.h"
#include "agatepass/platform/store.h"
#include "agatepass/pool/configuration_update.h"
#include "agatepass/pool/queue_index.h"

namespace agatepass::pool {

/** Returns the time since `confirmed_at`, never negative; unset if that is. */
inline std::optional<base::Duration> AgeOf(
    std::optional<base::Instant> confirmed_at, base::Instant now) {
  if (!confirmed_at) return std::nullopt;
  return std::max(now - *confirmed_at, base::Duration(0));
}

/** Age in whole milliseconds for a log line or a metric; -1 for none. */
inline int64_t AgeInMilliseconds(std::optional<base::Duration> age) {
  return age ? base::ToMilliseconds(*age) : -1;
}

/** The version in use, the newest version known to exist, and the versions
 * before, from which updates for other hosts are made.
 *
 * The version in use never goes back.
 *
 * \code
 * ConfigurationReplica replica;
 * if (replica.Apply(table, revision)) log.Add(now, "configuration applied", ..)
 * const std::string body = replica.EncodeUpdateFrom(version_of_peer);
 * \endcode
 */
class ConfigurationReplica {
 public:
  /** Time since it was last confirmed up to which a copy counts as the newest
   * one. */
  static constexpr base::Duration kMaxConfirmationAge =
      std::chrono::milliseconds(1500);

  /** Takes a version into use, unless one of this or a later version is in use.
   * \param revision revision at which the store has it.
   * \return whether it was taken. */
  bool Apply(QueueTable table, platform::Revision revision);

  /** Queues of the version in use. */
  const QueueIndex& queues() const { return *this->current; }
  /** Version in use; 0 for none. */
  uint64_t version() const { return this->current->table().version; }
  /** Revision at which the store has the version in use. */
  platform::Revision revision() const { return this->current_revision; }

  /** Records that another host, or an answer, shows a version to exist. */
  void OnVersionSeen(uint64_t version);
  /** Newest version known to exist. */
  uint64_t newest_version() const { return this->newest; }
  /** Whether a newer version than that in use is known to exist. */
  bool IsBehind() const { return this->newest > this->version(); }

  /** Records that at a time no newer version than that in use was known to the
   * store or the planner. */
  void OnConfirmed(base::Instant confirmed_at);
  /** Latest time at which the version in use is known to have been the newest;
   * the zero time if none is known. */
  base::Instant confirmed_at() const { return this->last_confirmed_at; }
  /** Whether the version in use was the newest a short time ago, so that a
   * request that it does not route can be rejected. */
  bool IsCurrent(base::Instant now) const;

  /** Returns the text of the update to the version in use.
   * \param version version that the receiver has; 0 for none. Of a version not
   *     kept any more all queues are sent. */
  const std::string& EncodeUpdateFrom(uint64_t version);

 private:
  /** Versions kept besides that in use. */
  static constexpr size_t kMaxPrevious = 4;

  std::shared_ptr<const QueueIndex> current =
      std::make_shared<const QueueIndex>();
  platform::Revision current_revision = 0;
  std::deque<std::shared_ptr<const QueueIndex>> previous;
  /** Texts of updates to the version in use, by the receiver's version. */
  std::map<uint64_t, std::string> encoded_updates;
  uint64_t newest = 0;
  base::Instant last_confirmed_at;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CONFIGURATION_REPLICA_H_
