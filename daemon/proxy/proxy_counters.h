// What a proxy has counted since its start, and the log line that tells it.
//
// The fields of the line keep their names, since operators search for them; where such a name
// misleads, the comment here says what it counts. On the thread of the event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "common/event_log.h"
#include "core/time.h"

namespace ramppond {

struct proxy_counters {
  // Requests that began on this machine.
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;  // by a server
  std::uint64_t refused = 0;   // 503: not run
  std::uint64_t shed = 0;      // of these, where they began, for overload further down
  std::uint64_t failed = 0;    // 502 and 504: unknown
  std::uint64_t no_route = 0;
  std::uint64_t no_tenant = 0;      // 400, 401: no key, or one that nobody holds
  std::uint64_t no_authority = 0;   // keys could not be judged: the lease has lapsed
  std::uint64_t beyond_limit = 0;   // 429: beyond the tenant's limit
  std::uint64_t limited_alone = 0;  // of these, without a recent decision of the leader
  std::uint64_t clients_gone = 0;
  std::uint64_t broken_off = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_unpaid = 0;      // not made for want of budget
  std::uint64_t retries_of_unknown = 0;  // of retries: an earlier attempt may have run

  // Requests of peers for the own server.
  std::uint64_t inbound = 0;
  std::uint64_t inbound_fenced = 0;
  std::uint64_t inbound_refused = 0;  // for want of room
  std::uint64_t inbound_broken = 0;   // since the circuit breaker was open
  std::uint64_t server_not_run = 0;
  std::uint64_t server_failures = 0;

  // Crashes of the own server, and requests that may cause them.
  std::uint64_t server_crashes = 0;
  std::uint64_t crashed_under_way = 0;  // requests that it was at work on then
  std::uint64_t isolated = 0;           // suspected requests that were to run alone
  std::uint64_t suspects_cleared = 0;   // by a good answer here, after two crashes or more
  std::uint64_t requests_blocked = 0;   // requests found to crash servers
  std::uint64_t blocks_withdrawn = 0;   // of these, found wrongly
  std::uint64_t inbound_blocked = 0;    // refused as blocked

  // Peers.
  std::uint64_t pings = 0;
  std::uint64_t silent_peers = 0;  // pings that were not answered in time
};

/// What a proxy holds at the moment of the line.
struct proxy_gauges {
  std::uint64_t server_connections = 0;  // opened to the own server since the start
  std::uint64_t surplus_answers = 0;     // of the own server, since the start
  std::size_t sockets = 0;
  std::size_t under_way = 0;  // at the own server
  std::size_t waiting = 0;    // for room there
  Duration service_time{0};   // of the own server
};

/// The fields of the log line `counters`.
[[nodiscard]] auto counter_fields(const proxy_counters& counters, const proxy_gauges& gauges)
    -> std::vector<EventField>;

}  // namespace ramppond
