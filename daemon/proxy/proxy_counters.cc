#include "daemon/proxy/proxy_counters.h"

#include <string>

namespace ramppond {

auto counter_fields(const proxy_counters& counters, const proxy_gauges& gauges)
    -> std::vector<EventField> {
  const auto text = [](std::uint64_t number) { return std::to_string(number); };
  return {{"requests", text(counters.requests)},
          {"answered", text(counters.answered)},
          {"refused", text(counters.refused)},
          {"shed", text(counters.shed)},
          {"failed", text(counters.failed)},
          {"no_route", text(counters.no_route)},
          {"no_tenant", text(counters.no_tenant)},
          {"no_authority", text(counters.no_authority)},
          {"beyond_limit", text(counters.beyond_limit)},
          {"limited_alone", text(counters.limited_alone)},
          {"clients_gone", text(counters.clients_gone)},
          {"broken_off", text(counters.broken_off)},
          {"attempts", text(counters.attempts)},
          {"repeats", text(counters.retries)},
          {"repeats_unpaid", text(counters.retries_unpaid)},
          {"repeats_of_unknown", text(counters.retries_of_unknown)},
          {"inbound", text(counters.inbound)},
          {"inbound_fenced", text(counters.inbound_fenced)},
          {"inbound_refused", text(counters.inbound_refused)},
          {"inbound_broken", text(counters.inbound_broken)},
          {"server_not_run", text(counters.server_not_run)},
          {"server_failures", text(counters.server_failures)},
          {"server_ends", text(counters.server_crashes)},
          {"ended_under_way", text(counters.crashed_under_way)},
          {"isolated", text(counters.isolated)},
          {"suspects_cleared", text(counters.suspects_cleared)},
          {"requests_barred", text(counters.requests_blocked)},
          {"bars_withdrawn", text(counters.blocks_withdrawn)},
          {"inbound_barred", text(counters.inbound_blocked)},
          {"pings", text(counters.pings)},
          {"silent_peers", text(counters.silent_peers)},
          {"server_connections", text(gauges.server_connections)},
          {"surplus", text(gauges.surplus_answers)},
          {"sockets", text(gauges.sockets)},
          {"under_way", text(gauges.under_way)},
          {"waiting", text(gauges.waiting)},
          {"service_us", text(static_cast<std::uint64_t>(gauges.service_time.count()))}};
}

}  // namespace ramppond
