/** \file
 * The value of the key config/current: the configuration with its number, its
 * author and the last changes.
 */
#ifndef AGATEPASS_CONFIG_CONFIG_RECORD_H_
#define AGATEPASS_CONFIG_CONFIG_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "agatepass/base/time.h"
#include "agatepass/platform/store.h"

namespace agatepass::config {

/** Changes that the record remembers. */
inline constexpr size_t kRememberedChanges = 20;

/** One accepted change. */
struct ConfigChange {
  /** The configuration's number after the change. */
  platform::Revision revision = 0;
  std::string author;
  base::WallTime time;
  /** Names the attempt that wrote it, so that its outcome can be read back. */
  std::string nonce;
  /** As DescribeDifference gives it; shortened if long. */
  std::vector<std::string> lines;

  bool operator==(const ConfigChange&) const = default;
};

/** The value in the store, and what entry hosts pass on. */
struct ConfigRecord {
  /** Rises by one with each change, also where a store has come back older. */
  platform::Revision revision = 0;
  std::string text;
  /** The last changes, newest first; the first made this record. */
  std::vector<ConfigChange> changes;

  /** The change that made this record; nothing in an empty record. */
  const ConfigChange* last_change() const {
    return this->changes.empty() ? nullptr : &this->changes.front();
  }

  /** Returns the change with `nonce` if it is remembered. */
  const ConfigChange* FindChange(std::string_view nonce) const;

  bool operator==(const ConfigRecord&) const = default;
};

/** Returns `record` as the JSON text that is stored. */
std::string EncodeConfigRecord(const ConfigRecord& record);

/** Reads a record.
 * \return kStoreContentChanged if `text` is not one.
 */
absl::StatusOr<ConfigRecord> DecodeConfigRecord(std::string_view text);

}  // namespace agatepass::config

#endif  // AGATEPASS_CONFIG_CONFIG_RECORD_H_
