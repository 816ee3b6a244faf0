#include "core/control/departure_log.h"

#include <gtest/gtest.h>

#include "core/cbor_codec.h"
#include "tests/core/control/control_group.h"

namespace ramppond {
namespace {

constexpr auto clock_ms = std::int64_t(1'800'000'000'000);
constexpr auto lifetime_ms = std::int64_t(10 * 60 * 1000);

auto batch(const std::string& proxy, const std::string& incarnation,
           std::uint64_t last_sequence = any_sequence) -> departure_batch {
  return {{{proxy, incarnation, last_sequence}}};
}

TEST(departure_log, returns_departures_of_one_proxy_only) {
  auto log = departure_log();
  log.apply(batch("p", "a"), clock_ms);
  log.apply(batch("p2", "b"), clock_ms);
  log.apply(batch("o", "c"), clock_ms);
  const auto found = log.departures_of("p").departures;
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].server_incarnation, "a");
  EXPECT_TRUE(log.departures_of("").departures.empty());
}

// Guards against an older announcement that arrives late and takes back a later one.
TEST(departure_log, keeps_the_higher_sequence_in_either_order) {
  for (const auto& [first, second] : {std::pair(5, 9), std::pair(9, 5)}) {
    auto log = departure_log();
    log.apply(batch("p", "a", static_cast<std::uint64_t>(first)), clock_ms);
    log.apply(batch("p", "a", static_cast<std::uint64_t>(second)), clock_ms);
    const auto found = log.departures_of("p").departures;
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].last_sequence, 9U);
  }
}

TEST(departure_log, drops_departures_after_ten_minutes) {
  auto log = departure_log();
  log.apply(batch("p", "a"), clock_ms);
  log.apply(batch("p", "b"), clock_ms + lifetime_ms - 1);
  EXPECT_EQ(log.size(), 2U);
  log.apply(batch("p", "c"), clock_ms + lifetime_ms);
  EXPECT_EQ(log.size(), 2U);
  EXPECT_EQ(log.departures_of("p").departures[0].server_incarnation, "b");
}

TEST(departure_log, departure_that_is_repeated_lives_on) {
  auto log = departure_log();
  log.apply(batch("p", "a"), clock_ms);
  log.apply(batch("p", "a"), clock_ms + lifetime_ms - 1);
  log.apply(batch("q", "b"), clock_ms + lifetime_ms);
  EXPECT_EQ(log.departures_of("p").departures.size(), 1U);
}

// Guards against a server that keeps announcing other names and evicts the departures of others.
TEST(departure_log, keeps_the_latest_16_departures_beside_a_proxy) {
  auto log = departure_log();
  log.apply(batch("other", "x"), clock_ms);
  for (auto i = 0; i < 100; ++i) {
    log.apply(batch("p", "i-" + std::to_string(i)), clock_ms + i);
  }
  EXPECT_EQ(log.departures_of("p").departures.size(), 16U);
  EXPECT_EQ(log.departures_of("other").departures.size(), 1U);
  EXPECT_EQ(log.departures_of("p").departures.back().server_incarnation, "i-99");
}

TEST(departure_log, snapshot_restores_the_same_state) {
  auto log = departure_log();
  log.apply(batch("p", "b"), clock_ms);
  log.apply(batch("p", "a"), clock_ms + 5);
  auto restored = departure_log();
  restored.restore(log.snapshot());
  log.apply(batch("q", "c"), clock_ms + lifetime_ms);
  restored.apply(batch("q", "c"), clock_ms + lifetime_ms);
  EXPECT_EQ(restored.size(), 2U);
  EXPECT_EQ(restored.size(), log.size());
  EXPECT_EQ(restored.departures_of("p").departures[0].server_incarnation, "a");
}

