#include "control/control_settings.h"

namespace ramppond {
namespace {

constexpr IntegerRange kElectionRange = {50, 60000};
constexpr IntegerRange kHeartbeatRange = {5, 10000};
constexpr IntegerRange kSnapshotRange = {10, 10000000};
constexpr std::int64_t kDefaultElectionMs = 400;
constexpr std::int64_t kDefaultHeartbeatMs = 80;
constexpr std::int64_t kDefaultEntriesPerSnapshot = 20000;

ControlSettings parseSettings(SettingsTable& root) {
  ControlSettings settings;
  settings.name = root.requiredString("name");
  settings.address = endpointSetting(root, "address", "");
  settings.admin = endpointSetting(root, "admin_address", "");
  settings.data_folder = root.requiredString("data_folder");
  settings.platform_url = root.optionalString("platform_url", "");
  settings.election_timeout =
      milliseconds(root.optionalInteger("election_timeout_ms", kDefaultElectionMs, kElectionRange));
  settings.heartbeat_interval = milliseconds(
      root.optionalInteger("heartbeat_interval_ms", kDefaultHeartbeatMs, kHeartbeatRange));
  if (settings.heartbeat_interval * 2 > settings.election_timeout) {
    root.reject("heartbeat_interval_ms", "expected at most half of election_timeout_ms");
  }
  settings.entries_per_snapshot = static_cast<std::uint64_t>(
      root.optionalInteger("entries_per_snapshot", kDefaultEntriesPerSnapshot, kSnapshotRange));
  settings.log_format = parseLogFormat(root.choice("log_format", {"text", "json"}));
  return settings;
}

}  // namespace

std::optional<ControlSettings> readControlSettings(const std::string& path, std::string& error) {
  return readSettingsFile(path, error, parseSettings);
}

}  // namespace ramppond
