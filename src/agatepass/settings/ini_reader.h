/** \file
 * Checked reading of INI text: every key typed, with its unit and range; all
 * errors at once.
 */
#ifndef AGATEPASS_SETTINGS_INI_READER_H_
#define AGATEPASS_SETTINGS_INI_READER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "agatepass/base/http_message.h"
#include "agatepass/base/time.h"
#include "boost/property_tree/ptree.hpp"

namespace agatepass::settings {

/** Whether a key may be left out. */
enum class Presence : uint8_t { kRequired, kOptional };

/** Reads typed values and collects what is wrong with them.
 *
 * \code
 * IniReader reader("host.ini", text);
 * reader.ReadDuration("leases", "owner_lease", {seconds(1), seconds(60)},
 *                     &settings.owner_lease);
 * if (!reader.Finish().ok()) { ... }
 * \endcode
 */
class IniReader {
 public:
  /** Inclusive bounds of a duration. */
  struct DurationRange {
    base::Duration least;
    base::Duration most;
  };

  /** Inclusive bounds of a whole number. */
  struct NumberRange {
    int64_t least = 0;
    int64_t most = 0;
  };

  /** Inclusive bounds of a number with a fraction. */
  struct RealRange {
    double least = 0;
    double most = 0;
  };

  /** \param name the file's name, for messages.
   * \param text the INI text. */
  IniReader(std::string_view name, std::string_view text);

  /** Reads a text that may not be empty. */
  void ReadText(std::string_view section, std::string_view key,
                Presence presence, std::string* value);

  /** Reads one of `allowed`. */
  void ReadChoice(std::string_view section, std::string_view key,
                  std::span<const std::string_view> allowed,
                  std::string* value);

  /** Reads IP:PORT. */
  void ReadEndpoint(std::string_view section, std::string_view key,
                    Presence presence, base::Endpoint* value);

  /** Reads a duration with its unit, such as 250ms, 3s or 2min. */
  void ReadDuration(std::string_view section, std::string_view key,
                    const DurationRange& range, base::Duration* value);

  /** Reads a whole number. */
  void ReadNumber(std::string_view section, std::string_view key,
                  const NumberRange& range, int64_t* value);

  /** Reads a number that may have a fraction. */
  void ReadReal(std::string_view section, std::string_view key,
                const RealRange& range, double* value);

  /** Reports keys that nobody read and returns every error, one a line.
   * \return kInvalidRequest with the file, section, key, value and what is
   *     allowed in each line. */
  absl::Status Finish();

 private:
  std::optional<std::string> Take(std::string_view section,
                                  std::string_view key, Presence presence);
  void Complain(std::string_view section, std::string_view key,
                std::string_view value, std::string_view allowed);

  std::string name;
  boost::property_tree::ptree tree;
  std::set<std::string, std::less<>> known;
  std::vector<std::string> errors;
};

/** Reads a settings file whole.
 * \return kNotFound with the path if it cannot be read. */
absl::StatusOr<std::string> ReadSettingsFile(const std::string& path);

/** Parses a duration with its unit: us, ms, s, min or h; nothing if malformed.
 */
std::optional<base::Duration> ParseDuration(std::string_view text);

/** Writes a duration in its largest whole unit, such as "1500ms". */
std::string RenderDuration(base::Duration duration);

}  // namespace agatepass::settings

#endif  // AGATEPASS_SETTINGS_INI_READER_H_
