#include "daemon/proxy/proxy_settings.h"

namespace ramppond {
namespace {

constexpr IntegerRange kPortRange = {1, 65535};
constexpr IntegerRange kDescriptorRange = {64, 10'000'000};

}  // namespace

std::optional<ProxySettings> readProxySettings(const std::string& path, std::string& error) {
  SettingsFile file(path);
  SettingsTable root = file.root();
  ProxySettings settings;
  settings.name = root.requiredString("name");
  settings.zone = root.requiredString("zone");
  settings.service = root.requiredString("service");
  settings.client_address = endpointSetting(root, "client_address", "");
  settings.peer_address = endpointSetting(root, "peer_address", "");
  settings.readiness_address = endpointSetting(root, "readiness_address", "");
  settings.report_address = endpointSetting(root, "report_address", "");
  settings.server_address = endpointSetting(root, "server_address", "");
  settings.seeds = root.strings("seeds");
  settings.member_port =
      static_cast<std::uint16_t>(root.requiredInteger("member_port", kPortRange));
  settings.max_descriptors =
      static_cast<std::uint32_t>(root.optionalInteger("max_descriptors", 0, kDescriptorRange));
  settings.bounds = root.strings("bounds");
  for (const std::string& seed : settings.seeds) {
    if (!parseEndpoint(seed)) {
      root.reject("seeds", "expected HOST:PORT with a numeric IPv4 host, found '" + seed + "'");
    }
  }
  root.finish();
  if (file.error()) {
    error = *file.error();
    return std::nullopt;
  }
  return settings;
}

std::vector<std::string> memberAddresses(const std::vector<std::string>& seeds,
                                         std::uint16_t member_port) {
  std::vector<std::string> addresses;
  for (const std::string& seed : seeds) {
    const auto endpoint = parseEndpoint(seed);
    if (endpoint) {
      addresses.push_back(Endpoint{endpoint->host, member_port}.toString());
    }
  }
  return addresses;
}

}  // namespace ramppond
