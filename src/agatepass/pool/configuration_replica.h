/** \file
 * One host's copy of the operators' configuration: which version it has, which
 * it knows to exist, and whether it may decide alone what is not routed.
 * Deterministic: time comes in as a parameter.
 */
#ifndef AGATEPASS_POOL_CONFIGURATION_REPLICA_H_
#define AGATEPASS_POOL_CONFIGURATION_REPLICA_H_

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

/** Age in whole milliseconds for a log line or a metric; -1 for none. */
inline int64_t AgeInMilliseconds(std::optional<base::Duration> age) {
  return age ? base::ToMilliseconds(*age) : -1;
}

/** The version in use, how long ago it was known to be the newest, and the
 * versions before, from which updates for other hosts are made.
 *
 * The version in use never goes back. What it may decide depends on its age:
 * the time since the store was asked and had no newer version, however many
 * hosts have passed that on.
 *
 * \code
 * ConfigurationReplica replica(std::chrono::seconds(2));
 * if (replica.Apply(table, revision)) log.Add(now, "configuration applied", ..)
 * replica.OnNewestAt(reply.version, sent_at - reply.age);
 * if (!replica.MayDecide(now)) Reject(call);
 * \endcode
 */
class ConfigurationReplica {
 public:
  /** Age up to which a version may decide, unless the host sets another. */
  static constexpr base::Duration kDefaultMaxAge =
      std::chrono::milliseconds(2400);
  /** Silence of the store from which on it counts as not answering this host.
   */
  static constexpr base::Duration kMaxStoreSilence =
      std::chrono::milliseconds(1000);
  /** Longest interval between two checks of the store. */
  static constexpr base::Duration kMaxCheckInterval =
      std::chrono::milliseconds(500);

  /** \param max_age age up to which a version may decide: less than the time
   *     within which an acknowledged version must be in force. */
  explicit ConfigurationReplica(base::Duration max_age = kDefaultMaxAge)
      : max_decision_age(max_age) {}

  base::Duration max_age() const { return this->max_decision_age; }

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

  /** Records that at a time the store had no newer version than `version`. */
  void OnNewestAt(uint64_t version, base::Instant at);
  /** Records when the store last answered this host, or later; to be called at
   * short intervals, so that a pause of this process is not taken for silence
   * of the store. */
  void OnStoreChecked(base::Instant answered_at, base::Instant now);
  /** Returns how long ago the version in use is known to have been the newest;
   * unset if it never was. */
  std::optional<base::Duration> Age(base::Instant now) const;

  /** Whether a host may decide alone, without the planner. */
  bool IsCurrent(base::Instant now) const;
  /** Whether the planner may decide. While the store does not answer it, it
   * goes on by what was the newest before: a planner whose store answers others
   * is replaced, and without the store there are no newer versions. */
  bool MayDecide(base::Instant now) const;

  /** Returns the text of the update to the version in use.
   * \param version version that the receiver has; 0 for none. Of a version not
   *     kept any more all queues are sent. */
  const std::string& EncodeUpdateFrom(uint64_t version);

 private:
  bool IsYoung(base::Instant now) const;
  bool IsStoreSilent(base::Instant now) const;

  /** Versions kept besides that in use. */
  static constexpr size_t kMaxPrevious = 4;

  std::shared_ptr<const QueueIndex> current =
      std::make_shared<const QueueIndex>();
  platform::Revision current_revision = 0;
  std::deque<std::shared_ptr<const QueueIndex>> previous;
  /** Texts of updates to the version in use, by the receiver's version. */
  std::map<uint64_t, std::string> encoded_updates;
  uint64_t newest = 0;
  base::Duration max_decision_age;
  std::optional<base::Instant> newest_at;
  base::Instant store_answered_at;
  base::Instant store_checked_at;
  /** Since when the store has been checked without a pause. */
  base::Instant checking_since;
};

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CONFIGURATION_REPLICA_H_
