// Monitors the peers that have requests waiting: pings them, and moves requests away from peers
// that stopped answering.
//
// Applies the decisions of core/placement/peer_liveness.h. Relies on a directory, pools, counters
// and a set of requests that outlive it. Used on the event loop's thread.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/placement/instance_directory.h"
#include "daemon/proxy/peer_ping.h"
#include "daemon/proxy/peer_pools.h"
#include "daemon/proxy/proxy_counters.h"

namespace ramppond {

class ForwardedRequest;

class peer_monitor {
 public:
  /// `attempting` holds the requests with an attempt in flight; they are notified of silent peers.
  peer_monitor(InstanceDirectory& directory, peer_pools& pools,
               const std::set<ForwardedRequest*>& attempting, proxy_counters& counters);

  /// Must be called at intervals much shorter than the time after which a peer counts as silent.
  void check();

 private:
  void ping(KnownInstance& instance);
  void on_silent(KnownInstance& instance);

  InstanceDirectory& directory;
  peer_pools& pools;
  const std::set<ForwardedRequest*>& attempting;
  proxy_counters& counters;
  // The last ping to each peer, by address. Kept until the next one, since the pool does not keep
  // its handler alive.
  std::map<std::string, std::shared_ptr<peer_ping>> pings;
};

}  // namespace ramppond
