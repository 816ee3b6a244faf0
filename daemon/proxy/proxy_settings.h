// Settings of ramppond-proxy, read from a strict TOML file whose keys are the member names below.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/settings.h"
#include "core/byte_count.h"
#include "core/feature_mode.h"
#include "core/placement/placement_kind.h"

namespace ramppond {

struct ProxySettings {
  std::string name;
  std::string zone;
  std::string service;             ///< Service of the local server.
  Endpoint client_address;         ///< Listens for clients on this machine and the local server.
  Endpoint peer_address;           ///< Listens for peers' requests for the local server.
  Endpoint readiness_address;      ///< Listens for the platform's readiness checks.
  Endpoint report_address;         ///< Listens for reports of the local server.
  Endpoint server_address;         ///< Address at which the local server accepts requests.
  std::vector<std::string> seeds;  ///< HOST:PORT of some coordinators' operator ports.
  std::uint16_t member_port = 0;   ///< Port of coordinators for proxies; the same on every machine.
  std::uint32_t max_descriptors = 0;  ///< Open files and sockets of the process; 0: no limit.
  std::vector<std::string> bounds;    ///< NAME=VALUE each; see ExternalApi.
  /// Fair shares of scarce capacity; automatic: while the configuration has tenants.
  feature_mode fair_shares = feature_mode::automatic;
  /// Retries first for requests that their client cannot repeat; automatic as above.
  feature_mode retry_order = feature_mode::automatic;
  /// Return times of refused clients by the capacity to come; automatic as above.
  feature_mode return_times = feature_mode::automatic;
  /// The local server's reports on its machine; automatic: while they include the slowdown.
  feature_mode server_load = feature_mode::automatic;
  placement_kind placement = placement_kind::utilization;
  /// Memory for the bodies of all buffered uploads. The default is a tenth of the 160 MB that a
  /// server machine has for its proxy.
  byte_count max_upload_buffer = {16ULL << 20U};
};

/// Reads the settings file at `path`. On an error, returns std::nullopt and sets `error`.
std::optional<ProxySettings> readProxySettings(const std::string& path, std::string& error);

}  // namespace ramppond
