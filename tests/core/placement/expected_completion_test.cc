// Placement by expected completion: one test for each failure of its inputs, and for its rules.
#include "core/placement/expected_completion.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <string>

#include "core/placement/instance_directory.h"

namespace ramppond {
namespace {

constexpr std::uint32_t slots = 20;
constexpr auto usual_time = milliseconds(30);
constexpr int choices = 1000;

auto record(const std::string& proxy, const std::string& zone, std::uint64_t revision = 1)
    -> InstanceRecord {
  auto record = InstanceRecord();
  record.proxy_address = proxy;
  record.proxy_incarnation = 1;
  record.revision = revision;
  record.zone = zone;
  record.server_incarnation = "i-" + proxy;
  record.service = "scarce";
  record.slots = slots;
  record.state = InstanceState::kReady;
  return record;
}

auto load_of(std::uint32_t under_way, std::uint32_t waiting, Duration service = usual_time)
    -> ServerLoad {
  auto load = ServerLoad();
  load.limit = slots;
  load.under_way = under_way;
  load.waiting = waiting;
  load.service_time = service;
  return load;
}

const auto full = load_of(slots, 0);
const auto crowded = load_of(slots, 200);

/// Servers a1 to a4 in the own zone, b1 to b4 in another one.
class expected_completion_test : public testing::Test {
 protected:
  expected_completion_test() {
    for (const std::string zone : {"a", "b"}) {
      for (int number = 1; number <= 4; ++number) {
        this->names.insert(zone + std::to_string(number));
        this->directory.offer(record(zone + std::to_string(number), zone));
      }
    }
  }
  auto find(const std::string& name) -> KnownInstance& {
    auto others = this->names;
    others.erase(name);
    return *this->directory.choose("scarce", "route", others, this->now);
  }
  void report(const std::string& name, const ServerLoad& load) {
    this->directory.onLoad(this->find(name), "route", load, this->now);
  }
  void report_all(const ServerLoad& load) {
    for (const auto& name : this->names) {
      this->report(name, load);
    }
  }
  /// Returns the share of the choices that each server gets. Nothing is sent.
  auto shares() -> std::map<std::string, double> {
    auto shares = std::map<std::string, double>();
    for (int number = 0; number < choices; ++number) {
      const auto* chosen = this->directory.choose("scarce", "route", {}, this->now);
      shares[chosen->record.proxy_address] += 1.0 / choices;
    }
    return shares;
  }
  auto share_of_zone(char zone) -> double {
    double sum = 0;
    for (const auto& [name, share] : this->shares()) {
      sum += name[0] == zone ? share : 0;
    }
    return sum;
  }
  auto queried() -> std::size_t {
    this->directory.choose("scarce", "route", {}, this->now);
    return this->directory.takeLoadQueries().size();
  }

