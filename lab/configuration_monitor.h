// Watches which configuration each daemon of a fleet has in force.
#pragma once

#include <atomic>
#include <thread>

#include "lab/fleet.h"

namespace ramppond {

/// Notes every version that a daemon puts in force in the history, on a thread of its own.
class ConfigurationMonitor {
 public:
  explicit ConfigurationMonitor(Fleet& fleet) : fleet_(fleet), thread_([this] { run(); }) {}
  ~ConfigurationMonitor() { stop(); }
  ConfigurationMonitor(const ConfigurationMonitor&) = delete;
  ConfigurationMonitor& operator=(const ConfigurationMonitor&) = delete;

  void stop() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  void run();

  Fleet& fleet_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace ramppond
