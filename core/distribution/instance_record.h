// The record of a server, written by the proxy beside it and exchanged between proxies and
// coordinators. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/time.h"

namespace ramppond {

enum class InstanceState : std::uint8_t {
  kNone = 0,      ///< The proxy knows no server beside it, or the server has stopped.
  kReady = 1,     ///< Accepts requests.
  kDraining = 2,  ///< Is leaving and accepts no new requests.
  kStopping = 3,  ///< Its proxy is stopping: selected only if no other server is left.
};

/// Only one proxy writes a record, so the higher (proxy_incarnation, revision) is the newer one.
struct InstanceRecord {
  std::string proxy_address;  ///< HOST:PORT where the proxy accepts requests of its peers.
  std::uint64_t proxy_incarnation = 0;  ///< Of the proxy's process; increases with each start.
  std::uint64_t revision = 0;           ///< Increases with every change within a process.
  std::string zone;
  std::string
      server_incarnation;  ///< Name of the server's incarnation; see core/lifecycle/local_server.h.
  std::string service;
  std::uint32_t slots = 0;  ///< Number of requests that the server runs concurrently.
  InstanceState state = InstanceState::kNone;
  Duration cold_left{0};  ///< Remaining warm-up time of the server when the record was written.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, proxy_address);
    visitor(2, proxy_incarnation);
    visitor(3, revision);
    visitor(4, zone);
    visitor(5, server_incarnation);
    visitor(6, service);
    visitor(7, slots);
    visitor(8, state);
    visitor(9, cold_left);
  }
  [[nodiscard]] bool isNewerThan(const InstanceRecord& other) const {
    return std::tie(proxy_incarnation, revision) >
           std::tie(other.proxy_incarnation, other.revision);
  }
};

/// Returns the name of a state as it stands in log lines.
constexpr const char* nameOf(InstanceState state) {
  switch (state) {
    case InstanceState::kNone:
      return "none";
    case InstanceState::kReady:
      return "ready";
    case InstanceState::kDraining:
      return "draining";
    case InstanceState::kStopping:
      return "stopping";
  }
  return "unknown";
}

}  // namespace ramppond
