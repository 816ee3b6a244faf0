// Checks whether a peer still answers, independently of its server, or queries the server's load.
//
// Pings use the same connections as requests. A proxy answers a ping at once with its server's
// load; core/placement/peer_liveness.h judges answers and missing answers. A load query is a ping
// whose failure says nothing about the peer, and whose answer is dropped if the server was replaced
// meanwhile. Used on the event loop's thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/placement/instance_directory.h"
#include "net/stream/http_client.h"
#include "net/stream/http_server.h"

namespace ramppond {

enum class ping_purpose : std::uint8_t { liveness, load_query };

class peer_ping : public ClientHandler {
 public:
  /// Sends a ping to the proxy beside `instance`. `instance` and `directory` must outlive the event
  /// loop. Destroying the returned ping discards its answer.
  static auto send(HttpClientPool& pool, InstanceDirectory& directory, KnownInstance& instance,
                   ping_purpose purpose = ping_purpose::liveness) -> std::shared_ptr<peer_ping>;

  peer_ping(InstanceDirectory& directory, KnownInstance& instance,
            ping_purpose purpose = ping_purpose::liveness)
      : directory(directory),
        instance(instance),
        purpose(purpose),
        incarnation(instance.record.server_incarnation) {}

  void onResponseHead(HttpHead head) override;
  void onResponseBody(std::string_view /*data*/) override {}
  void onResponseEnd() override { this->ended = true; }
  void onRequestFailed(ClientFailure failure) override;

  /// Whether the ping was answered or has failed.
  [[nodiscard]] auto has_ended() const -> bool { return this->ended; }

 private:
  InstanceDirectory& directory;
  KnownInstance& instance;
  ping_purpose purpose;
  std::string incarnation;  // of the server when the ping was sent
  bool ended = false;
};

[[nodiscard]] auto is_ping(const HttpHead& request) -> bool;
/// Answers a ping with the load of the local server.
void answer_ping(ServerExchange& exchange, const ServerLoad& load);

}  // namespace ramppond
