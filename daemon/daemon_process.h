// The ramppond-daemon process: executes the actions that DaemonCore decides on, over HTTP. Owns the
// core, the HTTP servers and clients, and the thread that drives timers.
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

  /// Loads the saved configuration and starts the servers. Returns the reason on failure, else
  /// std::nullopt.
  std::optional<std::string> start();
  /// Graceful shutdown: refuses new calls, waits for those in flight, then stops the servers.
  void drainAndStop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ramppond
