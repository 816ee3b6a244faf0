// ramppond-daemon: carries out what DaemonCore decides, by HTTP.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "daemon/daemon_settings.h"

namespace ramppond {

class DaemonProcess {
 public:
  explicit DaemonProcess(DaemonSettings settings);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Starts to listen and to work. Nothing on success, else the reason.
  std::optional<std::string> start();
  /// Planned stop: refuses new work, finishes what is under way, then returns.
  void drainAndStop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ramppond
