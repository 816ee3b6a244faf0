// The refusals that a proxy sends in place of its own server's answer, and what each of them means
// for the proxy that sent the request.
//
// Most refusals are made before the request is dispatched: the request provably did not run and may
// be sent to another server without using a retry budget. declared_not_run, connection_lost and
// invalid_answer are made after the server received it. The encoding on the wire belongs to
// daemon/proxy. Stateless and thread safe.
#pragma once

#include <cstdint>
#include <string_view>

namespace ramppond {

enum class inbound_refusal : std::uint8_t {
  draining,               // the server is leaving, or this proxy ends soon
  other_instance,         // the request was addressed to another instance, or no server is known
  quarantined_elsewhere,  // it is quarantined, and only another server of the service may run it
  isolation_timed_out,    // other suspected requests ran for as long as it was allowed to wait
  blocked,                // it crashes the servers that run it
  breaker_open,           // the server fails its requests
  queue_full,             // no free slot; its wait would exceed its patience or the queue is full
  queue_timeout,          // no slot became free while it waited
  beyond_rate,            // the rate that the server names has no token for it within its patience
  deadline_near,          // too little time was left when a slot became free
  not_confirmed,          // its sender did not send the end of the request, which it had held back
  no_socket,              // this proxy has no file descriptor left
  no_connection,          // the server accepts no further connection at present
  server_gone,            // the server's address refuses connections and none is open
  declared_not_run,       // the server received it and declares that it did not run
  connection_lost,        // the server received it, and the connection ended before an answer
  invalid_answer,         // the server received it, and what it sent is not a valid answer
};

/// What is known about a refused request, which decides where it may be sent next.
enum class refusal_kind : std::uint8_t {
  busy,       // not dispatched, because the server has no capacity for it
  fenced,     // not dispatched, because that instance accepts no requests
  elsewhere,  // not dispatched to this server, because the request is suspected of crashes
  blocked,    // not dispatched to any server, because the request crashes servers
  not_run,    // dispatched to the server, which declares that it did not run
  unknown,    // dispatched to the server, and may have run
};

/// The counter of the proxy that a refusal increments.
enum class refusal_counter : std::uint8_t { none, fenced, refused, breaker, blocked };

struct refusal_traits {
  refusal_kind kind;
  std::string_view reason;  // on the wire and in the log line `inbound_refused`
  int status;               // HTTP
  refusal_counter counter;
};

/// Returns the row of the refusal table for `refusal`.
[[nodiscard]] auto traits_of(inbound_refusal refusal) -> refusal_traits;

}  // namespace ramppond
