// An answer that the proxy beside a server made itself, in place of that server.
//
// Decodes its header fields (daemon/proxy/peer_headers.h) into a closed list of outcomes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/retries/attempt_end.h"
#include "core/time.h"
#include "net/stream/http_head.h"

namespace ramppond {

enum class peer_outcome : std::uint8_t {
  busy,       ///< There is no room at its server.
  fenced,     ///< That instance takes no requests any more.
  elsewhere,  ///< Not at this server, for what is known of the request.
  blocked,    ///< At no server: it crashes those that run it.
  not_run,    ///< The server received it and says that it did not run.
  unknown,    ///< It may have run; the server or its answer was lost. Also for unknown words.
};

struct peer_answer {
  peer_outcome outcome = peer_outcome::unknown;
  std::string reason;                   ///< The outcome and its reason as they came.
  std::optional<Duration> blocked_for;  ///< With blocked, if it came with a readable time.
};

/// Nothing if the answer is the server's.
auto read_peer_answer(const HttpHead& head) -> std::optional<peer_answer>;

/// How an attempt ended that was answered so.
auto end_of(peer_outcome outcome) -> attempt_end;

}  // namespace ramppond
