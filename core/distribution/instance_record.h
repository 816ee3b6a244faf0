// The record of a server that the proxy beside it writes, as it travels between proxies and
// coordinators. Pure data.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "core/time.h"

namespace ramppond {

enum class InstanceState : std::uint8_t {
  kNone = 0,      ///< The proxy knows no server beside it, or the server has ended.
  kReady = 1,     ///< Takes requests.
  kDraining = 2,  ///< Is leaving and takes no new requests.
  kStopping = 3,  ///< Its proxy is stopping: chosen only if no other is left.
};

/// Written by one proxy only, so the higher (incarnation, revision) is the newer one.
struct InstanceRecord {
  std::string proxy_address;            ///< HOST:PORT where the proxy takes requests of its peers.
  std::uint64_t proxy_incarnation = 0;  ///< Of the proxy's process; a later start has a higher one.
  std::uint64_t revision = 0;           ///< Rises with every change within a process.
  std::string zone;
  std::string
      server_incarnation;  ///< Name of the server's incarnation; core/lifecycle/local_server.h.
  std::string service;
  std::uint32_t slots = 0;  ///< Requests that the server works on at a time.
  InstanceState state = InstanceState::kNone;
  Duration cold_left{0};  ///< How much longer the server is slow from its start, when reported.

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

}  // namespace ramppond
