// Settings of ramppond-daemon.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/logging.h"
#include "common/settings.h"

namespace ramppond {

struct DaemonSettings {
  std::string server;
  std::string service;
  std::string zone;
  std::uint32_t slots = 1;
  Endpoint front;   ///< Callers.
  Endpoint peer;    ///< Other daemons.
  Endpoint egress;  ///< The own back end's calls.
  Endpoint admin;
  Endpoint backend;  ///< Where the own back end listens.
  std::vector<std::string> control;
  std::vector<std::string> subscriptions;
  std::string data_folder;  ///< Empty: nothing is kept.
  std::string policy;
  LogFormat log_format = LogFormat::kText;
  std::size_t maximum_body_bytes = 0;
  std::size_t backend_connections = 0;
};

/// Reads `path`. On an error gives nothing and sets `error`.
std::optional<DaemonSettings> readDaemonSettings(const std::string& path, std::string& error);

}  // namespace ramppond
