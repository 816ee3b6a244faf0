#include "daemon/proxy/proxy_settings.h"

namespace ramppond {
namespace {

constexpr IntegerRange kPortRange = {1, 65535};
constexpr IntegerRange kDescriptorRange = {64, 10'000'000};

ProxySettings settingsOf(SettingsTable& root) {
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
  requireEndpoints(root, "seeds", settings.seeds);
  return settings;
}

}  // namespace

std::optional<ProxySettings> readProxySettings(const std::string& path, std::string& error) {
  return readSettingsFile(path, error, settingsOf);
}

}  // namespace ramppond
