// Checks whether a peer still answers, independently of its server.
//
// Pings use the same connections as requests. A proxy answers a ping at once with its server's
// load; core/placement/peer_liveness.h judges answers and missing answers. Used on the event loop's
// thread.
#pragma once

#include <memory>

#include "core/placement/instance_directory.h"
#include "net/stream/http_client.h"
#include "net/stream/http_server.h"

namespace ramppond {

class peer_ping : public ClientHandler {
 public:
  /// Sends a ping to the proxy beside `instance`. `instance` and `directory` must outlive the event
  /// loop. Destroying the returned ping discards its answer.
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
/// Answers a ping with the load of the local server.
void answer_ping(ServerExchange& exchange, const ServerLoad& load);

}  // namespace ramppond
