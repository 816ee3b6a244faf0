// Sends the load queries that placement by expected completion requires, and logs how many requests
// it placed, how many of them left the zone, and how many load queries it took.
//
// Applies the decisions of core/placement/expected_completion.h. Relies on a directory and pools
// that outlive it. Owns the last query to each peer. Does nothing with another placement policy.
// Used on the event loop's thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/placement/instance_directory.h"
#include "core/placement/placement_kind.h"
#include "daemon/proxy/peer_ping.h"
#include "daemon/proxy/peer_pools.h"

namespace ramppond {

class load_queries {
 public:
  /// `zone`: of this proxy.
  load_queries(InstanceDirectory& directory, peer_pools& pools, placement_kind placement,
               std::string zone);

  /// Must be called when a request is sent to `chosen`, after the directory has chosen it.
  void on_sent(const KnownInstance& chosen);

  /// Logs the event `placement` if requests were sent since the last call. Call once a second.
  void log();

 private:
  InstanceDirectory& directory;
  peer_pools& pools;
  bool active;
  std::string zone;
  std::uint64_t requests = 0;   // since the last log line, attempts included
  std::uint64_t left_zone = 0;  // of requests
  std::uint64_t queries = 0;    // since the last log line
  // By address of the peer. A query is kept until the next one, since the pool does not keep its
  // handler alive. A peer is not queried again before its last query has ended: a paused process
  // answers none, and each would occupy a connection.
  std::map<std::string, std::shared_ptr<peer_ping>> last_queries;
};

}  // namespace ramppond
