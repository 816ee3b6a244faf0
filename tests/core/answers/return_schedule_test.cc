// Reservations of return times, and what becomes of them when something fails.
#include "core/answers/return_schedule.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "core/answers/return_shedding.h"

namespace ramppond {
namespace {

const auto scarce = scarce_service{"scarce", 0};
constexpr auto run_time = Duration(milliseconds(100));
constexpr auto time_left = Duration(seconds(6));

class return_schedule_test : public testing::Test {
 protected:
  /// Serves `per_second` requests a second for three seconds.
  void learn(int per_second, const scarce_service& service = scarce) {
    const auto interval = Duration(seconds(1)) / per_second;
    for (int number = 0; number < 3 * per_second; ++number) {
      this->now += interval;
      this->returns.on_served(service, run_time, this->now);
    }
  }
  auto client(const std::string& name) -> client_identity { return {name, this->now + time_left}; }
  auto refuse(const client_identity& client) -> return_verdict {
    return this->returns.on_refused(scarce, client, this->now);
  }
  /// Refuses a client that gets a reservation, and returns its time from now.
  auto reserve(const client_identity& client) -> Duration {
    const auto verdict = this->refuse(client);
    const auto* reserved = std::get_if<reserved_return>(&verdict);
    EXPECT_NE(reserved, nullptr) << client.digest;
    return reserved == nullptr ? Duration(0) : reserved->after;
  }
  auto arrive(const client_identity& client) -> return_arrival {
    return this->returns.on_arrival(client, this->now);
  }

