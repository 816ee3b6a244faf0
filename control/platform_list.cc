#include "control/platform_list.h"

#include <nlohmann/json.hpp>

#include "common/settings.h"

namespace ramppond {
namespace {

std::optional<ServerInfo> parseServer(const nlohmann::json& item) {
  ServerInfo server;
  for (const char* key : {"name", "service", "zone", "address", "state"}) {
    if (!item.is_object() || !item.contains(key) || !item[key].is_string()) {
      return std::nullopt;
    }
  }
  server.name = item["name"];
  server.service = item["service"];
  server.zone = item["zone"];
  server.peer_address = item["address"];
  server.leaving = item["state"] == "leaving";
  if (server.name.empty() || !parseEndpoint(server.peer_address)) {
    return std::nullopt;
  }
  return server;
}

}  // namespace

std::optional<std::vector<ServerInfo>> parsePlatformList(const std::string& json) {
  const nlohmann::json document = nlohmann::json::parse(json, nullptr, false);
  if (!document.is_object() || !document.contains("servers") || !document["servers"].is_array()) {
    return std::nullopt;
  }
  std::vector<ServerInfo> servers;
  for (const nlohmann::json& item : document["servers"]) {
    auto server = parseServer(item);
    if (!server) {
      return std::nullopt;
    }
    servers.push_back(std::move(*server));
  }
  return servers;
}

std::string formatPlatformList(const std::vector<ServerInfo>& servers) {
  nlohmann::ordered_json document;
  document["servers"] = nlohmann::ordered_json::array();
  for (const ServerInfo& server : servers) {
    nlohmann::ordered_json item;
    item["name"] = server.name;
    item["service"] = server.service;
    item["zone"] = server.zone;
    item["address"] = server.peer_address;
    item["state"] = server.leaving ? "leaving" : "live";
    document["servers"].push_back(std::move(item));
  }
  return document.dump();
}

}  // namespace ramppond
