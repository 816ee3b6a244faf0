// Watches the peers that let requests wait: pings them, and moves requests away from those that
// fell silent.
//
// Carries out what core/placement/peer_liveness.h decides. Relies on a directory, pools, counters
// and a set of requests that outlive it; on the thread of the event loop.
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
  /// `under_way` holds the requests with an attempt under way; they are told of silent peers.
  peer_monitor(InstanceDirectory& directory, peer_pools& pools,
               const std::set<ForwardedRequest*>& under_way, proxy_counters& counters);

  /// To be called often beside the time after which a peer counts as silent.
  void check();

 private:
  void ping(KnownInstance& instance);
  void on_silent(KnownInstance& instance);

  InstanceDirectory& directory;
  peer_pools& pools;
  const std::set<ForwardedRequest*>& under_way;
  proxy_counters& counters;
  // The last ping to each peer, by address. Held until the next one: the pool keeps no handler
  // alive.
  std::map<std::string, std::shared_ptr<peer_ping>> pings;
};

}  // namespace ramppond
