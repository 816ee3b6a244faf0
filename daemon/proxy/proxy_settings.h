// Settings of ramppond-proxy, read from a file in strict TOML whose keys are the names below.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/settings.h"

namespace ramppond {

struct ProxySettings {
  std::string name;
  std::string zone;
  std::string service;             ///< Of the own server.
  Endpoint client_address;         ///< Clients of this machine and its server send requests here.
  Endpoint peer_address;           ///< Peers send requests for the own server here.
  Endpoint readiness_address;      ///< The platform asks here.
  Endpoint report_address;         ///< The own server reports here.
  Endpoint server_address;         ///< Where the own server takes requests.
  std::vector<std::string> seeds;  ///< HOST:PORT of some coordinators' operator ports.
  std::uint16_t member_port = 0;   ///< Of coordinators, for proxies; the same on every machine.
  std::uint32_t max_descriptors = 0;  ///< Open files and sockets of the process; 0: no limit.
  std::vector<std::string> bounds;    ///< NAME=VALUE each; see ExternalApi.
};

/// Reads `path`. On an error gives nothing and sets `error`.
std::optional<ProxySettings> readProxySettings(const std::string& path, std::string& error);

}  // namespace ramppond