  std::set<std::string> names;
  InstanceDirectory directory{{"a", 1, placement_kind::expected_completion}};
  TimePoint now = seconds(10);
};

// Guards against an arbitrary server after a restart of the proxy, when no load is known.
TEST_F(expected_completion_test, selects_as_by_utilization_before_the_first_report) {
  auto control = InstanceDirectory({"a", 1, placement_kind::utilization});
  for (const auto& name : this->names) {
    control.offer(record(name, name.substr(0, 1)));
  }
  for (int number = 0; number < choices; ++number) {
    const auto* expected = control.choose("scarce", "route", {}, this->now);
    const auto* chosen = this->directory.choose("scarce", "route", {}, this->now);
    ASSERT_EQ(chosen->record.proxy_address, expected->record.proxy_address);
  }
}

// Guards against lost or late responses: a server that was crowded would never be selected again.
TEST_F(expected_completion_test, discards_stale_reports) {
  this->report_all(full);
  this->report("a1", crowded);
  EXPECT_LT(this->shares()["a1"], 0.05);
  this->now += milliseconds(600);
  EXPECT_NEAR(this->shares()["a1"], 0.25, 0.1);
}

struct wrong_value {
  const char* name;
  ServerLoad load;
};

void PrintTo(const wrong_value& value, std::ostream* out) {
  *out << value.name;
}

class wrong_value_test : public expected_completion_test,
                         public testing::WithParamInterface<wrong_value> {};

// Guards against a wrong value of one server that attracts all requests, or keeps them from the
// other servers of its zone.
TEST_P(wrong_value_test, does_not_move_the_other_servers_requests) {
  this->report_all(full);
  this->report("a1", GetParam().load);
  this->now += milliseconds(200);
  auto shares = this->shares();
  for (const auto* name : {"a2", "a3", "a4"}) {
    EXPECT_GT(shares[name], 0.1) << name;
  }
}

auto with_slowdown(std::uint32_t percent) -> ServerLoad {
  auto load = full;
  load.slowdown_percent = percent;
  return load;
}
/// The report of a server whose requests take `usual_time` at usual speed.
auto slowed(std::uint32_t percent) -> ServerLoad {
  auto load = load_of(slots, 0, usual_time * percent / 100);
  load.slowdown_percent = percent;
  return load;
}
auto with_limit(std::uint32_t limit) -> ServerLoad {
  auto load = full;
  load.limit = limit;
  return load;
}
constexpr auto huge = std::numeric_limits<std::uint32_t>::max();

INSTANTIATE_TEST_SUITE_P(
    table, wrong_value_test,
    testing::Values(wrong_value{"slowdown_zero", with_slowdown(0)},
                    wrong_value{"slowdown_huge", with_slowdown(huge)},
                    wrong_value{"slowdown_tiny", with_slowdown(1)},
                    wrong_value{"limit_zero", with_limit(0)},
                    wrong_value{"limit_huge", with_limit(huge)},
                    wrong_value{"service_time_tiny", load_of(slots, 0, Duration(1))},
                    wrong_value{"service_time_negative", load_of(slots, 0, Duration(-5))},
                    wrong_value{"service_time_huge", load_of(slots, 0, Duration::max())},
                    wrong_value{"waiting_huge", load_of(slots, huge / 2)}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a former server's load that is attributed to the one that replaced it.
TEST_F(expected_completion_test, drops_the_load_of_a_replaced_server) {
  this->report_all(full);
  auto slowed = crowded;
  slowed.slowdown_percent = 300;
  this->report("a1", slowed);
  EXPECT_LT(this->shares()["a1"], 0.05);
  auto next = record("a1", "a", 2);
  next.server_incarnation = "another";
  this->directory.offer(next);
  EXPECT_FALSE(this->find("a1").slowdown);
  EXPECT_GT(this->shares()["a1"], 0.1);
}

// Guards against reports of older proxies, without the slowdown, that count as something else than
// the usual speed.
TEST_F(expected_completion_test, missing_slowdown_counts_as_usual_speed) {
  this->report_all(with_slowdown(100));
  this->report("a1", full);
  this->now += milliseconds(200);
  EXPECT_NEAR(this->shares()["a1"], 0.25, 0.1);
}

TEST_F(expected_completion_test, slowed_server_gets_fewer_requests_until_its_report_is_old) {
  this->report_all(slowed(100));
  this->report("a1", slowed(400));
  EXPECT_LT(this->shares()["a1"], 0.05);
  this->now += milliseconds(600);
  EXPECT_NEAR(this->shares()["a1"], 0.25, 0.1);
}

struct slowdown_row {
  const char* name;
  std::uint32_t percent;  // in the report of the service time
  Duration service_time;
  std::uint32_t later_percent;  // in the response to a load query
  double expected_share;        // of the own zone; 1 of 4 servers is slowed
};

void PrintTo(const slowdown_row& row, std::ostream* out) {
  *out << row.name;
}

class slowdown_test : public expected_completion_test,
                      public testing::WithParamInterface<slowdown_row> {};

// Guards against a slowdown that is counted twice, since reported service times include it, and
// against a service time whose slowdown is taken from another report.
TEST_P(slowdown_test, counts_once) {
  this->report_all(slowed(100));
  auto slow = slowed(GetParam().percent);
  slow.service_time = GetParam().service_time;
  this->report("a1", slow);
  auto later = slowed(GetParam().later_percent);
  later.service_time = Duration(0);
  this->directory.onLoad(this->find("a1"), "", later, this->now);
  // No report is fresh, so servers are drawn in proportion to their speed.
  this->now += milliseconds(100);
  EXPECT_NEAR(this->shares()["a1"], GetParam().expected_share, 0.04);
}

// After 100 ms, a fifth less of the slowdown counts: 2 counts as 1.8.
constexpr double slowed_share = 1 / 1.8 / (3 + 1 / 1.8);

INSTANTIATE_TEST_SUITE_P(
    table, slowdown_test,
    testing::Values(slowdown_row{"usual_speed", 100, usual_time, 100, 0.25},
                    slowdown_row{"lasts", 200, 2 * usual_time, 200, slowed_share},
                    slowdown_row{"has_ended", 200, 2 * usual_time, 100, 0.25},
                    slowdown_row{"has_begun", 100, usual_time, 200, slowed_share},
                    slowdown_row{"clamped_like_the_service_time", 5000, 10 * usual_time, 100, 0.25},
                    slowdown_row{"clamped_below", 1, usual_time / 2, 100, 0.25}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(expected_completion_test, draws_in_proportion_to_speed_when_no_report_is_fresh) {
  this->report_all(full);
  this->report("a1", load_of(slots, 0, 3 * usual_time));
  this->now += milliseconds(600);
  auto shares = this->shares();
  EXPECT_NEAR(shares["a1"], 0.1, 0.05);
  EXPECT_NEAR(shares["a2"], 0.3, 0.1);
}

struct zone_row {
  const char* name;
  ServerLoad near;
  ServerLoad far;
  bool leaves;
};

void PrintTo(const zone_row& row, std::ostream* out) {
  *out << row.name;
}

class zone_test : public expected_completion_test, public testing::WithParamInterface<zone_row> {};

// Guards against requests that are exchanged between zones of about the same load.
TEST_P(zone_test, is_left_only_for_an_earlier_completion) {
  for (const auto& name : this->names) {
    this->report(name, name[0] == 'a' ? GetParam().near : GetParam().far);
  }
  EXPECT_NEAR(this->share_of_zone('b'), GetParam().leaves ? 1 : 0, 0.001);
}

INSTANTIATE_TEST_SUITE_P(
    table, zone_test,
    testing::Values(zone_row{"both_idle", load_of(0, 0), load_of(0, 0), false},
                    zone_row{"nearly_full", load_of(slots - 1, 0), load_of(0, 0), false},
                    zone_row{"both_crowded", crowded, crowded, false},
                    zone_row{"a_little_more", load_of(slots, 42), load_of(slots, 40), false},
                    zone_row{"one_crowded", crowded, load_of(0, 0), true},
                    zone_row{"other_crowded", load_of(0, 0), crowded, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(expected_completion_test, queries_no_load_while_the_service_is_lightly_used) {
  this->report_all(load_of(slots / 2, 0));
  this->now += milliseconds(200);
  EXPECT_EQ(this->queried(), 0U);
}

// Guards against a service that is flooded with load queries.
TEST_F(expected_completion_test, queries_each_server_once_until_the_query_is_answered_or_lost) {
  this->report_all(full);
  this->now += milliseconds(200);
  std::size_t sum = 0;
  for (int number = 0; number < choices; ++number) {
    const auto queried = this->queried();
    EXPECT_LE(queried, 2U);
    sum += queried;
  }
  EXPECT_EQ(sum, 4U);  // The servers of the own zone, which is not too busy.
  this->now += milliseconds(100);
  EXPECT_GT(this->queried(), 0U);
}

TEST_F(expected_completion_test, retries_cause_no_load_queries) {
  this->report_all(full);
  this->now += milliseconds(200);
  this->directory.choose("scarce", "route", {"a1"}, this->now);
  EXPECT_TRUE(this->directory.takeLoadQueries().empty());
}

TEST_F(expected_completion_test, fresh_results_make_queries_unnecessary_until_used_up) {
  this->report_all(full);
  EXPECT_EQ(this->queried(), 0U);
  for (const auto& name : this->names) {
    for (int sent = 0; sent < 3; ++sent) {
      this->directory.onSent(this->find(name), this->now);
    }
  }
  EXPECT_GT(this->queried(), 0U);
}

// Guards against the loss of the order of last resorts, which the cost by utilization has.
TEST_F(expected_completion_test, prefers_usable_servers_however_crowded) {
  this->report_all(full);
  this->report("a1", crowded);
  for (const auto& name : this->names) {
    auto& instance = this->find(name);
    if (name == "a2") {
      this->directory.onRefused(instance, this->now);
    } else if (name != "a1") {
      this->directory.onUnreachable(instance, this->now);
    }
  }
  EXPECT_NEAR(this->shares()["a1"], 1, 1e-6);
  this->directory.onUnreachable(this->find("a1"), this->now);
  EXPECT_NEAR(this->shares()["a2"], 1, 1e-6);
}

}  // namespace
}  // namespace ramppond
