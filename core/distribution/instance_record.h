// A daemon's word on the server beside it, as it travels between daemons and control members.
#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace ramppond {

enum class InstanceState : std::uint8_t {
  kNone = 0,      ///< The daemon knows of no server beside it, or the server is gone.
  kReady = 1,     ///< Takes requests.
  kDraining = 2,  ///< Is leaving: takes no new requests.
  kStopping =
      3,  ///< The server stays, but its daemon is being stopped: only when no other is left.
};

/// A daemon's word on the server beside it.
struct InstanceRecord {
  std::string daemon_address;     ///< HOST:PORT where the daemon takes requests of its peers.
  std::uint64_t incarnation = 0;  ///< Of the daemon's process; a later start has a higher one.
  std::uint64_t revision = 0;     ///< Rises with every change within an incarnation.
  std::string zone;
  std::string instance_id;  ///< The incarnation of the server; see core/lifecycle/local_server.h.
  std::string service;
  std::uint32_t slots = 0;  ///< Requests that the server works on at a time.
  InstanceState state = InstanceState::kNone;
  Duration cold_left{0};  ///< How much longer the server is slow from its start, when reported.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, daemon_address);
    visitor(2, incarnation);
    visitor(3, revision);
    visitor(4, zone);
    visitor(5, instance_id);
    visitor(6, service);
    visitor(7, slots);
    visitor(8, state);
    visitor(9, cold_left);
  }
  [[nodiscard]] bool isNewerThan(const InstanceRecord& other) const {
    return incarnation != other.incarnation ? incarnation > other.incarnation
                                            : revision > other.revision;
  }
};

}  // namespace ramppond
