#include "agatepass/settings/host_settings.h"

#include <array>

#include "agatepass/base/result_code.h"
#include "agatepass/settings/ini_reader.h"
#include "fmt/format.h"

namespace agatepass::settings {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr auto kLogFormats = std::to_array<std::string_view>({"json", "text"});
constexpr auto kLogLevels =
    std::to_array<std::string_view>({"debug", "info", "warn", "error"});
constexpr IniReader::NumberRange kCommitRecords{1, 4096};

void ReadIdentity(IniReader& reader, HostSettings* settings) {
  reader.ReadText("host", "id", Presence::kRequired, &settings->host.value);
  reader.ReadText("host", "data_centre", Presence::kRequired,
                  &settings->data_centre.value);
  reader.ReadText("host", "region", Presence::kRequired,
                  &settings->region.value);
  reader.ReadText("access", "operator_token", Presence::kRequired,
                  &settings->operator_token);
}

void ReadAddresses(IniReader& reader, HostSettings* settings) {
  reader.ReadEndpoint("listen", "gate", Presence::kRequired, &settings->gate);
  reader.ReadEndpoint("listen", "peers", Presence::kRequired, &settings->peers);
  reader.ReadEndpoint("platform", "store", Presence::kRequired,
                      &settings->store);
  reader.ReadEndpoint("platform", "host_list", Presence::kRequired,
                      &settings->host_list);
}

void ReadTimes(IniReader& reader, HostSettings* settings) {
  reader.ReadDuration("leases", "owner_lease", {seconds(1), minutes(1)},
                      &settings->owner_lease);
  reader.ReadDuration("leases", "renew_period", {milliseconds(100), minutes(1)},
                      &settings->renew_period);
  reader.ReadDuration("leases", "task_lease", {seconds(5), hours(1)},
                      &settings->task_lease);
  reader.ReadDuration("platform", "host_list_period",
                      {milliseconds(100), minutes(1)},
                      &settings->host_list_period);
  reader.ReadDuration("journal", "commit_interval",
                      {milliseconds(0), seconds(1)},
                      &settings->commit_interval);
  reader.ReadNumber("journal", "commit_records", kCommitRecords,
                    &settings->commit_records);
  reader.ReadDuration("stop", "deadline", {seconds(1), hours(1)},
                      &settings->stop_deadline);
}

}  // namespace

absl::StatusOr<HostSettings> ParseHostSettings(std::string_view name,
                                               std::string_view text) {
  HostSettings settings;
  IniReader reader(name, text);
  ReadIdentity(reader, &settings);
  ReadAddresses(reader, &settings);
  ReadTimes(reader, &settings);
  reader.ReadChoice("log", "format", kLogFormats, &settings.log_format);
  reader.ReadChoice("log", "level", kLogLevels, &settings.log_level);
  if (absl::Status status = reader.Finish(); !status.ok()) return status;
  if (settings.renew_period * 2 > settings.owner_lease) {
    return base::ErrorStatus(
        base::ResultCode::kInvalidRequest,
        fmt::format("{}: [leases] renew_period = \"{}\": must be at most half "
                    "of owner_lease, which is {}",
                    name, RenderDuration(settings.renew_period),
                    RenderDuration(settings.owner_lease)));
  }
  return settings;
}

absl::StatusOr<HostSettings> LoadHostSettings(const std::string& path) {
  const absl::StatusOr<std::string> text = ReadSettingsFile(path);
  if (!text.ok()) return text.status();
  return ParseHostSettings(path, *text);
}

}  // namespace agatepass::settings
