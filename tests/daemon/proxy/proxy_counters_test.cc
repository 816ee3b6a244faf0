#include "daemon/proxy/proxy_counters.h"

#include <gtest/gtest.h>

#include <string>

namespace ramppond {
namespace {

auto text_of(const std::vector<EventField>& fields) -> std::string {
  auto text = std::string();
  for (const auto& field : fields) {
    text += std::string(field.key) + "=" + field.value + " ";
  }
  return text;
}

TEST(counter_fields, returns_every_counter_and_gauge_in_order) {
  auto c = proxy_counters();
  auto number = std::uint64_t(0);
  for (auto* counter : {&c.requests,         &c.answered,
                        &c.refused,          &c.shed,
                        &c.failed,           &c.no_route,
                        &c.no_tenant,        &c.no_authority,
                        &c.beyond_limit,     &c.limited_alone,
                        &c.clients_gone,     &c.broken_off,
                        &c.attempts,         &c.retries,
                        &c.retries_unpaid,   &c.retries_of_unknown,
                        &c.inbound,          &c.inbound_fenced,
                        &c.inbound_refused,  &c.inbound_broken,
                        &c.server_not_run,   &c.server_failures,
                        &c.server_crashes,   &c.crashed_under_way,
                        &c.isolated,         &c.suspects_cleared,
                        &c.requests_blocked, &c.blocks_withdrawn,
                        &c.inbound_blocked,  &c.pings,
                        &c.silent_peers}) {
    number += 1;
    *counter = number;
  }
  const auto gauges = proxy_gauges{32, 33, 34, 35, 36, Duration(37)};
  EXPECT_EQ(text_of(counter_fields(c, gauges)),
            "requests=1 answered=2 refused=3 shed=4 failed=5 no_route=6 no_tenant=7 "
            "no_authority=8 beyond_limit=9 limited_alone=10 clients_gone=11 broken_off=12 "
            "attempts=13 repeats=14 repeats_unpaid=15 repeats_of_unknown=16 inbound=17 "
            "inbound_fenced=18 inbound_refused=19 inbound_broken=20 server_not_run=21 "
            "server_failures=22 server_ends=23 ended_under_way=24 isolated=25 "
            "suspects_cleared=26 requests_barred=27 bars_withdrawn=28 inbound_barred=29 "
            "pings=30 silent_peers=31 server_connections=32 surplus=33 sockets=34 "
            "under_way=35 waiting=36 service_us=37 ");
}

}  // namespace
}  // namespace ramppond
