#include "daemon/daemon_settings.h"

#include "core/call_port/overload_policy.h"

namespace ramppond {
namespace {

constexpr IntegerRange kSlotRange = {1, 100000};
constexpr IntegerRange kBodyBytesRange = {1024, 64LL << 20};
constexpr IntegerRange kConnectionRange = {1, 100000};
constexpr std::int64_t kDefaultMaximumBodyBytes = 2LL << 20;
constexpr std::int64_t kDefaultConnections = 110;

std::vector<std::string> requiredAddresses(SettingsTable& table, const std::string& key) {
  std::vector<std::string> values = table.strings(key);
  if (values.empty()) {
    table.reject(key, "expected at least one IPv4:PORT");
  }
  for (const std::string& value : values) {
    if (!parseEndpoint(value)) {
      table.reject(key, "expected IPv4:PORT in every element");
    }
  }
  return values;
}

DaemonSettings parseSettings(SettingsTable& root) {
  DaemonSettings settings;
  settings.server = root.requiredString("server");
  settings.service = root.requiredString("service");
  settings.zone = root.requiredString("zone");
  settings.slots = static_cast<std::uint32_t>(root.requiredInteger("slots", kSlotRange));
  settings.front = endpointSetting(root, "front_address", "");
  settings.peer = endpointSetting(root, "peer_address", "");
  settings.egress = endpointSetting(root, "egress_address", "");
  settings.admin = endpointSetting(root, "admin_address", "");
  settings.backend = endpointSetting(root, "backend_address", "");
  settings.control = requiredAddresses(root, "control");
  settings.subscriptions = root.strings("subscriptions");
  settings.data_folder = root.optionalString("data_folder", "");
  settings.policy = root.choice("policy", overloadPolicyNames());
  settings.log_format = parseLogFormat(root.choice("log_format", {"text", "json"}));
  settings.maximum_body_bytes = static_cast<std::size_t>(
      root.optionalInteger("maximum_body_bytes", kDefaultMaximumBodyBytes, kBodyBytesRange));
  settings.backend_connections = static_cast<std::size_t>(
      root.optionalInteger("backend_connections", kDefaultConnections, kConnectionRange));
  return settings;
}

}  // namespace

std::optional<DaemonSettings> readDaemonSettings(const std::string& path, std::string& error) {
  return readSettingsFile(path, error, parseSettings);
}

}  // namespace ramppond
