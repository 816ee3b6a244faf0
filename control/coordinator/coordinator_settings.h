// Settings of ramppond-coordinator.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/settings.h"

namespace ramppond {

struct CoordinatorSettings {
  std::string name;
  Endpoint operator_address;  ///< The operator puts and reads configurations here.
  Endpoint member_address;    ///< Other members and daemons talk to it here.
  std::string zone;           ///< Daemons prefer members of their zone; empty for unknown.
  std::string data_folder;
  std::vector<std::string> seeds;   ///< HOST:PORT of some members' operator ports.
  std::vector<std::string> bounds;  ///< NAME=VALUE each; see ExternalApi.
  bool first_start = false;         ///< The whole system starts for the first time, on empty disks.
};

/// Reads `path`. On an error gives nothing and sets `error`.
std::optional<CoordinatorSettings> readCoordinatorSettings(const std::string& path,
                                                           std::string& error);

}  // namespace ramppond
