// Classifies how a request's run at the local server ended: what it says about the server, and
// which refusal the sender gets if the server did not answer.
//
// The proxy decodes answers and connection failures into the types below. Stateless and thread
// safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/admission/inbound_refusal.h"
#include "core/admission/server_admission.h"
#include "core/time.h"

namespace ramppond {

/// The head of the server's answer.
struct answer_head {
  int status;             // HTTP
  bool declares_not_run;  // the server declares that the request did not run
};

[[nodiscard]] auto outcome_of(const answer_head& head) -> ServerOutcome;

/// Why a run ended without a complete answer.
enum class run_failure : std::uint8_t {
  no_socket,        // this proxy had no file descriptor left; nothing was sent
  not_connected,    // the server did not answer the connection; nothing was sent
  refused,          // the server refused the connection; nothing was sent
  connection_lost,  // the connection ended before the end of the answer
  invalid_answer,   // the data received is not a valid answer to the request
};

[[nodiscard]] auto outcome_of(run_failure failure) -> ServerOutcome;
/// Returns the reason as written in log lines.
[[nodiscard]] auto text_of(run_failure failure) -> std::string_view;

/// Returns whether a crash of the server may have caused the failure.
[[nodiscard]] constexpr auto may_be_crash(run_failure failure) -> bool {
  return failure == run_failure::connection_lost;
}

/// How much of the answer had been received when the run failed.
enum class answer_progress : std::uint8_t {
  none,
  declared_not_run,  // its head declares that the request did not run; nothing was forwarded
  begun,             // its head was forwarded
};

/// Returns the refusal that is sent in place of the server's answer, or std::nullopt if the answer
/// has begun and is cut off. `has_other_connections` tells whether other connections to the server
/// are open. It is used only if the server refused one: with others the server is full, without any
/// it is gone.
[[nodiscard]] auto refusal_after(run_failure failure, answer_progress progress,
                                 bool has_other_connections) -> std::optional<inbound_refusal>;

/// What an outcome tells the circuit breaker about the server.
enum class breaker_signal : std::uint8_t { success, failure, unknown };

/// Returns the signal for the circuit breaker. `reused_connection`: the run used a connection that
/// had been idle and that the server may have closed meanwhile. `since_failed_call`: time since a
/// request that began on this machine, most likely a call of the server, last failed.
[[nodiscard]] auto signal_of(ServerOutcome outcome, bool reused_connection,
                             Duration since_failed_call) -> breaker_signal;

}  // namespace ramppond
