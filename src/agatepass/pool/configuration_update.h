/** \file
 * What changed between two versions of the configuration, as one host sends it
 * to another: smaller than the operators' record by the routes that stay, and
 * by all that routes have in common.
 */
#ifndef AGATEPASS_POOL_CONFIGURATION_UPDATE_H_
#define AGATEPASS_POOL_CONFIGURATION_UPDATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agatepass/platform/store.h"
#include "agatepass/pool/queue_table.h"

namespace agatepass::pool {

/** Turns the queues and teams of one version into those of a later one. */
struct ConfigurationUpdate {
  /** Version that it applies to; 0 if it holds all queues. */
  uint64_t base_version = 0;
  uint64_t version = 0;
  /** Revision at which the store has the version. */
  platform::Revision revision = 0;
  /** Names of the queues that are gone. */
  std::vector<std::string> removed;
  /** Queues that are new or have changed. */
  std::vector<Queue> changed;
  /** Whether the teams are those of the version that it applies to. */
  bool same_teams = false;
  /** All teams, unless they are the same: they change rarely and are few. */
  std::optional<std::vector<Team>> teams;
  /** Checksum of all queues and teams of the version. */
  uint64_t checksum = 0;
};

/** Returns a checksum of all queues, whatever their order, and of all teams. */
uint64_t ComputeChecksum(const QueueTable& table);

/** Returns the update that turns `base` into `table`.
 * \param base queues that the receiver has; version 0 for none.
 * \param revision revision at which the store has `table`. */
ConfigurationUpdate MakeUpdate(const QueueTable& base, const QueueTable& table,
                               platform::Revision revision);

/** Applies an update.
 * \return the queues of its version; std::nullopt if it is for another version
 *     than that of `base`, or if the checksum differs. */
std::optional<QueueTable> ApplyUpdate(const QueueTable& base,
                                      const ConfigurationUpdate& update);

/** Returns the text of an update. */
std::string EncodeUpdate(const ConfigurationUpdate& update);

/** Parses an update.
 * \return the update; std::nullopt if the text is malformed. */
std::optional<ConfigurationUpdate> DecodeUpdate(std::string_view text);

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_CONFIGURATION_UPDATE_H_
