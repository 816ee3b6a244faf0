// Holds the traffic configuration in force at a coordinator and the eight before it, each encoded
// once for all proxies: whole, and as the difference from every earlier one that proxies may hold.
// Pure, not thread safe.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "core/traffic/traffic_configuration.h"

namespace ramppond {

class traffic_history {
 public:
  /// `configuration` is in force since `log_index`. Nothing changes if it was before.
  void on_in_force(std::uint64_t log_index, const TrafficConfiguration& configuration);

  /// The encoded configuration in force.
  [[nodiscard]] auto whole() const -> const std::string& { return this->encoded; }
  /// The encoded difference from the configuration at `base_index`; empty where that one is
  /// forgotten, or where the difference is no shorter than the whole.
  auto difference_from(std::uint64_t base_index) -> const std::string&;

 private:
  struct past {
    std::uint64_t log_index;
    TrafficConfiguration configuration;
    std::string difference;  // to the one in force; empty until it is asked for
    bool compared = false;
  };

  std::uint64_t index = 0;
  TrafficConfiguration current;
  std::string encoded;
  std::deque<past> earlier;  // oldest first
};

}  // namespace ramppond
