// ramppond-backend: a stand-in back end with slots, service times, internal calls and a drain.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "common/settings.h"
#include "lab/deployment.h"

namespace ramppond {

struct BackendSettings {
  std::string server;
  std::string service;
  std::string deployment_path;
  Endpoint listen;
  Endpoint admin;
  Endpoint egress;      ///< Of its own daemon, for its calls.
  std::string history;  ///< File for what it ran; empty for none.
  std::uint64_t random_seed = 1;
};

std::optional<BackendSettings> readBackendSettings(const std::string& path, std::string& error);

class BackendProcess {
 public:
  BackendProcess(BackendSettings settings, Deployment deployment);
  ~BackendProcess();
  BackendProcess(const BackendProcess&) = delete;
  BackendProcess& operator=(const BackendProcess&) = delete;

  std::optional<std::string> start();
  /// Says in every answer that it is leaving, and returns when nothing is running.
  void drainAndStop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ramppond
