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

}  // namespace ramppond
