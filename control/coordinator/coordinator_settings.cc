#include "control/coordinator/coordinator_settings.h"

namespace ramppond {

std::optional<CoordinatorSettings> readCoordinatorSettings(const std::string& path,
                                                           std::string& error) {
  SettingsFile file(path);
  SettingsTable root = file.root();
  CoordinatorSettings settings;
  settings.name = root.requiredString("name");
  settings.operator_address = endpointSetting(root, "operator_address", "");
  settings.member_address = endpointSetting(root, "member_address", "");
  settings.zone = root.optionalString("zone", "");
  settings.data_folder = root.requiredString("data_folder");
  settings.seeds = root.strings("seeds");
  settings.bounds = root.strings("bounds");
  settings.first_start = root.optionalBool("first_start", false);
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

}  // namespace ramppond
