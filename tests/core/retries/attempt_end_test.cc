#include "core/retries/attempt_end.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct failure_case {
  const char* name;
  attempt_failure failure;
  attempt_end end;            // if the end of the request had been sent
  attempt_end end_held_back;  // if it had not been sent
  std::string text;
};

// Keeps the name of a test the same in every run.
void PrintTo(const failure_case& tested, std::ostream* out) {
  *out << tested.name;
}

class attempt_failure_table : public testing::TestWithParam<failure_case> {};

TEST_P(attempt_failure_table, maps_to_end_and_text) {
  const auto& tested = GetParam();
  EXPECT_EQ(end_of(tested.failure, false), tested.end);
  EXPECT_EQ(end_of(tested.failure, true), tested.end_held_back);
  EXPECT_EQ(text_of(tested.failure), tested.text);
}

INSTANTIATE_TEST_SUITE_P(
    table, attempt_failure_table,
    testing::Values(failure_case{"no_socket", attempt_failure::no_socket, attempt_end::not_sent,
                                 attempt_end::not_sent, "no socket"},
                    failure_case{"not_connected", attempt_failure::not_connected,
                                 attempt_end::not_sent, attempt_end::not_sent, "not connected"},
                    failure_case{"connection_lost", attempt_failure::connection_lost,
                                 attempt_end::unknown, attempt_end::not_sent, "connection lost"},
                    failure_case{"not_admitted", attempt_failure::not_admitted,
                                 attempt_end::not_sent, attempt_end::not_sent, "not admitted"},
                    failure_case{"peer_silent", attempt_failure::peer_silent, attempt_end::unknown,
                                 attempt_end::not_sent, "peer silent"}),
    [](const auto& info) { return std::string(info.param.name); });

struct arrival_case {
  const char* name;
  attempt_end end;
  bool received;
};

void PrintTo(const arrival_case& tested, std::ostream* out) {
  *out << tested.name;
}

class attempt_arrival_table : public testing::TestWithParam<arrival_case> {};

TEST_P(attempt_arrival_table, tells_whether_a_server_received_the_request) {
  EXPECT_EQ(was_received(GetParam().end), GetParam().received);
}

INSTANTIATE_TEST_SUITE_P(table, attempt_arrival_table,
                         testing::Values(arrival_case{"not_sent", attempt_end::not_sent, false},
                                         arrival_case{"not_run", attempt_end::not_run, true},
                                         arrival_case{"unknown", attempt_end::unknown, true},
                                         arrival_case{"blocked", attempt_end::blocked, false}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
