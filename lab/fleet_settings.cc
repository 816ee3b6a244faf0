// The settings files of the fleet's processes.
#include <algorithm>
#include <fstream>

#include "lab/fleet.h"

namespace ramppond {
namespace {

// A name made unusable for paths is never made: names come from checked settings.
std::string tomlString(const std::string& text) {
  return "\"" + text + "\"";
}

std::string tomlList(const std::vector<std::string>& items) {
  std::string text = "[";
  for (const std::string& item : items) {
    text += (text.size() > 1 ? ", " : "") + tomlString(item);
  }
  return text + "]";
}

void writeFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
}

}  // namespace

void Fleet::writeSettings() {
  writeFile(path("platform.toml"),
            "listen = " + tomlString(platform_address_.address()) +
                "\nlag_ms = " + std::to_string(options_.platform_lag.count() / 1000) + "\n");
  for (const Control& control : control_) {
    writeFile(path(control.name + ".toml"),
              "name = " + tomlString(control.name) +
                  "\naddress = " + tomlString(control.address.address()) +
                  "\nadmin_address = " + tomlString(control.admin.address()) + "\ndata_folder = " +
                  tomlString(path(control.name + "-data")) + "\nplatform_url = " +
                  tomlString("http://" + platform_address_.address() + "/servers") + "\n");
  }
  std::uint64_t number = options_.random_seed * 1000;
  for (const auto& server : servers_) {
    writeServerSettings(*server, ++number);
  }
}

void Fleet::writeServerSettings(const Server& server, std::uint64_t number) {
  const ServiceSpec* spec = deployment_.findService(server.service);
  std::vector<std::string> called;
  for (const Route& route : spec->routes) {
    for (const RouteCall& call : route.calls) {
      if (std::find(called.begin(), called.end(), call.service) == called.end()) {
        called.push_back(call.service);
      }
    }
  }
  writeFile(path(server.name + ".toml"),
            "server = " + tomlString(server.name) + "\nservice = " + tomlString(server.service) +
                "\nzone = " + tomlString(server.zone) + "\nslots = " + std::to_string(spec->slots) +
                "\nfront_address = " + tomlString(server.front.address()) +
                "\npeer_address = " + tomlString(server.peer.address()) +
                "\negress_address = " + tomlString(server.egress.address()) +
                "\nadmin_address = " + tomlString(server.daemon_admin.address()) +
                "\nbackend_address = " + tomlString(server.backend.address()) +
                "\nbackend_connections = " + std::to_string(spec->connections) + "\ncontrol = " +
                tomlList(controlAddresses()) + "\nsubscriptions = " + tomlList(called) +
                "\npolicy = " + tomlString(options_.policy) +
                "\ndata_folder = " + tomlString(path(server.name + "-data")) + "\n");
  writeFile(path(server.name + "-backend.toml"),
            "server = " + tomlString(server.name) + "\nservice = " + tomlString(server.service) +
                "\ndeployment = " + tomlString(options_.deployment_path) +
                "\nlisten = " + tomlString(server.backend.address()) +
                "\nadmin_address = " + tomlString(server.backend_admin.address()) +
                "\negress_address = " + tomlString(server.egress.address()) +
                "\nhistory = " + tomlString(path(server.name + ".jsonl")) +
                "\nrandom_seed = " + std::to_string(number) + "\n");
}

}  // namespace ramppond
