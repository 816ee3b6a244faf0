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
  Endpoint front;                          ///< Listens for requests of callers.
  Endpoint peer;                           ///< Listens for calls of other daemons.
  Endpoint egress;                         ///< Listens for calls that the local back end makes.
  Endpoint admin;                          ///< Listens for requests to the admin pages.
  Endpoint backend;                        ///< Address of the local back end.
  std::vector<std::string> control;        ///< IPv4:PORT of each control member.
  std::vector<std::string> subscriptions;  ///< Services that the local back end calls.
  std::string data_folder;                 ///< For the saved configuration; empty to save none.
  std::string policy;
  LogFormat log_format = LogFormat::kText;
  std::size_t maximum_body_bytes = 0;
  std::size_t backend_connections = 0;
};

/// Reads the settings file `path`. On failure returns std::nullopt and sets `error`.
std::optional<DaemonSettings> readDaemonSettings(const std::string& path, std::string& error);

}  // namespace ramppond
