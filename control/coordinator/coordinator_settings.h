// Settings of ramppond-coordinator.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/settings.h"

namespace ramppond {

struct CoordinatorSettings {
  std::string name;
  Endpoint operator_address;  ///< Listens for the operator, who puts and reads configurations.
  Endpoint member_address;    ///< Listens for other members and daemons.
  std::string zone;           ///< Daemons prefer members of their zone; empty for unknown.
  std::string data_folder;
  std::vector<std::string> seeds;   ///< HOST:PORT of the operator ports of some members.
  std::vector<std::string> bounds;  ///< NAME=VALUE each; see ExternalApi.
  bool first_start = false;  ///< The whole system starts for the first time, with empty disks.
};

/// Reads the settings file `path`. On failure returns std::nullopt and sets `error`.
std::optional<CoordinatorSettings> readCoordinatorSettings(const std::string& path,
                                                           std::string& error);

}  // namespace ramppond
