// The frame of a program with a settings file: --config, --check-config, --log-format.
#pragma once

#include <optional>
#include <string>

#include "common/command_line.h"

namespace ramppond {

/// The options that every such program has.
std::vector<CommandLineOption> commonOptions();

/// Reads settings by `reader(path, error)`. Gives nothing, and how to end, if the program is not to
/// go on: --check-config was given, the file is missing or it is wrong.
template <class Settings>
std::optional<Settings> loadSettings(const CommandLine& command_line,
                                     std::optional<Settings> (*reader)(const std::string&,
                                                                       std::string&),
                                     ExitCode& exit_code);

/// Prints an error of the settings and gives the exit code for it.
ExitCode reportSettingsError(const std::string& error);
ExitCode reportSettingsValid(const std::string& path);

template <class Settings>
std::optional<Settings> loadSettings(const CommandLine& command_line,
                                     std::optional<Settings> (*reader)(const std::string&,
                                                                       std::string&),
                                     ExitCode& exit_code) {
  const std::string path = command_line.value("config");
  if (path.empty()) {
    exit_code = reportSettingsError("--config FILE: expected a settings file");
    return std::nullopt;
  }
  std::string error;
  auto settings = reader(path, error);
  if (!settings) {
    exit_code = reportSettingsError(error);
    return std::nullopt;
  }
  if (command_line.has("check-config")) {
    exit_code = reportSettingsValid(path);
    return std::nullopt;
  }
  return settings;
}

}  // namespace ramppond
