// Counters of a proxy since its start, and the log line that reports them.
//
// The fields of the log line keep their names, since operators search for them; where such a name
// is misleading, the comment here says what it counts. Used on the event loop's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "common/event_log.h"
#include "core/time.h"

namespace ramppond {

struct proxy_counters {
  // Requests of clients on this machine and of the local server.
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;  // answered by a server
  std::uint64_t refused = 0;   // 503: not run
  std::uint64_t shed = 0;      // of refused: shed at their origin for overload further down
  std::uint64_t failed = 0;    // 502 and 504: may have run
  std::uint64_t no_route = 0;
  std::uint64_t no_tenant = 0;      // 400, 401: no key, or an unknown one
  std::uint64_t no_authority = 0;   // keys could not be judged: the lease has expired
  std::uint64_t beyond_limit = 0;   // 429: beyond the tenant's limit
  std::uint64_t limited_alone = 0;  // of beyond_limit: without a recent decision of the leader
  std::uint64_t clients_gone = 0;   // clients that disconnected before the end of the answer
  std::uint64_t broken_off = 0;     // answers aborted after their head was sent
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_unpaid = 0;      // not made: retry budget exhausted
  std::uint64_t retries_of_unknown = 0;  // of retries: an earlier attempt may have run

  // Requests of peers for the local server.
  std::uint64_t inbound = 0;
  std::uint64_t inbound_fenced = 0;
  std::uint64_t inbound_refused = 0;  // refused for lack of room
  std::uint64_t inbound_broken = 0;   // refused by the open circuit breaker
  std::uint64_t server_not_run = 0;
  std::uint64_t server_failures = 0;

  // Crashes of the local server, and requests that may cause them.
  std::uint64_t server_crashes = 0;
  std::uint64_t crashed_under_way = 0;  // requests in flight at a crash
  std::uint64_t isolated = 0;           // suspected requests that had to run in isolation
  std::uint64_t suspects_cleared = 0;   // by a successful answer here, after two crashes or more
  std::uint64_t requests_blocked = 0;   // requests found to crash servers
  std::uint64_t blocks_withdrawn = 0;   // of requests_blocked: found by mistake
  std::uint64_t inbound_blocked = 0;    // refused as blocked

  // Peers.
  std::uint64_t pings = 0;
  std::uint64_t silent_peers = 0;  // pings not answered in time
};

/// Values at the time of the log line.
struct proxy_gauges {
  std::uint64_t server_connections = 0;  // opened to the local server since the start
  std::uint64_t surplus_answers = 0;     // of the local server, since the start
  std::size_t sockets = 0;
  std::size_t under_way = 0;  // in flight at the local server
  std::size_t waiting = 0;    // queued for the local server
  Duration service_time{0};   // of the local server
};

/// The fields of the log line `counters`.
[[nodiscard]] auto counter_fields(const proxy_counters& counters, const proxy_gauges& gauges)
    -> std::vector<EventField>;

}  // namespace ramppond
