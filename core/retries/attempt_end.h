// Classifies how an attempt at a request ended, which decides whether another attempt may follow.
//
// An attempt ends with an answer of the proxy beside the server, or without one. Without an answer,
// what is known about the request depends on whether its end had been sent. Stateless.
#pragma once

#include <cstdint>
#include <string_view>

namespace ramppond {

enum class attempt_end : std::uint8_t {
  not_sent,  ///< No server received it.
  not_run,   ///< A server received it and did not run it.
  unknown,   ///< It may have run.
  blocked,   ///< No server received it or will receive it, since it crashes servers.
};

/// Ways in which an attempt ends without an answer.
enum class attempt_failure : std::uint8_t {
  no_socket,        ///< This process has no file descriptor left.
  not_connected,    ///< The connection to the peer could not be established.
  connection_lost,  ///< The connection ended after something had been sent on it.
  not_admitted,     ///< The peer confirmed no slot for a request whose end is held back.
  peer_silent,      ///< The peer left a ping unanswered while the request waited there.
};

/// Returns how an attempt with this failure ended. `held_back`: the end of the request was not
/// sent, so that no server can have received the complete request.
auto end_of(attempt_failure failure, bool held_back) -> attempt_end;

/// Returns the reason as written in answers and log lines.
auto text_of(attempt_failure failure) -> std::string_view;

/// Returns whether a server received the request, regardless of the outcome.
constexpr auto was_received(attempt_end end) -> bool {
  return end == attempt_end::not_run || end == attempt_end::unknown;
}

}  // namespace ramppond
