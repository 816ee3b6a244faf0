// Holds the traffic configuration in force at a coordinator and the eight before it. The one in
// force is encoded once for all proxies: in full, and as the difference from each earlier one that
// proxies may hold. No I/O; not thread safe.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "core/traffic/traffic_configuration.h"

namespace ramppond {

class traffic_history {
 public:
  /// Sets the configuration in force, which has log index `log_index`. No effect if it already was.
  void on_in_force(std::uint64_t log_index, const TrafficConfiguration& configuration);

  /// Returns the encoded configuration in force.
  [[nodiscard]] auto whole() const -> const std::string& { return this->encoded; }
  /// Returns the encoded difference from the configuration at `base_index`. Empty if that one is no
  /// longer held or if the difference is no shorter than the full configuration.
  auto difference_from(std::uint64_t base_index) -> const std::string&;

 private:
  struct previous_version {
    std::uint64_t log_index;
    TrafficConfiguration configuration;
    std::string difference;  // to the one in force; computed on first use
    bool difference_computed = false;
  };

  std::uint64_t index = 0;
  TrafficConfiguration current;
  std::string encoded;
  std::deque<previous_version> earlier;  // oldest first
};

}  // namespace ramppond
