// The departure of a server: its announcement that it is leaving, as the proxy beside it reports it
// to the control group, which stores it and returns it to a restarted proxy. Plain data; field
// numbers are fixed.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace ramppond {

/// The last_sequence of a departure that no heartbeat can revert.
constexpr auto any_sequence = std::numeric_limits<std::uint64_t>::max();

struct server_departure {
  std::string proxy_address;        // HOST:PORT of the proxy beside the server, see InstanceRecord
  std::string server_incarnation;   // see core/lifecycle/local_server.h
  std::uint64_t last_sequence = 0;  // heartbeats up to this one do not revert the announcement

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, proxy_address);
    visitor(2, server_incarnation);
    visitor(3, last_sequence);
  }
};

/// Departures that a proxy asks the control group to store, or that the group returns to it.
struct departure_batch {
  std::vector<server_departure> departures;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, departures);
  }
};

/// Asks for the stored departures of the servers beside one proxy.
struct departure_query {
  std::string proxy_address;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, proxy_address);
  }
};

}  // namespace ramppond
