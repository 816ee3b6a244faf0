#include "core/admission/machine_slowdown.h"

#include <gtest/gtest.h>

#include <vector>

#include "core/admission/server_admission.h"

namespace ramppond {
namespace {

// Any time of a monotonic clock.
constexpr auto start = TimePoint(seconds(1000));

auto report(std::uint32_t percent) -> named_server_load {
  return server_load_report{3, 0, 24, percent};
}

TEST(machine_slowdown, uses_the_latest_value_without_smoothing) {
  auto machine = machine_slowdown();
  machine.on_report(report(300), start);
  EXPECT_EQ(machine.factor(start).value, 3);
  machine.on_report(report(100), start + milliseconds(1));
  EXPECT_EQ(machine.percent(start + milliseconds(1)), 100U);
  EXPECT_EQ(machine.factor(start + milliseconds(1)).value, 1);
  EXPECT_EQ(machine.age(start + milliseconds(31)), milliseconds(30));
}

// Responses late or lost: a slowdown that has ended must not keep requests away.
TEST(machine_slowdown, is_unknown_without_a_report_for_200_ms) {
  auto machine = machine_slowdown();
  machine.on_report(report(300), start);
  EXPECT_TRUE(machine.percent(start + milliseconds(200)));
  EXPECT_FALSE(machine.percent(start + milliseconds(201)));
  EXPECT_EQ(machine.factor(start + milliseconds(201)).value, 1);
}

// A restarted proxy has a new object: nothing is known and nothing is queried before a response.
TEST(machine_slowdown, is_unknown_before_the_first_report) {
  const auto machine = machine_slowdown();
  EXPECT_FALSE(machine.percent(start));
  EXPECT_EQ(machine.factor(start).value, 1);
  EXPECT_FALSE(machine.next_query());
  EXPECT_EQ(machine.work_clock(start), start);
}

TEST(machine_slowdown, is_dropped_with_the_incarnation) {
  auto machine = machine_slowdown();
  machine.on_report(report(300), start);
  machine.on_new_incarnation(start + milliseconds(30));
  EXPECT_FALSE(machine.percent(start + milliseconds(30)));
  EXPECT_EQ(machine.factor(start + milliseconds(30)).value, 1);
  EXPECT_FALSE(machine.next_query());
  EXPECT_EQ(machine.work_clock(start + milliseconds(130)), start + milliseconds(110));
}

TEST(machine_slowdown, ignores_unreadable_reports) {
  auto machine = machine_slowdown();
  machine.on_report(report(300), start);
  machine.on_report(unreadable_load_report{"text"}, start + milliseconds(10));
  EXPECT_EQ(machine.percent(start + milliseconds(10)), 300U);
  EXPECT_EQ(machine.age(start + milliseconds(10)), milliseconds(10));
  EXPECT_EQ(machine.next_query(), start + milliseconds(100));
}

TEST(machine_slowdown, clamps_extreme_values_in_estimates) {
  auto machine = machine_slowdown();
  machine.on_report(report(max_reported_slowdown_percent), start);
  EXPECT_EQ(machine.factor(start).value, 10);
  machine.on_report(report(min_reported_slowdown_percent), start);
  EXPECT_EQ(machine.factor(start).value, 0.5);
}

// The health path of other servers takes a slot.
TEST(machine_slowdown, queries_only_servers_that_report_a_slowdown) {
  auto machine = machine_slowdown();
  machine.on_report(server_load_report{3, 0, 24}, start);
  EXPECT_FALSE(machine.next_query());
  machine.on_report(report(100), start);
  EXPECT_EQ(machine.next_query(), start + milliseconds(100));
  machine.on_report(no_load_report{}, start);
  EXPECT_FALSE(machine.next_query());
  machine.on_report(report(100), start);
  machine.on_report(server_load_report{3, 0, 24}, start);
  EXPECT_FALSE(machine.next_query());
}

TEST(machine_slowdown, renewed_value_postpones_the_query) {
  auto machine = machine_slowdown();
  machine.on_report(report(100), start);
  machine.on_report(report(100), start + milliseconds(60));
  EXPECT_EQ(machine.next_query(), start + milliseconds(160));
}

// A server that never answers its health path must not receive more.
TEST(machine_slowdown, queries_one_at_a_time_and_at_most_ten_a_second) {
  auto machine = machine_slowdown();
  machine.on_report(report(100), start);
  auto sent = std::vector<TimePoint>();
  for (auto now = start; now < start + seconds(3); now += milliseconds(1)) {
    if (!machine.next_query() || *machine.next_query() > now) {
      continue;
    }
    machine.on_query_sent(now);
    EXPECT_FALSE(machine.next_query());
    machine.on_query_ended();
    sent.push_back(now);
  }
  ASSERT_GT(sent.size(), 10U);
  for (auto later = std::size_t(10); later < sent.size(); ++later) {
    EXPECT_GE(sent[later] - sent[later - 10], seconds(1));
  }
}

TEST(machine_slowdown, work_clock_advances_by_the_work_done) {
  auto machine = machine_slowdown();
  machine.on_report(report(300), start);
  EXPECT_EQ(machine.work_clock(start + milliseconds(150)), start + milliseconds(50));
  machine.on_report(report(100), start + milliseconds(150));
  EXPECT_EQ(machine.work_clock(start + milliseconds(250)), start + milliseconds(150));
  machine.on_report(report(200), start + milliseconds(250));
  EXPECT_EQ(machine.work_clock(start + milliseconds(450)), start + milliseconds(250));
  // The value is unknown from here on: usual speed is assumed.
  EXPECT_EQ(machine.work_clock(start + milliseconds(550)), start + milliseconds(350));
}

// A server that always reports the same wrong value must be treated as one that reports none.
TEST(machine_slowdown, constant_value_changes_no_estimate) {
  auto machine = machine_slowdown();
  machine.on_report(report(300), start);
  const auto end = start + milliseconds(90);
  auto times = service_time_estimate();
  times.on_begun(start);
  times.on_ended(start, true, end, machine.work_clock(end) - machine.work_clock(start));
  EXPECT_EQ(times.smoothed(), milliseconds(30));
  EXPECT_EQ(times.current(end, machine.factor(end)), milliseconds(90));
}

/// Returns what a request that has to wait is told at this slowdown.
auto verdict_at(slowdown_factor slowdown) -> AdmissionVerdict {
  auto admission = ServerAdmission();
  admission.setSlots(1);
  auto request = AdmissionRequest();
  request.patience = milliseconds(100);
  request.slowdown = slowdown;
  admission.offer(request, start);
  request.id = 1;
  return admission.offer(request, start);  // expected to wait 50 ms at usual speed
}

TEST(machine_slowdown, refusals_beside_the_server_follow_it_at_once) {
  EXPECT_EQ(verdict_at({1}), AdmissionVerdict::kWait);
  EXPECT_EQ(verdict_at({3}), AdmissionVerdict::kRefuse);
}

}  // namespace
}  // namespace ramppond
