// Connection pools of a proxy to its peers, one for each peer.
//
// Owns the pools. Relies on an event loop that outlives it and on whose thread it is used.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "net/stream/event_loop.h"
#include "net/stream/http_client.h"

namespace ramppond {

class peer_pools {
 public:
  /// `id_header` is the name of the header that matches an answer to its request.
  peer_pools(EventLoop& loop, std::string id_header);

  /// The pool for the peer at `address` (HOST:PORT). Created on first use and kept.
  auto pool_for(const std::string& address) -> HttpClientPool&;

  /// Closes idle connections to a peer whose process may be gone, since the next requests on them
  /// would be lost.
  void close_idle_to(const std::string& address);

  /// Closes connections that have exceeded the idle timeout. Call once a second.
  void sweep();

 private:
  EventLoop& loop;
  std::string id_header;
  std::map<std::string, std::unique_ptr<HttpClientPool>> pools;  // by address
};

}  // namespace ramppond
