// Simulates uploads that arrive at a proxy with little memory, and checks that the bound holds and
// that slow senders give way to fast ones.
#include "core/admission/upload_memory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "core/random.h"

namespace ramppond {
namespace {

constexpr auto id_of(std::uint64_t number) -> upload_id {
  return static_cast<upload_id>(number);
}

TEST(upload_memory, uploads_within_the_capacity_are_buffered) {
  auto memory = upload_memory({1000});
  for (std::uint64_t i = 0; i < 10; ++i) {
    memory.begin(id_of(i), seconds(1));
    EXPECT_TRUE(memory.on_received(id_of(i), {100}, seconds(1)).empty());
  }
  EXPECT_EQ(memory.held().value, 1000U);
  memory.release(id_of(3));
  EXPECT_EQ(memory.held().value, 900U);
  memory.release(id_of(3));
  EXPECT_EQ(memory.held().value, 900U);
}

// A sender that trickles its body must not take the memory that fast senders need.
TEST(upload_memory, slowest_incomplete_upload_stops_first) {
  auto memory = upload_memory({1000});
  memory.begin(id_of(1), seconds(1));
  EXPECT_TRUE(memory.on_received(id_of(1), {300}, seconds(1)).empty());
  memory.on_complete(id_of(1));
  memory.begin(id_of(2), seconds(1));
  EXPECT_TRUE(memory.on_received(id_of(2), {300}, seconds(1)).empty());
  memory.begin(id_of(3), seconds(9));
  EXPECT_TRUE(memory.on_received(id_of(3), {300}, seconds(9)).empty());
  EXPECT_EQ(memory.on_received(id_of(3), {300}, seconds(9)), std::vector<upload_id>{id_of(2)});
  EXPECT_EQ(memory.held().value, 900U);
}

TEST(upload_memory, upload_larger_than_what_is_free_stops_itself) {
  auto memory = upload_memory({1000});
  memory.begin(id_of(1), seconds(1));
  EXPECT_TRUE(memory.on_received(id_of(1), {800}, seconds(1)).empty());
  memory.on_complete(id_of(1));
  memory.begin(id_of(2), seconds(1));
  EXPECT_EQ(memory.on_received(id_of(2), {300}, seconds(1)), std::vector<upload_id>{id_of(2)});
  EXPECT_EQ(memory.held().value, 800U);
  EXPECT_TRUE(memory.on_received(id_of(2), {300}, seconds(1)).empty());
  EXPECT_EQ(memory.held().value, 800U);
}

TEST(upload_memory, upload_of_known_size_is_held_only_if_it_fits) {
  auto memory = upload_memory({1000});
  EXPECT_TRUE(memory.try_hold(id_of(1), {900}));
  EXPECT_FALSE(memory.try_hold(id_of(2), {101}));
  EXPECT_EQ(memory.held().value, 900U);
  memory.release(id_of(1));
  EXPECT_TRUE(memory.try_hold(id_of(2), {101}));
}

struct load_counts {
  int fast_buffered = 0;
  int fast = 0;
  int slow_buffered = 0;
  int slow = 0;
  std::uint64_t most_held = 0;
};

// One packet of each upload under way arrives every 10 ms. A fast sender needs 10 packets, a slow
// one 300. A complete upload is held for 200 ms more while its server works on it. The 40 fast
// uploads a second hold 1.0 MB on average, the 6 slow ones 0.9 MB.
auto play(byte_count capacity) -> load_counts {
  constexpr auto packet = byte_count{10000};
  constexpr auto slow_packet = byte_count{333};
  struct sender {
    bool slow;
    int packets_left;
    TimePoint held_until{0};
  };
  auto memory = upload_memory(capacity);
  auto random = Random(11);
  auto counts = load_counts();
  auto senders = std::map<std::uint64_t, sender>();
  auto next = std::uint64_t(0);
  for (auto now = TimePoint(seconds(1)); now < TimePoint(seconds(21)); now += milliseconds(10)) {
    for (const auto slow : {false, true}) {
      if (random.chance(slow ? 0.06 : 0.4)) {
        memory.begin(id_of(next), now);
        senders[next++] = {slow, slow ? 300 : 10};
      }
    }
    auto ended = std::set<std::uint64_t>();
    for (auto& [number, s] : senders) {
      if (s.packets_left == 0) {
        if (s.held_until <= now) ended.insert(number);
        continue;
      }
      for (const auto id : memory.on_received(id_of(number), s.slow ? slow_packet : packet, now)) {
        const auto stopped = static_cast<std::uint64_t>(id);
        (senders.at(stopped).slow ? counts.slow : counts.fast) += 1;
        ended.insert(stopped);
      }
      if (ended.count(number) == 0 && --s.packets_left == 0) {
        memory.on_complete(id_of(number));
        s.held_until = now + milliseconds(200);
        (s.slow ? counts.slow : counts.fast) += 1;
        (s.slow ? counts.slow_buffered : counts.fast_buffered) += 1;
      }
    }
    counts.most_held = std::max(counts.most_held, memory.held().value);
    for (const auto number : ended) {
      memory.release(id_of(number));
      senders.erase(number);
    }
  }
  return counts;
}

// Without the preference for fast senders each upload would stop with the same probability.
TEST(upload_memory, bound_holds_under_load_and_fast_senders_keep_their_buffers) {
  constexpr auto capacity = byte_count{1600000};
  const auto counts = play(capacity);
  EXPECT_LE(counts.most_held, capacity.value);
  ASSERT_GT(counts.fast, 500);
  ASSERT_GT(counts.slow, 20);
  EXPECT_GT(counts.slow - counts.slow_buffered, 0) << "memory was never short";
  const auto fast_share = static_cast<double>(counts.fast_buffered) / counts.fast;
  const auto slow_share = static_cast<double>(counts.slow_buffered) / counts.slow;
  EXPECT_GT(fast_share, slow_share);
  EXPECT_GE(fast_share, 0.9);
}

TEST(upload_memory, without_shortage_slow_senders_are_buffered_too) {
  const auto counts = play({1U << 30U});
  EXPECT_EQ(counts.slow_buffered, counts.slow);
  EXPECT_EQ(counts.fast_buffered, counts.fast);
}

}  // namespace
}  // namespace ramppond
