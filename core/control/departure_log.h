// The departures of servers that the control group stores in its replicated log, so that a proxy
// that acknowledged one and was restarted does not mistake the server for a ready one.
//
// Part of ControlState. Owns the departures of the last ten minutes and is changed only by log
// entries. Each entry carries the wall clock of the leader that proposed it, in milliseconds. No
// other clock is read, so all replicas are equal. Not thread safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/distribution/server_departure.h"

namespace ramppond {

struct dated_departure {
  server_departure departure;
  std::int64_t when_ms = 0;  // time of the last change by the leader's wall clock

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, departure);
    visitor(2, when_ms);
  }
};

class departure_log {
 public:
  /// Stores the departures of `batch`. Of two departures of one incarnation, the higher
  /// last_sequence is kept.
  void apply(const departure_batch& batch, std::int64_t leader_clock_ms);

  /// Returns the stored departures of the servers beside one proxy.
  [[nodiscard]] auto departures_of(const std::string& proxy_address) const -> departure_batch;
  [[nodiscard]] auto size() const -> std::size_t { return this->by_server.size(); }

  /// Returns all departures, oldest change first.
  [[nodiscard]] auto snapshot() const -> std::vector<dated_departure>;
  void restore(const std::vector<dated_departure>& departures);

 private:
  using server_key = std::pair<std::string, std::string>;  // proxy address, server incarnation
  struct change {
    std::int64_t when_ms = 0;
    server_key server;
  };

  void put(const server_departure& departure, std::int64_t when_ms);
  void drop_oldest_beside(const std::string& proxy_address);
  void drop_old(std::int64_t clock_ms);
  [[nodiscard]] auto is_latest(const change& changed) const -> bool;

  std::map<server_key, dated_departure> by_server;
  std::deque<change> changes;  // oldest first; may list earlier changes of a server as well
};

}  // namespace ramppond
