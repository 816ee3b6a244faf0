#include "core/crash_evidence/evidence_log.h"

#include <gtest/gtest.h>

#include "core/cbor_codec.h"
#include "core/control/control_state.h"

namespace ramppond {
namespace {

constexpr auto clock_ms = std::int64_t(1'800'000'000'000);

auto record(const std::string& instance, std::uint64_t revision, bool ended) -> instance_evidence {
  auto evidence = instance_evidence();
  evidence.instance_id = instance;
  evidence.service = "templates";
  evidence.revision = revision;
  if (ended) {
    evidence.under_way = {{1, 1}};
  }
  return evidence;
}

TEST(evidence_log, keeps_crash_records_and_their_updates_but_no_records_of_successes_only) {
  auto log = evidence_log();
  EXPECT_FALSE(log.wants(record("a", 1, false)));
  EXPECT_TRUE(log.wants(record("a", 1, true)));
  log.apply({{record("a", 1, true)}}, clock_ms);
  EXPECT_FALSE(log.wants(record("a", 1, true)));
  EXPECT_TRUE(log.wants(record("a", 2, false)));  // its last request was cleared
}

TEST(evidence_log, record_age_follows_the_clock_of_the_reader) {
  auto log = evidence_log();
  auto aged = record("a", 1, true);
  aged.age = seconds(3);
  log.apply({{aged}}, clock_ms);
  const auto held = log.records_at(clock_ms + 5000);
  ASSERT_EQ(held.size(), 1U);
  EXPECT_EQ(held[0].age, seconds(8));
  EXPECT_EQ(log.records_at(clock_ms - 60000)[0].age, Duration(0));  // the reader's clock is behind
  const auto lifetime_ms = std::chrono::duration_cast<milliseconds>(evidence_lifetime).count();
  EXPECT_TRUE(log.records_at(clock_ms + lifetime_ms).empty());
}

TEST(evidence_log, holds_at_most_256_records) {
  auto log = evidence_log();
  for (auto i = 0; i < 1000; ++i) {
    log.apply({{record("i-" + std::to_string(i), 1, true)}}, clock_ms + i);
  }
  EXPECT_EQ(log.snapshot().size(), 256U);
  EXPECT_FALSE(log.wants(record("i-999", 1, true)));
}

TEST(evidence_log, is_part_of_the_replicated_state_and_of_its_snapshot) {
  auto command = Command();
  command.type = CommandType::kRecordEvidence;
  command.leader_clock_ms = clock_ms;
  command.records = encode(evidence_batch{{record("a", 1, true)}});
  auto state = ControlState(1);
  EXPECT_EQ(state.apply(command, {1, 1}).error, ErrorKind::kNone);
  const auto snapshot = decode<StoredControlState>(encode(state.snapshot()));
  ASSERT_TRUE(snapshot);
  auto restored = ControlState();
  restored.restore(*snapshot);
  ASSERT_EQ(restored.evidence().records_at(clock_ms).size(), 1U);
  command.records = "no batch";
  EXPECT_EQ(state.apply(command, {1, 2}).error, ErrorKind::kMalformedRequest);
}

}  // namespace
}  // namespace ramppond
