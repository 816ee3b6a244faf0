// Asks a peer whether it still serves, apart from what its server does.
//
// Pings run over the connections that requests use. A proxy answers one at once with its server's
// load; see core/placement/peer_liveness.h for what follows from an answer and from its lack. On
// the thread of the event loop.
#pragma once

#include <memory>

#include "core/placement/instance_directory.h"
#include "net/stream/http_client.h"
#include "net/stream/http_server.h"

namespace ramppond {

class peer_ping : public ClientHandler {
 public:
  /// Sends a ping to the proxy beside `instance`, which must outlive the loop as `directory` must.
  /// The ping ends unheard when what is returned goes.
  static auto send(HttpClientPool& pool, InstanceDirectory& directory, KnownInstance& instance)
      -> std::shared_ptr<peer_ping>;

  peer_ping(InstanceDirectory& directory, KnownInstance& instance)
      : directory(directory), instance(instance) {}

  void onResponseHead(HttpHead head) override;
  void onResponseBody(std::string_view /*data*/) override {}
  void onResponseEnd() override {}
  void onRequestFailed(ClientFailure failure) override;

 private:
  InstanceDirectory& directory;
  KnownInstance& instance;
};

[[nodiscard]] auto is_ping(const HttpHead& request) -> bool;
/// Answers a ping with the load of the own server.
void answer_ping(ServerExchange& exchange, const ServerLoad& load);

}  // namespace ramppond
