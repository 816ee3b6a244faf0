#include "core/crash_evidence/evidence_registry.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

const auto now = TimePoint(std::chrono::hours(10));

auto record(const std::string& instance, const std::string& service, std::uint64_t revision = 1)
    -> instance_evidence {
  auto evidence = instance_evidence();
  evidence.instance_id = instance;
  evidence.service = service;
  evidence.revision = revision;
  return evidence;
}

TEST(evidence_registry, returns_new_records_of_the_requested_service) {
  auto registry = evidence_registry();
  EXPECT_TRUE(registry.offer(record("a", "templates"), now));
  EXPECT_TRUE(registry.offer(record("b", "exports"), now));
  EXPECT_TRUE(registry.has_changes(0, "templates"));
  EXPECT_EQ(registry.changes_since(0, "templates", now).size(), 1U);
  EXPECT_EQ(registry.changes_since(0, "", now).size(), 2U);
  EXPECT_FALSE(registry.has_changes(registry.counter(), "templates"));
  EXPECT_FALSE(registry.has_changes(0, "records"));
}

TEST(evidence_registry, keeps_the_newest_record_of_an_instance) {
  auto registry = evidence_registry();
  EXPECT_TRUE(registry.offer(record("a", "templates", 2), now));
  EXPECT_FALSE(registry.offer(record("a", "templates", 1), now));
  EXPECT_FALSE(registry.offer(record("a", "templates", 2), now));
  EXPECT_TRUE(registry.offer(record("a", "templates", 3), now));
  EXPECT_EQ(registry.changes_since(0, "", now).size(), 1U);
  const auto held = registry.changes_since(0, "templates", now);
  ASSERT_EQ(held.size(), 1U);
  EXPECT_EQ(held[0].revision, 3U);
}

TEST(evidence_registry, returns_the_age_of_a_record_and_drops_expired_ones) {
  auto registry = evidence_registry();
  auto aged = record("a", "templates");
  aged.age = seconds(5);
  registry.offer(aged, now);
  EXPECT_EQ(registry.changes_since(0, "templates", now + seconds(2))[0].age, seconds(7));
  registry.offer(record("b", "exports"), now + evidence_lifetime);
  EXPECT_EQ(registry.changes_since(0, "", now + evidence_lifetime).size(), 1U);
  aged.age = evidence_lifetime;
  EXPECT_FALSE(registry.offer(aged, now));
}

TEST(evidence_registry, is_bounded_per_service_and_in_total) {
  auto registry = evidence_registry();
  for (auto i = 0; i < 500; ++i) {
    registry.offer(record("noisy-" + std::to_string(i), "noisy"), now);
  }
  EXPECT_EQ(registry.changes_since(0, "", now).size(), 64U);
  EXPECT_EQ(registry.changes_since(0, "noisy", now).back().instance_id, "noisy-499");
  for (auto i = 0; i < 5000; ++i) {
    registry.offer(record("i-" + std::to_string(i), "service-" + std::to_string(i)), now);
  }
  EXPECT_EQ(registry.changes_since(0, "", now).size(), 2048U);
}

}  // namespace
}  // namespace ramppond
