#include "control/coordinator/coordinator_settings.h"

namespace ramppond {
namespace {

CoordinatorSettings parseSettings(SettingsTable& root) {
  CoordinatorSettings settings;
  settings.name = root.requiredString("name");
  settings.operator_address = endpointSetting(root, "operator_address", "");
  settings.member_address = endpointSetting(root, "member_address", "");
  settings.zone = root.optionalString("zone", "");
  settings.data_folder = root.requiredString("data_folder");
  settings.seeds = root.strings("seeds");
  settings.bounds = root.strings("bounds");
  settings.first_start = root.optionalBool("first_start", false);
  requireEndpoints(root, "seeds", settings.seeds);
  return settings;
}

}  // namespace

std::optional<CoordinatorSettings> readCoordinatorSettings(const std::string& path,
                                                           std::string& error) {
  return readSettingsFile(path, error, parseSettings);
}

}  // namespace ramppond
