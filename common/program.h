// The frame of a program with a settings file: --config, --check-config, --log-format.
#pragma once

#include <optional>
#include <string>

#include "common/command_line.h"

namespace ramppond {

/// The options that every such program has.
std::vector<CommandLineOption> commonOptions();

/// Prints an error of the settings and gives the exit code for it.
ExitCode reportSettingsError(const std::string& error);
ExitCode reportSettingsValid(const std::string& path);
/// Prints why a program failed, after `prefix`, and gives the exit code for it.
ExitCode reportFailure(const std::string& prefix, const std::string& reason);

/// A program with a settings file, from its command line to its exit status. Reads the settings by
/// `reader(path, error)` and runs `run(command_line, settings)`, which says how to end; does not
/// run it if --check-config was given, the file is missing or it is wrong.
template <class Settings, class Run>
int runProgram(const CommandLineSpec& spec, int argc, char** argv,
               std::optional<Settings> (*reader)(const std::string&, std::string&), Run run) {
  const CommandLine command_line(spec, argc, argv);
  if (command_line.exitCode()) {
    return exitStatus(*command_line.exitCode());
  }
  const std::string path = command_line.value("config");
  if (path.empty()) {
    return exitStatus(reportSettingsError("--config FILE: expected a settings file"));
  }
  std::string error;
  auto settings = reader(path, error);
  if (!settings) {
    return exitStatus(reportSettingsError(error));
  }
  if (command_line.has("check-config")) {
    return exitStatus(reportSettingsValid(path));
  }
  return exitStatus(run(command_line, *settings));
}

}  // namespace ramppond
