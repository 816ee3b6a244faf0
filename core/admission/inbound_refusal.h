// The closed list of answers that a proxy gives in place of its own server, with one table of what
// each of them means for the proxy that sent the request.
//
// Most are made before the server gets the request: it provably did not run and may be tried
// elsewhere without a retry budget. Two are made after the server had it. The words of the wire and
// the header that carries them belong to daemon/proxy. Pure, thread safe.
#pragma once

#include <cstdint>
#include <string_view>

namespace ramppond {

enum class inbound_refusal : std::uint8_t {
  draining,             // the server leaves, or this proxy ends soon
  other_instance,       // the request was meant for another instance, or no server is known
  trial_elsewhere,      // its quarantine trial belongs to another server of the service
  isolation_timed_out,  // other suspected requests ran for as long as it may wait
  blocked,              // it crashes the servers that run it
  breaker_open,         // the server fails its requests
  queue_full,           // no room, and its wait would exceed its patience, or too many wait
  queue_timeout,        // no room came free while it waited
  beyond_rate,          // the server names a rate that leaves no place within its patience
  deadline_near,        // too little of its time was left when there was room
  not_confirmed,        // its sender did not send the end of the request that was held back
  no_socket,            // this proxy has no socket left
  no_connection,        // the server takes no further connection at present
  server_gone,          // the server's address refuses connections and none stands
  declared_not_run,     // the server received it and says that it did not run
  connection_lost,      // the server had it, and the connection ended before an answer
};

/// What is known of a refused request, and so where it may go on.
enum class refusal_kind : std::uint8_t {
  busy,       // not handed to the server, for want of room
  fenced,     // not handed to the server: that instance takes nothing more
  elsewhere,  // not handed to this server, for what is known of the request
  blocked,    // not handed to any server, for what is known of the request
  not_run,    // handed to the server, which says that it did not run
  unknown,    // handed to the server, and may have run
};

/// The counter of the proxy that a refusal adds one to.
enum class refusal_counter : std::uint8_t { none, fenced, refused, breaker, blocked };

struct refusal_traits {
  refusal_kind kind;
  std::string_view reason;  // on the wire and in the log line `inbound_refused`
  int status;               // HTTP
  refusal_counter counter;
};

[[nodiscard]] auto traits_of(inbound_refusal refusal) -> refusal_traits;

}  // namespace ramppond
