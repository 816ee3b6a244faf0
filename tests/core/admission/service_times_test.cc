#include "core/admission/service_times.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

class service_times_test : public testing::Test {
 protected:
  void serve(const std::string& route, Duration time, int count, bool done = true) {
    for (int i = 0; i < count; ++i) {
      const auto begun = this->now;
      this->times.on_begun(route, begun);
      this->now += time;
      this->times.on_ended(route, begun, done, this->now);
    }
  }

  service_times times;
  TimePoint now = seconds(100);
};

TEST_F(service_times_test, routes_are_estimated_separately) {
  this->serve("lookup", milliseconds(870), 20);
  this->serve("rule", milliseconds(55), 200);
  EXPECT_EQ(this->times.of("lookup", this->now), milliseconds(870));
  EXPECT_EQ(this->times.of("rule", this->now), milliseconds(55));
}

TEST_F(service_times_test, unknown_before_the_first_completion) {
  EXPECT_FALSE(this->times.of("rule", this->now));
  this->times.on_begun("rule", this->now);
  EXPECT_FALSE(this->times.of("rule", this->now + seconds(1)));
}

TEST_F(service_times_test, rises_before_a_slow_server_answers) {
  this->serve("rule", milliseconds(50), 20);
  this->times.on_begun("rule", this->now);
  EXPECT_EQ(this->times.of("rule", this->now + milliseconds(10)), milliseconds(50));
  EXPECT_EQ(this->times.of("rule", this->now + milliseconds(400)), milliseconds(400));
}

TEST_F(service_times_test, failed_requests_are_ignored) {
  this->serve("rule", milliseconds(50), 20);
  this->serve("rule", milliseconds(1), 100, false);
  EXPECT_EQ(this->times.of("rule", this->now), milliseconds(50));
}

TEST_F(service_times_test, number_of_routes_is_bounded) {
  for (int i = 0; i < 5000; ++i) this->serve("route-" + std::to_string(i), milliseconds(1), 1);
  EXPECT_TRUE(this->times.of("route-0", this->now));
  EXPECT_FALSE(this->times.of("route-4999", this->now));
}

}  // namespace
}  // namespace ramppond
