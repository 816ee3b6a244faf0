// An answer that the proxy beside a server gave in place of that server.
//
// Decodes its header fields (daemon/proxy/peer_headers.h) into a closed set of outcomes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/retries/attempt_end.h"
#include "core/time.h"
#include "net/stream/http_head.h"

namespace ramppond {

enum class peer_outcome : std::uint8_t {
  busy,       ///< The server has no room.
  fenced,     ///< The instance no longer accepts requests.
  elsewhere,  ///< Not run at this server because of what is known of the request.
  blocked,    ///< Not run at any server: the request crashes those that run it.
  not_run,    ///< The server received it and declared that it did not run.
  unknown,    ///< It may have run; the server or its answer was lost. Also for unknown outcome
              ///< tokens.
};

struct peer_answer {
  peer_outcome outcome = peer_outcome::unknown;
  std::string reason;                   ///< The outcome field as received, reason included.
  std::optional<Duration> blocked_for;  ///< For `blocked`, if the answer carried a valid time.
};

/// Returns std::nullopt if the answer is the server's own.
auto parse_peer_answer(const HttpHead& head) -> std::optional<peer_answer>;

/// The end of an attempt that received this outcome.
auto end_of(peer_outcome outcome) -> attempt_end;

}  // namespace ramppond
