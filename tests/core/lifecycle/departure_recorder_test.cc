#include "core/lifecycle/departure_recorder.h"

#include <gtest/gtest.h>

#include <functional>

namespace ramppond {
namespace {

constexpr auto start = TimePoint(seconds(100));
constexpr auto patience = milliseconds(900);  // of a server, less the way of the answer
constexpr auto retry_pause = milliseconds(100);

auto departure(const std::string& incarnation, std::uint64_t last_sequence = any_sequence)
    -> server_departure {
  return {"", incarnation, last_sequence};
}

auto stored_by(const std::optional<departure_call>& call) -> std::vector<server_departure> {
  const auto* store = call ? std::get_if<store_departures>(&*call) : nullptr;
  return store == nullptr ? std::vector<server_departure>() : store->batch.departures;
}

auto restored_recorder() -> departure_recorder {
  auto recorder = departure_recorder("10.0.0.1:1", start);
  recorder.take_call(start);
  recorder.on_result(departure_result::done, start);
  return recorder;
}

struct restore_case {
  const char* name;
  std::optional<departure_result> result;  // of the call that reads; std::nullopt while in flight
  Duration elapsed;                        // since the start of the process
  bool may_process;
};

void PrintTo(const restore_case& restored, std::ostream* out) {
  *out << restored.name;
}

class restore_test : public testing::TestWithParam<restore_case> {};

// Guards against reports that are processed before the departures of the former process are known,
// and against a proxy that does not take its server while no control member answers.
TEST_P(restore_test, reports_wait_for_stored_departures_for_a_limited_time) {
  auto recorder = departure_recorder("10.0.0.1:1", start);
  const auto call = recorder.take_call(start);
  ASSERT_TRUE(call);
  const auto* read = std::get_if<read_departures>(&*call);
  ASSERT_NE(read, nullptr);
  EXPECT_EQ(read->query.proxy_address, "10.0.0.1:1");
  if (GetParam().result) {
    recorder.on_result(*GetParam().result, start + Duration(1));
  }
  EXPECT_EQ(recorder.may_process_reports(start + GetParam().elapsed), GetParam().may_process);
}

INSTANTIATE_TEST_SUITE_P(
    results, restore_test,
    testing::Values(restore_case{"done", departure_result::done, milliseconds(1), true},
                    restore_case{"earlier_version", departure_result::unsupported, milliseconds(1),
                                 true},
                    restore_case{"in_flight", std::nullopt, patience - Duration(1), false},
                    restore_case{"in_flight_too_long", std::nullopt, patience, true},
                    restore_case{"failed", departure_result::failed, milliseconds(1), false},
                    restore_case{"failed_too_long", departure_result::failed, patience, true}),
    [](const auto& test) { return std::string(test.param.name); });

TEST(departure_recorder, reads_again_after_a_failed_call) {
  auto recorder = departure_recorder("10.0.0.1:1", start);
  ASSERT_TRUE(recorder.take_call(start));
  EXPECT_FALSE(recorder.take_call(start + seconds(1)));  // one is in flight
  recorder.on_result(departure_result::failed, start);
  EXPECT_FALSE(recorder.take_call(start + retry_pause - Duration(1)));
  const auto again = recorder.take_call(start + retry_pause);
  ASSERT_TRUE(again);
  EXPECT_TRUE(std::holds_alternative<read_departures>(*again));
  recorder.on_result(departure_result::done, start + retry_pause);
  EXPECT_FALSE(recorder.has_work());
}

struct verdict_case {
  const char* name;
  std::optional<departure_result> result;  // of the call that stores; std::nullopt while in flight
  Duration elapsed;                        // since the report was received
  report_verdict verdict;
};

void PrintTo(const verdict_case& report, std::ostream* out) {
  *out << report.name;
}

class verdict_test : public testing::TestWithParam<verdict_case> {};

// Guards against an acknowledgement of a departure that is lost with the process.
TEST_P(verdict_test, departure_is_acknowledged_only_once_it_is_stored) {
  auto recorder = restored_recorder();
  recorder.announce(departure("a"));
  const auto number = recorder.last_announced();
  EXPECT_EQ(recorder.verdict(number, start, start), report_verdict::wait);
  ASSERT_EQ(stored_by(recorder.take_call(start)).size(), 1U);
  if (GetParam().result) {
    recorder.on_result(*GetParam().result, start);
  }
  EXPECT_EQ(recorder.verdict(number, start, start + GetParam().elapsed), GetParam().verdict);
}

INSTANTIATE_TEST_SUITE_P(
    results, verdict_test,
    testing::Values(
        verdict_case{"done", departure_result::done, Duration(0), report_verdict::acknowledge},
        verdict_case{"done_late", departure_result::done, 2 * patience,
                     report_verdict::acknowledge},
        verdict_case{"earlier_version", departure_result::unsupported, Duration(0),
                     report_verdict::acknowledge},
        verdict_case{"in_flight", std::nullopt, patience - Duration(1), report_verdict::wait},
        verdict_case{"in_flight_too_long", std::nullopt, patience, report_verdict::refuse},
        verdict_case{"failed", departure_result::failed, Duration(0), report_verdict::wait},
        verdict_case{"failed_too_long", departure_result::failed, patience,
                     report_verdict::refuse}),
    [](const auto& test) { return std::string(test.param.name); });

TEST(departure_recorder, report_without_pending_departure_is_acknowledged_at_once) {
  const auto recorder = restored_recorder();
  EXPECT_EQ(recorder.verdict(recorder.last_announced(), start, start), report_verdict::acknowledge);
}

TEST(departure_recorder, report_does_not_wait_for_later_departures) {
  auto recorder = restored_recorder();
  recorder.announce(departure("a"));
  const auto first = recorder.last_announced();
  recorder.take_call(start);
  recorder.announce(departure("b"));
  const auto second = recorder.last_announced();
  recorder.on_result(departure_result::done, start);
  EXPECT_EQ(recorder.verdict(first, start, start), report_verdict::acknowledge);
  EXPECT_EQ(recorder.verdict(second, start, start), report_verdict::wait);
  const auto next = stored_by(recorder.take_call(start));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].server_incarnation, "b");
}

// Guards against a leave that is acknowledged because the server's draining was stored.
TEST(departure_recorder, departure_with_a_higher_sequence_is_stored_once_more) {
  auto recorder = restored_recorder();
  recorder.announce(departure("a", 5));
  ASSERT_EQ(stored_by(recorder.take_call(start)).size(), 1U);
  recorder.announce(departure("a"));
  const auto leave = recorder.last_announced();
  recorder.on_result(departure_result::done, start);
  EXPECT_EQ(recorder.verdict(leave, start, start), report_verdict::wait);
  const auto next = stored_by(recorder.take_call(start));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].last_sequence, any_sequence);
  recorder.on_result(departure_result::done, start);
  EXPECT_EQ(recorder.verdict(leave, start, start), report_verdict::acknowledge);
}

// Guards against memory that grows with the reports while no control member answers.
TEST(departure_recorder, is_full_with_64_pending_departures) {
  auto recorder = restored_recorder();
  for (auto i = 0; i < 64; ++i) {
    EXPECT_FALSE(recorder.is_full());
    recorder.announce(departure("i-" + std::to_string(i)));
  }
  EXPECT_TRUE(recorder.is_full());
  recorder.take_call(start);
  recorder.on_result(departure_result::done, start);
  EXPECT_FALSE(recorder.is_full());
}

}  // namespace
}  // namespace ramppond
