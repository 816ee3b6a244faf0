// ramppond-control: one member of the control group, carrying out what ControlCore decides.
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

  /// Opens the data folder and starts to work. Nothing on success, else the reason.
  std::optional<std::string> start();
  void stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ramppond
