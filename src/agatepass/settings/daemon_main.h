/** \file
 * What the daemons' main functions share: the command line, the settings file
 * and the exit codes.
 */
#ifndef AGATEPASS_SETTINGS_DAEMON_MAIN_H_
#define AGATEPASS_SETTINGS_DAEMON_MAIN_H_

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "CLI/CLI.hpp"
#include "absl/status/statusor.h"

namespace agatepass::settings {

/** Exit code of a daemon whose settings are not valid. */
inline constexpr int kExitInvalidSettings = 2;

/** Loads a daemon's settings from a file. */
template <typename Function>
concept SettingsLoader = requires(Function load, const std::string& path) {
  load(path).status();
};

/** Reads the command line and the settings, and serves until stopped.
 *
 * \code
 * int main(int argc, char** argv) {
 *   return RunDaemon("agatepassd: ...", "1.0", argc, argv, LoadSettings,
 *                    [](const auto& settings) { return Serve(settings); });
 * }
 * \endcode
 *
 * \param purpose one line for the help text.
 * \param version printed by --version.
 * \param load returns the settings in the file at a path, or a status that
 *     names what is wrong.
 * \param serve runs the daemon and returns its exit code.
 * \return the exit code of the process.
 */
template <SettingsLoader Load, typename Serve>
int RunDaemon(const std::string& purpose, const std::string& version, int argc,
              char** argv, Load load, Serve serve) {
  CLI::App app(purpose);
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "INI file with the host's settings")
      ->required();
  app.add_flag("--check", check, "only check the settings");
  app.set_version_flag("--version", version);
  CLI11_PARSE(app, argc, argv);
  // Peers may close a connection while it is written to.
  std::signal(SIGPIPE, SIG_IGN);
  const auto settings = load(path);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << '\n';
    return kExitInvalidSettings;
  }
  if (check) {
    std::cout << path << ": settings are valid\n";
    return EXIT_SUCCESS;
  }
  return serve(*settings);
}

}  // namespace agatepass::settings

#endif  // AGATEPASS_SETTINGS_DAEMON_MAIN_H_
