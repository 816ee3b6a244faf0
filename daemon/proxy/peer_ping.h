// Asks a peer daemon whether it still serves, apart from what its server does.
//
// Pings run over the connections that requests use. A daemon answers one at
// once with its server's load; see core/placement/peer_liveness.h for what follows from
// an answer and from its lack.
#pragma once

#include <memory>

#include "daemon/proxy/proxy_context.h"
#include "net/stream/http_client.h"
#include "net/stream/http_server.h"

namespace ramppond {

class peer_ping : public ClientHandler {
 public:
  /// Sends a ping to the daemon beside `instance`, which must outlive the loop.
  static void send(ProxyContext& context, KnownInstance& instance);

  peer_ping(ProxyContext& context, KnownInstance& instance)
      : context(context), instance(instance) {}

  void onResponseHead(HttpHead head) override;
  void onResponseBody(std::string_view /*data*/) override {}
  void onResponseEnd() override {}
  void onRequestFailed(ClientFailure failure) override;

 private:
  ProxyContext& context;
  KnownInstance& instance;
};

/// Answers `exchange` if it is a ping; false if it is not.
auto answer_ping(const ProxyContext& context, const std::shared_ptr<ServerExchange>& exchange)
    -> bool;

}  // namespace ramppond
