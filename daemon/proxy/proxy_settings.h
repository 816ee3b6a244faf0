// Settings of ramppond-proxy.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/settings.h"

namespace ramppond {

struct ProxySettings {
  std::string name;
  std::string zone;
  std::string service;             ///< Of the server beside the daemon.
  Endpoint client_address;         ///< Clients of this machine and its server send requests here.
  Endpoint peer_address;           ///< Other daemons send requests for the server beside it here.
  Endpoint readiness_address;      ///< The platform asks here.
  Endpoint report_address;         ///< The server beside it reports here.
  Endpoint server_address;         ///< Where that server takes requests.
  std::vector<std::string> seeds;  ///< HOST:PORT of some control members' operator ports.
  std::uint16_t member_port = 0;   ///< Where control members talk to daemons, on every machine.
  std::uint32_t max_descriptors = 0;  ///< That the process may hold; 0 for no limit.
  std::vector<std::string> bounds;    ///< NAME=VALUE each; see ExternalApi.
};

/// Reads `path`. On an error gives nothing and sets `error`.
std::optional<ProxySettings> readProxySettings(const std::string& path, std::string& error);

/// The addresses at which the seeds talk to daemons: their hosts with `member_port`.
std::vector<std::string> memberAddresses(const std::vector<std::string>& seeds,
                                         std::uint16_t member_port);

}  // namespace ramppond
