// Processes that the test rig starts, signals and reaps. Only the rig starts processes.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "common/settings.h"

namespace ramppond {

/// One child. It is killed when the rig ends, however the rig ends.
class ChildProcess {
 public:
  /// Starts `arguments` (the first is the program); output goes to the file `log`.
  ChildProcess(const std::vector<std::string>& arguments, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void signal(int number) const;
  /// Whether it still runs; reaps it if not.
  bool running();
  /// Waits until it ends and gives its exit status; 128 + signal if it was killed.
  int wait();

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

/// A TCP port of the loopback address that the kernel chose and that stays reserved: the rig keeps
/// a socket bound to it (not listening), which lets a process of the fleet listen there, again
/// after a restart too, and keeps the kernel from giving the port to anybody else.
class PortReservation {
 public:
  PortReservation();
  ~PortReservation();
  PortReservation(PortReservation&& other) noexcept;
  PortReservation& operator=(PortReservation&&) = delete;
  PortReservation(const PortReservation&) = delete;
  PortReservation& operator=(const PortReservation&) = delete;

  [[nodiscard]] Endpoint endpoint() const { return {"127.0.0.1", port_}; }
  [[nodiscard]] std::string address() const { return endpoint().toString(); }

 private:
  int socket_ = -1;
  std::uint16_t port_ = 0;
};

}  // namespace ramppond
