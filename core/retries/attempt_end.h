// How an attempt to have a request run by a server ended, as far as a further attempt is concerned.
//
// An attempt ends by an answer of the proxy beside the server, or without one: then what is known
// of the request depends on whether its end had been sent. Pure.
#pragma once

#include <cstdint>
#include <string_view>

namespace ramppond {

enum class attempt_end : std::uint8_t {
  not_sent,  ///< No server received it.
  not_run,   ///< A server received it and did not run it.
  unknown,   ///< It may have run.
  blocked,   ///< No server received it, and none will: it crashes the servers that run it.
};

/// Ways in which an attempt ends without an answer.
enum class attempt_failure : std::uint8_t {
  no_socket,        ///< This process is short of descriptors.
  not_connected,    ///< The peer could not be connected to.
  connection_lost,  ///< The connection ended after something had been sent on it.
  not_admitted,     ///< The peer confirmed no room for a request whose end is held back.
  peer_silent,      ///< The peer left a ping unanswered while the request waited there.
};

/// `held_back`: the end of the request was not sent, so that no server can have received it whole.
auto end_of(attempt_failure failure, bool held_back) -> attempt_end;

/// As in answers and log lines.
auto text_of(attempt_failure failure) -> std::string_view;

/// Whether a server received the request, whatever came of it.
constexpr auto was_received(attempt_end end) -> bool {
  return end == attempt_end::not_run || end == attempt_end::unknown;
}

}  // namespace ramppond