  return_schedule returns;
  TimePoint now{seconds(100)};
};

TEST_F(return_schedule_test, client_at_its_time_is_recognised_once) {
  this->learn(10);
  const auto returning = this->client("a");
  this->now += this->reserve(returning);
  EXPECT_EQ(this->arrive(returning), return_arrival::on_time);
  EXPECT_EQ(this->arrive(returning), return_arrival::new_request);
  EXPECT_EQ(this->returns.size(), 0U);
}

// A client may send its full deadline again: the page then is all that identifies it.
TEST_F(return_schedule_test, client_with_a_new_deadline_is_recognised) {
  this->learn(10);
  this->now += this->reserve(this->client("a"));
  EXPECT_EQ(this->arrive(this->client("a")), return_arrival::on_time);
}

TEST_F(return_schedule_test, early_client_gains_nothing) {
  this->learn(10);
  const auto impatient = this->client("a");
  const auto told = this->reserve(impatient);
  for (int tries = 0; tries < 5; ++tries) {
    this->now += milliseconds(10);
    EXPECT_EQ(this->arrive(impatient), return_arrival::early);
    EXPECT_EQ(this->reserve(impatient), told - milliseconds(10) * (tries + 1));
  }
  EXPECT_EQ(this->returns.counts().made, 1U);
  EXPECT_EQ(this->returns.counts().early, 5U);
}

TEST_F(return_schedule_test, refusals_at_the_same_instant_get_times_of_their_own) {
  this->learn(10);
  auto times = std::set<Duration>();
  for (int number = 0; number < 10; ++number) {
    times.insert(this->reserve(
        this->client("same page " + std::to_string(number % 2) + std::to_string(number))));
  }
  EXPECT_EQ(times.size(), 10U);
  // No faster than requests are served: ten take at least a second at ten a second.
  EXPECT_GE(*times.rbegin() - *times.begin(), milliseconds(900));
}

TEST_F(return_schedule_test, returns_at_the_same_instant_use_one_reservation_each) {
  this->learn(10);
  const auto first = this->client("a");
  this->now += milliseconds(50);
  const auto second = this->client("a");
  this->reserve(first);
  this->now += this->reserve(second);
  EXPECT_EQ(this->arrive(second), return_arrival::on_time);
  EXPECT_EQ(this->arrive(first), return_arrival::on_time);
  EXPECT_EQ(this->arrive(first), return_arrival::new_request);
}

TEST_F(return_schedule_test, time_is_never_later_than_the_client_can_use) {
  this->learn(2);
  int without = 0;
  for (int number = 0; number < 20; ++number) {
    const auto verdict = this->refuse(this->client(std::to_string(number)));
    if (const auto* reserved = std::get_if<reserved_return>(&verdict)) {
      EXPECT_LE(reserved->after, time_left / 3);
    } else {
      EXPECT_GT(std::get<late_capacity>(verdict).after, time_left / 3);
      without += 1;
    }
  }
  EXPECT_GT(without, 0);
  EXPECT_EQ(this->returns.counts().refused, static_cast<std::uint64_t>(without));
}

TEST_F(return_schedule_test, time_leaves_enough_for_the_run) {
  for (int number = 0; number < 30; ++number) {
    this->now += milliseconds(100);
    this->returns.on_served(scarce, seconds(1), this->now);
  }
  const auto hasty = client_identity{"a", this->now + milliseconds(1050)};
  EXPECT_TRUE(std::holds_alternative<late_capacity>(this->refuse(hasty)));
}

TEST_F(return_schedule_test, client_without_a_reservation_is_early_until_capacity_is_expected) {
  this->learn(10);
  const auto hasty = client_identity{"a", this->now + milliseconds(200)};
  const auto told = std::get<late_capacity>(this->refuse(hasty)).after;
  this->now += milliseconds(20);
  EXPECT_EQ(this->arrive(hasty), return_arrival::early);
  EXPECT_EQ(std::get<late_capacity>(this->refuse(hasty)).after, told - milliseconds(20));
  this->now += told;
  EXPECT_EQ(this->arrive(hasty), return_arrival::new_request);
}

TEST_F(return_schedule_test, current_rule_applies_until_the_rate_is_known) {
  EXPECT_TRUE(std::holds_alternative<unplanned_return>(this->refuse(this->client("a"))));
  this->returns.on_served(scarce, run_time, this->now);
  this->now += milliseconds(10);
  EXPECT_TRUE(std::holds_alternative<unplanned_return>(this->refuse(this->client("a"))));
}

TEST_F(return_schedule_test, current_rule_applies_when_the_client_has_no_time_left) {
  this->learn(10);
  EXPECT_TRUE(std::holds_alternative<unplanned_return>(this->refuse({"a", this->now})));
}

TEST_F(return_schedule_test, ranks_have_schedules_of_their_own) {
  this->learn(10);
  const auto other = scarce_service{"scarce", 1};
  EXPECT_TRUE(std::holds_alternative<unplanned_return>(
      this->returns.on_refused(other, this->client("a"), this->now)));
}

TEST_F(return_schedule_test, restarted_proxy_treats_clients_as_new) {
  this->learn(10);
  const auto returning = this->client("a");
  this->now += this->reserve(returning);
  this->returns = return_schedule();
  EXPECT_EQ(this->arrive(returning), return_arrival::new_request);
}

TEST_F(return_schedule_test, planned_stop_makes_no_reservation_and_keeps_earlier_ones) {
  this->learn(10);
  const auto returning = this->client("a");
  const auto told = this->reserve(returning);
  this->returns.stop();
  EXPECT_TRUE(std::holds_alternative<unplanned_return>(this->refuse(this->client("b"))));
  this->now += told;
  EXPECT_EQ(this->arrive(returning), return_arrival::on_time);
}

TEST_F(return_schedule_test, unused_reservations_are_dropped) {
  this->learn(10);
  const auto absent = this->client("a");
  this->now += this->reserve(absent) + seconds(1);
  EXPECT_EQ(this->arrive(absent), return_arrival::new_request);
  EXPECT_EQ(this->returns.size(), 0U);
  EXPECT_EQ(this->returns.counts().missed, 1U);
}

TEST_F(return_schedule_test, times_follow_a_fall_of_the_capacity) {
  this->learn(20);
  const auto fast = this->reserve(this->client("a")) + this->reserve(this->client("b"));
  this->learn(2);
  const auto slow = this->reserve(this->client("c")) + this->reserve(this->client("d"));
  EXPECT_GT(slow, fast * 2);
}

// Reservations made before a fall take longer, so later ones must wait for them.
TEST_F(return_schedule_test, reservations_before_a_fall_delay_later_ones) {
  this->learn(20);
  const auto alone = this->reserve(this->client("alone"));
  for (int number = 0; number < 10; ++number) {
    this->reserve(this->client(std::to_string(number)));
  }
  this->now += milliseconds(300);  // Nothing is served meanwhile.
  EXPECT_GE(this->reserve(this->client("after")), alone * 4);
}

TEST_F(return_schedule_test, times_follow_a_rise_of_the_capacity) {
  this->learn(4);
  const auto slow = this->reserve(this->client("a")) + this->reserve(this->client("b"));
  this->learn(40);
  const auto fast = this->reserve(this->client("c")) + this->reserve(this->client("d"));
  EXPECT_LT(fast, slow / 2);
}

// With one queue for all, patient clients would fill it beyond what others can use.
TEST_F(return_schedule_test, clients_get_reservations_whatever_time_they_have) {
  this->learn(10);
  int patient = 0;
  int hasty = 0;
  for (int number = 0; number < 400; ++number) {
    this->now += milliseconds(25);
    this->returns.on_served(scarce, run_time, this->now);
    const bool is_hasty = number % 2 == 0;
    const auto verdict =
        this->refuse({std::to_string(number), this->now + (is_hasty ? seconds(3) : seconds(9))});
    const int reserved = std::holds_alternative<reserved_return>(verdict) ? 1 : 0;
    (is_hasty ? hasty : patient) += reserved;
    this->now += milliseconds(25);
  }
  EXPECT_GT(hasty * 3, patient * 2);
}

TEST_F(return_schedule_test, is_bounded) {
  this->learn(5000);
  for (std::size_t number = 0; number < max_reservations + 100; ++number) {
    const auto patient = client_identity{std::to_string(number), this->now + seconds(60)};
    const auto verdict = this->refuse(patient);
    EXPECT_EQ(std::holds_alternative<reserved_return>(verdict), number < max_reservations);
  }
  EXPECT_EQ(this->returns.size(), max_reservations);
  this->now += seconds(20);
  EXPECT_EQ(this->arrive(this->client("new")), return_arrival::new_request);
  EXPECT_EQ(this->returns.size(), 0U);
}

// Clients that get no reservation must not use up the entries of those that would.
TEST_F(return_schedule_test, refused_clients_leave_room_for_reservations) {
  this->learn(10);
  for (std::size_t number = 0; number < max_reservations + 100; ++number) {
    this->refuse({std::to_string(number), this->now + milliseconds(200)});
  }
  EXPECT_EQ(this->returns.size(), max_entries_for_refused);
  this->reserve(this->client("patient"));
}

// A client that sends its whole deadline again each time looks like a new client of the same page.
TEST_F(return_schedule_test, entries_of_one_request_are_bounded) {
  this->learn(1000);
  for (std::size_t number = 0; number < max_entries_per_request * 2; ++number) {
    this->refuse({"resent", this->now + seconds(30) + milliseconds(6) * number});
  }
  EXPECT_EQ(this->returns.counts().made, max_entries_per_request);
  this->reserve(this->client("other"));
}

TEST_F(return_schedule_test, remembered_clients_of_one_page_leave_room_for_its_reservations) {
  this->learn(10);
  for (std::size_t number = 0; number < max_entries_per_request / 2 + 10; ++number) {
    this->refuse({"page", this->now + milliseconds(6) * (number + 1)});
  }
  EXPECT_EQ(this->returns.size(), max_entries_per_request / 2);
  this->reserve(this->client("page"));
}

// A third of the deadline of such a client is twenty minutes.
TEST_F(return_schedule_test, told_times_are_bounded) {
  this->learn(10);
  int late = 0;
  for (int number = 0; number < 200; ++number) {
    const auto verdict = this->refuse({std::to_string(number), this->now + seconds(3600)});
    if (const auto* told = std::get_if<late_capacity>(&verdict)) {
      EXPECT_LE(told->after, seconds(10));
      late += 1;
    }
  }
  EXPECT_GT(late, 0);
  this->now += seconds(11);
  this->arrive(this->client("new"));
  EXPECT_EQ(this->returns.size(), 0U);
}

// The answer to one client with a slow connection may take many minutes.
TEST_F(return_schedule_test, one_slow_transfer_does_not_end_reservations) {
  this->learn(10);
  this->returns.on_served(scarce, seconds(3600), this->now);
  this->reserve(this->client("a"));
}

const auto half_of_a_rank = std::vector<service_overload>{{"scarce", {0.5}}};
const auto all_of_a_rank = std::vector<service_overload>{{"scarce", {1}}};
const auto two_ranks = std::vector<service_overload>{{"scarce", {2}}};

TEST(return_shedding, client_on_time_is_refused_only_after_all_new_requests_of_its_rank) {
  auto random = Random(1);
  int refused = 0;
  for (int draw = 0; draw < 100; ++draw) {
    EXPECT_EQ(refusing_overload_of(return_arrival::on_time, all_of_a_rank, 0, random), nullptr);
    refused +=
        refusing_overload_of(return_arrival::on_time, two_ranks, 0, random) == nullptr ? 0 : 1;
  }
  EXPECT_GT(refused, 0);
}

TEST(return_shedding, early_client_is_refused_while_new_requests_may_be) {
  auto random = Random(1);
  for (int draw = 0; draw < 100; ++draw) {
    EXPECT_NE(refusing_overload_of(return_arrival::early, half_of_a_rank, 0, random), nullptr);
    EXPECT_EQ(refusing_overload_of(return_arrival::early, half_of_a_rank, 1, random), nullptr);
  }
}

TEST(return_shedding, new_request_is_refused_as_without_return_times) {
  auto random = Random(1);
  auto same = random;
  for (int draw = 0; draw < 100; ++draw) {
    EXPECT_EQ(refusing_overload_of(return_arrival::new_request, half_of_a_rank, 0, random),
              refusing_overload(half_of_a_rank, 0, same));
  }
}

}  // namespace
}  // namespace ramppond
