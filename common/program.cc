#include "common/program.h"

#include <iostream>

namespace ramppond {

std::vector<CommandLineOption> commonOptions() {
  return {{"config", "FILE", "settings file (TOML)"},
          {"check-config", "", "check the settings file and exit"}};
}

ExitCode reportSettingsError(const std::string& error) {
  std::cerr << error << '\n';
  return ExitCode::kUsage;
}

ExitCode reportSettingsValid(const std::string& path) {
  std::cout << path << ": valid\n";
  return ExitCode::kSuccess;
}

ExitCode reportFailure(const std::string& prefix, const std::string& reason) {
  std::cerr << prefix << reason << '\n';
  return ExitCode::kFailure;
}

}  // namespace ramppond
