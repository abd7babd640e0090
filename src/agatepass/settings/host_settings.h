/** \file
 * The settings of one entry host: who it is, where it listens, what it talks
 * to.
 */
#ifndef AGATEPASS_SETTINGS_HOST_SETTINGS_H_
#define AGATEPASS_SETTINGS_HOST_SETTINGS_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "agatepass/base/http_message.h"
#include "agatepass/base/identifier.h"
#include "agatepass/base/time.h"

namespace agatepass::settings {

/** Settings of one agatepassd, read once at start. */
struct HostSettings {
  base::HostId host;
  base::DataCentreId data_centre;
  base::RegionId region;

  base::Endpoint gate;
  base::Endpoint peers;
  base::Endpoint store;
  base::Endpoint host_list;

  /** Token that operators send; operators' commands are refused without it. */
  std::string operator_token;

  base::Duration owner_lease = std::chrono::milliseconds(4500);
  base::Duration renew_period = std::chrono::milliseconds(1500);
  base::Duration task_lease = std::chrono::seconds(30);
  base::Duration host_list_period = std::chrono::seconds(1);
  base::Duration commit_interval = std::chrono::milliseconds(5);
  int64_t commit_records = 256;
  base::Duration stop_deadline = std::chrono::seconds(30);

  std::string log_format = "json";
  std::string log_level = "info";
};

/** Reads and checks INI text.
 *
 * \code
 * absl::StatusOr<HostSettings> settings = ParseHostSettings("a.ini", text);
 * \endcode
 * \param name the file's name, for messages.
 * \return kInvalidRequest with one line for each error.
 */
absl::StatusOr<HostSettings> ParseHostSettings(std::string_view name,
                                               std::string_view text);

/** Reads and checks the file at `path`; kNotFound if it cannot be read. */
absl::StatusOr<HostSettings> LoadHostSettings(const std::string& path);

}  // namespace agatepass::settings

#endif  // AGATEPASS_SETTINGS_HOST_SETTINGS_H_
