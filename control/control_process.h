// The ramppond-control process: one member of the control group, which executes the work that
// ControlCore decides on.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "control/control_settings.h"

namespace ramppond {

class ControlProcess {
 public:
  explicit ControlProcess(ControlSettings settings);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /// Opens the data folder and starts the servers and the event thread. Returns the reason on
  /// failure, else std::nullopt.
  std::optional<std::string> start();
  /// Stops the servers and joins the event thread.
  void stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ramppond