TEST(departure_log, is_part_of_the_replicated_state_and_of_its_snapshot) {
  auto command = Command();
  command.type = CommandType::kRecordDepartures;
  command.leader_clock_ms = clock_ms;
  command.records = encode(batch("p", "a"));
  auto state = ControlState(1);
  EXPECT_EQ(state.apply(command, {1, 1}).error, ErrorKind::kNone);
  const auto snapshot = decode<StoredControlState>(encode(state.snapshot()));
  ASSERT_TRUE(snapshot);
  auto restored = ControlState();
  restored.restore(*snapshot);
  EXPECT_EQ(restored.departures().size(), 1U);
  command.records = "no batch";
  EXPECT_EQ(state.apply(command, {1, 2}).error, ErrorKind::kMalformedRequest);
}

// A member of an earlier version reads the snapshot and ignores the departures.
TEST(departure_log, snapshot_with_departures_is_read_by_earlier_versions) {
  auto state = ControlState(7);
  auto command = Command();
  command.type = CommandType::kRecordDepartures;
  command.records = encode(batch("p", "a"));
  state.apply(command, {1, 1});
  const auto earlier = decode<ControlSnapshot>(encode(state.snapshot()));
  ASSERT_TRUE(earlier);
  EXPECT_EQ(earlier->configuration.group_id, 7U);
}

/// Calls of a proxy to a group of control members.
class departures_in_group : public testing::Test {
 protected:
  auto call(std::size_t member, const ControlRequest& request) -> std::optional<ControlReply> {
    const auto token = this->group.request(member, request);
    this->group.run(milliseconds(700));
    const auto answers = this->group.takeAnswers();
    const auto found = answers.find(token);
    return found == answers.end() ? std::nullopt : std::optional<ControlReply>(found->second);
  }
  static auto storing(const departure_batch& departures) -> ControlRequest {
    auto request = ControlRequest();
    request.type = ControlRequestType::kCommand;
    request.command.type = CommandType::kRecordDepartures;
    request.command.records = encode(departures);
    return request;
  }
  static auto reading(const std::string& proxy) -> ControlRequest {
    auto request = ControlRequest();
    request.type = ControlRequestType::kReadDepartures;
    request.proxy_poll = encode(departure_query{proxy});
    return request;
  }

  ControlGroup group;
};

TEST_F(departures_in_group, leader_returns_what_it_has_stored) {
  const auto leader = this->group.leader();
  const auto stored = this->call(leader, storing(batch("p", "a", 3)));
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored->error, ErrorKind::kNone);
  EXPECT_EQ(stored->result.error, ErrorKind::kNone);
  const auto read = this->call(leader, reading("p"));
  ASSERT_TRUE(read);
  const auto found = decode<departure_batch>(read->proxy_update);
  ASSERT_TRUE(found);
  ASSERT_EQ(found->departures.size(), 1U);
  EXPECT_EQ(found->departures[0].last_sequence, 3U);
  EXPECT_EQ(this->call(leader, reading("q"))->proxy_update, encode(departure_batch()));
}

TEST_F(departures_in_group, follower_names_the_leader) {
  const auto leader = this->group.leader();
  const auto follower = (leader + 1) % this->group.size();
  for (const auto& request : {storing(batch("p", "a")), reading("p")}) {
    const auto reply = this->call(follower, request);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->error, ErrorKind::kNotLeader);
    EXPECT_EQ(reply->leader_address, ControlGroup::addressOf(leader));
  }
}

// Guards against a former leader without a quorum that returns an old state, or says that it has
// stored what the others do not know.
TEST_F(departures_in_group, leader_without_quorum_neither_stores_nor_returns) {
  const auto leader = this->group.leader();
  this->group.isolate(leader);
  for (const auto& request : {storing(batch("p", "a")), reading("p")}) {
    const auto reply = this->call(leader, request);
    EXPECT_TRUE(!reply || reply->error == ErrorKind::kNotLeader);
  }
}

TEST_F(departures_in_group, malformed_query_is_refused) {
  auto request = reading("p");
  request.proxy_poll = "no query";
  const auto reply = this->call(this->group.leader(), request);
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->error, ErrorKind::kMalformedRequest);
}

}  // namespace
}  // namespace ramppond
