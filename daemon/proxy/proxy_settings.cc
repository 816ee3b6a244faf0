#include "daemon/proxy/proxy_settings.h"

namespace ramppond {
namespace {

constexpr IntegerRange kPortRange = {1, 65535};
constexpr IntegerRange kDescriptorRange = {64, 10'000'000};
constexpr IntegerRange kUploadBufferRange = {1, 1024};  // MiB
constexpr unsigned kMebibyteShift = 20;                 // from bytes to MiB

feature_mode featureMode(SettingsTable& root, const std::string& key) {
  const std::string mode = root.choice(key, {"auto", "on", "off"});
  if (mode == "on") {
    return feature_mode::on;
  }
  return mode == "off" ? feature_mode::off : feature_mode::automatic;
}

// Reads the modes of optional parts and the settings that belong to them.
void readFeatures(SettingsTable& root, ProxySettings& settings) {
  settings.fair_shares = featureMode(root, "fair_shares");
  settings.retry_order = featureMode(root, "retry_order");
  settings.return_times = featureMode(root, "return_times");
  settings.server_load = featureMode(root, "server_load");
  const std::string placement = root.choice("placement", {"utilization", "expected_completion"});
  settings.placement = placement == "utilization" ? placement_kind::utilization
                                                  : placement_kind::expected_completion;
  const auto default_mebibytes =
      static_cast<std::int64_t>(settings.max_upload_buffer.value >> kMebibyteShift);
  const std::int64_t mebibytes =
      root.optionalInteger("max_upload_buffer_mb", default_mebibytes, kUploadBufferRange);
  settings.max_upload_buffer = {static_cast<std::uint64_t>(mebibytes) << kMebibyteShift};
}

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
  readFeatures(root, settings);
  return settings;
}

}  // namespace

std::optional<ProxySettings> readProxySettings(const std::string& path, std::string& error) {
  return readSettingsFile(path, error, settingsOf);
}

}  // namespace ramppond
