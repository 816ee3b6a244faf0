#include "daemon/proxy/forwarded_attempt.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct history_case {
  const char* name;
  attempt_end end;
  std::uint32_t arrivals;
  bool may_have_run;
};

// Prints the case name, so that the test has the same name in every run.
void PrintTo(const history_case& tested, std::ostream* out) {
  *out << tested.name;
}

class forwarded_history_table : public testing::TestWithParam<history_case> {};

TEST_P(forwarded_history_table, record_updates_arrivals_and_may_have_run) {
  auto history = forwarded_history();
  history.record(GetParam().end);
  EXPECT_EQ(history.arrivals, GetParam().arrivals);
  EXPECT_EQ(history.may_have_run, GetParam().may_have_run);
  history.record(attempt_end::not_run);
  EXPECT_EQ(history.arrivals, GetParam().arrivals + 1);
  EXPECT_EQ(history.may_have_run, GetParam().may_have_run);
}

INSTANTIATE_TEST_SUITE_P(table, forwarded_history_table,
                         testing::Values(history_case{"not_sent", attempt_end::not_sent, 0, false},
                                         history_case{"not_run", attempt_end::not_run, 1, false},
                                         history_case{"unknown", attempt_end::unknown, 1, true},
                                         history_case{"blocked", attempt_end::blocked, 0, false}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(forwarded_history, record_peer_answer_updates_lost_runs_and_block_time) {
  auto history = forwarded_history();
  history.record(peer_answer{peer_outcome::not_run, "", std::nullopt});
  EXPECT_EQ(history.lost_runs, 0U);
  history.record(peer_answer{peer_outcome::unknown, "", std::nullopt});
  EXPECT_EQ(history.lost_runs, 1U);
  history.record(peer_answer{peer_outcome::blocked, "", seconds(2)});
  EXPECT_EQ(history.lost_runs, 1U);
  EXPECT_EQ(history.blocked_for, Duration(seconds(2)));
}

/// Input of an attempt, and the header fields with its flags in the order in which they are sent.
struct head_case {
  const char* name;
  std::string flags;
  bool is_call = false;
  RequestKind kind = RequestKind::kUnsafe;
  std::uint32_t lost_runs = 0;
  bool may_have_run = false;
  bool of_retried_run = false;
  std::optional<double> told_rate = std::nullopt;  // requests per second
};

void PrintTo(const head_case& tested, std::ostream* out) {
  *out << tested.name;
}

class head_for_peer_table : public testing::TestWithParam<head_case> {};

TEST_P(head_for_peer_table, includes_parameters_and_flags) {
  const auto& tested = GetParam();
  auto route = TrafficRoute();
  route.name = "lookup";
  route.kind = tested.kind;
  route.goal = seconds(3);
  auto params = forwarded_params();
  params.route = &route;
  params.rank = 7;
  params.service = "records";
  params.is_call = tested.is_call;
  params.attributed.of_retry = tested.of_retried_run;
  auto history = forwarded_history();
  history.lost_runs = tested.lost_runs;
  history.may_have_run = tested.may_have_run;
  auto instance = KnownInstance();
  instance.record.server_incarnation = "i-1";
  if (tested.told_rate) {
    instance.named_rate = {"i-1", {{*tested.told_rate}, 2}};
  }
  auto request = HttpHead();
  request.fields = {{"Host", "h"}, {"Deadline", "99999"}};
  const auto digest = std::string("d");
  const auto deadline = std::string("Deadline");

  const auto head = head_for_peer({request, params, history, instance, digest, deadline,
                                   milliseconds(100), milliseconds(9900)});

  auto text = std::string();
  for (const auto& field : head.fields) {
    text += field.name + "=" + field.value + " ";
  }
  const auto patience = std::string(tested.is_call ? "900" : "500");
  EXPECT_EQ(text,
            "Host=h Deadline=9900 Ramppond-Instance=i-1 Ramppond-Service=records "
            "Ramppond-Route=lookup Ramppond-Digest=d Ramppond-Priority=7 "
            "Ramppond-Patience-Ms=" +
                patience + " " + tested.flags);
}

INSTANTIATE_TEST_SUITE_P(
    table, head_for_peer_table,
    testing::Values(
        head_case{"plain", ""}, head_case{"call", "Ramppond-Call=1 ", true},
        head_case{"may_run_twice", "Ramppond-Repeatable=1 ", false, RequestKind::kSafe},
        head_case{"lost_a_server", "Ramppond-Suspect=1 ", false, RequestKind::kUnsafe, 1},
        head_case{"may_have_run", "Ramppond-Repeat=1 ", false, RequestKind::kUnsafe, 0, true},
        head_case{"of_a_retried_run", "Ramppond-Repeat=1 ", false, RequestKind::kUnsafe, 0, false,
                  true},
        head_case{"everything",
                  "Ramppond-Call=1 Ramppond-Repeatable=1 Ramppond-Suspect=1 Ramppond-Repeat=1 ",
                  true, RequestKind::kDownload, 1, true, true},
        head_case{"told_a_rate", "Ramppond-Told-Rate=12300/2000 ", false, RequestKind::kUnsafe, 0,
                  false, false, 12.3}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
