// How a request's run at the own server ended: what that says of the server, and which answer its
// sender gets where the server gave none.
//
// The proxy decodes answers and connection failures into the types below. Pure, thread safe.
#pragma once

#include <cstdint>
#include <optional>

#include "core/admission/inbound_refusal.h"
#include "core/admission/server_admission.h"
#include "core/time.h"

namespace ramppond {

/// The head of the server's answer.
struct answer_head {
  int status;             // HTTP
  bool declares_not_run;  // the server says that the request did not run
};

[[nodiscard]] auto outcome_of(const answer_head& head) -> ServerOutcome;

/// Why a run ended without a whole answer.
enum class run_failure : std::uint8_t {
  no_socket,        // this proxy had none left; nothing was sent
  not_connected,    // the server did not answer the connection; nothing was sent
  refused,          // the server refused the connection; nothing was sent
  connection_lost,  // the connection ended before the answer did
  invalid_answer,   // what came was no answer to the request
};

[[nodiscard]] auto outcome_of(run_failure failure) -> ServerOutcome;

/// Whether a crash of the server may have caused it.
[[nodiscard]] constexpr auto may_be_crash(run_failure failure) -> bool {
  return failure == run_failure::connection_lost;
}

/// How far the answer had come when the run failed.
enum class answer_progress : std::uint8_t {
  none,
  declared_not_run,  // its head says that the request did not run; nothing was passed on
  begun,             // its head was passed on
};

/// The answer in place of the server's. Nothing if the server's answer has begun: it breaks off.
/// `has_other_connections` tells whether other connections to the server stand, and is used only
/// when it refused one: with some, the server is full; without any, it is gone.
[[nodiscard]] auto refusal_after(run_failure failure, answer_progress progress,
                                 bool has_other_connections) -> std::optional<inbound_refusal>;

/// What the circuit breaker is told of the server.
enum class breaker_signal : std::uint8_t { success, failure, unknown };

/// `reused_connection`: the run went over a connection that had rested, which the server may have
/// closed meanwhile. `since_failed_call`: time since a request that began on this machine, most
/// likely a call of the server, last ended without success.
[[nodiscard]] auto signal_of(ServerOutcome outcome, bool reused_connection,
                             Duration since_failed_call) -> breaker_signal;

}  // namespace ramppond
