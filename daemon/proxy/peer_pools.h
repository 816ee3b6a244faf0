// The connections of a proxy to its peers, a pool for each.
//
// Owns the pools. Relies on an event loop that outlives it, on whose thread it is used.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "net/stream/event_loop.h"
#include "net/stream/http_client.h"

namespace ramppond {

class peer_pools {
 public:
  /// `id_header` names the header by which an answer is matched to its request.
  peer_pools(EventLoop& loop, std::string id_header);

  /// The pool to the peer at `address` (HOST:PORT); made when first needed, and kept.
  auto to(const std::string& address) -> HttpClientPool&;

  /// Closes idle connections to a peer whose process may be gone: the next requests would be lost
  /// on them.
  void close_idle_to(const std::string& address);

  /// Closes connections that have been idle for too long; call once a second.
  void sweep();

 private:
  EventLoop& loop;
  std::string id_header;
  std::map<std::string, std::unique_ptr<HttpClientPool>> pools;  // by address
};

}  // namespace ramppond
